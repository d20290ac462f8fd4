#pragma once

#include "Commands.h"
#include "ControlChecks.h"
#include "ControlDisk.h"
#include "FakeNetwork.h"

#include "LibControl/Replica.h"
#include "LibCore/TimerService.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberryfold::random_run {

/// A group of control replicas, observing daemons and operators on virtual
/// time, with a fake network and fake disks. Ends with a quiet phase in which
/// everything has to converge.
class control_run
{
public:
  /// aInstances is the number of instances of which the group forms by itself,
  /// or 0 for a group that only operators change.
  explicit control_run(run_options aOptions, std::size_t aInstances = 0);

  /// Runs to the end. Throws a violation when an invariant does not hold.
  void Run();

  event_trace const& Trace() const { return mTrace; }
  std::string Summary() const;

  /// Names of the mechanisms that can be switched off.
  static std::vector<std::string> Mechanisms();

private:
  struct node
  {
    core::instance_id mInstance;
    control_disk mDisk;
    std::unique_ptr<control::replica> mReplica;
    /// Counts starts, failures of the journal and recoveries, so that events of
    /// an earlier replica are dropped.
    std::uint64_t mProcess = 0;
    core::incarnation mIncarnation{ 1 };
    /// Difference of this machine's clock to the virtual time.
    core::duration mClockOffset{};
    core::time_point mFrozenUntil{};
    core::time_point mLastReceived{};
    std::vector<control::event> mWhileFrozen;
    core::revision mRevision;
    control::term_number mTerm = 0;
    control::replica_group mGroup;
    bool mLeads = false;
    core::time_point mDiskFullUntil{};
    /// A write failed and the replica was not replaced yet. It may not have
    /// handled the failure, if the machine is frozen.
    bool mJournalFailed = false;
  };

  struct observer
  {
    core::instance_id mInstance;
    core::revision mRevision;
    std::uint64_t mHash = 0;
  };

  struct table_notice
  {
    core::revision mRevision;
    std::uint64_t mHash = 0;
  };

  struct operator_state
  {
    core::revision mKnown;
    /// The edit that has no final answer yet.
    std::optional<tables::edit> mEdit;
    std::optional<control::submission_id> mSubmission;
    core::instance_id mTarget;
    core::time_point mGiveUp{};
    core::time_point mNextEdit{};
  };

  struct pending_read
  {
    std::size_t mOperator = 0;
    core::revision mAcknowledged;
  };

  // Replicas (ControlRun.cpp).
  void Build();
  void Step();
  void RunUntil(core::time_point aUntil);
  void Start(node& aNode);
  /// Reads the disk of a node. A lost one is replaced by an empty one under a
  /// new incarnation.
  control::recovered_state LoadDisk(node& aNode);
  void StartReplica(node& aNode, control::recovered_state aState);
  void FailJournal(node& aNode);
  void RecoverLater(node& aNode, core::duration aPause);
  /// Replaces a replica whose journal failed, as the daemon does. Returns false
  /// if the disk still fails.
  bool Recover(node& aNode);
  void Stop(node& aNode);
  void Deliver(node& aNode, control::event const& aEvent);
  void Perform(node& aNode, control::send_message const& aAction);
  void Perform(node& aNode, control::append_journal const& aAction);
  void Perform(node& aNode, control::write_snapshot const& aAction);
  void Perform(node& aNode, control::answer_edit const& aAction);
  void Perform(node& aNode, control::answer_read const& aAction);
  void Perform(node& aNode, control::tables_committed const& aAction);
  void Perform(node& aNode, control::role_changed const& aAction);
  void ScheduleSync(node& aNode, std::uint64_t aSequence);
  void NoteGroup(node& aNode);
  /// Adds how each replica ends to the trace.
  void NoteStates();
  void Note(std::string aText);
  control::replica_options ReplicaOptions() const;

  // Faults (ControlFaults.cpp).
  void InjectFault();
  void ChangeNetwork();
  void CutLink();
  void CutOff();
  void Freeze();
  void Kill();
  void KillMany();
  void LosePower();
  void LoseDisk(bool aDamage);
  void FillDisk();
  void EndFaults();
  void RestartLater(node& aNode);
  bool CanLoseDisk(node const& aNode) const;
  void CheckConverged();
  /// Checks that a group that forms by itself reaches its full size.
  void CheckGroupIsFull();

  // Operators and observers (ControlOperators.cpp).
  /// Submits the change that the leader proposes for its group, if any.
  void MaintainGroup();
  void Operate(std::size_t aOperator);
  void MakeEdit(operator_state& aOperator);
  tables::edit RandomEdit(core::revision aBase);
  tables::change RandomChange();
  std::optional<tables::change> RandomGroupChange();
  void Submit(std::size_t aOperator);
  void Read(std::size_t aOperator);
  void FinishEdit(operator_state& aOperator);
  void OnAnswer(std::size_t aOperator, control::edit_answer const& aAnswer);
  void Observe();

  node& AnyNode();
  node const* LeaderNode() const;

  run_options mOptions;
  std::size_t mInstances = 0;
  core::random_source mRandom;
  event_trace mTrace;
  control_checks mChecks;
  core::timer_service mTimers;
  fake_network<core::instance_id, std::string> mNetwork;
  fake_network<core::instance_id, table_notice> mNotices;
  std::map<core::instance_id, node> mNodes;
  std::vector<observer> mObservers;
  std::vector<operator_state> mOperators;
  std::map<control::submission_id, std::pair<std::size_t, core::edit_id>>
    mSubmissions;
  std::map<control::read_id, pending_read> mReads;
  std::map<std::string, std::uint64_t> mFaults;
  std::uint64_t mElections = 0;
  /// Replicas that a leader admitted: added ones and ones under repair.
  std::uint64_t mAdmissions = 0;
  std::uint64_t mGroupChanges = 0;
  std::uint64_t mLastNumber = 0;
  std::size_t mGroupSize = 0;
  core::time_point mNow{};
  bool mQuiet = false;
  bool mStopEditing = false;
  /// Disks were lost faster than the group could repair them; edits may stop.
  bool mTooManyLosses = false;
  bool mAllowAnyLoss = false;
  /// The next accepted edit is followed by a power loss everywhere.
  bool mPowerLossArmed = false;
};

}
