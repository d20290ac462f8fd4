#pragma once

#include "LibControl/Events.h"
#include "LibCore/Time.h"
#include "Violation.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace cranberryfold::random_run {

/// The last events of a run, printed when an invariant is violated.
class event_trace
{
public:
  static constexpr std::size_t kMaximumLines = 80;

  void Add(core::time_point aNow, std::string aText);
  void Print() const;

private:
  std::deque<std::string> mLines;
};

/// Watches a whole group from outside and checks what it promises.
class control_checks
{
public:
  explicit control_checks(event_trace& aTrace)
    : mTrace(aTrace)
  {
  }

  /// Throws a violation when aHolds is false.
  void Check(bool aHolds, std::string const& aText) const;

  /// A replica reports an accepted revision.
  void OnCommitted(core::instance_id const& aReplica,
                   control::tables_committed const& aAction);
  /// A replica's history as it stands; checks every edit id.
  void OnHistory(std::deque<control::edit_record> const& aHistory);
  /// An answer leaves a replica.
  void OnAnswer(core::edit_id const& aSubmitted,
                control::edit_answer const& aAnswer);
  /// A read asked for when mAcknowledged was aAcknowledged is answered.
  void OnRead(core::revision aAcknowledged,
              control::answer_read const& aAnswer);
  void OnLeader(core::instance_id const& aReplica,
                control::term_number aTerm,
                std::map<core::instance_id, core::incarnation> const& aVotes,
                control::replica_group const& aGroup);
  /// A replica appends an entry that admits another.
  void OnAdmission(control::admit_entry const& aEntry);
  /// An observing daemon installs tables.
  void OnInstalled(core::revision aFrom, core::revision aTo) const;

  /// Highest revision of an edit that was answered as accepted.
  core::revision Acknowledged() const { return mAcknowledged; }
  std::size_t AcceptedEdits() const { return mEdits.size(); }
  std::uint64_t HashOf(core::revision aRevision) const;

private:
  event_trace& mTrace;
  std::map<core::revision, std::uint64_t> mHashes;
  std::map<core::revision, core::edit_id> mMakers;
  std::map<core::edit_id, core::revision> mEdits;
  std::map<control::term_number, core::instance_id> mLeaders;
  std::map<core::instance_id, std::set<core::incarnation>> mProposed;
  core::revision mAcknowledged;
};

}
