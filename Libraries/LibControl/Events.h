#pragma once

#include "LibControl/Messages.h"
#include "LibCore/Error.h"

#include <optional>

/// Events that a replica handles and actions that it returns.
namespace cranberryfold::control {

/// Chosen by the caller of the replica to match an answer with its request.
using submission_id = core::number_id<struct submission_tag>;
using read_id = core::number_id<struct read_tag>;

/// Drives all timers of the replica; expected every kTickInterval.
struct tick
{
  bool operator==(tick const&) const = default;
};

struct message_received
{
  message mMessage;
  bool operator==(message_received const&) const = default;
};

struct edit_submitted
{
  submission_id mSubmission;
  tables::edit mEdit;
  /// If set, the base and changes of mEdit are computed when the edit is
  /// evaluated, as the difference between the current tables and these.
  std::optional<tables::table_replacement> mReplacement;
  bool operator==(edit_submitted const&) const = default;
};

struct read_requested
{
  read_id mRead;
  /// Whether a majority has to confirm that the answer is current. Otherwise
  /// the replica answers at once from its own state, marked as stale.
  bool mLinearizable = true;
  bool operator==(read_requested const&) const = default;
};

/// All journal appends and snapshots up to mSequence are on stable storage.
struct journal_synced
{
  std::uint64_t mSequence = 0;
  bool operator==(journal_synced const&) const = default;
};

/// A write or sync failed. The replica never takes part in the group again; its
/// owner replaces it by a new one from the files on disk, since what the disk
/// holds may differ from the memory of this one.
struct journal_failed
{
  core::error mError;
  bool operator==(journal_failed const&) const = default;
};

/// Replaces the instances that may be control replicas. A replica that is not a
/// voter sends them join requests.
struct contacts_found
{
  std::vector<core::instance_id> mContacts;
  bool operator==(contacts_found const&) const = default;
};

using event = std::variant<tick,
                           message_received,
                           contacts_found,
                           edit_submitted,
                           read_requested,
                           journal_synced,
                           journal_failed>;

enum class edit_status : std::uint8_t
{
  /// Accepted, by this submission or by an earlier one with the same edit id.
  kAccepted,
  /// The edit changes nothing; no revision was created.
  kUnchanged,
  /// Another edit was accepted on the same base revision, or the current tables
  /// have another label than the base of the replacement.
  kConflict,
  kInvalid,
  /// Not accepted by this replica; send the edit to the leader.
  kNotLeader,
  /// Not accepted: no majority acknowledged the leader within the lease, or too
  /// many edits are waiting.
  kNoMajority,
  /// The edit may or may not be accepted; resend it under the same edit id.
  kUnknown,
  /// Not accepted: this replica cannot write to its disk.
  kStorageFailed,
};

/// Returns the name used in responses, such as "accepted".
std::string_view
EditStatusName(edit_status aStatus);

struct edit_answer
{
  edit_status mStatus = edit_status::kUnknown;
  /// If accepted, the revision that the edit created. On a conflict, the
  /// revision of the edit that was accepted on the same base, if it is still
  /// kept. Otherwise the current revision of this replica.
  core::revision mRevision;
  /// The edit that created mRevision; empty for revision 0 and if the edit is
  /// no longer kept.
  core::edit_id mEdit;
  /// Readable reason; empty if accepted. On kInvalid it names the row and
  /// field.
  std::string mReason;
  std::optional<core::instance_id> mLeader;

  bool operator==(edit_answer const&) const = default;
};

enum class replica_role : std::uint8_t
{
  kJoining,
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
  kFailed,
};

std::string_view
ReplicaRoleName(replica_role aRole);

struct send_message
{
  core::instance_id mTo;
  message mMessage;
  bool operator==(send_message const&) const = default;
};

/// Records to append to the journal and sync, in the order of mSequence.
/// Answered by journal_synced.
struct append_journal
{
  std::uint64_t mSequence = 0;
  std::vector<journal_record> mRecords;
  bool operator==(append_journal const&) const = default;
};

/// Snapshot and later entries that replace the journal. Answered by
/// journal_synced.
struct write_snapshot
{
  std::uint64_t mSequence = 0;
  hard_state mHardState;
  snapshot mSnapshot;
  std::vector<log_entry> mEntries;
  bool operator==(write_snapshot const&) const = default;
};

struct answer_edit
{
  submission_id mSubmission;
  edit_answer mAnswer;
  bool operator==(answer_edit const&) const = default;
};

struct answer_read
{
  read_id mRead;
  core::revision mRevision;
  std::uint64_t mHash = 0;
  tables::table_set mTables;
  /// Whether newer tables may have been accepted, since no majority confirmed
  /// that these are current.
  bool mStale = true;
  std::optional<core::instance_id> mLeader;
  bool operator==(answer_read const&) const = default;
};

/// The committed tables have a new revision. Revisions may be skipped, but
/// never decrease. Also sent once after a restart, for the recovered tables.
struct tables_committed
{
  core::revision mRevision;
  std::uint64_t mHash = 0;
  tables::table_set mTables;
  /// The edit that created the revision; empty for revision 0 and if the edit
  /// is no longer kept.
  core::edit_id mEdit;
  bool operator==(tables_committed const&) const = default;
};

/// The role, the term or the known leader has changed.
struct role_changed
{
  replica_role mRole = replica_role::kJoining;
  term_number mTerm = 0;
  std::optional<core::instance_id> mLeader;
  bool operator==(role_changed const&) const = default;
};

using action = std::variant<send_message,
                            append_journal,
                            write_snapshot,
                            answer_edit,
                            answer_read,
                            tables_committed,
                            role_changed>;

}
