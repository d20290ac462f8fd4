#include "LibMembership/MemberTable.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <array>
#include <bit>

namespace cranberryfold::membership {

namespace {

/// Hashes one version of a member; the sum over a zone is the zone's digest.
std::uint64_t
VersionHash(std::uint64_t aInstanceHash, member_record const& aRecord)
{
  std::array<std::uint64_t, 2> const words{
    aRecord.mAnnouncement.mIncarnation.mValue,
    static_cast<std::uint64_t>(aRecord.mState)
  };
  auto const bytes = std::bit_cast<std::array<char, sizeof words>>(words);
  return core::Hash64({ bytes.data(), bytes.size() }, aInstanceHash);
}

bool
IsDeadOrLeft(member_state aState)
{
  return aState == member_state::kDead || aState == member_state::kLeft;
}

/// Draining members are excluded, as another relay would have to replace them
/// within seconds.
bool
IsEligibleRelay(member_record const& aRecord)
{
  auto const lifecycle = aRecord.mAnnouncement.mLifecycle;
  return lifecycle == lifecycle_state::kStarting ||
         lifecycle == lifecycle_state::kServing;
}

std::size_t
AnnouncementBytes(announcement const& aAnnouncement)
{
  std::size_t bytes = 0;
  for (auto const* text : { &aAnnouncement.mInstance.mValue,
                            &aAnnouncement.mZone.mValue,
                            &aAnnouncement.mRegion.mValue,
                            &aAnnouncement.mService.mValue }) {
    bytes += text->capacity();
  }
  for (auto const& feature : aAnnouncement.mFeatures) {
    bytes += sizeof(std::string) + feature.capacity();
  }
  return bytes;
}

}

std::uint64_t
InstanceHash(core::instance_id const& aInstance)
{
  return core::Hash64(aInstance.mValue);
}

bool
IsNewer(core::incarnation aIncarnationA,
        member_state aStateA,
        core::incarnation aIncarnationB,
        member_state aStateB)
{
  return std::pair(aIncarnationA, aStateA) > std::pair(aIncarnationB, aStateB);
}

member_table::member_table(bool aTombstones)
  : mUseTombstones(aTombstones)
{
}

merge_result
member_table::Merge(core::time_point aNow, member_update const& aUpdate)
{
  auto const& incoming = aUpdate.mAnnouncement;
  auto const hash = InstanceHash(incoming.mInstance);
  auto const tombstoneEntry = mTombstones.find(hash);
  if (tombstoneEntry != mTombstones.end()) {
    if (tombstoneEntry->second.mRemoval.mIncarnation >= incoming.mIncarnation) {
      return {};
    }
    mTombstones.erase(tombstoneEntry);
  }
  auto const found = mRecords.find(hash);
  bool const isKnown = found != mRecords.end();
  member_record const before = isKnown ? found->second : member_record{};
  bool const isNewIncarnation =
    !isKnown || incoming.mIncarnation > before.mAnnouncement.mIncarnation;
  if (!isNewIncarnation &&
      incoming.mIncarnation < before.mAnnouncement.mIncarnation) {
    return {};
  }
  auto const& chart = member_chart::BuiltIn();
  auto state = before.mState;
  transition_actions actions;
  if (isNewIncarnation) {
    auto const& transition = chart.Next(state, member_event::kAnnounced);
    state = transition->mTarget;
    actions = transition->mActions;
  }
  if (aUpdate.mState != member_state::kAlive) {
    auto const& transition = chart.Next(state, EventForState(aUpdate.mState));
    if (!transition && !isNewIncarnation) {
      return {};
    }
    state = transition ? transition->mTarget : state;
    actions = transition ? transition->mActions : actions;
  } else if (!isNewIncarnation) {
    return {};
  }
  if (isKnown) {
    UpdateTotals(hash, before, -1);
  }
  auto& record = mRecords[hash];
  record = { incoming,
             state,
             isKnown && state == before.mState ? before.mStateSince : aNow };
  UpdateTotals(hash, record, 1);
  return { true, actions };
}

void
member_table::SetOwn(core::time_point aNow, announcement const& aOwn)
{
  auto const hash = InstanceHash(aOwn.mInstance);
  auto const found = mRecords.find(hash);
  if (found != mRecords.end()) {
    UpdateTotals(hash, found->second, -1);
  }
  bool const left = aOwn.mLifecycle == lifecycle_state::kLeft;
  auto& record = mRecords[hash];
  record = { aOwn, left ? member_state::kLeft : member_state::kAlive, aNow };
  UpdateTotals(hash, record, 1);
}

void
member_table::UpdateTotals(std::uint64_t aHash,
                           member_record const& aRecord,
                           int aSign)
{
  auto& totals = mZones[aRecord.mAnnouncement.mZone];
  totals.mRoster.reset();
  if (aSign > 0) {
    ++totals.mCount;
    totals.mHash += VersionHash(aHash, aRecord);
  } else {
    --totals.mCount;
    totals.mHash -= VersionHash(aHash, aRecord);
  }
}

member_record const*
member_table::Find(core::instance_id const& aInstance) const
{
  return FindHash(InstanceHash(aInstance));
}

member_record const*
member_table::FindHash(std::uint64_t aInstanceHash) const
{
  auto const found = mRecords.find(aInstanceHash);
  return found == mRecords.end() ? nullptr : &found->second;
}

std::optional<core::incarnation>
member_table::RemovedIncarnation(core::instance_id const& aInstance) const
{
  auto const found = FindRemoval(InstanceHash(aInstance));
  return found ? std::optional(found->mIncarnation) : std::nullopt;
}

std::optional<removal>
member_table::FindRemoval(std::uint64_t aInstanceHash) const
{
  auto const found = mTombstones.find(aInstanceHash);
  if (found == mTombstones.end()) {
    return std::nullopt;
  }
  return found->second.mRemoval;
}

std::vector<zone_digest>
member_table::Digests() const
{
  std::vector<zone_digest> digests;
  for (auto const& [zone, totals] : mZones) {
    if (totals.mCount > 0) {
      digests.push_back({ zone, totals.mCount, totals.mHash });
    }
  }
  return digests;
}

zone_summary
member_table::Summary(core::zone_id const& aZone) const
{
  zone_summary summary{ aZone, {} };
  for (auto const& [hash, record] : mRecords) {
    if (record.mAnnouncement.mZone == aZone) {
      summary.mEntries.push_back(
        { hash, record.mAnnouncement.mIncarnation, record.mState });
    }
  }
  return summary;
}

std::vector<core::zone_id>
member_table::Zones() const
{
  std::vector<core::zone_id> zones;
  for (auto const& [zone, totals] : mZones) {
    if (totals.mCount > 0) {
      zones.push_back(zone);
    }
  }
  return zones;
}

zone_roster const&
member_table::Roster(core::zone_id const& aZone) const
{
  static zone_roster const kEmpty;
  auto const found = mZones.find(aZone);
  if (found == mZones.end()) {
    return kEmpty;
  }
  auto& roster = found->second.mRoster;
  if (!roster) {
    roster = ComputeRoster(aZone);
  }
  return *roster;
}

zone_roster
member_table::ComputeRoster(core::zone_id const& aZone) const
{
  zone_roster roster;
  std::vector<std::pair<std::uint64_t, contact>> candidates;
  auto const zoneSeed = core::Hash64(aZone.mValue);
  for (auto const& [hash, record] : mRecords) {
    auto const& announced = record.mAnnouncement;
    if (announced.mZone != aZone || IsDeadOrLeft(record.mState)) {
      continue;
    }
    contact const member{ announced.mInstance, announced.mPeerAddress };
    roster.mRing.push_back(member);
    if (IsEligibleRelay(record)) {
      candidates.emplace_back(
        core::Hash64(announced.mInstance.mValue, zoneSeed), member);
    }
  }
  roster.mLive = roster.mRing;
  std::sort(roster.mLive.begin(), roster.mLive.end());
  auto const ordered = std::min(candidates.size(), kRelayCandidateCount);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(ordered),
                    candidates.end(),
                    std::greater<>{});
  for (std::size_t index = 0; index < ordered; ++index) {
    roster.mRelayCandidates.push_back(candidates[index].second);
    if (index < kRelayCountPerZone) {
      roster.mRelays.push_back(candidates[index].second);
    }
  }
  return roster;
}

