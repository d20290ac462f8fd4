#include "ControlRun.h"

#include "LibControl/Codec.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::random_run {

namespace {

constexpr core::time_point kNever = core::time_point::max();
constexpr std::size_t kOperators = 3;
constexpr std::size_t kObservers = 4;
constexpr std::size_t kSpares = 2;
constexpr double kFaultChance = 0.02;
constexpr core::duration kOperatorInterval = std::chrono::milliseconds(50);
constexpr core::duration kObserverInterval = std::chrono::seconds(1);
constexpr core::duration kGroupChangeInterval = std::chrono::milliseconds(500);
/// Bound for convergence after the last fault, of the design page.
constexpr core::duration kConvergenceTime = std::chrono::seconds(9);
/// Part of that time in which edits still arrive.
constexpr core::duration kEditingTime = std::chrono::milliseconds(8500);
/// Enough to add or replace each member of the largest group.
constexpr core::duration kGroupFormationTime = std::chrono::seconds(30);
/// Chance that a disk fails during a recovery after it took the new journal.
constexpr double kHalfRewriteChance = 0.3;
/// A replica that heard from nobody for this long must not raise its term.
constexpr core::duration kSilence = std::chrono::seconds(1);

}

std::vector<std::string>
control_run::Mechanisms()
{
  return { "incarnation_fence", "sync_before_answer", "lease_check",
           "edit_ids",          "pre_vote",           "journal_recovery",
           "journal_rewrite" };
}

control_run::control_run(run_options aOptions, std::size_t aInstances)
  : mOptions(std::move(aOptions))
  , mInstances(aInstances)
  , mRandom(mOptions.mSeed)
  , mChecks(mTrace)
  , mNetwork(mRandom)
  , mNotices(mRandom)
{
  Build();
}

void
control_run::Build()
{
  mGroupSize = 3 + mRandom.Below(3);
  auto const nodes = mInstances > 0 ? mInstances : mGroupSize + kSpares;
  mGroupSize = std::min(mGroupSize, nodes);
  mAllowAnyLoss = mRandom.Chance(0.2);
  control::replica_group group;
  for (std::size_t index = 0; index < nodes; ++index) {
    core::instance_id const instance{ "r" + std::to_string(index) };
    mNodes[instance].mInstance = instance;
    if (index < mGroupSize) {
      group[instance] = { { "10.0.0.1", static_cast<std::uint16_t>(index + 1) },
                          {},
                          false };
    }
  }
  for (auto& [instance, entry] : mNodes) {
    entry.mDisk.Reset(group.contains(instance)
                        ? control::InitialState(instance, group)
                        : control::EmptyState(instance, entry.mIncarnation));
    Start(entry);
  }
  for (std::size_t index = 0; index < kObservers; ++index) {
    mObservers.push_back({ { "d" + std::to_string(index) }, {}, 0 });
  }
  mOperators.resize(kOperators);
  for (std::size_t index = 0; index < kOperators; ++index) {
    mTimers.Every(mNow, kOperatorInterval, [this, index](core::time_point) {
      Operate(index);
    });
  }
  if (mInstances > 0) {
    mTimers.Every(mNow, kGroupChangeInterval, [this](core::time_point) {
      MaintainGroup();
    });
  }
  mTimers.Every(
    mNow, kObserverInterval, [this](core::time_point) { Observe(); });
}

void
control_run::Run()
{
  for (std::uint64_t step = 0; step < mOptions.mSteps; ++step) {
    if (mRandom.Chance(kFaultChance)) {
      InjectFault();
    }
    Step();
  }
  EndFaults();
  auto const quietSince = mNow;
  auto const accepted = mChecks.AcceptedEdits();
  while (mNow < quietSince + kConvergenceTime) {
    mStopEditing = mNow >= quietSince + kEditingTime;
    Step();
  }
  NoteStates();
  if (!mTooManyLosses) {
    mChecks.Check(mChecks.AcceptedEdits() > accepted,
                  "no edit was accepted after the faults stopped");
    CheckConverged();
    CheckGroupIsFull();
  }
}

