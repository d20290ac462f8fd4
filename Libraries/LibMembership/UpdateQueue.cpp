#include "LibMembership/UpdateQueue.h"

#include <algorithm>
#include <bit>

namespace cranberryfold::membership::detail {

void
update_queue::Add(core::time_point aNow,
                  std::uint64_t aInstanceHash,
                  std::size_t aZoneSize,
                  bool aPush)
{
  // A number of repetitions logarithmic in the zone size reaches all members
  // with high probability.
  constexpr int kExtraPiggybackCount = 3;
  auto const piggybacks =
    kExtraPiggybackCount + static_cast<int>(std::bit_width(aZoneSize));
  auto& entry = mItems[aInstanceHash];
  entry.mPushRounds = std::max(entry.mPushRounds, aPush ? kPushRoundCount : 0);
  entry.mPiggybacks = piggybacks;
  entry.mQueued = aNow;
}

void
update_queue::DropExpired(core::time_point aNow)
{
  std::erase_if(mItems, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mQueued >= kUpdateLifetime;
  });
}

std::vector<std::uint64_t>
update_queue::TakeDuePushes(bool aAllRounds)
{
  std::vector<std::uint64_t> due;
  for (auto& [hash, entry] : mItems) {
    if (entry.mPushRounds > 0) {
      entry.mPushRounds = aAllRounds ? 0 : entry.mPushRounds - 1;
      due.push_back(hash);
    }
  }
  DropFinished();
  return due;
}

std::size_t
update_queue::PendingPushes() const
{
  return static_cast<std::size_t>(
    std::count_if(mItems.begin(), mItems.end(), [](auto const& aEntry) {
      return aEntry.second.mPushRounds > 0;
    }));
}

std::vector<std::uint64_t>
update_queue::TakePiggyback()
{
  std::vector<std::pair<int, std::uint64_t>> candidates;
  for (auto const& [hash, entry] : mItems) {
    if (entry.mPiggybacks > 0) {
      candidates.emplace_back(-entry.mPiggybacks, hash);
    }
  }
  auto const count = std::min(candidates.size(), kMaximumPiggybackUpdates);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end());
  std::vector<std::uint64_t> taken;
  for (std::size_t index = 0; index < count; ++index) {
    taken.push_back(candidates[index].second);
    --mItems[taken.back()].mPiggybacks;
  }
  DropFinished();
  return taken;
}

void
update_queue::DropFinished()
{
  std::erase_if(mItems, [](auto const& aEntry) {
    return aEntry.second.mPushRounds <= 0 && aEntry.second.mPiggybacks <= 0;
  });
}

std::size_t
update_queue::MemoryBytes() const
{
  constexpr std::size_t kNodeBytes = 48;
  return mItems.size() * (sizeof(item) + kNodeBytes);
}

std::vector<contact>
PickRandom(std::vector<contact> const& aFrom,
           std::size_t aCount,
           core::random_source& aRandom)
{
  std::vector<contact> picked;
  auto const count = std::min(aCount, aFrom.size());
  while (picked.size() < count) {
    auto const& candidate = aFrom[aRandom.Below(aFrom.size())];
    bool const isNew =
      std::find(picked.begin(), picked.end(), candidate) == picked.end();
    if (isNew) {
      picked.push_back(candidate);
    }
  }
  return picked;
}

}
