#pragma once

#include "LibControl/AppliedState.h"
#include "LibControl/Events.h"
#include "LibControl/ReplicaLog.h"
#include "LibCore/Random.h"
#include "LibCore/StateChart.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace cranberryfold::control {

inline constexpr core::duration kTickInterval = std::chrono::milliseconds(20);
/// Pause before the first attempt to recover a replica whose journal failed.
inline constexpr core::duration kFirstRecoveryPause =
  std::chrono::milliseconds(100);
inline constexpr core::duration kLongestRecoveryPause = std::chrono::seconds(1);
/// Largest encoded edit and largest encoded tables. A snapshot with the largest
/// tables and the history fits in one control frame, and so does an edit.
inline constexpr std::size_t kMaximumEditBytes = 2UL * 1024UL * 1024UL;
inline constexpr std::size_t kMaximumTableBytes = 3UL * 1024UL * 1024UL;
inline constexpr std::size_t kMaximumEditIdBytes = 100;
/// Largest control group, including learners.
inline constexpr std::size_t kMaximumReplicas = 7;

/// Returns the pause after a failed attempt to recover that followed aPause.
constexpr core::duration
NextRecoveryPause(core::duration aPause)
{
  return std::min(2 * aPause, kLongestRecoveryPause);
}

/// Safety mechanisms. A randomised run can disable each one to show that its
/// checks then fail; the daemon enables all of them.
struct replica_mechanisms
{
  /// Votes and acknowledgements count only from the admitted incarnation.
  bool mIncarnationFence = true;
  /// Answers and messages that depend on journal writes wait for
  /// journal_synced.
  bool mSyncBeforeAnswer = true;
  /// A leader without a majority refuses edits and marks reads as stale.
  bool mLeaseCheck = true;
  /// An edit resent with the same id gets the answer of the first submission.
  bool mEditIds = true;
  /// An election needs a majority of pre-votes first.
  bool mPreVote = true;

  bool operator==(replica_mechanisms const&) const = default;
};

struct replica_options
{
  core::duration mHeartbeatInterval = std::chrono::milliseconds(200);
  core::duration mLease = std::chrono::seconds(1);
  /// Shortest time without contact to a leader before an election. Each timeout
  /// adds a random time below the same length. Must be longer than mLease.
  core::duration mElectionTimeout = std::chrono::milliseconds(1500);
  core::duration mJoinInterval = std::chrono::milliseconds(500);
  /// Answers by edit id are kept for at least this long...
  core::duration mRetentionTime = std::chrono::hours(24);
  /// ...and for at least this many edits.
  std::size_t mRetentionCount = 20000;
  /// Number of journal records after which a snapshot replaces the journal.
  /// Bounds both the size of the journal and the time of a restart.
  std::size_t mCompactionRecords = 1000;
  /// Size of the journaled edits after which a snapshot replaces the journal.
  /// Also bounds the memory of the log.
  std::size_t mCompactionBytes = 16UL * 1024UL * 1024UL;
  /// Number of entries before a snapshot that stay in memory, so that replicas
  /// that lag a little need no snapshot.
  std::size_t mTrailingEntries = 200;
  std::size_t mMaximumEntriesPerMessage = 64;
  std::size_t mMaximumWaitingEdits = 1000;
  /// Instances that get join requests, besides the known members of the group.
  std::vector<core::instance_id> mContacts;
  replica_mechanisms mMechanisms;

  bool operator==(replica_options const&) const = default;
};

/// Status of a replica, for operators and for ProposeGroupChange().
struct replica_status
{
  replica_role mRole = replica_role::kJoining;
  term_number mTerm = 0;
  std::optional<core::instance_id> mLeader;
  /// On a leader, whether a majority acknowledged it within the lease.
  bool mLeaseValid = false;
  log_index mLastIndex = 0;
  log_index mCommitted = 0;
  core::revision mRevision;
  replica_identity mIdentity;
  replica_group mGroup;
  /// Whether the log has an uncommitted change of the group.
  bool mGroupChanging = false;
  /// On a leader, the time since it sent the newest request that each other
  /// member acknowledged, or since it became leader if that is later.
  std::map<core::instance_id, core::duration> mTimeSinceAcknowledgement;

  bool operator==(replica_status const&) const = default;
};

/// One control replica: a deterministic state machine without sockets, clock,
/// threads or files. The times of events must not decrease; the returned
/// actions must be carried out in order.
class replica
{
public:
  /// Creates a replica from the state recovered from its disk. Fails with
  /// kInvalidInput if the state chart "control_role" does not match the code.
  static core::result<std::unique_ptr<replica>> Create(replica_options aOptions,
                                                       recovered_state aState,
                                                       std::uint64_t aSeed);

  replica(replica const&) = delete;
  replica& operator=(replica const&) = delete;

  /// Handles one event and returns the resulting actions.
  std::vector<action> Handle(core::time_point aNow, event const& aEvent);

