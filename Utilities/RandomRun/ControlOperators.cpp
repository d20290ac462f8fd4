#include "ControlRun.h"

#include "LibControl/GroupChangePolicy.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryfold::random_run {

namespace {

constexpr core::duration kAnswerTime = std::chrono::seconds(1);
constexpr std::uint64_t kRows = 6;
constexpr std::size_t kFewestVoters = 3;

}

void
control_run::Operate(std::size_t aOperator)
{
  auto& operating = mOperators.at(aOperator);
  if (mRandom.Chance(0.05)) {
    Read(aOperator);
  }
  if (operating.mEdit) {
    if (mNow >= operating.mGiveUp) {
      // The answer may be lost: the same edit id is sent again, sometimes on
      // the revision that the operator has seen since.
      operating.mTarget = AnyNode().mInstance;
      if (mRandom.Chance(0.3)) {
        operating.mEdit->mBase =
          std::max(operating.mEdit->mBase, operating.mKnown);
      }
      Submit(aOperator);
    }
    return;
  }
  if (mNow >= operating.mNextEdit && !mStopEditing) {
    MakeEdit(operating);
    Submit(aOperator);
  }
}

void
control_run::MakeEdit(operator_state& aOperator)
{
  aOperator.mEdit = RandomEdit(aOperator.mKnown);
  // One operator changes the group, so that it cannot shrink by racing edits.
  if (&aOperator == &mOperators.front() && !mQuiet && mRandom.Chance(0.06)) {
    if (auto change = RandomGroupChange()) {
      aOperator.mEdit->mChanges = { *change };
    }
  }
  auto const* const leader = LeaderNode();
  bool const known = leader != nullptr && mRandom.Chance(0.8);
  aOperator.mTarget = known ? leader->mInstance : AnyNode().mInstance;
}

tables::edit
control_run::RandomEdit(core::revision aBase)
{
  tables::edit edit{ { "e" + std::to_string(++mLastNumber) }, aBase, {} };
  edit.mChanges.push_back(RandomChange());
  return edit;
}

tables::change
control_run::RandomChange()
{
  auto const row = "pool" + std::to_string(mRandom.Below(kRows));
  if (mRandom.Chance(0.15)) {
    return tables::remove_pool{ row };
  }
  tables::pool pool;
  pool.mName = row;
  pool.mService = { "service" };
  pool.mQueueLimit = static_cast<std::uint32_t>(mRandom.Below(1000));
  return tables::put_pool{ pool };
}

std::optional<tables::change>
control_run::RandomGroupChange()
{
  auto const* const leader = LeaderNode();
  if (leader == nullptr) {
    return std::nullopt;
  }
  auto const group =
    leader->mReplica->Status(mNow + leader->mClockOffset).mGroup;
  auto const chosen = AnyNode().mInstance;
  if (!group.contains(chosen)) {
    return tables::add_replica{ chosen, { "10.0.0.2", 1 } };
  }
  if (group.size() <= kFewestVoters) {
    return std::nullopt;
  }
  return tables::remove_replica{ chosen };
}

void
control_run::MaintainGroup()
{
  auto const* const leader = LeaderNode();
  if (leader == nullptr || mNow < leader->mFrozenUntil) {
    return;
  }
  auto const status = leader->mReplica->Status(mNow + leader->mClockOffset);
  std::map<core::instance_id, core::address> live;
  for (auto const& [instance, entry] : mNodes) {
    if (entry.mReplica) {
      live.emplace(instance, core::address{ "10.0.0.1", 1 });
    }
  }
  auto change = control::ProposeGroupChange(status, live);
  if (!change || !status.mLeaseValid) {
    return;
  }
  control::submission_id const submission{ ++mLastNumber };
  tables::edit const edit{ { "system" + std::to_string(mLastNumber) },
                           status.mRevision,
                           { std::move(*change) } };
  // No operator waits for the answer.
  mSubmissions[submission] = { 0, edit.mId };
  ++mGroupChanges;
  Deliver(mNodes[leader->mInstance],
          control::edit_submitted{ submission, edit, std::nullopt });
}

void
control_run::Submit(std::size_t aOperator)
{
  auto& operating = mOperators.at(aOperator);
  control::submission_id const submission{ ++mLastNumber };
  operating.mSubmission = submission;
  operating.mGiveUp = mNow + kAnswerTime;
  mSubmissions[submission] = { aOperator, operating.mEdit->mId };
  if (!mQuiet && mRandom.Chance(0.1)) {
    ++mFaults["lost_edit"];
    return;
  }
  auto const edit = *operating.mEdit;
  auto const target = operating.mTarget;
  mTimers.Once(mNow + std::chrono::milliseconds(1),
               [this, submission, edit, target](core::time_point) {
                 Deliver(
                   mNodes[target],
                   control::edit_submitted{ submission, edit, std::nullopt });
               });
}

void
control_run::OnAnswer(std::size_t aOperator,
                      control::edit_answer const& aAnswer)
{
  auto& operating = mOperators.at(aOperator);
  operating.mSubmission.reset();
  switch (aAnswer.mStatus) {
    case control::edit_status::kAccepted:
    case control::edit_status::kUnchanged:
    case control::edit_status::kConflict:
    case control::edit_status::kInvalid:
      operating.mKnown = std::max(operating.mKnown, aAnswer.mRevision);
      FinishEdit(operating);
      break;
    case control::edit_status::kNotLeader:
      if (aAnswer.mLeader) {
        operating.mTarget = *aAnswer.mLeader;
        Submit(aOperator);
      }
      break;
    default:
      // Sent again when mGiveUp is reached.
      break;
  }
}

void
control_run::FinishEdit(operator_state& aOperator)
{
  aOperator.mEdit.reset();
  aOperator.mNextEdit =
    mNow + core::duration(static_cast<std::int64_t>(mRandom.Below(400000)));
}

void
control_run::Read(std::size_t aOperator)
{
  control::read_id const read{ ++mLastNumber };
  auto const* const leader = LeaderNode();
  bool const known = leader != nullptr && mRandom.Chance(0.5);
  auto const target = known ? leader->mInstance : AnyNode().mInstance;
  mReads[read] = { aOperator, mChecks.Acknowledged() };
  Deliver(mNodes[target], control::read_requested{ read, true });
}

void
control_run::Observe()
{
  for (auto& daemon : mObservers) {
    auto const& source = AnyNode();
    if (source.mReplica && source.mRevision > daemon.mRevision) {
      mNotices.Send(mNow,
                    source.mInstance,
                    daemon.mInstance,
                    { source.mRevision, mChecks.HashOf(source.mRevision) });
    }
  }
}

}
