#include "LibControl/Replica.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::control {

core::result<std::unique_ptr<replica>>
replica::Create(replica_options aOptions,
                recovered_state aState,
                std::uint64_t aSeed)
{
  CF_ASSERT(aOptions.mElectionTimeout > aOptions.mLease,
            "an election could begin within the lease of the old leader");
  std::unique_ptr<replica> created(
    new replica(std::move(aOptions), std::move(aState), aSeed));
  BOOST_LEAF_CHECK(created->BindChart());
  return created;
}

replica::replica(replica_options aOptions,
                 recovered_state aState,
                 std::uint64_t aSeed)
  : mOptions(std::move(aOptions))
  , mIdentity(std::move(aState.mIdentity))
  , mRandom(aSeed)
  , mHardState(std::move(aState.mHardState))
  , mApplied(std::move(aState.mSnapshot),
             { mOptions.mRetentionTime, mOptions.mRetentionCount })
  , mLog(mApplied.State().mIndex, mApplied.State().mTerm)
  , mCommitted(mLog.Base())
{
  mRecordsSinceSnapshot = aState.mEntries.size();
  for (auto& entry : aState.mEntries) {
    mBytesSinceSnapshot += EntryBytes(entry);
    mLog.Append(std::move(entry));
  }
  mDurableIndex = mLog.LastIndex();
  mPersistedCommit = aState.mCommitted;
  while (mCommitted < std::min(aState.mCommitted, mLog.LastIndex())) {
    mApplied.Apply(mLog.At(++mCommitted));
  }
  RecomputeGroup();
}

core::result<void>
replica::BindChart()
{
  BOOST_LEAF_AUTO(chart, core::state_chart::BuiltIn("control_role"));
  BOOST_LEAF_AUTO(
    machine,
    core::state_machine::Create(
      std::move(chart),
      { { "become_follower", [this] { mRole = replica_role::kFollower; } },
        { "become_joining", [this] { mRole = replica_role::kJoining; } },
        { "ask_for_pre_votes", [this] { AskForPreVotes(); } },
        { "ask_for_votes", [this] { AskForVotes(); } },
        { "start_leading", [this] { StartLeading(); } },
        { "stop_leading", [this] { StopLeading(); } },
        { "stop_taking_part", [this] { StopTakingPart(); } } }));
  mMachine = std::make_unique<core::state_machine>(std::move(machine));
  return {};
}

std::vector<action>
replica::Handle(core::time_point aNow, event const& aEvent)
{
  CF_ASSERT(aNow >= mNow, "event times must not decrease");
  mNow = aNow;
  mActions.clear();
  if (!mStarted) {
    mStarted = true;
    // A restarted replica may have acknowledged a leader just before the
    // restart, so it refuses votes as long as that leader's lease may be valid.
    mLastLeaderContact = mNow;
    ResetElectionTimer();
    UpdateMembership();
    AnnounceTables();
  }
  std::visit([this](auto const& aTyped) { On(aTyped); }, aEvent);
  while (!mOptions.mMechanisms.mSyncBeforeAnswer &&
         mSyncedSequence < mLastSequence) {
    SyncedUpTo(mLastSequence);
  }
  AnnounceRole();
  return std::move(mActions);
}

void
replica::On(tick const&)
{
  if (!IsOperational()) {
    return;
  }
  // Otherwise a restart without a majority would recover the tables before the
  // last accepted edit.
  if (mCommitted > mPersistedCommit) {
    Persist({});
  }
  if (IsLeader()) {
    TickLeader();
    return;
  }
  if (mRole == replica_role::kJoining) {
    SendJoinRequests();
    return;
  }
  if (mNow >= mElectionDue) {
    Fire("election_timeout");
  }
}

