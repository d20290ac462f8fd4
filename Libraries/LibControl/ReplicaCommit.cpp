#include "LibControl/Replica.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace cranberryfold::control {

namespace {

/// Returns the largest value that a majority of the voters has reached; aValues
/// has one value for each voter.
template<class Value>
Value
MajorityValue(std::vector<Value> aValues)
{
  std::sort(aValues.begin(), aValues.end(), std::greater<>());
  return aValues.at(aValues.size() / 2);
}

}

bool
replica::IsMajority(std::set<core::instance_id> const& aInstances) const
{
  std::size_t voters = 0;
  std::size_t counted = 0;
  for (auto const& [instance, member] : Group()) {
    voters += member.mVoter ? 1 : 0;
    counted += member.mVoter && aInstances.contains(instance) ? 1 : 0;
  }
  return counted > voters / 2;
}

core::time_point
replica::MajorityAcknowledged() const
{
  std::vector<core::time_point> times;
  for (auto const& [instance, member] : Group()) {
    if (!member.mVoter) {
      continue;
    }
    auto const peer = mProgress.find(instance);
    bool const isTrusted =
      peer != mProgress.end() && IsTrusted(instance, peer->second.mIncarnation);
    auto const acknowledged =
      isTrusted ? peer->second.mAcknowledged : core::time_point::min();
    times.push_back(instance == mIdentity.mInstance ? mNow : acknowledged);
  }
  return times.empty() ? core::time_point::min()
                       : MajorityValue(std::move(times));
}

log_index
replica::MajorityMatch() const
{
  std::vector<log_index> matches;
  for (auto const& [instance, member] : Group()) {
    if (!member.mVoter) {
      continue;
    }
    auto const peer = mProgress.find(instance);
    bool const isTrusted =
      peer != mProgress.end() && IsTrusted(instance, peer->second.mIncarnation);
    auto const match = isTrusted ? peer->second.mMatch : 0;
    matches.push_back(instance == mIdentity.mInstance ? mDurableIndex : match);
  }
  return matches.empty() ? 0 : MajorityValue(std::move(matches));
}

bool
replica::LeaseValid(core::time_point aNow) const
{
  if (!mOptions.mMechanisms.mLeaseCheck) {
    return true;
  }
  auto const acknowledged = MajorityAcknowledged();
  return acknowledged != core::time_point::min() &&
         aNow < acknowledged + mOptions.mLease;
}

void
replica::AdvanceCommit()
{
  // An edit is answered only once the leader's own disk holds it too, even if a
  // majority without the leader has it.
  auto const index = std::min(MajorityMatch(), mDurableIndex);
  if (!IsLeader() || index <= mCommitted ||
      mLog.TermAt(index) != mHardState.mTerm) {
    return;
  }
  CommitUpTo(index);
  if (IsLeader()) {
    Broadcast();
  }
}

void
replica::CommitUpTo(log_index aIndex)
{
  if (aIndex <= mCommitted) {
    return;
  }
  bool groupChanged = false;
  while (mCommitted < aIndex) {
    auto const& entry = mLog.At(++mCommitted);
    groupChanged = groupChanged || ChangesGroup(entry.mPayload);
    mApplied.Apply(entry);
  }
  AnnounceTables();
  AnswerCommittedEdit();
  if (groupChanged) {
    // After a restart without a leader, a replica must still know which
    // incarnations are admitted. Otherwise it could not count their votes.
    Persist({});
    RecomputeGroup();
    UpdateMembership();
  }
  Compact();
  if (IsLeader()) {
    AnswerConfirmedReads();
    ProcessWaitingEdits();
  }
}

}