  replica_status Status(core::time_point aNow) const;

  /// Returns the accepted edits that are still kept, oldest first.
  std::deque<edit_record> const& History() const;

  /// Returns the latest tables that this replica knows to be committed.
  tables::table_set const& Tables() const;

  /// On a leader, returns the voters whose votes elected it in the current
  /// term, with their incarnations.
  std::map<core::instance_id, core::incarnation> const& CountedVotes() const;

private:
  struct peer_progress
  {
    core::incarnation mIncarnation;
    log_index mNext = 1;
    log_index mMatch = 0;
    /// Send time of the newest acknowledged request, by the leader's clock.
    core::time_point mAcknowledged = core::time_point::min();
    core::time_point mNextSnapshot = core::time_point::min();
    /// Whether the replica asked to be admitted.
    bool mJoining = false;
    /// The leader's last index at the first join request. The replica counts as
    /// caught up once its log matches up to this index.
    log_index mJoinTargetIndex = 0;
  };

  struct waiting_read
  {
    read_id mRead;
    core::time_point mRequested;
  };

  struct pending_edit
  {
    log_index mIndex = 0;
    submission_id mSubmission;
  };

  struct voter_count
  {
    std::size_t mAll = 0;
    std::size_t mResponsive = 0;

    bool Suffice() const { return mResponsive > mAll / 2; }
  };

  replica(replica_options aOptions,
          recovered_state aState,
          std::uint64_t aSeed);
  core::result<void> BindChart();

  void On(tick const& aEvent);
  void TickLeader();
  void SendJoinRequests();
  void On(message_received const& aEvent);
  void On(contacts_found const& aEvent);
  void On(edit_submitted const& aEvent);
  void On(read_requested const& aEvent);
  void On(journal_synced const& aEvent);
  void On(journal_failed const& aEvent);

  // Elections (ReplicaElection.cpp).
  void OnBody(message const& aMessage, pre_vote_request const& aBody);
  void OnBody(message const& aMessage, pre_vote_response const& aBody);
  void OnBody(message const& aMessage, vote_request const& aBody);
  void OnBody(message const& aMessage, vote_response const& aBody);
  void AskForPreVotes();
  void AskForVotes();
  void CountVote(core::instance_id const& aVoter,
                 core::incarnation aIncarnation);
  void StartLeading();
  void StopLeading();
  void StopTakingPart();
  void AnnounceRole();
  void Fire(std::string_view aEvent);
  void ObserveTerm(term_number aTerm);
  void ResetElectionTimer();
  bool LeaderMayBeAlive() const;
  bool MayVote() const;
  bool IsUpToDate(log_index aLastIndex, term_number aLastTerm) const;

  // Replication (ReplicaReplication.cpp).
  void OnBody(message const& aMessage, append_request const& aBody);
  void OnBody(message const& aMessage, append_response const& aBody);
  void OnBody(message const& aMessage, snapshot_transfer const& aBody);
  void OnBody(message const& aMessage, join_request const& aBody);
  void FollowLeader(message const& aMessage);
  std::optional<log_index> RetryIndex(append_request const& aBody) const;
  void InstallSnapshot(snapshot const& aSnapshot);
  void WriteSnapshot();
  void TruncateFrom(log_index aIndex);
  /// Returns false for an outdated incarnation. Resets the progress for a newer
  /// one.
  bool UpdateIncarnation(peer_progress& aProgress,
                         core::incarnation aIncarnation);
  void UpdateProgress(core::instance_id const& aPeer,
                      peer_progress& aProgress,
                      append_response const& aBody);
  void StoreEntries(std::vector<log_entry> const& aEntries);
  void Broadcast();
  void SendEntries(core::instance_id const& aTo, peer_progress& aProgress);
  void AppendAsLeader(entry_payload aPayload);
  void AdvanceCommit();
  void CommitUpTo(log_index aIndex);
  void AdmitCaughtUp();
  void Compact();
  core::time_point MajorityAcknowledged() const;
  log_index MajorityMatch() const;
  bool IsMajority(std::set<core::instance_id> const& aInstances) const;
  bool LeaseValid(core::time_point aNow) const;