void
replica::TickLeader()
{
  if (!LeaseValid(mNow) && mNow >= mLeadingSince + mOptions.mLease) {
    AnswerWaitingEdits(edit_status::kNoMajority);
    AnswerAllReadsStale();
  }
  auto const lastAcknowledged = std::max(MajorityAcknowledged(), mLeadingSince);
  if (mOptions.mMechanisms.mLeaseCheck &&
      mNow >= lastAcknowledged + mOptions.mElectionTimeout) {
    Fire("majority_lost");
    return;
  }
  if (mNow >= mNextHeartbeat) {
    Broadcast();
  }
  AdmitCaughtUp();
  ProcessWaitingEdits();
}

void
replica::SendJoinRequests()
{
  if (mNow < mNextJoinRequest) {
    return;
  }
  mNextJoinRequest = mNow + mOptions.mJoinInterval;
  std::set<core::instance_id> contacts(mOptions.mContacts.begin(),
                                       mOptions.mContacts.end());
  for (auto const& [instance, member] : Group()) {
    contacts.insert(instance);
  }
  contacts.erase(mIdentity.mInstance);
  for (auto const& contact : contacts) {
    Send(contact, join_request{});
  }
}

void
replica::On(message_received const& aEvent)
{
  auto const& received = aEvent.mMessage;
  if (!IsOperational() || received.mFrom == mIdentity.mInstance) {
    return;
  }
  auto const& group = mApplied.State().mGroup;
  auto const sender = group.find(received.mFrom);
  if (mOptions.mMechanisms.mIncarnationFence && sender != group.end() &&
      received.mIncarnation < sender->second.mIncarnation) {
    return;
  }
  std::visit([this, &received](auto const& aBody) { OnBody(received, aBody); },
             received.mBody);
}

void
replica::On(contacts_found const& aEvent)
{
  mOptions.mContacts = aEvent.mContacts;
}

void
replica::On(journal_synced const& aEvent)
{
  if (IsOperational()) {
    SyncedUpTo(std::min(aEvent.mSequence, mLastSequence));
  }
}

void
replica::On(journal_failed const&)
{
  Fire("storage_failed");
}

void
replica::SyncedUpTo(std::uint64_t aSequence)
{
  mSyncedSequence = std::max(mSyncedSequence, aSequence);
  while (!mAwaitingSync.empty() &&
         mAwaitingSync.front().first <= mSyncedSequence) {
    mActions.emplace_back(std::move(mAwaitingSync.front().second));
    mAwaitingSync.pop_front();
  }
  while (!mUnsyncedIndexes.empty() &&
         mUnsyncedIndexes.begin()->first <= mSyncedSequence) {
    mDurableIndex = mUnsyncedIndexes.begin()->second;
    mUnsyncedIndexes.erase(mUnsyncedIndexes.begin());
  }
  if (mRole == replica_role::kCandidate && mVoteSequence <= mSyncedSequence) {
    CountVote(mIdentity.mInstance, mIdentity.mIncarnation);
  }
  if (IsLeader()) {
    AdvanceCommit();
  }
}

void
replica::Persist(std::vector<journal_record> aRecords)
{
  // The commit mark comes after the entries, so it never refers to an entry
  // that the journal lacks.
  if (mCommitted > mPersistedCommit) {
    aRecords.emplace_back(commit_mark{ mCommitted });
    mPersistedCommit = mCommitted;
  }
  mRecordsSinceSnapshot += aRecords.size();
  for (auto const& record : aRecords) {
    auto const* const entry = std::get_if<log_entry>(&record);
    mBytesSinceSnapshot += entry == nullptr ? 0 : EntryBytes(*entry);
  }
  mUnsyncedIndexes[++mLastSequence] = mLog.LastIndex();
  mActions.emplace_back(append_journal{ mLastSequence, std::move(aRecords) });
}

void
replica::PersistHardState()
{
  Persist({ mHardState });
}