void
control_run::CheckGroupIsFull()
{
  if (mInstances == 0) {
    return;
  }
  auto const until = mNow + kGroupFormationTime;
  while (mNow < until) {
    Step();
  }
  auto const* const leader = LeaderNode();
  mChecks.Check(leader != nullptr, "no leader while the group forms");
  std::size_t voters = 0;
  for (auto const& [instance, member] :
       leader->mReplica->Status(mNow + leader->mClockOffset).mGroup) {
    voters += member.mVoter ? 1 : 0;
  }
  mChecks.Check(voters == std::min(mInstances, control::kMaximumReplicas),
                "the group forms with " + std::to_string(voters) + " voters");
}

void
control_run::Step()
{
  RunUntil(mNow + control::kTickInterval);
  for (auto& [instance, entry] : mNodes) {
    Deliver(entry, control::tick{});
  }
}

void
control_run::RunUntil(core::time_point aUntil)
{
  while (true) {
    auto const next = std::min({ mTimers.NextDue().value_or(kNever),
                                 mNetwork.NextArrival(kNever),
                                 mNotices.NextArrival(kNever) });
    if (next > aUntil) {
      break;
    }
    mNow = std::max(mNow, next);
    mTimers.Advance(mNow);
    for (auto const& delivery : mNetwork.Take(mNow)) {
      auto decoded = core::Attempt(
        [&] { return control::DecodeMessage(delivery.mMessage); });
      mChecks.Check(static_cast<bool>(decoded), "a message does not decode");
      Deliver(mNodes[delivery.mTo],
              control::message_received{ std::move(*decoded) });
    }
    for (auto const& delivery : mNotices.Take(mNow)) {
      auto const number = std::stoul(delivery.mTo.mValue.substr(1));
      auto& daemon = mObservers.at(number);
      if (delivery.mMessage.mRevision > daemon.mRevision) {
        mChecks.OnInstalled(daemon.mRevision, delivery.mMessage.mRevision);
        daemon.mRevision = delivery.mMessage.mRevision;
        daemon.mHash = delivery.mMessage.mHash;
      }
    }
  }
  mNow = aUntil;
}

control::replica_options
control_run::ReplicaOptions() const
{
  control::replica_options options;
  // Small, so that a run meets snapshots often.
  options.mCompactionRecords = 40;
  options.mTrailingEntries = 10;
  options.mMaximumEntriesPerMessage = 8;
  for (auto const& [instance, entry] : mNodes) {
    options.mContacts.push_back(instance);
  }
  auto& mechanisms = options.mMechanisms;
  mechanisms.mIncarnationFence = mOptions.mWithout != "incarnation_fence";
  mechanisms.mSyncBeforeAnswer = mOptions.mWithout != "sync_before_answer";
  mechanisms.mLeaseCheck = mOptions.mWithout != "lease_check";
  mechanisms.mEditIds = mOptions.mWithout != "edit_ids";
  mechanisms.mPreVote = mOptions.mWithout != "pre_vote";
  return options;
}

void
control_run::Start(node& aNode)
{
  aNode.mDiskFullUntil = {};
  aNode.mLastReceived = mNow;
  aNode.mClockOffset =
    core::duration(static_cast<std::int64_t>(mRandom.Below(10000000000)));
  StartReplica(aNode, LoadDisk(aNode));
}

control::recovered_state
control_run::LoadDisk(node& aNode)
{
  auto outcome = aNode.mDisk.Load();
  if (!outcome.mState) {
    aNode.mIncarnation.mValue += 1;
    Note(aNode.mInstance.mValue + " starts with a lost disk as incarnation " +
         std::to_string(aNode.mIncarnation.mValue) + ": " +
         outcome.mLostReason);
    aNode.mDisk.Reset(control::EmptyState(aNode.mInstance, aNode.mIncarnation));
    outcome = aNode.mDisk.Load();
  } else {
    Note(aNode.mInstance.mValue + " starts");
  }
  mChecks.Check(outcome.mState->mIdentity.mIncarnation == aNode.mIncarnation,
                "a disk came back with another incarnation");
  return std::move(*outcome.mState);
}

