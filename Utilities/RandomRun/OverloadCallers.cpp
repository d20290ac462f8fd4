#include "OverloadCallers.h"

#include "LibCore/Hash.h"

#include <cmath>
#include <memory>

namespace cranberryfold::random_run {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr core::duration kClientLatency{ 8'000 };
constexpr std::uint32_t kMostTries = 5;
constexpr core::duration kShortestPause{ 150'000 };
constexpr core::duration kPauseSpread{ 300'000 };
constexpr std::uint64_t kCallers = 20'000;

}

overload_callers::overload_callers(overload_shape const& aShape,
                                   overload_mesh& aMesh,
                                   core::timer_service& aTimers,
                                   core::random_source& aRandom,
                                   overload_report& aReport)
  : mShape(aShape)
  , mMesh(aMesh)
  , mTimers(aTimers)
  , mRandom(aRandom)
  , mReport(aReport)
{
}

void
overload_callers::Start(core::time_point aNow)
{
  ScheduleNext(aNow);
}

void
overload_callers::ScheduleNext(core::time_point aNow)
{
  auto const mean = kMicrosecondsPerSecond / (mShape.mRate * mDemand);
  auto const gap = -std::log(1 - mRandom.Fraction()) * mean;
  auto const next = aNow + core::duration(static_cast<std::int64_t>(gap));
  if (next >= mReport.Times().mEnd) {
    return;
  }
  mTimers.Once(next, [this](core::time_point aTime) {
    Begin(aTime);
    ScheduleNext(aTime);
  });
}

request_shape const&
overload_callers::DrawShape()
{
  auto drawn = mRandom.Fraction();
  for (auto const& shape : mShape.mRequests) {
    if (drawn < shape.mShare) {
      return shape;
    }
    drawn -= shape.mShare;
  }
  return mShape.mRequests.back();
}

void
overload_callers::Begin(core::time_point aNow)
{
  customer_request request;
  request.mShape = &DrawShape();
  request.mBegun = aNow;
  auto const caller = mRandom.Below(kCallers);
  request.mCallerHash = core::Hash64("caller" + std::to_string(caller));
  // Callers reach a daemon of the service in their own zone.
  request.mRoot =
    mMesh.NodeIndex(request.mShape->mService,
                    static_cast<std::size_t>(caller) % kOverloadZones);
  mReport.CountBegin(aNow, request.mShape->mClass);
  Try(aNow, request);
}

void
overload_callers::Try(core::time_point aNow, customer_request aRequest)
{
  ++aRequest.mTries;
  ++mReport.At(aNow).mTries;
  auto const account = std::make_shared<request_account>();
  account->mMostRuns = traffic::MaximumUpstreamRuns(
    1 + std::uint64_t{ aRequest.mShape->mDeepCalls },
    tables::route{}.mExtraTries);
  core::request_id const id{ "r" + std::to_string(++mLastRequest) };
  mTimers.Once(aNow + kClientLatency, [=, this](core::time_point aTime) {
    mesh_call call;
    call.mFrom = aRequest.mRoot;
    call.mService = aRequest.mShape->mService;
    call.mDeepCalls = aRequest.mShape->mDeepCalls;
    call.mIdempotent = aRequest.mShape->mIdempotent;
    call.mContext = { id,
                      mMesh.PeerAddress(aRequest.mRoot),
                      aTime + mShape.mTryTimeout,
                      aRequest.mShape->mClass,
                      aRequest.mCallerHash,
                      0,
                      "" };
    call.mAccount = account;
    mMesh.OpenBudget(aTime, aRequest.mRoot, id);
    mMesh.Start(aTime, call, [=, this](core::time_point aEnd, bool aSuccess) {
      mMesh.CloseBudget(aRequest.mRoot, id);
      mMesh.Settle(aEnd, *account, aSuccess);
      EndTry(aEnd + kClientLatency, aRequest, aNow, aSuccess);
    });
  });
}

void
overload_callers::EndTry(core::time_point aNow,
                         customer_request const& aRequest,
                         core::time_point aTried,
                         bool aSuccess)
{
  if (aSuccess) {
    mReport.At(aNow).mLatencies.push_back(aNow - aTried);
    mReport.CountSuccess(aNow, aRequest.mBegun, aRequest.mShape->mClass);
    return;
  }
  if (aRequest.mTries >= kMostTries) {
    return;
  }
  auto const spread = static_cast<std::uint64_t>(kPauseSpread.count());
  core::duration const extra{ static_cast<std::int64_t>(
    mRandom.Below(spread)) };
  mTimers.Once(
    aNow + kShortestPause + extra,
    [this, aRequest](core::time_point aTime) { Try(aTime, aRequest); });
}

}