  // Edits and reads (ReplicaEdits.cpp).
  void ProcessWaitingEdits();
  /// Asks all members for an acknowledgement if the next edit changes the
  /// group. Without it the leader does not see a lost disk until its lease
  /// ends, and a removal in that time could cost the majority.
  void ConfirmGroup();
  /// Returns whether the next edit can be checked and appended, apart from what
  /// a change of the group needs.
  bool IsReadyForEdit() const;
  /// A change of the group waits until it is to be refused or a majority of the
  /// voters that it leaves has acknowledged.
  bool CanEvaluateEdit() const;
  void EvaluateEdit(edit_submitted const& aEvent);
  /// Sets the base and changes of aEdit from aReplacement. Returns the answer
  /// if the replacement is rejected or was accepted before.
  std::optional<edit_answer> ResolveReplacement(
    tables::table_replacement const& aReplacement,
    tables::edit& aEdit) const;
  /// Returns the earlier answer if an edit with this id was accepted.
  std::optional<edit_answer> AnswerToDuplicate(tables::edit const& aEdit) const;
  /// Returns the answer if aEdit is rejected or was accepted before, or
  /// std::nullopt if it can be appended.
  std::optional<edit_answer> ValidateEdit(tables::edit const& aEdit) const;
  std::optional<edit_answer> ValidateChanges(tables::edit const& aEdit) const;
  std::optional<std::string> GroupChangeProblem(
    tables::edit const& aEdit) const;
  /// Returns an error if the group could not commit edits after aEdit, since
  /// too few of its voters are responsive.
  std::optional<std::string> MajorityProblem(tables::edit const& aEdit) const;
  /// Counts the voters of the group as aEdit would leave it, and those that
  /// acknowledged a request sent at or after aSince.
  voter_count VotersAfter(tables::edit const& aEdit,
                          core::time_point aSince) const;
  /// Returns whether aInstance is this replica or a trusted one that
  /// acknowledged a request sent at or after aSince.
  bool IsResponsive(core::instance_id const& aInstance,
                    core::time_point aSince) const;
  std::optional<std::string> RemovalProblem(
    core::instance_id const& aInstance) const;
  std::optional<std::string> AdditionProblem(
    core::instance_id const& aInstance) const;
  void AnswerCommittedEdit();
  void AnswerWaitingEdits(edit_status aStatus);
  void AnswerConfirmedReads();
  void AnswerAllReadsStale();
  void AnswerRead(read_id aRead, bool aStale);
  void AnswerEdit(submission_id aSubmission, edit_answer aAnswer);
  edit_answer MakeAnswer(edit_status aStatus, std::string aReason) const;
  edit_answer MakeConflictAnswer(core::revision aBase) const;
  void AnnounceTables();

  // Group and journal.
  /// Returns the group including uncommitted changes. It determines the
  /// majority.
  replica_group const& Group() const { return mGroup; }
  std::map<core::instance_id, core::duration> TimeSinceAcknowledgement(
    core::time_point aNow) const;
  void RecomputeGroup();
  bool GroupChangeInFlight() const;
  /// Returns whether votes and acknowledgements of aInstance count under this
  /// incarnation.
  bool IsTrusted(core::instance_id const& aInstance,
                 core::incarnation aIncarnation) const;
  bool IsVoter() const;
  bool IsOperational() const;
  bool IsLeader() const { return mRole == replica_role::kLeader; }
  void Persist(std::vector<journal_record> aRecords);
  void PersistHardState();
  /// Sends the message once all journal writes so far are synced.
  void SendAfterSync(core::instance_id const& aTo, message_body aBody);
  void Send(core::instance_id const& aTo, message_body aBody);
  void SyncedUpTo(std::uint64_t aSequence);
  void UpdateMembership();

  replica_options mOptions;
  replica_identity mIdentity;
  core::random_source mRandom;
  hard_state mHardState;
  applied_state mApplied;
  replica_log mLog;
  replica_group mGroup;
  log_index mCommitted = 0;

  std::unique_ptr<core::state_machine> mMachine;
  replica_role mRole = replica_role::kJoining;
  std::optional<core::instance_id> mLeader;
  std::optional<role_changed> mAnnouncedRole;
  std::optional<core::revision> mAnnouncedRevision;

  std::uint64_t mLastSequence = 0;
  std::uint64_t mSyncedSequence = 0;
  /// Last index that becomes durable with each unsynced append or snapshot, by
  /// sequence.
  std::map<std::uint64_t, log_index> mUnsyncedIndexes;
  log_index mDurableIndex = 0;
  std::deque<std::pair<std::uint64_t, send_message>> mAwaitingSync;
  std::size_t mRecordsSinceSnapshot = 0;
  std::size_t mBytesSinceSnapshot = 0;
  log_index mPersistedCommit = 0;

  bool mStarted = false;
  core::time_point mElectionDue{};
  core::time_point mLastLeaderContact{};
  core::time_point mNextHeartbeat{};
  core::time_point mNextJoinRequest{};
  std::map<core::instance_id, core::incarnation> mVotes;
  std::uint64_t mVoteSequence = 0;

  std::map<core::instance_id, peer_progress> mProgress;
  log_index mTermStartIndex = 0;
  core::time_point mLeadingSince{};
  core::duration mLogTimeAtStart{};
  std::optional<pending_edit> mPendingEdit;
  std::deque<edit_submitted> mWaitingEdits;
  /// When the members were asked to acknowledge for the next group change.
  std::optional<core::time_point> mConfirmingSince;
  std::deque<waiting_read> mWaitingReads;

  core::time_point mNow{};
  std::vector<action> mActions;
};

}
