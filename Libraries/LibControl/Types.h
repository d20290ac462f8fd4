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

/// Replicated edit log: consensus among the control replicas, its journal and
/// the recovery from a lost disk.
namespace cranberryfold::control {

/// Position in the log; index 1 stands for the initial state of a group, the
/// first entry has index 2.
using log_index = std::uint64_t;
/// Number of an election; each term has at most one leader.
using term_number = std::uint64_t;

/// One replica as the group knows it.
struct group_member
{
  core::address mPeerAddress;
  /// The life of the replica's disk that votes and acknowledges; 0 until it is
  /// admitted for the first time.
  core::incarnation mIncarnation;
  /// False for a learner: it receives the log but does not vote.
  bool mVoter = false;

  bool operator==(group_member const&) const = default;
};

using replica_group = std::map<core::instance_id, group_member>;

/// First entry of a leader; commits what earlier terms left behind.
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
/// caught up, or a replica that lost its disk and has been repaired.
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
  /// Time that leaders have spent leading since revision 0. It never runs
  /// faster than real time, so that ages measured with it are lower bounds.
  core::duration mLogTime{};
  entry_payload mPayload;

  bool operator==(log_entry const&) const = default;
};

/// One accepted edit, kept for `tables history` and for resent edits.
struct edit_record
{
  core::revision mRevision;
  core::edit_id mId;
  core::duration mLogTime{};
  std::uint32_t mChangeCount = 0;
  /// Made by the control leader, not by an operator.
  bool mIsSystem = false;

  bool operator==(edit_record const&) const = default;
};

/// The outcome of all committed entries up to an index.
struct snapshot
{
  log_index mIndex = 0;
  term_number mTerm = 0;
  core::duration mLogTime{};
  core::revision mRevision;
  /// The latest revision that an operator's edit made.
  core::revision mOperatorRevision;
  tables::table_set mTables;
  replica_group mGroup;
  /// Oldest first.
  std::deque<edit_record> mHistory;

  bool operator==(snapshot const&) const = default;
};

/// Term and vote, which a restart must not forget.
struct hard_state
{
  term_number mTerm = 0;
  /// Empty when no vote was cast in this term.
  core::instance_id mVote;

  bool operator==(hard_state const&) const = default;
};

/// States that all entries up to the index are committed.
struct commit_mark
{
  log_index mIndex = 0;
  bool operator==(commit_mark const&) const = default;
};

/// A log_entry record replaces all earlier records of its index and beyond.
using journal_record = std::variant<hard_state, log_entry, commit_mark>;

/// Which replica the files of a data directory belong to.
struct replica_identity
{
  core::instance_id mInstance;
  core::incarnation mIncarnation;

  bool operator==(replica_identity const&) const = default;
};

/// What a replica keeps over a restart.
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

/// Returns the state of a replica of a new group, in which all replicas start
/// with the same aGroup. Used once in the life of a group.
recovered_state
InitialState(core::instance_id const& aInstance, replica_group const& aGroup);

/// Returns the state of a replica that lost its disk or is new. aIncarnation
/// must be higher than every earlier one of this instance.
recovered_state
EmptyState(core::instance_id const& aInstance, core::incarnation aIncarnation);

/// Applies one record that was read back from a journal. Returns false when the
/// record does not fit, which means that the journal is damaged.
bool
ReplayRecord(recovered_state& aState, journal_record const& aRecord);

}
