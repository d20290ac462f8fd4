#include "OverloadMesh.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <cmath>

namespace cranberryfold::random_run {

using core::refusal_reason;
using traffic::outcome;

namespace {

/// Part of the service time that is the same for all calls; the rest is drawn
/// from an exponential distribution.
constexpr double kFixedPart = 0.5;

bool
IsOverloadRefusal(refusal_reason aReason)
{
  return aReason == refusal_reason::kCutOff ||
         aReason == refusal_reason::kQueueFull ||
         aReason == refusal_reason::kQueueTimeout;
}

}

void
overload_mesh::OnArrival(core::time_point aNow,
                         std::uint64_t aAttempt,
                         server_attempt aEntry)
{
  auto const index = aEntry.mNode;
  auto const context = aEntry.mCall.mContext;
  aEntry.mDeepCallsLeft = aEntry.mCall.mDeepCalls;
  mAttempts.emplace(aAttempt, std::move(aEntry));
  if (!mPolicy.mAdmission) {
    Run(aNow, aAttempt);
    return;
  }
  if (IsRefusedBeyond(aNow, mAttempts.at(aAttempt))) {
    Respond(
      aNow, aAttempt, { outcome::kNotRun, refusal_reason::kSenderCutOff });
    return;
  }
  HandleAdmission(aNow, index, traffic::call_arrived{ { aAttempt }, context });
}

bool
overload_mesh::IsRefusedBeyond(core::time_point aNow,
                               server_attempt const& aEntry)
{
  auto const& target = *mNodes.at(aEntry.mNode);
  auto context = aEntry.mCall.mContext;
  auto const needed = target.mDependency.RequiredCallees(
    std::string(tables::WorkClassName(context.mClass)));
  ++context.mDepth;
  return mPolicy.mEarlyRefusal &&
         std::any_of(needed.begin(), needed.end(), [&](auto const& aCallee) {
           return target.mSelectors.at(mServiceOf.at(aCallee.mPool))
             ->WouldRefuse(aNow, context);
         });
}

void
overload_mesh::HandleAdmission(core::time_point aNow,
                               std::size_t aNode,
                               traffic::admission_event const& aEvent)
{
  auto& target = *mNodes.at(aNode);
  for (auto const& action : target.mAdmission.Handle(aNow, aEvent)) {
    if (auto const* const admit = std::get_if<traffic::admit_call>(&action)) {
      auto const& entry = mAttempts.at(admit->mCall.mValue);
      target.mOrder.CountAdmitted(aNow, entry.mCall.mContext.mClass);
      Run(aNow, admit->mCall.mValue);
      continue;
    }
    auto const& refusal = std::get<traffic::refuse_call>(action);
    auto const& entry = mAttempts.at(refusal.mCall.mValue);
    if (IsOverloadRefusal(refusal.mReason)) {
      target.mOrder.CountOverloadRefusal(aNow, entry.mCall.mContext.mClass);
    }
    Respond(aNow, refusal.mCall.mValue, { outcome::kNotRun, refusal.mReason });
  }
}

void
overload_mesh::Run(core::time_point aNow, std::uint64_t aAttempt)
{
  auto& entry = mAttempts.at(aAttempt);
  bool const accepted =
    mNodes.at(entry.mNode)
      ->mUpstream.Accept(aNow, aAttempt, [this, aAttempt](auto aTime) {
        Compute(aTime, aAttempt);
      });
  if (!accepted) {
    Respond(aNow,
            aAttempt,
            { outcome::kNotRun, refusal_reason::kTooManyConnections });
    return;
  }
  entry.mRunning = true;
  entry.mAdmitted = aNow;
}

void
overload_mesh::Compute(core::time_point aNow, std::uint64_t aAttempt)
{
  auto const& entry = mAttempts.at(aAttempt);
  auto& account = *entry.mCall.mAccount;
  ++mReport.At(aNow).mRuns;
  ++account.mRuns;
  if (account.mRuns > account.mMostRuns) {
    mRunsOverBound =
      std::max(mRunsOverBound, account.mRuns - account.mMostRuns);
  }
  auto const work = DrawWork(mNodes.at(entry.mNode)->mService);
  mNodes.at(entry.mNode)
    ->mUpstream.Compute(
      aNow, aAttempt, work, [this, aAttempt, work](core::time_point aTime) {
        CountWork(aTime, mAttempts.at(aAttempt), work);
        ContinueRun(aTime, aAttempt);
      });
}

void
overload_mesh::ContinueRun(core::time_point aNow, std::uint64_t aAttempt)
{
  auto& entry = mAttempts.at(aAttempt);
  if (entry.mDeepCallsLeft == 0) {
    FinishRun(aNow, aAttempt, true);
    return;
  }
  --entry.mDeepCallsLeft;
  entry.mCallees.push_back({ PoolOf(mShape.DeepService()).mName, {} });
  auto call = entry.mCall;
  call.mFrom = entry.mNode;
  call.mService = mShape.DeepService();
  call.mDeepCalls = 0;
  ++call.mContext.mDepth;
  entry.mDeepCall =
    Start(aNow,
          std::move(call),
          [this, aAttempt](core::time_point aTime, bool aSuccess) {
            auto const found = mAttempts.find(aAttempt);
            if (found == mAttempts.end()) {
              return;
            }
            found->second.mDeepCall = 0;
            if (aSuccess) {
              ContinueRun(aTime, aAttempt);
            } else {
              FinishRun(aTime, aAttempt, false);
            }
          });
}

void
overload_mesh::FinishRun(core::time_point aNow,
                         std::uint64_t aAttempt,
                         bool aSuccess)
{
  auto const& entry = mAttempts.at(aAttempt);
  auto const index = entry.mNode;
  auto const latency = aNow - entry.mAdmitted;
  mNodes.at(index)->mDependency.CountRun(
    std::string(tables::WorkClassName(entry.mCall.mContext.mClass)),
    entry.mCallees);
  mNodes.at(index)->mUpstream.Leave(aNow, aAttempt);
  if (mPolicy.mAdmission) {
    HandleAdmission(
      aNow, index, traffic::call_finished{ { aAttempt }, aSuccess, latency });
  }
  if (mNodes.at(index)->mService == mShape.DeepService() &&
      mRandom.Chance(mShape.mLostShare)) {
    Respond(
      aNow, aAttempt, { outcome::kUnknown, refusal_reason::kPeerLost, false });
    return;
  }
  Respond(aNow, aAttempt, { outcome::kRan, std::nullopt, aSuccess });
}

void
overload_mesh::Respond(core::time_point aNow,
                       std::uint64_t aAttempt,
                       attempt_end aEnd)
{
  auto const ended = mAttempts.extract(aAttempt);
  CF_ASSERT(!ended.empty(), "an attempt ended twice");
  auto const& entry = ended.mapped();
  if (aEnd.mReason) {
    ++mReport.At(aNow).mRefusals.at(static_cast<std::size_t>(*aEnd.mReason));
  }
  if (mPolicy.mAdmission) {
    aEnd.mLoadStatus = mNodes.at(entry.mNode)->mAdmission.LoadStatus(aNow);
  }
  Later(aNow + Latency(entry.mNode, entry.mCall.mFrom),
        [this, aAttempt, aEnd, call = entry.mCallId](core::time_point aTime) {
          OnResponse(aTime, call, aAttempt, aEnd);
        });
}

void
overload_mesh::CancelAttempt(core::time_point aNow, std::uint64_t aAttempt)
{
  auto const ended = mAttempts.extract(aAttempt);
  if (ended.empty()) {
    return;
  }
  auto const& entry = ended.mapped();
  if (entry.mDeepCall != 0) {
    Abandon(aNow, entry.mDeepCall);
    EndCall(aNow, entry.mDeepCall, false);
  }
  if (entry.mRunning) {
    CountWork(
      aNow, entry, mNodes.at(entry.mNode)->mUpstream.Leave(aNow, aAttempt));
  }
  if (mPolicy.mAdmission) {
    HandleAdmission(aNow, entry.mNode, traffic::call_cancelled{ { aAttempt } });
  }
}

void
overload_mesh::CountWork(core::time_point aNow,
                         server_attempt const& aEntry,
                         double aWork)
{
  auto& account = *aEntry.mCall.mAccount;
  bool const deep = mNodes.at(aEntry.mNode)->mService == mShape.DeepService();
  if (account.mEnded) {
    auto& counts = mReport.At(aNow);
    counts.mWastedWork += aWork;
    counts.mWastedDeepWork += deep ? aWork : 0;
    return;
  }
  account.mWork += aWork;
  account.mDeepWork += deep ? aWork : 0;
}

double
overload_mesh::DrawWork(std::size_t aService)
{
  auto const mean =
    static_cast<double>(mShape.mServices.at(aService).mServiceTime.count());
  auto const drawn = -std::log(1 - mRandom.Fraction());
  return mean * (kFixedPart + (1 - kFixedPart) * drawn);
}

}
