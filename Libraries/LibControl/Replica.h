#pragma once

#include "LibControl/AppliedState.h"
#include "LibControl/Events.h"
#include "LibControl/ReplicaLog.h"
#include "LibCore/Random.h"
#include "LibCore/StateChart.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace cranberryfold::control {

inline constexpr core::duration kTickInterval = std::chrono::milliseconds(20);
/// Largest edit and largest set of tables, in bytes of their binary form. With
/// the history, both fit in a control frame.
inline constexpr std::size_t kMaximumEditBytes = 2UL * 1024UL * 1024UL;
inline constexpr std::size_t kMaximumTableBytes = 3UL * 1024UL * 1024UL;
/// Longest edit id, in bytes.
inline constexpr std::size_t kMaximumEditIdBytes = 100;
/// Most members of a control group.
inline constexpr std::size_t kMaximumReplicas = 7;

/// Protections that a randomised run can switch off to show that it then fails.
/// The daemon leaves all of them on.
struct replica_mechanisms
{
  /// Votes and acknowledgements count only under the admitted incarnation.
  bool mIncarnationFence = true;
  /// Answers wait for journal_synced.
  bool mSyncBeforeAnswer = true;
  /// A leader without a majority refuses edits and marks reads as stale.
  bool mLeaseCheck = true;
  /// A resent edit id gets the first answer.
  bool mEditIds = true;
  /// An election needs a majority of pre-votes first.
  bool mPreVote = true;

  bool operator==(replica_mechanisms const&) const = default;
};

struct replica_options
{
  core::duration mHeartbeatInterval = std::chrono::milliseconds(200);
  core::duration mLease = std::chrono::seconds(1);
  /// Shortest time without a leader before an election; each timeout adds a
  /// random part of the same length. Must be longer than mLease.
  core::duration mElectionTimeout = std::chrono::milliseconds(1500);
  core::duration mJoinInterval = std::chrono::milliseconds(500);
  /// Responses by edit id are kept this long...
  core::duration mRetentionTime = std::chrono::hours(24);
  /// ...and for this many edits, whichever is more.
  std::size_t mRetentionCount = 20000;
  /// Journal records after which a snapshot replaces the journal. Bounds both
  /// the size of the journal and the time of a restart.
  std::size_t mCompactionRecords = 1000;
  /// The same for the size of the journaled edits, which also bounds memory.
  std::size_t mCompactionBytes = 16UL * 1024UL * 1024UL;
  /// Entries kept in memory behind a snapshot for replicas that lag a little.
  std::size_t mTrailingEntries = 200;
  std::size_t mMaximumEntriesPerMessage = 64;
  std::size_t mMaximumWaitingEdits = 1000;
  /// Instances to send join requests to when no group is known.
  std::vector<core::instance_id> mContacts;
  replica_mechanisms mMechanisms;

  bool operator==(replica_options const&) const = default;
};

/// For the operators' status page.
struct replica_status
{
  replica_role mRole = replica_role::kJoining;
  term_number mTerm = 0;
  std::optional<core::instance_id> mLeader;
  /// On a leader: whether a majority confirmed it within the lease.
  bool mLeaseValid = false;
  log_index mLastIndex = 0;
  log_index mCommitted = 0;
  core::revision mRevision;
  replica_identity mIdentity;
  replica_group mGroup;
  /// Set while a change of the group is not committed yet.
  bool mGroupChanging = false;
  /// On a leader: how long each other member has been silent.
  std::map<core::instance_id, core::duration> mSilence;

  bool operator==(replica_status const&) const = default;
};

/// One control replica. A decision object: it has no socket, clock, thread or
/// file. Events must come with times that never go back; actions must be
/// carried out in order.
class replica
{
public:
  /// Starts a replica from what its disk holds. Fails with kInvalidInput when
  /// the state chart "control_role" does not fit the code.
  static core::result<std::unique_ptr<replica>> Create(replica_options aOptions,
                                                       recovered_state aState,
                                                       std::uint64_t aSeed);

  replica(replica const&) = delete;
  replica& operator=(replica const&) = delete;

  std::vector<action> Handle(core::time_point aNow, event const& aEvent);

  replica_status Status(core::time_point aNow) const;

  /// Accepted edits that are still kept, oldest first.
  std::deque<edit_record> const& History() const;

  /// The tables that are accepted as far as this replica knows.
  tables::table_set const& Tables() const;

