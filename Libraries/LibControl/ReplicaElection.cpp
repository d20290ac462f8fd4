#include "LibControl/Replica.h"

#include "LibCore/Assert.h"

#include <algorithm>

namespace cranberryfold::control {

void
replica::ResetElectionTimer()
{
  auto const spread =
    static_cast<std::uint64_t>(mOptions.mElectionTimeout.count());
  mElectionDue =
    mNow + mOptions.mElectionTimeout +
    core::duration(static_cast<std::int64_t>(mRandom.Below(spread)));
}

bool
replica::LeaderMayBeAlive() const
{
  if (IsLeader()) {
    return LeaseValid(mNow);
  }
  return mNow < mLastLeaderContact + mOptions.mElectionTimeout;
}

bool
replica::IsUpToDate(log_index aLastIndex, term_number aLastTerm) const
{
  return std::pair(aLastTerm, aLastIndex) >=
         std::pair(mLog.LastTerm(), mLog.LastIndex());
}

bool
replica::MayVote() const
{
  if (IsVoter() || !mOptions.mMechanisms.mIncarnationFence) {
    return true;
  }
  // A learner may already be a voter in the log of a candidate that is more up
  // to date and needs this vote. The candidate decides whether the vote counts.
  auto const member = mApplied.State().mGroup.find(mIdentity.mInstance);
  return member != mApplied.State().mGroup.end() && !member->second.mVoter;
}

void
replica::ObserveTerm(term_number aTerm)
{
  if (aTerm <= mHardState.mTerm) {
    return;
  }
  mHardState = { aTerm, {} };
  mLeader.reset();
  PersistHardState();
  Fire("newer_term");
}

void
replica::AskForPreVotes()
{
  mRole = replica_role::kPreCandidate;
  mLeader.reset();
  ResetElectionTimer();
  mVotes.clear();
  if (!mOptions.mMechanisms.mPreVote) {
    Fire("pre_votes_won");
    return;
  }
  for (auto const& [instance, member] : Group()) {
    if (instance != mIdentity.mInstance) {
      Send(instance, pre_vote_request{ mLog.LastIndex(), mLog.LastTerm() });
    }
  }
  CountVote(mIdentity.mInstance, mIdentity.mIncarnation);
}

void
replica::AskForVotes()
{
  mRole = replica_role::kCandidate;
  mVotes.clear();
  ResetElectionTimer();
  mHardState = { mHardState.mTerm + 1, mIdentity.mInstance };
  PersistHardState();
  mVoteSequence = mLastSequence;
  for (auto const& [instance, member] : Group()) {
    if (instance != mIdentity.mInstance) {
      SendAfterSync(instance,
                    vote_request{ mLog.LastIndex(), mLog.LastTerm() });
    }
  }
}

void
replica::CountVote(core::instance_id const& aVoter,
                   core::incarnation aIncarnation)
{
  if (!IsTrusted(aVoter, aIncarnation)) {
    return;
  }
  mVotes[aVoter] = aIncarnation;
  std::set<core::instance_id> voters;
  for (auto const& [instance, incarnation] : mVotes) {
    voters.insert(instance);
  }
  if (IsMajority(voters)) {
    Fire(mRole == replica_role::kPreCandidate ? "pre_votes_won" : "votes_won");
  }
}

void
replica::OnBody(message const& aMessage, pre_vote_request const& aBody)
{
  if (!MayVote()) {
    return;
  }
  auto const proposedTerm = aMessage.mTerm + 1;
  bool const granted = !LeaderMayBeAlive() && proposedTerm > mHardState.mTerm &&
                       IsUpToDate(aBody.mLastIndex, aBody.mLastTerm);
  SendAfterSync(aMessage.mFrom, pre_vote_response{ proposedTerm, granted });
}

void
replica::OnBody(message const& aMessage, pre_vote_response const& aBody)
{
  ObserveTerm(aMessage.mTerm);
  if (mRole == replica_role::kPreCandidate && aBody.mGranted &&
      aBody.mProposedTerm == mHardState.mTerm + 1) {
    CountVote(aMessage.mFrom, aMessage.mIncarnation);
  }
}

void
replica::OnBody(message const& aMessage, vote_request const& aBody)
{
  // While a leader's lease may be valid, the newer term is not adopted either,
  // since that would depose the leader.
  if (!MayVote() || LeaderMayBeAlive()) {
    return;
  }
  ObserveTerm(aMessage.mTerm);
  bool const canVote =
    mHardState.mVote.IsEmpty() || mHardState.mVote == aMessage.mFrom;
  bool const granted = aMessage.mTerm == mHardState.mTerm && canVote &&
                       IsUpToDate(aBody.mLastIndex, aBody.mLastTerm);
  if (granted) {
    ResetElectionTimer();
  }
  if (granted && mHardState.mVote.IsEmpty()) {
    mHardState.mVote = aMessage.mFrom;
    PersistHardState();
  }
  SendAfterSync(aMessage.mFrom, vote_response{ granted });
}

void
replica::OnBody(message const& aMessage, vote_response const& aBody)
{
  ObserveTerm(aMessage.mTerm);
  if (mRole == replica_role::kCandidate && aBody.mGranted &&
      aMessage.mTerm == mHardState.mTerm) {
    CountVote(aMessage.mFrom, aMessage.mIncarnation);
  }
}

void
replica::StartLeading()
{
  mRole = replica_role::kLeader;
  mLeader = mIdentity.mInstance;
  mLeadingSince = mNow;
  mLogTimeAtStart = mLog.LastIndex() > mLog.Base()
                      ? mLog.At(mLog.LastIndex()).mLogTime
                      : mApplied.State().mLogTime;
  mProgress.clear();
  mPendingEdit.reset();
  RecomputeGroup();
  mTermStartIndex = mLog.LastIndex() + 1;
  AppendAsLeader(term_start{});
}

void
replica::StopLeading()
{
  mLeader.reset();
  if (mPendingEdit) {
    AnswerEdit(mPendingEdit->mSubmission,
               MakeAnswer(edit_status::kUnknown,
                          "the leader stepped down before a majority "
                          "confirmed the edit; resend it"));
    mPendingEdit.reset();
  }
  AnswerWaitingEdits(edit_status::kNotLeader);
  AnswerAllReadsStale();
  mProgress.clear();
  ResetElectionTimer();
}

void
replica::StopTakingPart()
{
  mRole = replica_role::kFailed;
  mLeader.reset();
  mAwaitingSync.clear();
}

void
replica::AnnounceRole()
{
  role_changed const current{ mRole, mHardState.mTerm, mLeader };
  if (mAnnouncedRole != current) {
    mAnnouncedRole = current;
    mActions.emplace_back(current);
  }
}

}