void
control_run::StartReplica(node& aNode, control::recovered_state aState)
{
  ++aNode.mProcess;
  aNode.mTerm = aState.mHardState.mTerm;
  aNode.mRevision = {};
  aNode.mLeads = false;
  aNode.mJournalFailed = false;
  auto created = core::Attempt([&] {
    return control::replica::Create(
      ReplicaOptions(), std::move(aState), mRandom.Below(UINT64_MAX));
  });
  mChecks.Check(static_cast<bool>(created), created.mError.mDetail);
  aNode.mReplica = std::move(*created);
  Deliver(aNode, control::tick{});
}

void
control_run::Stop(node& aNode)
{
  aNode.mReplica.reset();
  aNode.mWhileFrozen.clear();
  aNode.mFrozenUntil = {};
  if (aNode.mDisk.LosePower(mRandom)) {
    ++mFaults["torn_write"];
  }
}

void
control_run::Deliver(node& aNode, control::event const& aEvent)
{
  if (!aNode.mReplica) {
    return;
  }
  if (mNow < aNode.mFrozenUntil) {
    if (!std::holds_alternative<control::tick>(aEvent)) {
      aNode.mWhileFrozen.push_back(aEvent);
    }
    return;
  }
  auto events = std::exchange(aNode.mWhileFrozen, {});
  events.push_back(aEvent);
  for (auto const& event : events) {
    if (std::holds_alternative<control::message_received>(event)) {
      aNode.mLastReceived = mNow;
    }
    auto const actions =
      aNode.mReplica->Handle(mNow + aNode.mClockOffset, event);
    mChecks.OnHistory(aNode.mReplica->History());
    NoteGroup(aNode);
    for (auto const& action : actions) {
      std::visit([&](auto const& aTyped) { Perform(aNode, aTyped); }, action);
    }
  }
}

void
control_run::Perform(node& aNode, control::send_message const& aAction)
{
  // Some messages arrive long after their sender was replaced.
  bool const late = !mQuiet && mRandom.Chance(0.01);
  auto const delay =
    late ? core::duration(static_cast<std::int64_t>(mRandom.Below(8000000)))
         : core::duration{};
  if (mNodes.contains(aAction.mTo)) {
    mNetwork.Send(mNow,
                  aNode.mInstance,
                  aAction.mTo,
                  control::EncodeMessage(aAction.mMessage),
                  delay);
  }
}

void
control_run::Perform(node& aNode, control::append_journal const& aAction)
{
  for (auto const& record : aAction.mRecords) {
    auto const* const entry = std::get_if<control::log_entry>(&record);
    auto const* const admitted =
      entry == nullptr ? nullptr
                       : std::get_if<control::admit_entry>(&entry->mPayload);
    if (admitted != nullptr) {
      mChecks.OnAdmission(*admitted);
      mAdmissions += aNode.mLeads ? 1 : 0;
    }
  }
  aNode.mDisk.Enqueue(aAction);
  ScheduleSync(aNode, aAction.mSequence);
}

void
control_run::Perform(node& aNode, control::write_snapshot const& aAction)
{
  aNode.mDisk.Enqueue(aAction);
  ScheduleSync(aNode, aAction.mSequence);
}

void
control_run::ScheduleSync(node& aNode, std::uint64_t aSequence)
{
  bool const slow = !mQuiet && mRandom.Chance(0.02);
  auto const delay = 1000 + mRandom.Below(slow ? 1000000 : 8000);
  auto const process = aNode.mProcess;
  mTimers.Once(mNow + core::duration(static_cast<std::int64_t>(delay)),
               [this, &aNode, aSequence, process](core::time_point) {
                 if (!aNode.mReplica || aNode.mProcess != process) {
                   return;
                 }
                 if (mNow < aNode.mDiskFullUntil) {
                   FailJournal(aNode);
                   return;
                 }
                 aNode.mDisk.SyncUpTo(aSequence);
                 Deliver(aNode, control::journal_synced{ aSequence });
               });
}

