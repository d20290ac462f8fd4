#include "LibDaemon/CallRunner.h"

#include "LibCore/Log.h"
#include "LibDaemon/HttpFields.h"

#include <algorithm>

namespace cranberryfold::daemon {

namespace {

using core::refusal_reason;
using core::retry_reason;
using traffic::outcome;

/// Covers a round trip between regions. There is no retry without a reply.
constexpr core::duration kPermitTimeout = std::chrono::milliseconds(200);
/// Further upstreams that a call may try after daemons refused it without
/// running it. If the whole service is overloaded, each of them adds a useless
/// hop.
constexpr std::uint32_t kMaximumTransparentRetries = 3;
/// Time after the deadline in which the daemon beside the upstream may still
/// report the outcome, since only it knows whether the call has run. Covers two
/// one-way delays between regions, 20 ms each at the users' sites, and the
/// delay of that daemon. Stays far below the 250 ms by which users allow a
/// route's timeout to be exceeded.
constexpr core::duration kOutcomeGracePeriod = std::chrono::milliseconds(80);
/// Interval at which a waiting call checks whether the daemon drains. Shorter
/// than the time for which a draining daemon runs on.
constexpr core::duration kStopCheckInterval = std::chrono::milliseconds(500);

/// Returns whether a frame is the last one of a complete response.
bool
EndsResponse(call_frame const& aFrame)
{
  if (auto const* const head = std::get_if<call_response_head>(&aFrame)) {
    return !head->mHasBody;
  }
  auto const* const chunk = std::get_if<call_response_chunk>(&aFrame);
  return chunk != nullptr && chunk->mLast;
}

}

call_runner::call_runner(outgoing_services& aServices,
                         routed_request aRequest,
                         response_sink aSink)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
  , mSink(std::move(aSink))
  , mSignal(aServices.mExecutor)
{
}

void
call_runner::Abandon()
{
  mIsAbandoned = true;
  mSignal.Notify();
}

void
call_runner::CompleteBody()
{
  mHasLateBody = IsBodyTooLate();
  mBody.MarkComplete();
  Notify();
}

void
call_runner::AppendBody(std::string_view aBytes)
{
  mBody.Append(aBytes);
  SendBodyDuringResponse();
  Notify();
}

void
call_runner::OnStreamEvent()
{
  if (mStream && !mStream->mEvents.empty() &&
      EndsResponse(mStream->mEvents.back())) {
    mHasReceivedResponse = true;
    if (mOnBodyConsumed) {
      mOnBodyConsumed();
    }
  }
  SendBodyDuringResponse();
  Notify();
}

void
call_runner::SendBodyDuringResponse()
{
  if (mHasResponseHead && mStream && !mHasReceivedResponse) {
    SendBody(*mLink, *mStream);
  }
}

bool
call_runner::IsBodyTooLate() const
{
  if (mBody.IsComplete() || !mRequest.mHasBody) {
    return mHasLateBody;
  }
  return !mServices.mPolicy.CanFinishBeforeStop(Now(),
                                                mRequest.mContext.mDeadline);
}

task<std::optional<call_refusal>>
call_runner::WaitForBodyInDrain()
{
  auto const deadline = mRequest.mContext.mDeadline;
  auto const isWaiting = [this] {
    return mRequest.mHasBody && !mBody.IsComplete() && !mBody.HasFailed() &&
           !mIsAbandoned && mBody.FreeBytes() > 0;
  };
  while (isWaiting() && !IsBodyTooLate() && mServices.mPolicy.IsDraining()) {
    if (Now() >= deadline) {
      co_return call_refusal{ outcome::kNotRun,
                              refusal_reason::kDeadlineExceeded,
                              {} };
    }
    co_await mSignal.Wait(std::min(deadline, Now() + kStopCheckInterval));
  }
  if (IsBodyTooLate()) {
    co_return call_refusal{ outcome::kNotRun,
                            refusal_reason::kDraining,
                            kNotReadyRetryAfter };
  }
  co_return std::nullopt;
}

task<call_result>
call_runner::Run()
{
  bool mayHaveRun = false;
  if (auto const refused = co_await WaitForBodyInDrain()) {
    co_return call_result{ false, false, *refused };
  }
  for (;;) {
    if (Now() >= mDispatchDeadline) {
      co_return call_result{ false,
                             false,
                             { mayHaveRun ? outcome::kUnknown
                                          : outcome::kNotRun,
                               refusal_reason::kClaimUnavailable,
                               {} } };
    }
    auto choice = mServices.mPolicy.ChooseUpstream(Now(),
                                                   mRequest.mContext,
                                                   mRequest.mPool,
                                                   mHistory.Instances(mScope),
                                                   mScope);
    call_result result;
    if (auto const* const refused = std::get_if<call_refusal>(&choice)) {
      if (MustWaitForStart(*refused)) {
        co_await mSignal.Wait(Now() + kStartPollInterval);
        continue;
      }
      bool const hasNoFurtherUpstream =
        refused->mReason == refusal_reason::kNoUpstream &&
        mScope == traffic::attempt_scope::kUntried;
      if (hasNoFurtherUpstream && mCanOfferAgain) {
        mScope = traffic::attempt_scope::kTried;
        continue;
      }
      result.mRefusal = *refused;
      mServices.mMetrics.CountRefusal(refusal_place::kSender, refused->mReason);
    } else {
      auto const chosen = std::get<traffic::chosen_upstream>(choice);
      result = co_await Attempt(chosen);
    }
    if (result.mHasResponse) {
      co_return result;
    }
    mayHaveRun = mayHaveRun || result.mRefusal.mOutcome != outcome::kNotRun;
    if (!co_await PrepareRetry(result.mRefusal)) {
      // "Not run" is reported only if it is true of every attempt.
      if (mayHaveRun) {
        result.mRefusal.mOutcome = outcome::kUnknown;
      }
      co_return result;
    }
  }
}

bool
call_runner::MustStopForDrain() const
{
  auto const stop = mServices.mPolicy.StopTime();
  return stop && (IsBodyTooLate() || Now() >= *stop);
}

core::time_point
call_runner::NextCheck(core::time_point aEnd) const
{
  auto const stop = mServices.mPolicy.StopTime();
  auto const next = std::min(aEnd, Now() + kStopCheckInterval);
  return stop ? std::min(next, std::max(*stop, Now())) : next;
}

bool
call_runner::MustWaitForStart(call_refusal const& aRefusal) const
{
  return aRefusal.mReason == refusal_reason::kNoUpstream && mAttempts == 0 &&
         !mIsAbandoned && Now() < mRequest.mContext.mDeadline &&
         mServices.mPolicy.IsStarting(Now());
}

task<bool>
call_runner::PrepareRetry(call_refusal const& aRefusal)
{
  bool const canResend = !mIsAbandoned && mBody.CanReplay() &&
                         !mBody.HasFailed() && mAttempts > 0 &&
                         !MustStopForDrain();
  if (!canResend) {
    co_return false;
  }
  traffic::retry_facts facts;
  facts.mOutcome = aRefusal.mOutcome;
  facts.mRefusal = aRefusal.mReason;
  facts.mIdempotent = mRequest.mRoute->mIdempotent;
  facts.mTimedOut = aRefusal.mReason == refusal_reason::kDeadlineExceeded;
  facts.mAttempts = mAttempts;
  facts.mNow = Now();
  facts.mTimeLeft = mRequest.mContext.mDeadline - facts.mNow;
  facts.mLevel = traffic::ShedLevel(traffic::ShedPosition(mRequest.mContext));
  mCanOfferAgain = false;
  if (traffic::IsTransparentRetry(facts) &&
      mTransparentRetries < kMaximumTransparentRetries) {
    ++mTransparentRetries;
    mServices.mMetrics.CountRetry(retry_reason::kNotRun);
    LogRetry(retry_reason::kNotRun, true);
    mBody.Rewind();
    co_return true;
  }
  auto const decision = mServices.mPolicy.DecideRetry(mRequest.mPool, facts);
  if (!decision) {
    co_return false;
  }
  if (!decision->mBackoff) {
    mServices.mMetrics.CountRetry(decision->mReason);
    LogRetry(decision->mReason, false);
    co_return false;
  }
  if (!co_await SelectRetryScope(facts)) {
    mServices.mPolicy.ReturnRetry(Now(), mRequest.mPool, facts.mLevel);
    mServices.mMetrics.CountRetry(retry_reason::kRefusedNoPermit);
    LogRetry(retry_reason::kRefusedNoPermit, false);
    co_return false;
  }
  mServices.mMetrics.CountRetry(decision->mReason);
  LogRetry(decision->mReason, true);
  mCanOfferAgain = traffic::CanOfferAgain(facts);
  mRequest.mContext.mIsRepeat = true;
  asio::steady_timer backoff(mServices.mExecutor, *decision->mBackoff);
  co_await backoff.async_wait(kAsTuple);
  mBody.Rewind();
  co_return !mIsAbandoned;
}

task<bool>
call_runner::SelectRetryScope(traffic::retry_facts const& aFacts)
{
  if (mScope == traffic::attempt_scope::kUntried) {
    // GCC 12 mistranslates co_await behind &&, so that this is a statement.
    bool const isGranted = co_await ObtainRetryPermit();
    if (isGranted) {
      co_return true;
    }
  }
  mScope = traffic::attempt_scope::kTried;
  co_return traffic::CanOfferAgain(aFacts);
}

task<bool>
call_runner::ObtainRetryPermit()
{
  auto const& context = mRequest.mContext;
  if (context.mRootDaemon == mServices.mSettings.mPeerAddress) {
    co_return mServices.mPolicy.TakePermit(Now(), context.mRequest);
  }
  co_return co_await RequestPermitFromRoot();
}

task<bool>
call_runner::RequestPermitFromRoot()
{
  auto const response = std::make_shared<std::optional<bool>>();
  auto const onResponse = [response,
                           self = shared_from_this()](bool aIsGranted) {
    asio::post(self->mServices.mExecutor, [response, self, aIsGranted] {
      *response = aIsGranted;
      self->Notify();
    });
  };
  auto const id = mServices.mPermits.Register(onResponse);
  auto const& context = mRequest.mContext;
  auto payload = EncodePermitMessage(permit_request{ id, context.mRequest });
  mServices.mLinks.LinkTo(context.mRootDaemon)
    ->Send(traffic_message{ traffic_topic::kRetryPermits, std::move(payload) });
  auto const until = std::min(Now() + kPermitTimeout, context.mDeadline);
  while (!response->has_value() && Now() < until && !mIsAbandoned) {
    co_await mSignal.Wait(until);
  }
  mServices.mPermits.Forget(id);
  co_return response->value_or(false);
}

call_head
call_runner::MakeHead() const
{
  call_head head;
  head.mAttempt = mAttempts;
  head.mContext = mRequest.mContext;
  head.mTimeLeft = mRequest.mContext.mDeadline - Now();
  head.mPool = mRequest.mPool;
  head.mMethod = mRequest.mMethod;
  head.mTarget = mRequest.mTarget;
  head.mHeaders = mRequest.mHeaders;
  head.mContentLength = mRequest.mContentLength;
  head.mHasBody = mRequest.mHasBody;
  head.mIsIdempotent = mRequest.mRoute->mIdempotent;
  return head;
}

task<call_result>
call_runner::Attempt(traffic::chosen_upstream const& aChosen)
{
  ++mAttempts;
  mHistory.RecordStart(aChosen.mInstance);
  mBodyEndSent = !mRequest.mHasBody;
  mLastLoadStatus.reset();
  mLastHttpStatus = 0;
  mAttemptBytes = 0;
  auto const started = Now();
  auto const link = mServices.mLinks.LinkTo(aChosen.mPeerAddress);
  auto const stream = link->Open(MakeHead(), [weak = weak_from_this()] {
    if (auto const self = weak.lock()) {
      self->OnStreamEvent();
    }
  });
  mLink = link;
  mStream = stream;
  auto result = co_await ProcessStreamEvents(aChosen, *link, stream);
  link->Release(stream->mId);
  mLink.reset();
  mStream.reset();
  if (!result.mIsComplete) {
    link->Send(cancel{ stream->mId });
  }
  auto const outcomeOfAttempt =
    result.mIsComplete ? outcome::kRan : result.mRefusal.mOutcome;
  mHistory.RecordEnd(outcomeOfAttempt, result.mRefusal.mReason);
  mServices.mMetrics.CountAttempt(outcomeOfAttempt, Now() - started);
  traffic::attempt_report report;
  report.mAttempt = aChosen.mAttempt;
  report.mOutcome = outcomeOfAttempt;
  if (!result.mIsComplete) {
    report.mReason = result.mRefusal.mReason;
  }
  report.mLatency = Now() - started;
  report.mLoadStatus = mLastLoadStatus;
  report.mBytes = mAttemptBytes;
  report.mRoute = mRequest.mContext.mRoute;
  report.mServerError = mLastHttpStatus >= kFirstServerError;
  mServices.mPolicy.ReportAttempt(Now(), mRequest.mPool, report);
  if (!result.mIsComplete) {
    LogFailedAttempt(aChosen, report);
  }
  co_return result;
}

void
call_runner::LogFailedAttempt(traffic::chosen_upstream const& aChosen,
                              traffic::attempt_report const& aReport) const
{
  auto const& context = mRequest.mContext;
  auto line = core::LogInfo("attempt_failed");
  line.Field("request", context.mRequest.mValue)
    .Field("route", context.mRoute)
    .Field("pool", mRequest.mPool)
    .Field("upstream", aChosen.mInstance.mValue)
    .Field("attempt", mAttempts)
    .Field("outcome", OutcomeName(aReport.mOutcome))
    .Field(
      "reason",
      core::ReasonName(aReport.mReason.value_or(refusal_reason::kInternal)))
    .Field("latency_ms", core::Milliseconds(aReport.mLatency))
    .Field("left_ms", core::Milliseconds(context.mDeadline - Now()));
  if (aReport.mLoadStatus) {
    line.Field("load", aReport.mLoadStatus->mInFlight)
      .Field("limit", aReport.mLoadStatus->mLimit)
      .Field("threshold", aReport.mLoadStatus->mAdmissionThreshold);
  }
}

void
call_runner::LogRetry(retry_reason aReason, bool aIsRetried) const
{
  core::LogInfo(aIsRetried ? "retry" : "retry_refused")
    .Field("request", mRequest.mContext.mRequest.mValue)
    .Field("pool", mRequest.mPool)
    .Field("attempt", mAttempts)
    .Field("reason", core::ReasonName(aReason));
}

call_result
call_runner::MakeStoppedResult(outgoing_stream const& aStream,
                               refusal_reason aReason,
                               bool aHasResponse)
{
  auto const outcomeOfCall =
    aStream.WasSent() ? outcome::kUnknown : outcome::kNotRun;
  return { aHasResponse, false, { outcomeOfCall, aReason, {} } };
}

task<call_result>
call_runner::ProcessStreamEvents(traffic::chosen_upstream const& aChosen,
                                 call_link& aLink,
                                 std::shared_ptr<outgoing_stream> aStream)
{
  bool hasResponse = false;
  auto const deadline = mRequest.mContext.mDeadline;
  for (;;) {
    if (mIsAbandoned || mBody.HasFailed()) {
      auto const reason = mIsAbandoned ? refusal_reason::kCallerLeft
                                       : refusal_reason::kBadRequest;
      co_return MakeStoppedResult(*aStream, reason, hasResponse);
    }
    auto const end =
      aStream->WasSent() ? deadline + kOutcomeGracePeriod : deadline;
    if (Now() >= end) {
      co_return MakeStoppedResult(
        *aStream, refusal_reason::kDeadlineExceeded, hasResponse);
    }
    if (!hasResponse && MustStopForDrain()) {
      co_return MakeStoppedResult(
        *aStream, refusal_reason::kDraining, hasResponse);
    }
    SendBody(aLink, *aStream);
    if (aStream->mEvents.empty()) {
      co_await mSignal.Wait(NextCheck(end));
      continue;
    }
    auto const event = std::move(aStream->mEvents.front());
    aStream->mEvents.pop_front();
    if (auto const* const refused = std::get_if<refusal>(&event)) {
      mLastLoadStatus = refused->mLoadStatus;
      co_return call_result{
        hasResponse,
        false,
        { refused->mOutcome, refused->mReason, refused->mRetryAfter }
      };
    }
    if (auto const* const head = std::get_if<call_response_head>(&event)) {
      hasResponse = true;
      mHasResponseHead = true;
      mLastHttpStatus = head->mStatus;
      mLastLoadStatus = head->mLoadStatus;
      if (!co_await mSink.mWriteHead(*head, aChosen.mInstance)) {
        co_return MakeStoppedResult(
          *aStream, refusal_reason::kCallerLeft, true);
      }
      if (!head->mHasBody) {
        co_return call_result{ true, true, {} };
      }
    } else if (auto const* const chunk =
                 std::get_if<call_response_chunk>(&event)) {
      if (!co_await ForwardChunk(aLink, *aStream, *chunk)) {
        co_return MakeStoppedResult(
          *aStream, refusal_reason::kCallerLeft, true);
      }
      if (chunk->mLast) {
        co_return call_result{ true, true, {} };
      }
    }
  }
}

task<bool>
call_runner::ForwardChunk(call_link& aLink,
                          outgoing_stream const& aStream,
                          call_response_chunk const& aChunk)
{
  bool const isWritten =
    co_await mSink.mWriteChunk(aChunk.mBytes, aChunk.mLast);
  auto const size = static_cast<std::uint32_t>(aChunk.mBytes.size());
  mAttemptBytes += size;
  if (isWritten && size > 0) {
    aLink.Send(window_update{ aStream.mId, size });
  }
  co_return isWritten;
}

void
call_runner::SendBody(call_link& aLink, outgoing_stream& aStream)
{
  while (!mBodyEndSent && aStream.mCredit > 0) {
    auto bytes =
      mBody.Take(std::min<std::uint64_t>(aStream.mCredit, kMaximumChunkBytes));
    bool const isLast = mBody.IsFullyConsumed();
    if (bytes.empty() && !isLast) {
      return;
    }
    aStream.mCredit -= bytes.size();
    mAttemptBytes += bytes.size();
    if (mOnBodyConsumed) {
      mOnBodyConsumed();
    }
    mBodyEndSent = isLast;
    aLink.Send(body_chunk{ aStream.mId, mAttempts, std::move(bytes), isLast });
  }
}

}
