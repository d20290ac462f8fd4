#include "LibDaemon/IncomingCall.h"

#include "LibCore/Hash.h"
#include "LibCore/Log.h"
#include "LibDaemon/HttpFields.h"
#include "LibHttp/ResponseChecks.h"
#include "LibHttp/ResponseHead.h"

#include <algorithm>
#include <array>

#include <boost/beast/http.hpp>

namespace cranberryfold::daemon {

namespace {

namespace http = boost::beast::http;
using core::refusal_reason;
using traffic::outcome;

constexpr unsigned kHttpVersion = 11;
constexpr unsigned kFirstFinalStatus = 200;
constexpr std::uint32_t kMaximumHeaderBytes = 16U * 1024U;
constexpr std::size_t kReadBytes = 16UL * 1024UL;
/// Limit for the skipped bytes of one response to another call. Far above the
/// usual size of a response; a faulty upstream may send bytes without end.
constexpr std::size_t kMaximumSkippedBytes = 1024UL * 1024UL;
/// Limit for skipped responses: interim ones and those to other calls.
constexpr int kMaximumSkippedResponses = 16;
/// Calls that must not run twice use only connections that have been idle for
/// at most this time: if the upstream closes an idle connection while a request
/// is sent, it is unknown whether the request was read.
constexpr core::duration kMaximumIdleForUnsafe = std::chrono::seconds(1);
/// Time from the loss of a call to the second check whether the upstream's
/// process has ended. It may close its listener after its connections.
constexpr core::duration kUpstreamRecheckDelay = std::chrono::milliseconds(200);
/// A request without a key is identified by its first body bytes, this many, so
/// that the same request is recognised however its body arrives. Half of the
/// credit, so that the sender need not wait while the call does.
constexpr std::size_t kIdentifyingBytes = kInitialCreditBytes / 2;
/// Keeps the admission loop from spinning once the maximum wait has passed.
constexpr core::duration kMinimumWait = std::chrono::milliseconds(1);

/// Holds the admission decision until the call's thread reads it.
struct pending_admission
{
  std::optional<admission_decision> mDecision;
};

/// Holds the decision of the quarantine until the call's thread reads it.
struct pending_quarantine
{
  std::optional<std::optional<traffic::refuse_suspect>> mDecision;
};

}

incoming_call::incoming_call(incoming_services& aServices,
                             std::shared_ptr<frame_channel> aChannel,
                             call_head aHead)
  : mServices(aServices)
  , mChannel(std::move(aChannel))
  , mHead(std::move(aHead))
  , mSignal(aServices.mExecutor)
  , mBodySignal(aServices.mExecutor)
{
}

bool
incoming_call::OnBody(body_chunk aChunk)
{
  if (aChunk.mBytes.size() > mBodyCredit) {
    return false;
  }
  mBodyCredit -= aChunk.mBytes.size();
  mBodyBytes += aChunk.mBytes.size();
  // Chunks that wait are joined, since the credit counts body bytes and a small
  // chunk takes far more memory than its bytes.
  if (mBody.empty() || !JoinChunks(mBody.back(), aChunk)) {
    mBody.push_back(std::move(aChunk));
  }
  mBodySignal.Notify();
  return true;
}

void
incoming_call::OnWindowUpdate(window_update const& aUpdate)
{
  mResponseCredit += aUpdate.mBytes;
  mSignal.Notify();
}

void
incoming_call::OnCancel()
{
  mIsCancelled = true;
  if (mConnection) {
    mConnection->mStream.close();
  }
  mSignal.Notify();
  mBodySignal.Notify();
}

task<void>
incoming_call::Run()
{
  auto const self = shared_from_this();
  mArrived = Now();
  auto decision = co_await CheckService();
  if (!decision) {
    decision = co_await WaitForAdmission();
  }
  if (decision) {
    mServices.mMetrics.CountRefusal(refusal_place::kAdmission,
                                    decision->mReason);
    SendRefusal(*decision);
    co_return;
  }
  auto const quarantineRefusal = co_await WaitForQuarantine();
  if (quarantineRefusal) {
    mServices.mPolicy.CancelCall(Now(), mCall);
    mServices.mMetrics.CountRefusal(refusal_place::kAdmission,
                                    quarantineRefusal->mReason);
    SendRefusal(*quarantineRefusal);
    co_return;
  }
  mAdmitted = Now();
  auto const failure = co_await RunAdmitted();
  auto const now = Now();
  if (mIsCancelled) {
    mServices.mPolicy.CancelCall(now, mCall);
  } else {
    mServices.mPolicy.FinishCall(now, mCall, !failure, now - mAdmitted);
  }
  co_await ReportToQuarantine(failure);
  if (failure) {
    mServices.mMetrics.CountRefusal(refusal_place::kAdmission,
                                    failure->mReason);
    SendRefusal(*failure);
  }
}

task<admission_decision>
incoming_call::CheckService()
{
  auto match = mServices.mPolicy.MatchPool(Now(), mHead.mPool);
  auto const mustWait = [&] {
    auto const now = Now();
    return match == pool_match::kUnknownPool &&
           mServices.mPolicy.IsStarting(now) &&
           now < mHead.mContext.mDeadline && !mIsCancelled;
  };
  while (mustWait()) {
    co_await mSignal.Wait(Now() + kStartPollInterval);
    match = mServices.mPolicy.MatchPool(Now(), mHead.mPool);
  }
  if (match == pool_match::kOwnService) {
    co_return std::nullopt;
  }
  co_return call_refusal{ outcome::kNotRun, refusal_reason::kWrongService, {} };
}

task<admission_decision>
incoming_call::WaitForAdmission()
{
  auto const pending = std::make_shared<pending_admission>();
  auto const onDecision =
    [pending, self = shared_from_this()](admission_decision aDecision) {
      asio::post(self->mServices.mExecutor, [pending, self, aDecision] {
        pending->mDecision = aDecision;
        self->mSignal.Notify();
      });
    };
  auto const requested = Now();
  mCall =
    mServices.mPolicy.RequestAdmission(requested, mHead.mContext, onDecision);
  while (!pending->mDecision && !mIsCancelled) {
    auto const now = Now();
    auto const end =
      std::min(mHead.mContext.mDeadline,
               requested + mServices.mPolicy.MaximumAdmissionWait());
    auto const until =
      std::min(end, mServices.mPolicy.NextDispatch(now).value_or(end));
    co_await mSignal.Wait(std::max(until, now + kMinimumWait));
    if (!pending->mDecision && Now() >= until) {
      mServices.mPolicy.Tick(Now());
    }
  }
  if (pending->mDecision) {
    co_return *pending->mDecision;
  }
  mServices.mPolicy.CancelCall(Now(), mCall);
  co_return call_refusal{ outcome::kNotRun,
                          refusal_reason::kDeadlineExceeded,
                          {} };
}

bool
incoming_call::HasIdentifyingBytes() const
{
  return !mHead.mHasBody || !mHead.mContext.mKey.empty() ||
         mBodyBytes >= kIdentifyingBytes ||
         (!mBody.empty() && mBody.back().mLast);
}

traffic::suspect_id
incoming_call::SuspectId() const
{
  if (!mHead.mContext.mKey.empty()) {
    return { core::Hash64(mHead.mContext.mKey) };
  }
  std::string bytes;
  bytes.reserve(std::min<std::uint64_t>(mBodyBytes, kIdentifyingBytes));
  for (auto const& chunk : mBody) {
    bytes.append(chunk.mBytes, 0, kIdentifyingBytes - bytes.size());
  }
  return { core::Hash64(bytes,
                        core::Hash64(mHead.mMethod + " " + mHead.mTarget)) };
}

task<std::optional<call_refusal>>
incoming_call::WaitForQuarantine()
{
  while (!HasIdentifyingBytes()) {
    if (mIsCancelled || Now() >= mHead.mContext.mDeadline) {
      co_return call_refusal{ outcome::kNotRun,
                              refusal_reason::kDeadlineExceeded,
                              {} };
    }
    co_await mBodySignal.Wait(mHead.mContext.mDeadline);
  }
  auto const pending = std::make_shared<pending_quarantine>();
  auto const onDecision = [pending, self = shared_from_this()](
                            std::optional<traffic::refuse_suspect> aRefusal) {
    asio::post(self->mServices.mExecutor, [pending, self, aRefusal] {
      pending->mDecision = aRefusal;
      self->mSignal.Notify();
    });
  };
  mSuspect = SuspectId();
  mQuarantineCall =
    mServices.mQuarantine.OnCallAdmitted(Now(), mSuspect, onDecision);
  while (!pending->mDecision && !mIsCancelled) {
    co_await mSignal.Wait();
  }
  if (!pending->mDecision) {
    mServices.mQuarantine.OnCallNotRun(Now(), mQuarantineCall);
    co_return call_refusal{ outcome::kNotRun,
                            refusal_reason::kDeadlineExceeded,
                            {} };
  }
  if (!pending->mDecision->has_value()) {
    co_return std::nullopt;
  }
  auto const& refused = **pending->mDecision;
  co_return call_refusal{ outcome::kNotRun,
                          refused.mReason,
                          refused.mRetryAfter };
}

task<void>
incoming_call::ReportToQuarantine(std::optional<call_refusal> aFailure)
{
  auto& quarantine = mServices.mQuarantine;
  if (!aFailure && !mIsCancelled) {
    quarantine.OnCallCompleted(Now(), mQuarantineCall);
    co_return;
  }
  if (aFailure && aFailure->mOutcome == outcome::kNotRun) {
    quarantine.OnCallNotRun(Now(), mQuarantineCall);
    co_return;
  }
  bool const isLost =
    aFailure && aFailure->mReason == refusal_reason::kUpstreamLost;
  if (!isLost) {
    quarantine.OnCallEnded(Now(), mQuarantineCall);
    co_return;
  }
  // The connection of a cancelled call was closed by this daemon.
  bool isListening = mIsCancelled;
  if (!isListening) {
    isListening = co_await IsListening(mServices.mExecutor,
                                       mServices.mSettings.mUpstream.mAddress);
  }
  if (isListening) {
    quarantine.OnCallEnded(Now(), mQuarantineCall);
    asio::co_spawn(
      mServices.mExecutor,
      [self = shared_from_this()] { return self->RecheckUpstream(); },
      asio::detached);
    co_return;
  }
  LogCrash();
  auto const isReleased = std::make_shared<bool>(false);
  quarantine.OnUpstreamCrashed(
    Now(), mQuarantineCall, [isReleased, self = shared_from_this()] {
      asio::post(self->mServices.mExecutor, [isReleased, self] {
        *isReleased = true;
        self->mSignal.Notify();
      });
    });
  while (!*isReleased) {
    co_await mSignal.Wait();
  }
}

task<void>
incoming_call::RecheckUpstream()
{
  asio::steady_timer timer(mServices.mExecutor, kUpstreamRecheckDelay);
  co_await timer.async_wait(kAsTuple);
  bool const isListening = co_await IsListening(
    mServices.mExecutor, mServices.mSettings.mUpstream.mAddress);
  if (!isListening) {
    LogCrash();
    mServices.mQuarantine.OnUpstreamGone(Now(), mQuarantineCall);
  }
}

void
incoming_call::LogCrash() const
{
  core::LogWarning("upstream_crashed")
    .Field("request", mHead.mContext.mRequest.mValue)
    .Field("target", mHead.mTarget)
    .Field("suspect", static_cast<std::int64_t>(mSuspect.mValue))
    .Field("age_ms", core::Milliseconds(Now() - mArrived));
}

core::duration
incoming_call::MaximumConnectionIdle() const
{
  return mHead.mIsIdempotent ? core::duration::max() : kMaximumIdleForUnsafe;
}

task<std::optional<call_refusal>>
incoming_call::RunAdmitted()
{
  // The upstream may have changed its state while the call waited for its body
  // or for the quarantine.
  if (auto const refused = mServices.mPolicy.CheckUpstream()) {
    co_return *refused;
  }
  mUpstreamId = mServices.mPolicy.UpstreamId();
  if (mServices.mSettings.mUpstream.mReportsItself && mUpstreamId.IsEmpty()) {
    co_return call_refusal{ outcome::kNotRun, refusal_reason::kNotReady, {} };
  }
  mConnection = co_await mServices.mUpstreams.Take(MaximumConnectionIdle());
  if (!mConnection || mIsCancelled) {
    if (!mConnection && mServices.mOnUpstreamLost) {
      mServices.mOnUpstreamLost();
    }
    // No byte was written, so the upstream cannot have run the call.
    co_return call_refusal{ outcome::kNotRun,
                            refusal_reason::kUpstreamLost,
                            {} };
  }
  auto failure = co_await Exchange(mConnection);
  bool const canReuse = !failure && mIsBodySent && !mIsCancelled;
  if (canReuse) {
    mServices.mUpstreams.Return(mConnection, mKeepAlive);
  } else {
    mConnection->mStream.close();
    mBodySignal.Notify();
  }
  mConnection.reset();
  co_return failure;
}

call_refusal
incoming_call::FailureFromError(boost::system::error_code aCode) const
{
  bool const isTimeout = aCode == boost::beast::error::timeout;
  return { outcome::kUnknown,
           isTimeout ? refusal_reason::kDeadlineExceeded
                     : refusal_reason::kUpstreamLost,
           {} };
}

task<std::optional<call_refusal>>
incoming_call::Exchange(std::shared_ptr<upstream_connection> aConnection)
{
  auto& stream = aConnection->mStream;
  stream.expires_at(ToSteadyClock(mHead.mContext.mDeadline));
  if (!co_await SendRequest(*aConnection)) {
    co_return FailureFromError(boost::asio::error::connection_reset);
  }
  if (mHead.mHasBody) {
    asio::co_spawn(
      mServices.mExecutor,
      [self = shared_from_this(), aConnection] {
        return self->SendBody(aConnection);
      },
      asio::detached);
  } else {
    mIsBodySent = true;
  }
  std::optional<response_parser> parser;
  auto failure = co_await ReadResponseHead(*aConnection, parser);
  if (!failure) {
    failure = co_await ForwardResponse(*aConnection, *parser);
  }
  if (!failure && !parser->get().keep_alive()) {
    mIsBodySent = false;
  }
  co_return failure;
}

task<std::optional<call_refusal>>
incoming_call::ReadResponseHead(upstream_connection& aConnection,
                                std::optional<response_parser>& aParser)
{
  for (int skipped = 0; skipped <= kMaximumSkippedResponses; ++skipped) {
    aParser.emplace();
    aParser->header_limit(kMaximumHeaderBytes);
    aParser->body_limit(boost::none);
    if (mHead.mMethod == "HEAD") {
      aParser->skip(true);
    }
    auto const code = co_await cranberryfold::http::ReadResponseHead(
      aConnection.mStream, aConnection.mBuffer, *aParser);
    if (code) {
      co_return FailureFromError(code);
    }
    auto const& message = aParser->get();
    if (!cranberryfold::http::IsHttpStatus(message.result_int())) {
      co_return call_refusal{ outcome::kUnknown,
                              refusal_reason::kMalformed,
                              {} };
    }
    if (message.result_int() < kFirstFinalStatus) {
      continue;
    }
    auto const metadata =
      mServices.mDialect.mReadResponse(message.result_int(), message);
    bool const belongsToOtherCall =
      !metadata.mRequest.IsEmpty() &&
      metadata.mRequest != mHead.mContext.mRequest;
    if (belongsToOtherCall) {
      mServices.mMetrics.CountLateFrame();
      if (auto const problem = co_await SkipBody(aConnection, *aParser)) {
        co_return FailureFromError(problem);
      }
      continue;
    }
    mKeepAlive = metadata.mKeepAlive;
    if (metadata.mCondition) {
      RecordCondition(*metadata.mCondition);
    }
    if (metadata.mIsMalformed) {
      co_return call_refusal{ outcome::kUnknown,
                              refusal_reason::kMalformed,
                              {} };
    }
    if (metadata.mIsNotRun) {
      // A refusal that may belong to an earlier call on the connection does not
      // prove that this one was not run.
      bool const isOfThisCall =
        !metadata.mRequest.IsEmpty() || !aConnection.mHasCarriedCalls;
      // The body of the response stays unread, so the connection cannot be
      // reused.
      co_return call_refusal{ isOfThisCall ? outcome::kNotRun
                                           : outcome::kUnknown,
                              refusal_reason::kUpstreamRefused,
                              {} };
    }
    co_return std::nullopt;
  }
  co_return FailureFromError(http::error::body_limit);
}

void
incoming_call::RecordCondition(traffic::upstream_condition const& aCondition)
{
  bool const isNewlyLeaving =
    mServices.mPolicy.RecordCondition(Now(), mUpstreamId, aCondition);
  if (isNewlyLeaving && mServices.mOnUpstreamLeaving) {
    mServices.mOnUpstreamLeaving(mUpstreamId);
  }
}

task<boost::system::error_code>
incoming_call::SkipBody(upstream_connection& aConnection,
                        response_parser& aParser)
{
  std::array<char, kReadBytes> bytes;
  std::size_t skipped = 0;
  while (!aParser.is_done()) {
    if (skipped > kMaximumSkippedBytes) {
      co_return make_error_code(http::error::body_limit);
    }
    aParser.get().body().data = bytes.data();
    aParser.get().body().size = bytes.size();
    auto const [code, size] = co_await http::async_read_some(
      aConnection.mStream, aConnection.mBuffer, aParser, kAsTuple);
    if (code && code != http::error::need_buffer) {
      co_return code;
    }
    skipped += size;
  }
  co_return boost::system::error_code{};
}

task<bool>
incoming_call::SendRequest(upstream_connection& aConnection)
{
  http::request<http::buffer_body> request;
  request.method_string(mHead.mMethod);
  request.target(mHead.mTarget);
  request.version(kHttpVersion);
  AppendHeaders(request, mHead.mHeaders);
  mServices.mDialect.mWriteContext(request, mHead.mContext, mUpstreamId, Now());
  request.body().data = nullptr;
  request.body().more = mHead.mHasBody;
  if (mHead.mContentLength) {
    request.content_length(*mHead.mContentLength);
  } else if (mHead.mHasBody) {
    request.chunked(true);
  }
  http::request_serializer<http::buffer_body> serializer(request);
  auto const [code, size] = co_await http::async_write_header(
    aConnection.mStream, serializer, kAsTuple);
  co_return !code;
}

task<void>
incoming_call::SendBody(std::shared_ptr<upstream_connection> aConnection)
{
  auto const self = shared_from_this();
  bool const isChunked = !mHead.mContentLength.has_value();
  for (;;) {
    while (mBody.empty()) {
      if (mIsCancelled || !aConnection->mStream.socket().is_open()) {
        co_return;
      }
      co_await mBodySignal.Wait();
    }
    auto const chunk = std::move(mBody.front());
    mBody.pop_front();
    boost::system::error_code code;
    if (!chunk.mBytes.empty() && isChunked) {
      auto const framed = http::make_chunk(asio::buffer(chunk.mBytes));
      std::tie(code, std::ignore) =
        co_await asio::async_write(aConnection->mStream, framed, kAsTuple);
    } else if (!chunk.mBytes.empty()) {
      std::tie(code, std::ignore) = co_await asio::async_write(
        aConnection->mStream, asio::buffer(chunk.mBytes), kAsTuple);
    }
    if (!code && chunk.mLast && isChunked) {
      std::tie(code, std::ignore) = co_await asio::async_write(
        aConnection->mStream, http::make_chunk_last(), kAsTuple);
    }
    if (code) {
      mSendError = code;
      co_return;
    }
    if (chunk.mLast) {
      mIsBodySent = true;
      co_return;
    }
    auto const size = static_cast<std::uint32_t>(chunk.mBytes.size());
    mBodyCredit += size;
    mChannel->Send(window_update{ mHead.mStream, size });
  }
}

void
incoming_call::SendResponseHead(response_parser const& aParser)
{
  call_response_head head;
  head.mStream = mHead.mStream;
  head.mAttempt = mHead.mAttempt;
  head.mStatus = aParser.get().result_int();
  head.mHeaders =
    EndToEndHeaders(aParser.get(), mServices.mDialect.mIsOwnHeader);
  if (auto const length = aParser.content_length()) {
    head.mContentLength = *length;
  }
  head.mHasBody = !aParser.is_done();
  head.mLoadStatus = mServices.mPolicy.LoadStatus(Now(), mHead.mContext.mRoute);
  mChannel->Send(head);
}

task<std::optional<call_refusal>>
incoming_call::ForwardResponse(upstream_connection& aConnection,
                               response_parser& aParser)
{
  SendResponseHead(aParser);
  if (aParser.is_done()) {
    co_return std::nullopt;
  }
  co_return co_await ForwardResponseBody(aConnection, aParser);
}

task<bool>
incoming_call::WaitForCredit()
{
  while (mResponseCredit == 0 && !mIsCancelled) {
    if (Now() >= mHead.mContext.mDeadline) {
      co_return false;
    }
    co_await mSignal.Wait(mHead.mContext.mDeadline);
  }
  co_return !mIsCancelled;
}

task<std::optional<call_refusal>>
incoming_call::ForwardResponseBody(upstream_connection& aConnection,
                                   response_parser& aParser)
{
  std::array<char, kReadBytes> bytes;
  while (!aParser.is_done()) {
    if (!co_await WaitForCredit()) {
      co_return call_refusal{ outcome::kUnknown,
                              refusal_reason::kDeadlineExceeded,
                              {} };
    }
    auto const limit = std::min<std::uint64_t>(bytes.size(), mResponseCredit);
    aParser.get().body().data = bytes.data();
    aParser.get().body().size = limit;
    auto [code, read] = co_await http::async_read_some(
      aConnection.mStream, aConnection.mBuffer, aParser, kAsTuple);
    if (!code) {
      code = ParseBufferedBody(aConnection, aParser);
    }
    if (code && code != http::error::need_buffer) {
      co_return FailureFromError(code);
    }
    if (aParser.is_done()) {
      bool const wasCutOff = co_await WasCutOff(aParser);
      if (wasCutOff) {
        co_return FailureFromError(asio::error::connection_reset);
      }
    }
    auto const size = limit - aParser.get().body().size;
    mResponseCredit -= size;
    mChannel->Send(call_response_chunk{ mHead.mStream,
                                        mHead.mAttempt,
                                        std::string(bytes.data(), size),
                                        aParser.is_done() });
  }
  co_return std::nullopt;
}

boost::system::error_code
incoming_call::ParseBufferedBody(upstream_connection& aConnection,
                                 response_parser& aParser)
{
  boost::system::error_code code;
  auto& buffer = aConnection.mBuffer;
  while (!code && buffer.size() > 0 && !aParser.is_done()) {
    buffer.consume(aParser.put(buffer.data(), code));
  }
  return code == http::error::need_more ? boost::system::error_code() : code;
}

task<bool>
incoming_call::WasCutOff(response_parser const& aParser)
{
  if (!aParser.need_eof()) {
    co_return false;
  }
  // The error of a write that failed before may still wait to be delivered.
  co_await asio::post(mServices.mExecutor, asio::use_awaitable);
  co_return cranberryfold::http::WasConnectionLost(mSendError);
}

void
incoming_call::SendRefusal(call_refusal const& aRefusal)
{
  auto const now = Now();
  auto const stamp = mServices.mPolicy.LoadStatus(now, mHead.mContext.mRoute);
  core::LogInfo("call_refused")
    .Field("request", mHead.mContext.mRequest.mValue)
    .Field("route", mHead.mContext.mRoute)
    .Field("pool", mHead.mPool)
    .Field("service", mServices.mSettings.mUpstream.mService.mValue)
    .Field("depth", mHead.mContext.mDepth)
    .Field("from", core::FormatAddress(mChannel->RemoteAddress()))
    .Field("outcome", OutcomeName(aRefusal.mOutcome))
    .Field("reason", core::ReasonName(aRefusal.mReason))
    .Field("suspect", static_cast<std::int64_t>(mSuspect.mValue))
    .Field("age_ms", core::Milliseconds(now - mArrived))
    .Field("left_ms", core::Milliseconds(mHead.mContext.mDeadline - now))
    .Field("load", stamp.mInFlight)
    .Field("limit", stamp.mLimit)
    .Field("threshold", stamp.mAdmissionThreshold)
    .Field("downstream_threshold", stamp.mDownstreamThreshold);
  mChannel->Send(refusal{ mHead.mStream,
                          mHead.mAttempt,
                          aRefusal.mOutcome,
                          aRefusal.mReason,
                          aRefusal.mRetryAfter,
                          stamp });
}

}
