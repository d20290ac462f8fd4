#pragma once

#include "LibCore/Random.h"
#include "LibMembership/MemberTable.h"

#include <map>
#include <vector>

/// Updates to be disseminated within the zone. The queue holds instance hashes;
/// the current version is read when a message is built.
namespace cranberryfold::membership::detail {

/// Number of consecutive ticks on which an update is pushed to random peers.
inline constexpr int kPushRoundCount = 2;
inline constexpr std::size_t kPushPeerCount = 3;
/// Updates piggybacked on one ping or ack; four of them stay below
/// kMaximumDatagramBytes with names of usual length.
inline constexpr std::size_t kMaximumPiggybackUpdates = 4;
/// A batch with more updates is sent along the dissemination tree, which
/// reaches each member of the zone once instead of several times.
inline constexpr std::size_t kLargeBatchUpdateCount = 32;

/// Time after which anti-entropy has delivered an update to all members.
/// Without this limit, simultaneous updates about hundreds of members would be
/// piggybacked for many minutes.
inline constexpr core::duration kUpdateLifetime = std::chrono::seconds(10);

class update_queue
{
public:
  /// Queues an update for piggybacking and, with aPush, for push rounds in a
  /// zone of aZoneSize members.
  void Add(core::time_point aNow,
           std::uint64_t aInstanceHash,
           std::size_t aZoneSize,
           bool aPush);

  /// Drops updates that were queued kUpdateLifetime or longer ago.
  void DropExpired(core::time_point aNow);

  /// Returns the instance hashes that are due for a push and counts one round,
  /// or all remaining rounds with aAllRounds.
  std::vector<std::uint64_t> TakeDuePushes(bool aAllRounds);
  /// Returns the number of updates with remaining push rounds.
  std::size_t PendingPushes() const;

  /// Returns the hashes with the most piggybacks left, at most
  /// kMaximumPiggybackUpdates, and counts one piggyback for each.
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

/// Returns up to aCount distinct random elements of aFrom.
std::vector<contact>
PickRandom(std::vector<contact> const& aFrom,
           std::size_t aCount,
           core::random_source& aRandom);

}
