#pragma once

#include "LibCore/Ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Which daemons hold the claims of which keys.
namespace cranberryfold::traffic {

/// Counts claim maps and, for each shard, the map that last changed its group.
using claim_epoch = core::number_id<struct claim_epoch_tag>;

/// One life of a daemon. A daemon that restarts comes back without its claims,
/// so a holder is named together with its incarnation.
struct holder_id
{
  core::instance_id mInstance;
  core::incarnation mIncarnation;

  // NOLINTNEXTLINE(modernize-use-nullptr): see LibCore/Ids.h
  auto operator<=>(holder_id const&) const = default;
};

/// The daemons that hold the claims of a shard, and since which map.
struct claim_group
{
  claim_epoch mEpoch;
  /// Three, or fewer in a zone with fewer instances.
  std::vector<holder_id> mHolders;

  bool operator==(claim_group const&) const = default;

  /// Returns the entry of aInstance, or nullptr.
  holder_id const* Find(core::instance_id const& aInstance) const;
  bool Contains(core::instance_id const& aInstance) const
  {
    return Find(aInstance) != nullptr;
  }
  /// Grants that a claim needs.
  std::size_t Majority() const { return mHolders.size() / 2 + 1; }
  /// The smallest number of holders that meets every majority.
  std::size_t MeetingQuorum() const { return mHolders.size() - Majority() + 1; }
};

/// A range of key hashes. Zone "" holds the keys without a zone prefix; its
/// groups are spread over the zones.
struct shard_id
{
  core::zone_id mZone;
  std::uint32_t mIndex = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): see LibCore/Ids.h
  auto operator<=>(shard_id const&) const = default;
};

struct claim_shard
{
  claim_group mGroup;
  /// Earlier groups, newest first, until ForgetEarlierGroups() removes them.
  std::vector<claim_group> mEarlier;

  bool operator==(claim_shard const&) const = default;
};

/// Shards of each home zone; a power of two.
inline constexpr std::uint32_t kShardsPerZone = 16;
inline constexpr std::size_t kHoldersPerShard = 3;
/// A shard with this many earlier groups is not moved again before they are
/// forgotten, so that no group that may have granted is ever dropped.
inline constexpr std::size_t kMaximumEarlierGroups = 4;

/// Part of the replicated state. Epoch 0 is the empty map.
struct claim_map
{
  claim_epoch mEpoch;
  /// kShardsPerZone shards for each zone, and for zone "".
  std::map<core::zone_id, std::vector<claim_shard>> mZones;

  bool operator==(claim_map const&) const = default;

  /// Returns the shard, or nullptr when the map does not have it.
  claim_shard const* Find(shard_id const& aShard) const;
};

/// A daemon that may hold claims.
struct claim_member
{
  core::zone_id mZone;
  holder_id mHolder;

  // NOLINTNEXTLINE(modernize-use-nullptr): see LibCore/Ids.h
  auto operator<=>(claim_member const&) const = default;
};

/// Returns the shard of aKey: of the zone that the prefix "<zone>/" names if
/// the map has this zone, else of zone "".
shard_id
ShardOfKey(claim_map const& aMap, std::string_view aKey);

/// Returns the map for aMembers that changes as few groups as possible: a
/// holder that is still a member stays. Returns aPrevious when no group has to
/// change. A zone without members keeps its groups, since dropping them could
/// let another group grant the same keys.
claim_map
BuildClaimMap(claim_map const& aPrevious,
              std::vector<claim_member> const& aMembers);

/// Returns the map without the earlier groups of aShard. To be called once a
/// majority of the group has reported shard_activated in aEpoch; does nothing
/// when the group has changed since.
claim_map
ForgetEarlierGroups(claim_map const& aMap,
                    shard_id const& aShard,
                    claim_epoch aEpoch);

}