bool
member_table::Remove(core::time_point aNow, removal const& aRemoval)
{
  auto const hash = InstanceHash(aRemoval.mInstance);
  auto const found = mRecords.find(hash);
  if (found == mRecords.end() || !IsDeadOrLeft(found->second.mState) ||
      found->second.mAnnouncement.mIncarnation > aRemoval.mIncarnation) {
    return false;
  }
  UpdateTotals(hash, found->second, -1);
  mRecords.erase(found);
  if (mUseTombstones) {
    mTombstones[hash] = { aRemoval, aNow };
  }
  return true;
}

bool
member_table::RemoveExpired(core::time_point aNow,
                            core::instance_id const& aOwn)
{
  std::vector<removal> expired;
  for (auto const& [hash, record] : mRecords) {
    if (IsDeadOrLeft(record.mState) &&
        aNow - record.mStateSince >= kRemovalDelay &&
        record.mAnnouncement.mInstance != aOwn) {
      expired.push_back(
        { record.mAnnouncement.mInstance, record.mAnnouncement.mIncarnation });
    }
  }
  for (auto const& entry : expired) {
    Remove(aNow, entry);
  }
  std::erase_if(mTombstones, [&](auto const& aEntry) {
    return aNow - aEntry.second.mSince >= kTombstoneLifetime;
  });
  return !expired.empty();
}

std::size_t
member_table::MemoryBytes() const
{
  constexpr std::size_t kNodeBytes = 48;
  std::size_t bytes = mTombstones.size() * (sizeof(tombstone) + kNodeBytes);
  for (auto const& [hash, record] : mRecords) {
    bytes += sizeof record + kNodeBytes;
    bytes += AnnouncementBytes(record.mAnnouncement);
  }
  for (auto const& [zone, totals] : mZones) {
    if (totals.mRoster) {
      bytes += totals.mRoster->mLive.capacity() * sizeof(contact) * 2;
    }
  }
  return bytes;
}

}
