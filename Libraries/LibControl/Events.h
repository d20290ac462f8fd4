#pragma once

#include "LibControl/Messages.h"
#include "LibCore/Error.h"

#include <optional>

/// What goes into and comes out of a replica.
namespace cranberryfold::control {

/// Chosen by the owner to match an answer with the request it belongs to.
using submission_id = core::number_id<struct submission_tag>;
using read_id = core::number_id<struct read_tag>;

/// Time has passed; expected every kTickInterval.
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
  /// When set, the edit is what leads from the tables in force to these; base
  /// and changes of mEdit are filled in when it is evaluated.
  std::optional<tables::table_replacement> mReplacement;
  bool operator==(edit_submitted const&) const = default;
};

struct read_requested
{
  read_id mRead;
  /// Asks for a majority to confirm that the answer is current.
  bool mCurrent = true;
  bool operator==(read_requested const&) const = default;
};

/// All appends and snapshots up to mSequence are on stable storage.
struct journal_synced
{
  std::uint64_t mSequence = 0;
  bool operator==(journal_synced const&) const = default;
};

/// A write or sync failed. The replica stops taking part until its owner makes
/// a new one from what the disk holds.
struct journal_failed
{
  core::error mError;
  bool operator==(journal_failed const&) const = default;
};

/// Other instances that may be control replicas have been found; a replica
/// without a group asks them to join.
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
  /// Accepted, now or when the same edit id was first sent.
  kAccepted,
  /// Nothing to change; no revision was made.
  kUnchanged,
  /// Another edit has the base revision, or another label is in force.
  kConflict,
  kInvalid,
  /// Not accepted here; ask the leader.
  kNotLeader,
  /// Not accepted: no majority within the lease, or too many edits waiting.
  kNoMajority,
  /// May or may not be accepted; resend under the same edit id.
  kUnknown,
  /// Not accepted: this replica's disk failed.
  kStorageFailed,
};

/// Returns the name as it stands in answers, such as "accepted".
std::string_view
EditStatusName(edit_status aStatus);

struct edit_answer
{
  edit_status mStatus = edit_status::kUnknown;
  /// The revision that the edit made; on a conflict the winner's; else the
  /// revision in force here.
  core::revision mRevision;
  /// The edit that made mRevision; empty for revision 0 and when it is no
  /// longer known.
  core::edit_id mEdit;
  /// One sentence for people; on kInvalid it names row and field.
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

/// To be appended and synced, in order; answered by journal_synced.
struct append_journal
{
  std::uint64_t mSequence = 0;
  std::vector<journal_record> mRecords;
  bool operator==(append_journal const&) const = default;
};

/// Replaces everything in the journal; answered by journal_synced.
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
  /// Set when no majority confirmed that nothing newer is accepted.
  bool mStale = true;
  std::optional<core::instance_id> mLeader;
  bool operator==(answer_read const&) const = default;
};

/// A revision is accepted. Revisions may be skipped, but never go back. Also
/// sent once after a restart, for what the journal holds.
struct tables_committed
{
  core::revision mRevision;
  std::uint64_t mHash = 0;
  tables::table_set mTables;
  /// The edit that made the revision; empty for revision 0.
  core::edit_id mEdit;
  bool operator==(tables_committed const&) const = default;
};

/// The role or the known leader has changed.
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
