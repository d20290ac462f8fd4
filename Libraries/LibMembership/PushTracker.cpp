#include "LibMembership/PushTracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryfold::membership::detail {

void
push_tracker::Track(core::time_point aNow, contact const& aTo, push_duty aDuty)
{
  auto const found = mPushes.find(aTo.mInstance);
  if (found == mPushes.end()) {
    mPushes.emplace(aTo.mInstance,
                    tracked_push{ .mTo = aTo,
                                  .mDuty = std::move(aDuty),
                                  .mNextCheck = aNow + kPushCheckInterval });
    return;
  }
  // The count of checks is kept: with frequent edits, a receiver that has
  // failed would otherwise be waited for again and again.
  auto& push = found->second;
  push.mTo = aTo;
  aDuty.mBase = std::min(aDuty.mBase, push.mDuty.mBase);
  push.mDuty = std::move(aDuty);
  push.mChecks = std::min(push.mChecks, kUnansweredPushChecks);
  push.mIsDutyTaken = false;
}

std::optional<push_duty>
push_tracker::HandleRevision(core::instance_id const& aFrom,
                             core::revision aRevision)
{
  auto const found = mPushes.find(aFrom);
  if (found == mPushes.end()) {
    return std::nullopt;
  }
  auto& push = found->second;
  if (aRevision >= push.mDuty.mRevision) {
    mPushes.erase(found);
    return std::nullopt;
  }
  // A digest that crosses the push is no evidence of its loss.
  if (push.mChecks == 0 || std::exchange(push.mIsDutyTaken, true)) {
    return std::nullopt;
  }
  return push.mDuty;
}

push_tracker::due_checks
push_tracker::TakeDue(core::time_point aNow)
{
  due_checks due;
  for (auto entry = mPushes.begin(); entry != mPushes.end();) {
    auto& push = entry->second;
    if (aNow < push.mNextCheck) {
      ++entry;
      continue;
    }
    push.mNextCheck = aNow + kPushCheckInterval;
    due.mReceivers.push_back(push.mTo);
    if (push.mChecks >= kUnansweredPushChecks &&
        !std::exchange(push.mIsDutyTaken, true)) {
      due.mDuties.push_back(push.mDuty);
    }
    bool const isGivenUp = ++push.mChecks >= kMaximumPushChecks;
    entry = isGivenUp ? mPushes.erase(entry) : std::next(entry);
  }
  return due;
}

}