void
replica::Send(core::instance_id const& aTo, message_body aBody)
{
  mActions.emplace_back(send_message{ aTo,
                                      { mIdentity.mInstance,
                                        mIdentity.mIncarnation,
                                        mHardState.mTerm,
                                        std::move(aBody) } });
}

void
replica::SendAfterSync(core::instance_id const& aTo, message_body aBody)
{
  if (mSyncedSequence >= mLastSequence) {
    Send(aTo, std::move(aBody));
    return;
  }
  mAwaitingSync.emplace_back(mLastSequence,
                             send_message{ aTo,
                                           { mIdentity.mInstance,
                                             mIdentity.mIncarnation,
                                             mHardState.mTerm,
                                             std::move(aBody) } });
}

void
replica::RecomputeGroup()
{
  mGroup = mApplied.State().mGroup;
  for (auto index = mCommitted + 1; index <= mLog.LastIndex(); ++index) {
    ApplyToGroup(mGroup, mLog.At(index).mPayload);
  }
  if (!IsLeader()) {
    return;
  }
  std::erase_if(mProgress, [this](auto const& aEntry) {
    return !mGroup.contains(aEntry.first);
  });
  for (auto const& [instance, member] : mGroup) {
    if (instance != mIdentity.mInstance && !mProgress.contains(instance)) {
      mProgress[instance].mNext = mLog.LastIndex() + 1;
    }
  }
}

bool
replica::GroupChangeInFlight() const
{
  for (auto index = mCommitted + 1; index <= mLog.LastIndex(); ++index) {
    if (ChangesGroup(mLog.At(index).mPayload)) {
      return true;
    }
  }
  return false;
}

bool
replica::IsTrusted(core::instance_id const& aInstance,
                   core::incarnation aIncarnation) const
{
  auto const& committed = mApplied.State().mGroup;
  auto const known = committed.find(aInstance);
  auto const changed = mGroup.find(aInstance);
  bool const wasVoter = known != committed.end() && known->second.mVoter;
  if (!mOptions.mMechanisms.mIncarnationFence) {
    return wasVoter || (changed != mGroup.end() && changed->second.mVoter);
  }
  // A voter that lost its disk may have voted under its old incarnation, so the
  // new incarnation counts only once its admission is committed. A first
  // admission has no earlier votes and counts at once.
  if (wasVoter) {
    return known->second.mIncarnation == aIncarnation;
  }
  return changed != mGroup.end() && changed->second.mVoter &&
         changed->second.mIncarnation == aIncarnation;
}

bool
replica::IsVoter() const
{
  return IsTrusted(mIdentity.mInstance, mIdentity.mIncarnation);
}

bool
replica::IsOperational() const
{
  return mRole != replica_role::kFailed;
}

void
replica::UpdateMembership()
{
  Fire(IsVoter() ? "admitted" : "not_a_voter");
}

void
replica::Fire(std::string_view aEvent)
{
  mMachine->Fire(aEvent);
}

replica_status
replica::Status(core::time_point aNow) const
{
  return { mRole,
           mHardState.mTerm,
           mLeader,
           IsLeader() && LeaseValid(aNow),
           mLog.LastIndex(),
           mCommitted,
           mApplied.State().mRevision,
           mIdentity,
           mApplied.State().mGroup,
           GroupChangeInFlight(),
           TimeSinceAcknowledgement(aNow) };
}

std::map<core::instance_id, core::duration>
replica::TimeSinceAcknowledgement(core::time_point aNow) const
{
  std::map<core::instance_id, core::duration> silence;
  for (auto const& [instance, progress] : mProgress) {
    silence[instance] = aNow - std::max(progress.mAcknowledged, mLeadingSince);
  }
  return silence;
}

std::deque<edit_record> const&
replica::History() const
{
  return mApplied.State().mHistory;
}

tables::table_set const&
replica::Tables() const
{
  return mApplied.State().mTables;
}

std::map<core::instance_id, core::incarnation> const&
replica::CountedVotes() const
{
  return mVotes;
}

}