void
control_run::FailJournal(node& aNode)
{
  // The later writes of this replica fail too and report nothing new.
  ++aNode.mProcess;
  aNode.mJournalFailed = true;
  aNode.mDisk.FailWrites(mRandom);
  Deliver(
    aNode,
    control::journal_failed{ { core::error_code::kStorage, "sync_file" } });
  if (mOptions.mWithout != "journal_recovery") {
    RecoverLater(aNode, control::kFirstRecoveryPause);
  }
}

void
control_run::RecoverLater(node& aNode, core::duration aPause)
{
  auto const process = aNode.mProcess;
  mTimers.Once(mNow + aPause, [this, &aNode, aPause, process](auto) {
    if (!aNode.mReplica || aNode.mProcess != process) {
      return;
    }
    if (mNow < aNode.mFrozenUntil || !Recover(aNode)) {
      RecoverLater(aNode, control::NextRecoveryPause(aPause));
    }
  });
}

bool
control_run::Recover(node& aNode)
{
  // What a frozen process has not handled yet belongs to the old replica.
  Deliver(aNode, control::tick{});
  if (mNow < aNode.mDiskFullUntil) {
    ++mFaults["failed_recovery"];
    auto const outcome = aNode.mDisk.Load();
    if (outcome.mState && mRandom.Chance(kHalfRewriteChance)) {
      aNode.mDisk.FailRewrite(*outcome.mState);
    }
    return false;
  }
  auto state = LoadDisk(aNode);
  ++mFaults["recovery"];
  if (mOptions.mWithout != "journal_rewrite") {
    aNode.mDisk.Rewrite(state);
  }
  StartReplica(aNode, std::move(state));
  return true;
}

void
control_run::Perform(node& aNode, control::answer_edit const& aAction)
{
  auto const& [submitter, id] = mSubmissions.at(aAction.mSubmission);
  auto const& answer = aAction.mAnswer;
  Note(aNode.mInstance.mValue + " answers " + id.mValue + " " +
       std::string(control::EditStatusName(answer.mStatus)) + " " +
       std::to_string(answer.mRevision.mValue) + " " + answer.mReason);
  mChecks.OnAnswer(id, answer);
  if (mPowerLossArmed && answer.mStatus == control::edit_status::kAccepted) {
    mTimers.Once(mNow, [this](core::time_point) {
      if (mPowerLossArmed) {
        LosePower();
      }
    });
  }
  if (!mQuiet && mRandom.Chance(0.1)) {
    ++mFaults["lost_answer"];
    return;
  }
  auto const number = submitter;
  auto const submission = aAction.mSubmission;
  mTimers.Once(mNow + std::chrono::milliseconds(1),
               [this, number, submission, answer](core::time_point) {
                 if (mOperators.at(number).mSubmission == submission) {
                   OnAnswer(number, answer);
                 }
               });
}

void
control_run::Perform(node& aNode, control::answer_read const& aAction)
{
  Note(aNode.mInstance.mValue + " answers a " +
       (aAction.mStale ? "stale" : "current") + " read with revision " +
       std::to_string(aAction.mRevision.mValue));
  auto const read = mReads.extract(aAction.mRead);
  mChecks.Check(!read.empty(), "a read was answered twice");
  mChecks.OnRead(read.mapped().mAcknowledged, aAction);
  auto& reader = mOperators.at(read.mapped().mOperator);
  reader.mKnown = std::max(reader.mKnown, aAction.mRevision);
}

void
control_run::Perform(node& aNode, control::tables_committed const& aAction)
{
  Note(aNode.mInstance.mValue + " commits revision " +
       std::to_string(aAction.mRevision.mValue) + " by " +
       aAction.mEdit.mValue);
  mChecks.Check(aAction.mRevision >= aNode.mRevision,
                aNode.mInstance.mValue + " goes back to revision " +
                  std::to_string(aAction.mRevision.mValue));
  mChecks.OnCommitted(aNode.mInstance, aAction);
  aNode.mRevision = aAction.mRevision;
  for (auto const& daemon : mObservers) {
    mNotices.Send(mNow,
                  aNode.mInstance,
                  daemon.mInstance,
                  { aAction.mRevision, aAction.mHash });
  }
}

