#include "LibTraffic/ClaimMap.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <bit>
#include <set>

namespace cranberryfold::traffic {

namespace {

constexpr std::uint64_t kKeySeed = 0x6b65;
constexpr int kHashBits = 64;

using zone_members = std::map<core::zone_id, std::vector<holder_id>>;

std::uint32_t
IndexOfHash(std::uint64_t aHash, std::size_t aShards)
{
  auto const bits = std::countr_zero(aShards);
  return bits == 0 ? 0U
                   : static_cast<std::uint32_t>(aHash >> (kHashBits - bits));
}

/// Returns the rendezvous hashing weight of an instance for a shard.
std::uint64_t
Weight(shard_id const& aShard, core::instance_id const& aInstance)
{
  auto const seed = core::Hash64(aShard.mZone.mValue, aShard.mIndex);
  return core::Hash64(aInstance.mValue, seed);
}

/// Returns aMembers in descending order of weight.
std::vector<holder_id>
SortedByWeight(shard_id const& aShard, std::vector<holder_id> aMembers)
{
  std::ranges::sort(aMembers,
                    [&](holder_id const& aOne, holder_id const& aTwo) {
                      auto const one = Weight(aShard, aOne.mInstance);
                      auto const two = Weight(aShard, aTwo.mInstance);
                      return one != two ? one > two : aOne < aTwo;
                    });
  return aMembers;
}

/// Keeps the holders that are still members, in their order, and adds the other
/// members of the highest weight. A holder that is no longer a member is kept
/// if no member can replace it.
std::vector<holder_id>
ChooseHolders(shard_id const& aShard,
              std::vector<holder_id> const& aOld,
              std::vector<holder_id> const& aMembers)
{
  std::set<core::instance_id> alive;
  for (auto const& member : aMembers) {
    alive.insert(member.mInstance);
  }
  std::vector<holder_id> kept;
  std::vector<holder_id> missing;
  std::set<core::instance_id> used;
  for (auto const& holder : aOld) {
    (alive.contains(holder.mInstance) ? kept : missing).push_back(holder);
    used.insert(holder.mInstance);
  }
  for (auto const& candidate : SortedByWeight(aShard, aMembers)) {
    if (kept.size() == kHoldersPerShard) {
      break;
    }
    if (!used.contains(candidate.mInstance)) {
      kept.push_back(candidate);
    }
  }
  for (auto const& holder : missing) {
    if (kept.size() < aOld.size()) {
      kept.push_back(holder);
    }
  }
  return kept;
}

bool
SameInstances(std::vector<holder_id> const& aOne,
              std::vector<holder_id> const& aTwo)
{
  std::set<core::instance_id> one;
  std::set<core::instance_id> two;
  for (auto const& holder : aOne) {
    one.insert(holder.mInstance);
  }
  for (auto const& holder : aTwo) {
    two.insert(holder.mInstance);
  }
  return one == two;
}

/// Returns the members that may hold aShard; for zone "", the members of the
/// zone that holds or will hold the shard.
std::vector<holder_id>
Candidates(shard_id const& aShard,
           claim_shard const& aCurrent,
           zone_members const& aMembers)
{
  if (!aShard.mZone.IsEmpty()) {
    auto const found = aMembers.find(aShard.mZone);
    return found == aMembers.end() ? std::vector<holder_id>{} : found->second;
  }
  if (aCurrent.mGroup.mHolders.empty()) {
    auto const step = aShard.mIndex % aMembers.size();
    return std::next(aMembers.begin(), static_cast<std::ptrdiff_t>(step))
      ->second;
  }
  for (auto const& [zone, members] : aMembers) {
    for (auto const& member : members) {
      if (aCurrent.mGroup.Contains(member.mInstance)) {
        return members;
      }
    }
  }
  return {};
}

claim_shard
NextShard(shard_id const& aShard,
          claim_shard const& aCurrent,
          zone_members const& aMembers,
          claim_epoch aEpoch)
{
  auto const candidates = Candidates(aShard, aCurrent, aMembers);
  if (candidates.empty() || aCurrent.mEarlier.size() >= kMaximumEarlierGroups) {
    return aCurrent;
  }
  auto const& old = aCurrent.mGroup.mHolders;
  auto chosen = ChooseHolders(aShard, old, candidates);
  if (SameInstances(old, chosen)) {
    return aCurrent;
  }
  // The new group lists each holder with its present incarnation, which has
  // granted nothing in that group yet.
  for (auto& holder : chosen) {
    for (auto const& member : candidates) {
      if (member.mInstance == holder.mInstance) {
        holder = member;
      }
    }
  }
  claim_shard next{ { aEpoch, std::move(chosen) }, aCurrent.mEarlier };
  if (!old.empty()) {
    next.mEarlier.insert(next.mEarlier.begin(), aCurrent.mGroup);
  }
  return next;
}

}

holder_id const*
claim_group::Find(core::instance_id const& aInstance) const
{
  auto const found =
    std::ranges::find(mHolders, aInstance, &holder_id::mInstance);
  return found == mHolders.end() ? nullptr : &*found;
}

claim_shard const*
claim_map::Find(shard_id const& aShard) const
{
  auto const zone = mZones.find(aShard.mZone);
  if (zone == mZones.end() || aShard.mIndex >= zone->second.size()) {
    return nullptr;
  }
  return &zone->second[aShard.mIndex];
}

shard_id
ShardOfKey(claim_map const& aMap, std::string_view aKey)
{
  core::zone_id zone;
  auto const slash = aKey.find('/');
  if (slash != std::string_view::npos) {
    zone.mValue = aKey.substr(0, slash);
  }
  auto found = aMap.mZones.find(zone);
  if (found == aMap.mZones.end()) {
    zone.mValue.clear();
    found = aMap.mZones.find(zone);
  }
  auto const shards =
    found == aMap.mZones.end() ? kShardsPerZone : found->second.size();
  return { zone, IndexOfHash(core::Hash64(aKey, kKeySeed), shards) };
}

claim_map
BuildClaimMap(claim_map const& aPrevious,
              std::vector<claim_member> const& aMembers)
{
  zone_members members;
  for (auto const& member : aMembers) {
    members[member.mZone].push_back(member.mHolder);
  }
  if (members.empty()) {
    return aPrevious;
  }
  claim_map next = aPrevious;
  next.mEpoch.mValue = aPrevious.mEpoch.mValue + 1;
  next.mZones[core::zone_id{}].resize(kShardsPerZone);
  for (auto const& [zone, unused] : members) {
    next.mZones[zone].resize(kShardsPerZone);
  }
  for (auto& [zone, shards] : next.mZones) {
    for (std::uint32_t index = 0; index < shards.size(); ++index) {
      shards[index] =
        NextShard({ zone, index }, shards[index], members, next.mEpoch);
    }
  }
  return next.mZones == aPrevious.mZones ? aPrevious : next;
}

claim_map
ForgetEarlierGroups(claim_map const& aMap,
                    shard_id const& aShard,
                    claim_epoch aEpoch)
{
  auto const* shard = aMap.Find(aShard);
  if (shard == nullptr || shard->mGroup.mEpoch != aEpoch ||
      shard->mEarlier.empty()) {
    return aMap;
  }
  auto next = aMap;
  ++next.mEpoch.mValue;
  next.mZones[aShard.mZone][aShard.mIndex].mEarlier.clear();
  return next;
}

}
