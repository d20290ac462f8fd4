#pragma once

#include "LibCore/Random.h"
#include "LibMembership/MemberTable.h"

#include <map>
#include <vector>

/// News that are still to be passed on within the zone. The queue holds keys;
/// the newest version is read when a message is made.
namespace cranberryfold::membership::detail {

/// Batches to random peers for each piece of news, on consecutive ticks.
inline constexpr int kPushRounds = 2;
inline constexpr std::size_t kPushPeers = 3;
/// Updates that ride on one ping or answer; four of them stay below
/// kMaximumDatagramBytes with names of usual length.
inline constexpr std::size_t kPiggybackLimit = 4;
/// Beyond this size, a batch travels along the tree and reaches each member of
/// the zone once instead of several times.
inline constexpr std::size_t kLargeBatch = 32;

/// Time after which digests have told everybody. Without it, the news of
/// hundreds of members at once would ride on pings for many minutes.
inline constexpr core::duration kNewsLifetime = std::chrono::seconds(10);

class update_queue
{
public:
  /// Queues news for pushes and piggybacking in a zone of aZoneSize members.
  void Add(core::time_point aNow,
           std::uint64_t aInstanceHash,
           std::size_t aZoneSize,
           bool aPush);

  /// Drops what has been queued for kNewsLifetime.
  void DropOld(core::time_point aNow);

  /// Returns what is due for a push and counts the round.
  std::vector<std::uint64_t> TakePush(bool aAllRounds);
  std::size_t PendingPushes() const;

  /// Returns the news that have been piggybacked least and counts them.
  std::vector<std::uint64_t> TakePiggyback();

  std::size_t MemoryBytes() const;

private:
  struct item
  {
    int mPushRounds = 0;
    int mPiggybacks = 0;
    core::time_point mQueued;
  };

  void DropFinished();

  std::map<std::uint64_t, item> mItems;
};

/// Returns up to aCount different contacts at random.
std::vector<contact>
PickRandom(std::vector<contact> const& aFrom,
           std::size_t aCount,
           core::random_source& aRandom);

}
