#include "LibMembership/DirectoryState.h"

#include <algorithm>
#include <set>

/// Anti-entropy: digest comparison within the zone, between zones and with
/// seeds.
namespace cranberryfold::membership::detail {

namespace {

/// Random members of a zone without recent contact that are tried in addition
/// to its relays.
constexpr std::size_t kZoneRetryMemberCount = 2;

}

void
directory_state::Synchronise()
{
  if (!mNextSync) {
    auto const phase =
      mRandom.Below(static_cast<std::uint64_t>(kSyncInterval.count()));
    mNextSync = mNow + core::duration(static_cast<std::int64_t>(phase));
    ContactSeeds();
  }
  if (mNow < *mNextSync) {
    return;
  }
  mNextSync = std::max(*mNextSync + kSyncInterval, mNow);
  ++mSyncRound;
  CompareWithZonePeer();
  CompareWithZones();
  ContactSeeds();
  ContactDeadZonePeer();
}

void
directory_state::CompareWithZonePeer()
{
  if (!mSettings.mMechanisms.mMemberSync) {
    return;
  }
  for (auto const& peer : PickRandom(ZonePeers(), 1, mRandom)) {
    SendDigest(peer.mAddress, false, false);
  }
}

void
directory_state::CompareWithZones()
{
  auto zones = mTable.Zones();
  std::erase(zones, mOwn.mZone);
  mZoneWatch.SetZones(mNow, zones);
  if (!ActsAsRelay()) {
    return;
  }
  for (auto const& zone : zones) {
    auto const& roster = mTable.Roster(zone);
    std::set<contact> targets;
    if (!roster.mRelays.empty()) {
      targets.insert(roster.mRelays[mSyncRound % roster.mRelays.size()]);
    }
    if (mZoneWatch.TimeSinceContact(mNow, zone) >= kZoneRetryDelay) {
      targets.insert(roster.mRelays.begin(), roster.mRelays.end());
      for (auto const& other :
           PickRandom(roster.mLive, kZoneRetryMemberCount, mRandom)) {
        targets.insert(other);
      }
    }
    for (auto const& target : targets) {
      SendDigest(target.mAddress, true, false);
    }
  }
}

void
directory_state::ContactSeeds()
{
  bool const isJoining = !mJoinedAt;
  bool const rejoins = mSettings.mMechanisms.mSeedRejoin && ActsAsRelay();
  if (!isJoining && !rejoins) {
    return;
  }
  auto const candidates = SeedsToContact();
  for (auto const& seed : PickRandom(
         candidates, isJoining ? kJoinSeedCount : kRejoinSeedCount, mRandom)) {
    SendDigest(seed.mAddress, true, true);
  }
}

std::vector<contact>
directory_state::SeedsToContact() const
{
  std::set<core::address> missing(mSettings.mSeeds.begin(),
                                  mSettings.mSeeds.end());
  if (mJoinedAt) {
    for (auto const& [hash, record] : mTable.Records()) {
      auto const& known = record.mAnnouncement;
      if (record.mState == member_state::kAlive &&
          mZoneWatch.IsReachable(known.mZone)) {
        missing.erase(known.mPeerAddress);
      }
    }
  }
  std::vector<contact> seeds;
  seeds.reserve(missing.size());
  for (auto const& seed : missing) {
    seeds.push_back({ {}, seed });
  }
  return seeds;
}

void
directory_state::ContactDeadZonePeer()
{
  if (!ActsAsRelay()) {
    return;
  }
  std::vector<contact> dead;
  for (auto const& [hash, record] : mTable.Records()) {
    auto const& known = record.mAnnouncement;
    if (known.mZone == mOwn.mZone && record.mState == member_state::kDead) {
      dead.push_back({ known.mInstance, known.mPeerAddress });
    }
  }
  for (auto const& peer : PickRandom(dead, 1, mRandom)) {
    SendDigest(peer.mAddress, true, true);
  }
}

void
directory_state::SendDigest(core::address const& aTo,
                            bool aRequestResponse,
                            bool aIncludeAnnouncement)
{
  digest message{ ++mLastSequence,
                  aRequestResponse,
                  {},
                  mTable.Digests(),
                  mZoneWatch.Reports() };
  if (aIncludeAnnouncement) {
    message.mAnnouncement = mOwn;
  }
  mPendingDigestTimes[message.mSequence] = mNow;
  mOutbox.Send(aTo, std::move(message));
}

void
directory_state::RejectRemoved(contact const& aFrom,
                               core::incarnation aIncarnation)
{
  auto const removed = mTable.RemovedIncarnation(aFrom.mInstance);
  if (removed && *removed >= aIncarnation) {
    mOutbox.Send(aFrom.mAddress,
                 entry_exchange{ {}, {}, { { aFrom.mInstance, *removed } } });
  }
}

void
directory_state::ReportFormerProcess(contact const& aFrom,
                                     announcement const& aIntroduced)
{
  auto const* const record = mTable.Find(aIntroduced.mInstance);
  bool const isOfFormerProcess =
    record != nullptr && record->mAnnouncement != aIntroduced &&
    record->mAnnouncement.mIncarnation == aIntroduced.mIncarnation;
  if (isOfFormerProcess) {
    mOutbox.Send(aFrom.mAddress, update_batch{ { record->Update() }, {}, {} });
  }
}

std::vector<core::zone_id>
directory_state::DifferingZones(digest const& aMessage) const
{
  std::map<core::zone_id, zone_digest> theirs;
  for (auto const& entry : aMessage.mZones) {
    theirs[entry.mZone] = entry;
  }
  std::vector<core::zone_id> differing;
  for (auto const& entry : mTable.Digests()) {
    auto const found = theirs.find(entry.mZone);
    if (found == theirs.end() || found->second != entry) {
      differing.push_back(entry.mZone);
    }
    if (found != theirs.end()) {
      theirs.erase(found);
    }
  }
  for (auto const& [zone, entry] : theirs) {
    differing.push_back(zone);
  }
  return differing;
}

void
directory_state::CompareSummary(zone_summary const& aSummary,
                                entry_exchange& aExchange) const
{
  std::set<std::uint64_t> listed;
  for (auto const& theirs : aSummary.mEntries) {
    listed.insert(theirs.mInstanceHash);
    auto const* const record = mTable.FindHash(theirs.mInstanceHash);
    if (record == nullptr) {
      auto const removed = mTable.FindRemoval(theirs.mInstanceHash);
      if (removed && removed->mIncarnation >= theirs.mIncarnation) {
        aExchange.mRemovals.push_back(*removed);
      } else {
        aExchange.mRequestedHashes.push_back(theirs.mInstanceHash);
      }
      continue;
    }
    auto const own = record->mAnnouncement.mIncarnation;
    if (IsNewer(own, record->mState, theirs.mIncarnation, theirs.mState)) {
      aExchange.mUpdates.push_back(record->Update());
    } else if (IsNewer(
                 theirs.mIncarnation, theirs.mState, own, record->mState)) {
      aExchange.mRequestedHashes.push_back(theirs.mInstanceHash);
    }
  }
  for (auto const& [hash, record] : mTable.Records()) {
    bool const isMissing =
      record.mAnnouncement.mZone == aSummary.mZone && !listed.contains(hash);
    if (isMissing) {
      aExchange.mUpdates.push_back(record.Update());
    }
  }
}

void
directory_state::RecordDigestResponse(contact const& aFrom,
                                      digest_response const& aMessage)
{
  if (mPendingDigestTimes.erase(aMessage.mSequence) == 0) {
    return;
  }
  auto const* const record = mTable.Find(aFrom.mInstance);
  if (record != nullptr) {
    mZoneWatch.RecordContact(mNow, record->mAnnouncement.mZone);
  }
}

void
directory_state::MarkJoined()
{
  if (mJoinedAt) {
    return;
  }
  mJoinedAt = mNow;
  mUpdateQueue.Add(
    mNow, InstanceHash(mOwn.mInstance), OwnRoster().mLive.size(), true);
}

}
