#include "LibMembership/DirectoryState.h"

#include "LibMembership/DisseminationTree.h"

#include <algorithm>
#include <set>

namespace cranberryfold::membership::detail {

namespace {

constexpr core::duration kSweepInterval = std::chrono::seconds(5);

}

directory_state::directory_state(directory_settings aSettings,
                                 core::random_source aRandom)
  : mSettings(std::move(aSettings))
  , mRandom(aRandom)
  , mOwn(mSettings.mOwn)
  , mTable(mSettings.mMechanisms.mTombstones)
  , mFailureDetector(mSettings.mMechanisms.mIndirectProbes)
  , mOutbox({ mOwn.mInstance, mOwn.mPeerAddress })
{
  std::erase(mSettings.mSeeds, mOwn.mPeerAddress);
  mTable.SetOwn({}, mOwn);
}

std::vector<directory_action>
directory_state::Handle(core::time_point aNow, directory_event const& aEvent)
{
  mNow = aNow;
  if (!mLastTick) {
    mLastTick = aNow;
    mLastMessageReceived = aNow;
  }
  std::visit([this](auto const& aTyped) { On(aTyped); }, aEvent);
  return mOutbox.TakeActions();
}

void
directory_state::On(tick const& /*aEvent*/)
{
  DetectPause();
  Probe();
  ExpireSuspicions();
  UpdateZoneReachability();
  Synchronise();
  PushDrain();
  FlushUpdates();
  Sweep();
}

void
directory_state::On(own_state_changed const& aEvent)
{
  auto const slots = aEvent.mSlots.value_or(mOwn.mSlots);
  if (aEvent.mState == mOwn.mLifecycle && slots == mOwn.mSlots) {
    return;
  }
  mOwn.mLifecycle = aEvent.mState;
  mOwn.mSlots = slots;
  bool const isLeaving = aEvent.mState == lifecycle_state::kDraining ||
                         aEvent.mState == lifecycle_state::kLeft;
  bool const push = !isLeaving || mSettings.mMechanisms.mDrainPush;
  PublishOwnAnnouncement({ mOwn.mIncarnation.mValue + 1 }, push);
  if (isLeaving && mSettings.mMechanisms.mDrainPush) {
    mDrainPushesLeft = kDrainPushCount;
    mNextDrainPush = mNow;
    PushDrain();
    FlushUpdates();
  }
}

void
directory_state::On(seeds_changed const& aEvent)
{
  mSettings.mSeeds = aEvent.mSeeds;
  std::erase(mSettings.mSeeds, mOwn.mPeerAddress);
}

void
directory_state::On(requests_received const& aEvent)
{
  for (auto const& sender : aEvent.mSenders) {
    mRecentSenders[sender] = mNow;
  }
}

void
directory_state::DetectPause()
{
  // After a pause of this process, missing messages are no evidence of a failed
  // member.
  auto const gap = mNow - *mLastTick;
  mLastTick = mNow;
  if (gap < kIsolationTimeout) {
    return;
  }
  mFailureDetector.DropPending();
  mZoneWatch.Restart(mNow);
  mLastMessageReceived = mNow;
  RestartSuspicionTimers();
}

void
directory_state::RestartSuspicionTimers()
{
  for (auto& [hash, deadline] : mSuspicionDeadlines) {
    deadline = mNow + kSuspicionTimeout;
  }
}

void
directory_state::Probe()
{
  auto const& roster = OwnRoster();
  for (auto const& target : mFailureDetector.CheckTimeouts(
         mNow, mOwn.mInstance, roster, mRandom, mOutbox)) {
    auto const* const record = mTable.Find(target.mInstance);
    bool const isAlive =
      record != nullptr && record->mState == member_state::kAlive;
    if (isAlive && !IsIsolationGuardActive()) {
      Merge({ record->mAnnouncement, member_state::kSuspect },
            propagation::kPush);
    }
  }
  for (auto const& probe : mFailureDetector.StartRound(
         mNow, mOwn.mInstance, OwnRoster(), mRandom)) {
    mOutbox.Send(probe.mTarget.mAddress,
                 ping{ probe.mSequence,
                       probe.mTarget.mInstance,
                       PiggybackUpdates(probe.mTarget.mInstance) });
  }
}

void
directory_state::ExpireSuspicions()
{
  // A suspected member could not refute while this daemon was isolated, so it
  // gets the full timeout once messages arrive again.
  if (IsIsolationGuardActive()) {
    RestartSuspicionTimers();
    return;
  }
  std::vector<std::uint64_t> expired;
  for (auto const& [hash, deadline] : mSuspicionDeadlines) {
    if (mNow >= deadline) {
      expired.push_back(hash);
    }
  }
  for (auto const hash : expired) {
    mSuspicionDeadlines.erase(hash);
    auto const* const record = mTable.FindHash(hash);
    if (record != nullptr && record->mState == member_state::kSuspect) {
      Merge({ record->mAnnouncement, member_state::kDead }, propagation::kPush);
    }
  }
}

void
directory_state::UpdateZoneReachability()
{
  auto const relays = OwnRoster().mRelays;
  if (relays != mKnownRelays) {
    mKnownRelays = relays;
    mZoneWatch.KeepReportsOf(relays);
    mReportsChanged = true;
  }
  if (!IsRelay()) {
    mReportedUnreachable.reset();
  } else {
    if (!mReportedUnreachable) {
      mZoneWatch.Restart(mNow);
    }
    auto unreachable = mZoneWatch.ZonesWithoutContact(mNow);
    if (mReportedUnreachable != unreachable) {
      PublishReport(std::move(unreachable));
    }
  }
  if (std::exchange(mReportsChanged, false) && mZoneWatch.Evaluate(relays)) {
    mOutbox.MarkMembersChanged();
  }
}

void
directory_state::PublishReport(std::vector<core::zone_id> aUnreachable)
{
  mReportedUnreachable = aUnreachable;
  zone_report report{ mOwn.mInstance,
                      mOwn.mIncarnation,
                      ++mReportSequence,
                      std::move(aUnreachable) };
  mZoneWatch.MergeReport(report);
  mReportsChanged = true;
  auto const range = WholeRange(ZonePeers(), false);
  if (range) {
    SendToBranches({ {}, { std::move(report) }, {} }, *range);
  }
}

void
directory_state::PushDrain()
{
  if (mDrainPushesLeft == 0 || mNow < mNextDrainPush) {
    return;
  }
  --mDrainPushesLeft;
  mNextDrainPush = mNow + kDrainPushInterval;
  std::set<core::address> receivers;
  for (auto const& [sender, lastRequest] : mRecentSenders) {
    if (mNow - lastRequest <= kSenderRetention) {
      receivers.insert(sender);
    }
  }
  for (auto const& relay : OwnRoster().mRelays) {
    receivers.insert(relay.mAddress);
  }
  receivers.erase(mOwn.mPeerAddress);
  update_batch const batch{ { { mOwn, AnnouncedState(mOwn) } }, {}, {} };
  for (auto const& receiver : receivers) {
    mOutbox.Send(receiver, batch);
  }
}

void
directory_state::FlushUpdates()
{
  auto const pending = mUpdateQueue.PendingPushes();
  if (pending == 0) {
    return;
  }
  auto const peers = ZonePeers();
  bool const isLarge = pending > kLargeBatchUpdateCount;
  auto const hashes = mUpdateQueue.TakeDuePushes(isLarge);
  update_batch batch{ UpdatesFor(hashes), {}, {} };
  if (isLarge) {
    auto const range = WholeRange(peers, false);
    if (range) {
      SendToBranches(batch, *range);
    }
  } else {
    for (auto const& peer : PickRandom(peers, kPushPeerCount, mRandom)) {
      mOutbox.Send(peer.mAddress, batch);
    }
  }
  // A relay sends updates about its own zone to the other zones immediately;
  // the digest exchange would take up to a second longer.
  std::erase_if(batch.mUpdates, [this](member_update const& aUpdate) {
    return aUpdate.mAnnouncement.mZone != mOwn.mZone;
  });
  if (batch.mUpdates.empty() || !ActsAsRelay()) {
    return;
  }
  for (auto const& relay : RemoteRelays()) {
    mOutbox.Send(relay.mAddress, batch);
  }
}

void
directory_state::Sweep()
{
  if (mNow < mNextSweep) {
    return;
  }
  mNextSweep = mNow + kSweepInterval;
  mUpdateQueue.DropExpired(mNow);
  if (mTable.RemoveExpired(mNow, mOwn.mInstance)) {
    mOutbox.MarkMembersChanged();
  }
  std::erase_if(mRecentSenders, [this](auto const& aEntry) {
    return mNow - aEntry.second > kSenderRetention;
  });
  std::erase_if(mPendingDigestTimes, [this](auto const& aEntry) {
    return mNow - aEntry.second > kSweepInterval;
  });
}

bool
directory_state::Merge(member_update const& aUpdate, propagation aPropagation)
{
  auto const& instance = aUpdate.mAnnouncement.mInstance;
  if (!CheckIncarnation(instance, aUpdate.mAnnouncement.mIncarnation)) {
    return false;
  }
  if (instance == mOwn.mInstance) {
    RefuteUpdateAboutSelf(aUpdate);
    return false;
  }
  auto const outcome = mTable.Merge(mNow, aUpdate);
  if (!outcome.mAccepted) {
    return false;
  }
  mOutbox.MarkMembersChanged();
  auto const hash = InstanceHash(instance);
  if (outcome.mActions.mStopSuspicion) {
    mSuspicionDeadlines.erase(hash);
  }
  // Only the zone of a member may declare it dead.
  if (outcome.mActions.mStartSuspicion &&
      aUpdate.mAnnouncement.mZone == mOwn.mZone) {
    mSuspicionDeadlines[hash] = mNow + kSuspicionTimeout;
  }
  if (aPropagation == propagation::kPush && outcome.mActions.mSpread) {
    mUpdateQueue.Add(mNow, hash, OwnRoster().mLive.size(), true);
  }
  return true;
}

bool
directory_state::CheckIncarnation(core::instance_id const& aInstance,
                                  core::incarnation aIncarnation)
{
  if (aIncarnation <= kMaximumIncarnation) {
    return true;
  }
  mOutbox.Refuse(aInstance, aIncarnation);
  return false;
}

std::size_t
directory_state::MergeAll(std::vector<member_update> const& aUpdates,
                          propagation aPropagation)
{
  std::vector<std::uint64_t> accepted;
  for (auto const& update : aUpdates) {
    if (Merge(update, propagation::kNone)) {
      accepted.push_back(InstanceHash(update.mAnnouncement.mInstance));
    }
  }
  if (aPropagation == propagation::kPush && !accepted.empty()) {
    auto const zoneSize = OwnRoster().mLive.size();
    for (auto const hash : accepted) {
      mUpdateQueue.Add(mNow, hash, zoneSize, true);
    }
  }
  return accepted.size();
}

void
directory_state::RefuteUpdateAboutSelf(member_update const& aUpdate)
{
  auto const& reported = aUpdate.mAnnouncement;
  bool const isStale = reported.mIncarnation < mOwn.mIncarnation;
  bool const isSame =
    reported == mOwn && aUpdate.mState == AnnouncedState(mOwn);
  if (isStale || isSame || !mSettings.mMechanisms.mRefutation) {
    return;
  }
  PublishOwnAnnouncement({ reported.mIncarnation.mValue + 1 }, true);
}

void
directory_state::PublishOwnAnnouncement(core::incarnation aIncarnation,
                                        bool aPush)
{
  mOwn.mIncarnation = aIncarnation;
  mTable.SetOwn(mNow, mOwn);
  mUpdateQueue.Add(
    mNow, InstanceHash(mOwn.mInstance), OwnRoster().mLive.size(), aPush);
  mOutbox.MarkMembersChanged();
}

std::vector<member>
directory_state::Members() const
{
  std::vector<member> members;
  auto const& chart = member_chart::BuiltIn();
  for (auto const& [hash, record] : mTable.Records()) {
    auto state = record.mState;
    auto const& zone = record.mAnnouncement.mZone;
    if (zone != mOwn.mZone && !mZoneWatch.IsReachable(zone)) {
      auto const& transition = chart.Next(state, member_event::kZoneLost);
      state = transition ? transition->mTarget : state;
    }
    members.push_back({ record.mAnnouncement, state });
  }
  std::sort(members.begin(),
            members.end(),
            [](member const& aLeft, member const& aRight) {
              return aLeft.mAnnouncement.mInstance <
                     aRight.mAnnouncement.mInstance;
            });
  return members;
}

peer_set
directory_state::Peers() const
{
  return {
    ZonePeers(), RemoteRelays(), OwnRoster().mRelays, RemoteCandidates()
  };
}

std::vector<contact>
directory_state::ZonePeers() const
{
  auto peers = OwnRoster().mLive;
  std::erase_if(peers, [this](contact const& aPeer) {
    return aPeer.mInstance == mOwn.mInstance;
  });
  return peers;
}

std::vector<contact>
directory_state::RemoteRelays() const
{
  std::vector<contact> relays;
  for (auto const& zone : mTable.Zones()) {
    if (zone != mOwn.mZone) {
      auto const& roster = mTable.Roster(zone);
      relays.insert(relays.end(), roster.mRelays.begin(), roster.mRelays.end());
    }
  }
  return relays;
}

std::vector<std::vector<contact>>
directory_state::RemoteCandidates() const
{
  std::vector<std::vector<contact>> candidates;
  for (auto const& zone : mTable.Zones()) {
    if (zone != mOwn.mZone) {
      candidates.push_back(mTable.Roster(zone).mRelayCandidates);
    }
  }
  return candidates;
}

bool
directory_state::IsRelay() const
{
  auto const& relays = OwnRoster().mRelays;
  return std::any_of(
    relays.begin(), relays.end(), [this](contact const& aRelay) {
      return aRelay.mInstance == mOwn.mInstance;
    });
}

bool
directory_state::HasSeeds() const
{
  return !mSettings.mSeeds.empty();
}

bool
directory_state::IsIsolated() const
{
  return mNow - mLastMessageReceived >= kIsolationTimeout;
}

bool
directory_state::IsIsolationGuardActive() const
{
  return mSettings.mMechanisms.mIsolationGuard && IsIsolated();
}

bool
directory_state::ActsAsRelay() const
{
  return IsRelay() || IsIsolated() || OwnRoster().mLive.size() <= 1;
}

bool
directory_state::IsZonePeer(contact const& aContact) const
{
  auto const* const record = mTable.Find(aContact.mInstance);
  return record != nullptr && record->mAnnouncement.mZone == mOwn.mZone;
}

bool
directory_state::IsSettled() const
{
  return !HasSeeds() || (mJoinedAt && mNow - *mJoinedAt >= kJoinSettleTime);
}

std::vector<member_update>
directory_state::UpdatesFor(std::vector<std::uint64_t> const& aHashes) const
{
  std::vector<member_update> updates;
  for (auto const hash : aHashes) {
    auto const* const record = mTable.FindHash(hash);
    if (record != nullptr) {
      updates.push_back(record->Update());
    }
  }
  return updates;
}

std::vector<member_update>
directory_state::PiggybackUpdates(core::instance_id const& aReceiver)
{
  auto updates = UpdatesFor(mUpdateQueue.TakePiggyback());
  // The receiver is informed when it is suspected or dead here, so that it can
  // refute.
  auto const* const record = mTable.Find(aReceiver);
  bool const needsRefutation =
    record != nullptr &&
    record->mState != AnnouncedState(record->mAnnouncement);
  if (needsRefutation) {
    updates.push_back(record->Update());
  }
  return updates;
}

void
directory_state::SendToBranches(update_batch aBatch, tree_range const& aRange)
{
  for (auto const& branch : SplitRange(ZonePeers(), aRange)) {
    aBatch.mRange = branch.mRange;
    mOutbox.Send(branch.mHead.mAddress, aBatch);
  }
}

std::size_t
directory_state::MemoryBytes() const
{
  constexpr std::size_t kNodeBytes = 64;
  return sizeof *this + mTable.MemoryBytes() + mUpdateQueue.MemoryBytes() +
         (mSuspicionDeadlines.size() + mRecentSenders.size() +
          mPendingDigestTimes.size()) *
           kNodeBytes;
}

}