  /// The voters whose votes made this replica leader of the current term.
  std::map<core::instance_id, core::incarnation> const& CountedVotes() const;

private:
  struct peer_progress
  {
    core::incarnation mIncarnation;
    log_index mNext = 1;
    log_index mMatch = 0;
    /// When the newest acknowledged request was sent, by the leader's time.
    core::time_point mAcknowledged = core::time_point::min();
    core::time_point mNextSnapshot = core::time_point::min();
    /// Set for a replica that asked to be admitted.
    bool mJoining = false;
    /// The leader's last index when it joined.
    log_index mJoinTarget = 0;
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

  replica(replica_options aOptions,
          recovered_state aState,
          std::uint64_t aSeed);
  core::result<void> BindChart();

  void On(tick const& aEvent);
  void TickLeader();
  void AskToJoin();
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
  /// Returns false for a life that is over; starts anew for a later one.
  bool MatchIncarnation(peer_progress& aProgress,
                        core::incarnation aIncarnation);
  void UpdateProgress(core::instance_id const& aPeer,
                      peer_progress& aProgress,
                      append_response const& aBody);
  void StoreEntries(std::vector<log_entry> const& aEntries);
  void Broadcast();
  void SendEntries(core::instance_id const& aTo, peer_progress& aProgress);
  void AppendOwn(entry_payload aPayload);
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
  bool CanEvaluateEdit() const;
  void EvaluateEdit(edit_submitted const& aEvent);
  /// Fills in aEdit from aReplacement; returns the answer when it is refused
  /// or was accepted before.
  std::optional<edit_answer> ResolveReplacement(
    tables::table_replacement const& aReplacement,
    tables::edit& aEdit) const;
  std::optional<edit_answer> AnswerToKnown(tables::edit const& aEdit) const;
  std::optional<edit_answer> RefuseEdit(tables::edit const& aEdit) const;
  std::optional<edit_answer> RefuseChanges(tables::edit const& aEdit) const;
  std::optional<std::string> GroupChangeProblem(
    tables::edit const& aEdit) const;
  /// Names what keeps the group from confirming edits once aEdit is in force.
  std::optional<std::string> MajorityProblem(tables::edit const& aEdit) const;
  /// Whether a trusted replica answered within the lease.
  bool Answers(core::instance_id const& aInstance) const;
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
  edit_answer PlainAnswer(edit_status aStatus, std::string aReason) const;
  edit_answer ConflictAnswer(core::revision aBase) const;
  void AnnounceTables();

  // Group and journal.
  /// The group with uncommitted changes, which sets the size of a majority.
  replica_group const& Group() const { return mGroup; }
  std::map<core::instance_id, core::duration> Silence(
    core::time_point aNow) const;
  void RecomputeGroup();
  bool GroupChangeInFlight() const;
  /// Whether votes and acknowledgements of this life of aInstance count.
  bool IsTrusted(core::instance_id const& aInstance,
                 core::incarnation aIncarnation) const;
  bool IsVoter() const;
  bool TakesPart() const;
  bool IsLeader() const { return mRole == replica_role::kLeader; }
  void Persist(std::vector<journal_record> aRecords);
  void PersistHardState();
  /// Sends once everything that was appended so far is synced.
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
  /// Last index that each append or snapshot made durable, by sequence.
  std::map<std::uint64_t, log_index> mUnsyncedIndexes;
  log_index mDurableIndex = 0;
  std::deque<std::pair<std::uint64_t, send_message>> mAwaitingSync;
  std::size_t mRecordsSinceSnapshot = 0;
  std::size_t mBytesSinceSnapshot = 0;
  log_index mPersistedCommit = 0;

  bool mStarted = false;
  core::time_point mElectionDue{};
  core::time_point mLeaderContact{};
  core::time_point mNextHeartbeat{};
  core::time_point mNextJoin{};
  std::map<core::instance_id, core::incarnation> mVotes;
  std::uint64_t mVoteSequence = 0;

  std::map<core::instance_id, peer_progress> mProgress;
  log_index mTermStartIndex = 0;
  core::time_point mLeadingSince{};
  core::duration mLogTimeAtStart{};
  std::optional<pending_edit> mPendingEdit;
  std::deque<edit_submitted> mWaitingEdits;
  std::deque<waiting_read> mWaitingReads;

  core::time_point mNow{};
  std::vector<action> mActions;
};

}
