#include "LibTraffic/AdmissionQueue.h"

#include <iterator>
#include <limits>

namespace cranberryfold::traffic {

namespace {

std::uint32_t
Invert(std::uint32_t aLevel)
{
  return std::numeric_limits<std::uint32_t>::max() - aLevel;
}

}

void
admission_queue::Push(queued_call aCall)
{
  order const key{ Invert(aCall.mLevel), ++mLastSequence };
  mOrders.emplace(aCall.mCall, key);
  mCalls.emplace(key, aCall);
}

queued_call
admission_queue::Take(entries::iterator aEntry)
{
  auto const call = aEntry->second;
  mOrders.erase(call.mCall);
  mCalls.erase(aEntry);
  return call;
}

std::optional<queued_call>
admission_queue::PopFirst()
{
  if (mCalls.empty()) {
    return std::nullopt;
  }
  return Take(mCalls.begin());
}

std::optional<queued_call>
admission_queue::PopNewestBelow(std::uint32_t aLevel)
{
  if (mCalls.empty() || std::prev(mCalls.end())->second.mLevel >= aLevel) {
    return std::nullopt;
  }
  return Take(std::prev(mCalls.end()));
}

std::vector<queued_call>
admission_queue::PopExpired(core::time_point aNow, core::time_point aOldest)
{
  std::vector<queued_call> expired;
  for (auto entry = mCalls.begin(); entry != mCalls.end();) {
    auto const current = entry++;
    if (current->second.mArrived < aOldest ||
        current->second.mDeadline <= aNow) {
      expired.push_back(Take(current));
    }
  }
  return expired;
}

bool
admission_queue::Remove(call_id aCall)
{
  auto const found = mOrders.find(aCall);
  if (found == mOrders.end()) {
    return false;
  }
  Take(mCalls.find(found->second));
  return true;
}

std::size_t
admission_queue::CountFromLevel(std::uint32_t aLevel) const
{
  auto const end = mCalls.upper_bound(
    { Invert(aLevel), std::numeric_limits<std::uint64_t>::max() });
  return static_cast<std::size_t>(std::distance(mCalls.begin(), end));
}

}
