#include "OverloadMesh.h"

#include "LibCore/Assert.h"

namespace cranberryfold::random_run {

using traffic::outcome;

namespace {

constexpr core::duration kUncontrolledBackoff{ 10'000 };
/// Rough size of a status response with headers, in bytes.
constexpr std::uint64_t kCallBytes = 2000;

}

std::uint64_t
overload_mesh::Start(core::time_point aNow, mesh_call aCall, call_done aDone)
{
  auto const id = ++mLastId;
  sender_call entry{ std::move(aCall), std::move(aDone) };
  entry.mDeadlineTimer =
    mTimers.Once(entry.mCall.mContext.mDeadline,
                 [this, id](core::time_point aTime) { OnDeadline(aTime, id); });
  mCalls.emplace(id, std::move(entry));
  // Not at once, so that the caller has noted the id before the call can end.
  Later(aNow, [this, id](core::time_point aTime) { StartAttempt(aTime, id); });
  return id;
}

void
overload_mesh::StartAttempt(core::time_point aNow, std::uint64_t aCallId)
{
  auto const found = mCalls.find(aCallId);
  if (found == mCalls.end()) {
    return;
  }
  auto& call = found->second;
  auto& from = *mNodes.at(call.mCall.mFrom);
  auto const selected = from.mSelectors.at(call.mCall.mService)
                          ->Select(aNow, call.mCall.mContext, call.mTried);
  if (call.mAttempts == 0) {
    from.mRatios.at(call.mCall.mService).CountCall(aNow);
  }
  ++call.mAttempts;
  if (auto const* const refusal =
        std::get_if<traffic::local_refusal>(&selected)) {
    ++mReport.At(aNow).mRefusals.at(static_cast<std::size_t>(refusal->mReason));
    EndAttempt(aNow, aCallId, { outcome::kNotRun, refusal->mReason });
    return;
  }
  auto const& chosen = std::get<traffic::chosen_upstream>(selected);
  auto const attempt = ++mLastId;
  call.mAttempt = attempt;
  call.mSelected = chosen.mAttempt;
  call.mSent = aNow;
  call.mTarget = mNodeOf.at(chosen.mInstance);
  if (mPolicy.mRetriesPerHop == 0) {
    call.mTried.push_back(chosen.mInstance);
  }
  server_attempt arriving{ aCallId, call.mTarget, call.mCall };
  Later(aNow + Latency(call.mCall.mFrom, call.mTarget),
        [this, attempt, arriving](core::time_point aTime) {
          OnArrival(aTime, attempt, arriving);
        });
}

void
overload_mesh::OnResponse(core::time_point aNow,
                          std::uint64_t aCallId,
                          std::uint64_t aAttempt,
                          attempt_end const& aEnd)
{
  auto const found = mCalls.find(aCallId);
  // Late responses are dropped; their attempt was reported when it was given
  // up.
  if (found == mCalls.end() || found->second.mAttempt != aAttempt) {
    return;
  }
  ReportAttempt(aNow, found->second, aEnd);
  EndAttempt(aNow, aCallId, aEnd);
}

void
overload_mesh::ReportAttempt(core::time_point aNow,
                             sender_call& aCall,
                             attempt_end const& aEnd)
{
  auto& from = *mNodes.at(aCall.mCall.mFrom);
  from.mSelectors.at(aCall.mCall.mService)
    ->Report(aNow,
             { aCall.mSelected,
               aEnd.mOutcome,
               aEnd.mReason,
               aNow - aCall.mSent,
               aEnd.mLoadStatus,
               kCallBytes });
  aCall.mAttempt = 0;
}

void
overload_mesh::EndAttempt(core::time_point aNow,
                          std::uint64_t aCallId,
                          attempt_end const& aEnd)
{
  if (aEnd.mSuccess) {
    EndCall(aNow, aCallId, true);
    return;
  }
  RetryOrEnd(aNow, aCallId, aEnd);
}

void
overload_mesh::RetryOrEnd(core::time_point aNow,
                          std::uint64_t aCallId,
                          attempt_end const& aEnd)
{
  auto& call = mCalls.at(aCallId);
  if (call.mAttempts <= mPolicy.mRetriesPerHop) {
    Later(aNow + kUncontrolledBackoff, [this, aCallId](core::time_point aTime) {
      StartAttempt(aTime, aCallId);
    });
    return;
  }
  if (!mPolicy.mRetries) {
    EndCall(aNow, aCallId, false);
    return;
  }
  auto& from = *mNodes.at(call.mCall.mFrom);
  auto& ratio = from.mRatios.at(call.mCall.mService);
  traffic::retry_ratio unlimited({ 100 });
  auto const decision = traffic::DecideRetry(
    { aEnd.mOutcome,
      aEnd.mReason,
      call.mCall.mIdempotent,
      false,
      call.mAttempts,
      call.mCall.mContext.mDeadline - aNow,
      from.mSelectors.at(call.mCall.mService)->UsualLatency(),
      aNow,
      traffic::ShedLevel(traffic::ShedPosition(call.mCall.mContext)) },
    mPolicy.mRetryRatio ? ratio : unlimited,
    mRandom);
  if (decision && decision->mBackoff) {
    AskPermit(aNow, aCallId, decision->mReason, *decision->mBackoff);
    return;
  }
  if (decision) {
    ++mReport.At(aNow).mRetries.at(static_cast<std::size_t>(decision->mReason));
  }
  EndCall(aNow, aCallId, false);
}

void
overload_mesh::AskPermit(core::time_point aNow,
                         std::uint64_t aCallId,
                         core::retry_reason aReason,
                         core::duration aBackoff)
{
  auto const& call = mCalls.at(aCallId);
  std::size_t root = 0;
  while (PeerAddress(root) != call.mCall.mContext.mRootDaemon) {
    ++root;
  }
  auto const oneWay = root == call.mCall.mFrom
                        ? core::duration{}
                        : Latency(call.mCall.mFrom, root);
  Later(aNow + 2 * oneWay, [=, this](core::time_point aTime) {
    auto const found = mCalls.find(aCallId);
    if (found == mCalls.end()) {
      return;
    }
    bool const granted =
      !mPolicy.mRetryPermits || mNodes.at(root)->mBudget.RequestPermit(
                                  aTime, found->second.mCall.mContext.mRequest);
    auto const reason =
      granted ? aReason : core::retry_reason::kRefusedNoPermit;
    ++mReport.At(aTime).mRetries.at(static_cast<std::size_t>(reason));
    if (!granted) {
      EndCall(aTime, aCallId, false);
      return;
    }
    Later(aTime + aBackoff, [this, aCallId](core::time_point aLater) {
      StartAttempt(aLater, aCallId);
    });
  });
}

void
overload_mesh::OnDeadline(core::time_point aNow, std::uint64_t aCallId)
{
  Abandon(aNow, aCallId);
  EndCall(aNow, aCallId, false);
}

void
overload_mesh::Abandon(core::time_point aNow, std::uint64_t aCallId)
{
  auto& call = mCalls.at(aCallId);
  if (call.mAttempt == 0) {
    return;
  }
  auto const attempt = call.mAttempt;
  auto const latency = Latency(call.mCall.mFrom, call.mTarget);
  ReportAttempt(
    aNow, call, { outcome::kUnknown, core::refusal_reason::kDeadlineExceeded });
  if (mPolicy.mCancellation) {
    Later(aNow + latency, [this, attempt](core::time_point aTime) {
      CancelAttempt(aTime, attempt);
    });
  }
}

void
overload_mesh::EndCall(core::time_point aNow,
                       std::uint64_t aCallId,
                       bool aSuccess)
{
  auto ended = mCalls.extract(aCallId);
  CF_ASSERT(!ended.empty(), "a call ended twice");
  CF_ASSERT(ended.mapped().mAttempt == 0, "a call ended with an open attempt");
  mTimers.Cancel(ended.mapped().mDeadlineTimer);
  ended.mapped().mDone(aNow, aSuccess);
}

}
