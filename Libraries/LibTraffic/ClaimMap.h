#pragma once

#include "LibCore/Ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The assignment of idempotency keys to the daemons that hold their claims.
namespace cranberryfold::traffic {

/// Version of the claim map; as the epoch of a group, the version in which the
/// group was formed.
using claim_epoch = core::number_id<struct claim_epoch_tag>;

/// One incarnation of a daemon. A restarted daemon has lost its claims, so a
/// holder is identified by instance and incarnation.
struct holder_id
{
  core::instance_id mInstance;
  core::incarnation mIncarnation;

  // NOLINTNEXTLINE(modernize-use-nullptr): see LibCore/Ids.h
  auto operator<=>(holder_id const&) const = default;
};

/// The daemons that hold the claims of a shard, and the map version that formed
/// the group.
struct claim_group
{
  claim_epoch mEpoch;
  /// Three, or fewer in a zone with fewer instances.
  std::vector<holder_id> mHolders;

  bool operator==(claim_group const&) const = default;

  /// Returns the entry of aInstance, or nullptr if it is not in the group.
  holder_id const* Find(core::instance_id const& aInstance) const;
  bool Contains(core::instance_id const& aInstance) const
  {
    return Find(aInstance) != nullptr;
  }
  /// Returns the number of grants that a claim needs.
  std::size_t Majority() const { return mHolders.size() / 2 + 1; }
  /// Returns the smallest number of holders that intersects every majority.
  std::size_t IntersectingQuorum() const
  {
    return mHolders.size() - Majority() + 1;
  }
};

/// Identifies a range of key hashes in a zone. Zone "" has the keys without a
/// zone prefix; its groups are distributed over the zones.
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

/// Shards of each zone; a power of two.
inline constexpr std::uint32_t kShardsPerZone = 16;
inline constexpr std::size_t kHoldersPerShard = 3;
/// A shard with this many earlier groups keeps its group until they are
/// removed, so that a group that may have granted keys is never dropped.
inline constexpr std::size_t kMaximumEarlierGroups = 4;

/// Part of the replicated state. The map of epoch 0 is empty.
struct claim_map
{
  claim_epoch mEpoch;
  /// kShardsPerZone shards for each zone and for zone "".
  std::map<core::zone_id, std::vector<claim_shard>> mZones;

  bool operator==(claim_map const&) const = default;

  /// Returns the shard, or nullptr if the map does not have it.
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

/// Returns the shard of aKey. It belongs to the zone that the prefix "<zone>/"
/// names, or to zone "" if there is no such prefix or the map does not have the
/// zone.
shard_id
ShardOfKey(claim_map const& aMap, std::string_view aKey);

/// Returns the map for aMembers that changes as few groups as possible: a
/// holder that is still a member is kept. Returns aPrevious if no group has to
/// change. A zone without members keeps its groups, since dropping them could
/// let another group grant the same keys.
claim_map
BuildClaimMap(claim_map const& aPrevious,
              std::vector<claim_member> const& aMembers);

/// Returns the map without the earlier groups of aShard. Must be called only
/// after a majority of the group has reported shard_activated in aEpoch.
/// Returns aMap unchanged if the group has changed since.
claim_map
ForgetEarlierGroups(claim_map const& aMap,
                    shard_id const& aShard,
                    claim_epoch aEpoch);

}
