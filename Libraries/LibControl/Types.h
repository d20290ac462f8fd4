#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibTables/Tables.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Replicated log of configuration edits: Raft consensus among the control
/// replicas, the journal on disk and the recovery of a replica that lost its
/// disk.
namespace cranberryfold::control {

/// Position in the log. Index 1 is the initial state of a group; the first
/// entry has index 2.
using log_index = std::uint64_t;
/// Raft term: each election starts a new one, and it has at most one leader.
using term_number = std::uint64_t;

/// Entry of one replica in the group configuration.
struct group_member
{
  core::address mPeerAddress;
  /// The incarnation whose votes and acknowledgements count. A replica that
  /// loses its disk gets a higher one; 0 until the first admission.
  core::incarnation mIncarnation;
  /// False for a learner: it receives the log but does not vote.
  bool mVoter = false;

  bool operator==(group_member const&) const = default;
};

using replica_group = std::map<core::instance_id, group_member>;

/// First entry of a leader's term. Committing it also commits the entries of
/// earlier terms, which cannot be committed by counting acknowledgements.
struct term_start
{
  bool operator==(term_start const&) const = default;
};

struct edit_entry
{
  tables::edit mEdit;
  bool operator==(edit_entry const&) const = default;
};

/// Makes a member a voter under the given incarnation: a learner that has
/// caught up, or a replica that lost its disk and has received the log again.
struct admit_entry
{
  core::instance_id mInstance;
  core::incarnation mIncarnation;
  bool operator==(admit_entry const&) const = default;
};

using entry_payload = std::variant<term_start, edit_entry, admit_entry>;

struct log_entry
{
  log_index mIndex = 0;
  term_number mTerm = 0;
  /// Total time during which the group had a leader, since revision 0. It never
  /// advances faster than real time, so ages computed from it are lower bounds.
  core::duration mLogTime{};
  entry_payload mPayload;

  bool operator==(log_entry const&) const = default;
};

/// One accepted edit, kept to list the history (`tables history`) and to answer
/// resent edits.
struct edit_record
{
  core::revision mRevision;
  core::edit_id mId;
  core::duration mLogTime{};
  std::uint32_t mChangeCount = 0;
  /// Whether the control leader made the edit, not an operator.
  bool mIsSystem = false;

  bool operator==(edit_record const&) const = default;
};

/// State after applying all committed entries up to an index.
struct snapshot
{
  log_index mIndex = 0;
  term_number mTerm = 0;
  core::duration mLogTime{};
  core::revision mRevision;
  /// Revision of the latest edit by an operator.
  core::revision mOperatorRevision;
  tables::table_set mTables;
  replica_group mGroup;
  /// Oldest first.
  std::deque<edit_record> mHistory;

  bool operator==(snapshot const&) const = default;
};

/// Term and vote. Raft requires both to survive a restart, so that a replica
/// votes at most once in a term.
struct hard_state
{
  term_number mTerm = 0;
  /// Empty when no vote was cast in this term.
  core::instance_id mVote;

  bool operator==(hard_state const&) const = default;
};

/// Journal record: all entries up to the index are committed.
struct commit_mark
{
  log_index mIndex = 0;
  bool operator==(commit_mark const&) const = default;
};

/// A log_entry record replaces all earlier entries from its index on.
using journal_record = std::variant<hard_state, log_entry, commit_mark>;

/// Identifies the replica that the files of a data directory belong to.
struct replica_identity
{
  core::instance_id mInstance;
  core::incarnation mIncarnation;

  bool operator==(replica_identity const&) const = default;
};

/// State of a replica that survives a restart.
struct recovered_state
{
  replica_identity mIdentity;
  hard_state mHardState;
  snapshot mSnapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<log_entry> mEntries;
  log_index mCommitted = 0;

  bool operator==(recovered_state const&) const = default;
};

/// Returns the state of a replica of a new group. All replicas must start with
/// the same aGroup; used only once for each group, to bootstrap it.
recovered_state
InitialState(core::instance_id const& aInstance, replica_group const& aGroup);

/// Returns the state of a replica that is new or lost its disk. aIncarnation
/// must be higher than every earlier one of this instance.
recovered_state
EmptyState(core::instance_id const& aInstance, core::incarnation aIncarnation);

/// Applies one record that was read from a journal. Returns false if the record
/// is not consistent with aState, which means that the journal is damaged.
bool
ReplayRecord(recovered_state& aState, journal_record const& aRecord);

}