void
control_run::Perform(node& aNode, control::role_changed const& aAction)
{
  Note(aNode.mInstance.mValue + " is " +
       std::string(control::ReplicaRoleName(aAction.mRole)) + " in term " +
       std::to_string(aAction.mTerm) + ", leader " +
       (aAction.mLeader ? aAction.mLeader->mValue : "unknown"));
  bool const raised = aAction.mTerm > aNode.mTerm;
  mChecks.Check(!raised || mNow <= aNode.mLastReceived + kSilence,
                aNode.mInstance.mValue +
                  " raised its term without hearing from anyone");
  aNode.mTerm = aAction.mTerm;
  bool const leads = aAction.mRole == control::replica_role::kLeader;
  if (leads && !aNode.mLeads) {
    ++mElections;
    mChecks.OnLeader(aNode.mInstance,
                     aAction.mTerm,
                     aNode.mReplica->CountedVotes(),
                     aNode.mReplica->Status(mNow + aNode.mClockOffset).mGroup);
  }
  aNode.mLeads = leads;
}

void
control_run::NoteGroup(node& aNode)
{
  auto group = aNode.mReplica->Status(mNow + aNode.mClockOffset).mGroup;
  if (group == aNode.mGroup) {
    return;
  }
  aNode.mGroup = std::move(group);
  std::string text;
  for (auto const& [instance, member] : aNode.mGroup) {
    text += " " + instance.mValue + ":" +
            std::to_string(member.mIncarnation.mValue) +
            (member.mVoter ? "" : "(learner)");
  }
  Note(aNode.mInstance.mValue + " sees the group" + text);
}

void
control_run::NoteStates()
{
  for (auto const& [instance, entry] : mNodes) {
    auto const status = entry.mReplica->Status(mNow + entry.mClockOffset);
    Note(instance.mValue + " ends as " +
         std::string(control::ReplicaRoleName(status.mRole)) + " in term " +
         std::to_string(status.mTerm) + ", last index " +
         std::to_string(status.mLastIndex) + ", committed " +
         std::to_string(status.mCommitted) + ", incarnation " +
         std::to_string(status.mIdentity.mIncarnation.mValue) +
         (status.mGroupChanging ? ", group changing" : ""));
  }
}

void
control_run::Note(std::string aText)
{
  mTrace.Add(mNow, std::move(aText));
}

control_run::node&
control_run::AnyNode()
{
  auto entry = mNodes.begin();
  std::advance(entry,
               static_cast<std::ptrdiff_t>(mRandom.Below(mNodes.size())));
  return entry->second;
}

control_run::node const*
control_run::LeaderNode() const
{
  node const* leader = nullptr;
  for (auto const& [instance, entry] : mNodes) {
    if (entry.mReplica && entry.mLeads &&
        (leader == nullptr || entry.mTerm > leader->mTerm)) {
      leader = &entry;
    }
  }
  return leader;
}

std::string
control_run::Summary() const
{
  std::string text =
    "seed=" + std::to_string(mOptions.mSeed) +
    " steps=" + std::to_string(mOptions.mSteps) +
    (mOptions.mWithout.empty() ? "" : " without=" + mOptions.mWithout) +
    " replicas=" + std::to_string(mGroupSize);
  for (auto const& [kind, count] : mFaults) {
    text += " " + kind + "=" + std::to_string(count);
  }
  auto const& counters = mNetwork.Counters();
  text += " dropped=" + std::to_string(counters.mDropped) +
          " duplicated=" + std::to_string(counters.mDuplicated) +
          " cut=" + std::to_string(counters.mCut) +
          " messages=" + std::to_string(counters.mSent);
  text += " elections=" + std::to_string(mElections) +
          " admissions=" + std::to_string(mAdmissions);
  if (mInstances > 0) {
    text += " group_changes=" + std::to_string(mGroupChanges);
  }
  return text + " accepted=" + std::to_string(mChecks.AcceptedEdits()) +
         " acknowledged=" + std::to_string(mChecks.Acknowledged().mValue) +
         (mTooManyLosses ? " convergence=not_checked" : "");
}

}
