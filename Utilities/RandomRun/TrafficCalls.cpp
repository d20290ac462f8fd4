#include "TrafficWorld.h"

#include <algorithm>

/// Callers, root daemons and upstreams of the fake world.
namespace cranberryfold::random_run {

namespace {

constexpr core::duration kClaimWait = std::chrono::milliseconds(2500);
constexpr core::duration kCallTimeout = std::chrono::milliseconds(2000);
constexpr core::duration kCallerTimeout = std::chrono::milliseconds(3500);
constexpr std::size_t kDispatchTries = 3;
constexpr std::uint64_t kResendSpread = 1500;
/// In milliseconds; longer than the dispatch window.
constexpr std::uint64_t kLongestStall = 12000;

traffic::suspect_id
SuspectOf(caller_request const& aRequest)
{
  auto const& text = aRequest.mKey.empty() ? aRequest.mName : aRequest.mKey;
  return { std::hash<std::string>{}(text) };
}

}

std::size_t
traffic_world::Submit(caller_request aRequest, std::size_t aDaemon)
{
  aRequest.mFirstSent = mNow;
  mRequests.push_back(std::move(aRequest));
  Resend(mRequests.size() - 1, aDaemon);
  return mRequests.size() - 1;
}

void
traffic_world::Resend(std::size_t aRequest, std::size_t aDaemon)
{
  auto& request = mRequests[aRequest];
  auto const attempt = request.mAttempts.size();
  request.mAttempts.push_back({ aDaemon });
  request.mResendAt = mNow + kCallerTimeout;
  Note("caller sends " + request.mName + " to " + NameOf(aDaemon));
  if (!IsUp(*mDaemons[aDaemon])) {
    Tell(aRequest, attempt, told::kUnknown, "");
    return;
  }
  WhenAwake(aDaemon, [=, this] { Arrive(aDaemon, aRequest, attempt); });
}

void
traffic_world::ResendDue()
{
  for (std::size_t index = 0; index < mRequests.size(); ++index) {
    auto& request = mRequests[index];
    if (request.mDone || !request.mResendAt || mNow < *request.mResendAt) {
      continue;
    }
    request.mResendAt.reset();
    if (!request.mResends ||
        mNow > request.mFirstSent + mSettings.mLongestResend) {
      request.mDone = true;
      continue;
    }
    Resend(index, static_cast<std::size_t>(mRandom.Below(mDaemons.size())));
  }
}

void
traffic_world::Arrive(std::size_t aDaemon,
                      std::size_t aRequest,
                      std::size_t aAttempt)
{
  auto& self = *mDaemons[aDaemon];
  auto const number = ++mLastNumber;
  self.mRoots[number] = { aRequest, aAttempt };
  self.mRoots[number].mWanted = mNow;
  if (mRequests[aRequest].mKey.empty() || !Has("claims")) {
    Dispatch(aDaemon, number);
    return;
  }
  ToCoordinator(aDaemon,
                traffic::claim_wanted{
                  number, mRequests[aRequest].mKey, mNow + kClaimWait });
}

void
traffic_world::Granted(std::size_t aDaemon,
                       traffic::claim_granted const& aAction)
{
  auto& self = *mDaemons[aDaemon];
  auto& root = self.mRoots.at(aAction.mRequest);
  root.mClaimed = true;
  auto const time = mNow - root.mWanted;
  ++mCounters.mClaims;
  mCounters.mClaimTime += time;
  mCounters.mLongestClaimTime = std::max(mCounters.mLongestClaimTime, time);
  // The daemon may be stopped between the grant and the dispatch.
  if (mRandom.Chance(mStallChance)) {
    ++mCounters.mFaults["stalls_before_dispatch"];
    auto const stall = static_cast<std::int64_t>(mRandom.Below(kLongestStall));
    Freeze(aDaemon, std::chrono::milliseconds(stall));
  }
  WhenAwake(aDaemon, [this, aDaemon, aAction] {
    if (mNow > aAction.mDispatchBefore) {
      FinishRoot(
        aDaemon, aAction.mRequest, traffic::dispatch_outcome::kNotRun, "");
      return;
    }
    Dispatch(aDaemon, aAction.mRequest);
  });
}

void
traffic_world::Answered(std::size_t aDaemon,
                        traffic::claim_answered const& aAction)
{
  auto& self = *mDaemons[aDaemon];
  auto const root = self.mRoots.at(aAction.mRequest);
  self.mRoots.erase(aAction.mRequest);
  auto answer = told::kNotRun;
  switch (aAction.mAnswer) {
    case traffic::claim_answer::kStoredResponse:
      answer = told::kStored;
      break;
    case traffic::claim_answer::kRanAnswerGone:
      answer = told::kRanAnswerGone;
      break;
    case traffic::claim_answer::kUnknown:
      answer = told::kUnknown;
      break;
    case traffic::claim_answer::kNotRun:
      break;
  }
  Tell(root.mRequest, root.mAttempt, answer, aAction.mResponse);
}

void
traffic_world::Dispatch(std::size_t aDaemon, std::uint64_t aRoot)
{
  auto& self = *mDaemons[aDaemon];
  auto& root = self.mRoots.at(aRoot);
  auto const& request = mRequests[root.mRequest];
  auto target = static_cast<std::size_t>(mRandom.Below(mDaemons.size()));
  if (request.mTarget && root.mTries == 0) {
    target = *request.mTarget;
  }
  ++root.mTries;
  call_message call{ false, self.mLife, aRoot, root.mRequest, root.mAttempt };
  if (!IsUp(*mDaemons[target]) || mNow < mDaemons[target]->mUpstreamUpAt) {
    call.mIsAnswer = true;
    call.mOutcome = traffic::dispatch_outcome::kNotRun;
    root.mCallDeadline = mNow + kCallTimeout;
    mCalls.Send(mNow, aDaemon, aDaemon, call);
    return;
  }
  root.mCallDeadline = mNow + kCallTimeout;
  mCalls.Send(mNow, aDaemon, target, call);
}

void
traffic_world::TakeCall(std::size_t aFrom,
                        std::size_t aTo,
                        call_message const& aCall)
{
  auto& self = *mDaemons[aTo];
  auto const number = ++mLastNumber;
  self.mLocals[number] = { aFrom, aCall, mNow + kCallTimeout };
  if (mNow < self.mUpstreamUpAt) {
    AnswerLocal(aTo, number, traffic::dispatch_outcome::kNotRun, "");
    return;
  }
  ToQuarantine(
    aTo, traffic::call_ready{ number, SuspectOf(mRequests[aCall.mRequest]) });
}

void
traffic_world::TakeAnswer(std::size_t aDaemon, call_message const& aAnswer)
{
  auto& self = *mDaemons[aDaemon];
  auto const found = self.mRoots.find(aAnswer.mRootCall);
  if (aAnswer.mRootLife != self.mLife || found == self.mRoots.end()) {
    return;
  }
  auto const mayRetry =
    aAnswer.mOutcome == traffic::dispatch_outcome::kNotRun &&
    found->second.mTries < kDispatchTries;
  if (mayRetry) {
    Dispatch(aDaemon, aAnswer.mRootCall);
    return;
  }
  FinishRoot(aDaemon, aAnswer.mRootCall, aAnswer.mOutcome, aAnswer.mResponse);
}

void
traffic_world::CheckRootDeadlines(std::size_t aDaemon)
{
  std::vector<std::uint64_t> late;
  for (auto const& [number, root] : mDaemons[aDaemon]->mRoots) {
    if (root.mCallDeadline && mNow >= *root.mCallDeadline) {
      late.push_back(number);
    }
  }
  for (auto const number : late) {
    FinishRoot(aDaemon, number, traffic::dispatch_outcome::kUnknown, "");
  }
}

void
traffic_world::FinishRoot(std::size_t aDaemon,
                          std::uint64_t aRoot,
                          traffic::dispatch_outcome aOutcome,
                          std::string const& aResponse)
{
  auto& self = *mDaemons[aDaemon];
  auto const root = self.mRoots.at(aRoot);
  self.mRoots.erase(aRoot);
  if (root.mClaimed) {
    ToCoordinator(aDaemon,
                  traffic::dispatch_finished{ aRoot, aOutcome, aResponse });
  }
  auto answer = told::kUnknown;
  if (aOutcome == traffic::dispatch_outcome::kRan) {
    answer = told::kRan;
  } else if (aOutcome == traffic::dispatch_outcome::kNotRun) {
    answer = told::kNotRun;
  }
  Tell(root.mRequest, root.mAttempt, answer, aResponse);
}

void
traffic_world::Tell(std::size_t aRequest,
                    std::size_t aAttempt,
                    told aTold,
                    std::string const& aResponse)
{
  auto& request = mRequests[aRequest];
  auto& attempt = request.mAttempts[aAttempt];
  attempt.mTold = aTold;
  ++mCounters.mTold.at(static_cast<std::size_t>(aTold));
  Note("caller of " + request.mName + " is told " +
       std::string(ToldName(aTold)));
  CheckTold(request, attempt, aResponse);
  if (mRandom.Chance(mAnswerLoss)) {
    ++mCounters.mFaults["lost_answers_to_callers"];
    return;
  }
  if (aTold == told::kRan || aTold == told::kStored) {
    request.mDone = true;
  } else {
    auto const wait = static_cast<std::int64_t>(mRandom.Below(kResendSpread));
    request.mResendAt = mNow + std::chrono::milliseconds(wait);
  }
}

void
traffic_world::CheckTold(caller_request const& aRequest,
                         caller_attempt const& aAttempt,
                         std::string const& aResponse)
{
  if (aAttempt.mTold == told::kNotRun && aAttempt.mExecutions > 0) {
    Fail("a caller is told not_run, but " + aRequest.mName + " ran");
  }
  auto const hasResponse =
    aAttempt.mTold == told::kRan || aAttempt.mTold == told::kStored;
  if (hasResponse && std::ranges::find(aRequest.mResponses, aResponse) ==
                       aRequest.mResponses.end()) {
    Fail("the response to " + aRequest.mName +
         " is not the one of its execution");
  }
  auto const claimsRun =
    aAttempt.mTold == told::kRanAnswerGone && aRequest.mResponses.empty();
  if (claimsRun) {
    Fail("a caller is told that " + aRequest.mName + " ran, but it did not");
  }
}

void
traffic_world::ToQuarantine(std::size_t aDaemon,
                            traffic::quarantine_event const& aEvent)
{
  for (auto const& action :
       mDaemons[aDaemon]->mQuarantine->Handle(mNow, aEvent)) {
    std::visit([&](auto const& aActual) { Apply(aDaemon, aActual); }, action);
  }
}

void
traffic_world::Apply(std::size_t aDaemon, traffic::run_call const& aAction)
{
  if (aAction.mExclusive) {
    ++mCounters.mTrials;
    if (!mDaemons[aDaemon]->mExecutions.empty() &&
        mNow >= mDaemons[aDaemon]->mLosesAnswersUntil) {
      Note("trial beside a call that its daemon has given up");
    }
  }
  Execute(aDaemon, aAction.mCall, aAction.mExclusive);
}

void
traffic_world::Apply(std::size_t aDaemon,
                     traffic::refuse_suspect const& aAction)
{
  Note(NameOf(aDaemon) +
       " refuses: " + std::string(core::ReasonName(aAction.mReason)));
  AnswerLocal(aDaemon, aAction.mCall, traffic::dispatch_outcome::kNotRun, "");
}

void
traffic_world::Apply(std::size_t aDaemon,
                     traffic::report_lost_call const& aAction)
{
  AnswerLocal(aDaemon, aAction.mCall, traffic::dispatch_outcome::kUnknown, "");
}

void
traffic_world::AnswerLocal(std::size_t aDaemon,
                           std::uint64_t aLocal,
                           traffic::dispatch_outcome aOutcome,
                           std::string const& aResponse)
{
  auto& self = *mDaemons[aDaemon];
  auto const found = self.mLocals.find(aLocal);
  if (found == self.mLocals.end()) {
    return;
  }
  auto answer = found->second.mCall;
  auto const root = found->second.mRoot;
  self.mLocals.erase(found);
  answer.mIsAnswer = true;
  answer.mOutcome = aOutcome;
  answer.mResponse = aResponse;
  mCalls.Send(mNow, aDaemon, root, answer);
}

}
