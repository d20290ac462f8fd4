#include "LibDaemon/HttpServer.h"

#include "LibCore/Hash.h"
#include "LibCore/Log.h"
#include "LibDaemon/ClaimedCall.h"
#include "LibDaemon/HttpFields.h"

#include <array>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cranberryfold::daemon {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using namespace std::chrono_literals;
using core::refusal_reason;
using traffic::outcome;

constexpr std::size_t kReadBytes = 16UL * 1024UL;
/// Time after the deadline for a caller that reads its response slowly.
constexpr core::duration kSlowReaderGracePeriod = 10s;
/// Minimum time for the rest of a request that is no longer needed.
constexpr core::duration kMinimumDropTime = 2s;
/// Time for the response to a call whose deadline is limited by a stop.
constexpr core::duration kLastResponseTime = 100ms;

using request_parser = http::request_parser<http::buffer_body>;
using response_message = http::response<http::buffer_body>;
using response_serializer = http::response_serializer<http::buffer_body>;

/// Returns whether a write succeeded. Beast reports need_buffer as an error
/// when it waits for the next part of the body.
bool
IsWritten(beast::error_code aCode)
{
  return !aCode || aCode == http::error::need_buffer;
}

/// One HTTP connection and its current request.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
  http_session(http_services& aServices,
               listener_kind aKind,
               tcp::socket aSocket)
    : mServices(aServices)
    , mKind(aKind)
    , mStream(std::move(aSocket))
    , mReaderDone(aServices.mOutgoing.mExecutor)
    , mBodySpaceAvailable(aServices.mOutgoing.mExecutor)
  {
    // Beast reads at most as many bytes as the buffer has capacity for, which
    // is 512 at first.
    mBuffer.reserve(kReadBytes);
  }

  task<void> Run()
  {
    bool keepAlive = true;
    while (keepAlive) {
      // GCC 12 evaluates a co_await inside && or a condition more than once.
      bool const hasRequest = co_await WaitForRequest();
      if (!hasRequest) {
        break;
      }
      ++mServices.mRequests;
      keepAlive = co_await ServeNext();
      --mServices.mRequests;
    }
    beast::error_code ignored;
    if (mMustReset) {
      mStream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    } else {
      mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }
    mStream.close();
  }

private:
  outgoing_services& Outgoing() { return mServices.mOutgoing; }

  /// Waits for the first bytes of a request. Returns false if the connection
  /// ended or was idle for too long.
  task<bool> WaitForRequest()
  {
    if (mBuffer.size() > 0) {
      co_return true;
    }
    mStream.expires_never();
    auto const id = mServices.mIdle.Add([this] { mStream.cancel(); });
    auto const [code, size] =
      co_await mStream.async_read_some(mBuffer.prepare(kReadBytes), kAsTuple);
    mServices.mIdle.Remove(id);
    mBuffer.commit(size);
    co_return !code;
  }

  /// Reads and serves one request. Returns whether the connection can be
  /// reused.
  task<bool> ServeNext()
  {
    // The connection may have been idle since before the last change of the
    // limits.
    auto const limits = Outgoing().mPolicy.View()->Tables().mLimits;
    mParser.emplace();
    mDeadline = {};
    mIsTooLarge = false;
    mHasSentContinue = false;
    mParser->header_limit(limits.mHeaderBytes);
    if (limits.mBodyBytes == 0) {
      mParser->body_limit(boost::none);
    } else {
      mParser->body_limit(limits.mBodyBytes);
    }
    mStream.expires_after(
      std::chrono::milliseconds(limits.mHeaderTimeoutMilliseconds));
    auto const [code, size] =
      co_await http::async_read_header(mStream, mBuffer, *mParser, kAsTuple);
    mStream.expires_never();
    if (code) {
      co_await RejectHeader(code);
      co_return false;
    }
    co_return co_await Serve();
  }

  /// Sends an error status for a request header that could not be read. Sends
  /// nothing if the connection failed or ended.
  task<void> RejectHeader(beast::error_code aCode)
  {
    bool const isHttpError =
      aCode.category() ==
      http::make_error_code(http::error::bad_method).category();
    auto status = http::status::bad_request;
    if (aCode == beast::error::timeout) {
      status = http::status::request_timeout;
    } else if (aCode == http::error::header_limit) {
      status = http::status::request_header_fields_too_large;
    } else if (aCode == http::error::body_limit) {
      status = http::status::payload_too_large;
    } else if (!isHttpError || aCode == http::error::end_of_stream ||
               aCode == http::error::partial_message) {
      co_return;
    }
    Outgoing().mMetrics.CountRefusal(refusal_place::kListener,
                                     refusal_reason::kMalformed);
    core::LogWarning("request_rejected")
      .Field("status", static_cast<std::int64_t>(status))
      .Field("error", aCode.message());
    http::response<http::string_body> response(status, kFirstChunkedVersion);
    response.keep_alive(false);
    response.prepare_payload();
    mStream.expires_after(kMinimumDropTime);
    co_await http::async_write(mStream, response, kAsTuple);
    co_await DropInput();
  }

  /// Waits until there are routes or the daemon is no longer starting.
  task<void> WaitForTables()
  {
    while (Outgoing().mPolicy.IsStarting(Now()) &&
           !Outgoing().mPolicy.View()->HasRoutes()) {
      asio::steady_timer timer(Outgoing().mExecutor, kStartPollInterval);
      co_await timer.async_wait(kAsTuple);
    }
  }

  task<bool> Serve()
  {
    mStarted = Now();
    co_await WaitForTables();
    if (mBuffer.size() == 0 && HasCallerLeft()) {
      // A busy daemon may read a request long after it was sent.
      DropRequest();
      co_return false;
    }
    auto const view = Outgoing().mPolicy.View();
    auto const& message = mParser->get();
    auto const method = std::string(message.method_string());
    auto const target = std::string(message.target());
    if (!view->HasRoutes()) {
      co_return co_await Refuse(
        { outcome::kNotRun, refusal_reason::kNoTables, kNotReadyRetryAfter });
    }
    auto const host = FieldValue(message, "host");
    auto const* const route = view->mRoutes->Find(host, method, target);
    if (route == nullptr) {
      co_return co_await Refuse(
        { outcome::kNotRun, refusal_reason::kNoRoute, {} });
    }
    auto context = MakeContext(*route);
    LimitDeadlineInDrain(context);
    if (auto const refused = CheckContext(context)) {
      co_return co_await Refuse(*refused);
    }
    mClass = context.mClass;
    routed_request request{ context,
                            view->mRoutes,
                            route,
                            Outgoing().mPolicy.ChoosePool(*route),
                            method,
                            target,
                            EndToEndHeaders(message,
                                            mServices.mDialect.mIsOwnHeader),
                            std::nullopt,
                            !mParser->is_done() };
    if (auto const length = mParser->content_length()) {
      request.mContentLength = *length;
    }
    co_return co_await RunRequest(std::move(request));
  }

  traffic::call_context MakeContext(tables::route const& aRoute)
  {
    auto const now = Now();
    auto const& message = mParser->get();
    mIsNested = mKind == listener_kind::kEgress;
    mOwnsBudget = true;
    if (mIsNested) {
      if (auto context = mServices.mDialect.mReadContext(message, now)) {
        mOwnsBudget = false;
        ++context->mDepth;
        context->mParent = context->mRequest;
        context->mRoute = aRoute.mName;
        return *context;
      }
    }
    auto const metadata = mServices.mDialect.mReadCaller(message);
    core::duration const timeout =
      std::chrono::milliseconds(aRoute.mTimeoutMilliseconds);
    traffic::call_context context;
    context.mRequest = metadata.mRequest;
    if (context.mRequest.IsEmpty()) {
      context.mRequest = { MakeRequestId(Outgoing().mSettings.mInstance) };
    }
    context.mRootDaemon = Outgoing().mSettings.mPeerAddress;
    context.mDeadline =
      now + std::min(timeout, metadata.mTimeLeft.value_or(timeout));
    context.mClass = aRoute.mClass;
    context.mLevel = ShedLevelFor(aRoute);
    context.mCallerHash = HashCaller(metadata.mCaller);
    context.mKey = Outgoing().mSettings.mClaims ? metadata.mKey : std::string();
    context.mOrigin = Outgoing().mSettings.mUpstream.mService;
    context.mRoute = aRoute.mName;
    InheritFromParent(context);
    mDeadline = context.mDeadline;
    return context;
  }

  /// Calls of the local upstream are served until a draining daemon stops; what
  /// runs for them has to end before.
  void LimitDeadlineInDrain(traffic::call_context& aContext)
  {
    auto const stop = Outgoing().mPolicy.StopTime();
    if (stop && mIsNested) {
      aContext.mDeadline =
        std::min(aContext.mDeadline, *stop - kLastResponseTime);
    }
  }

  /// A call made by a request that runs at the local upstream inherits the shed
  /// position of that request, so that its work is completed or refused as a
  /// whole.
  void InheritFromParent(traffic::call_context& aContext)
  {
    auto const parent = mServices.mDialect.mFindParent(aContext.mRequest);
    if (parent.IsEmpty()) {
      return;
    }
    auto const parentContext = Outgoing().mPolicy.FindLocalCallContext(parent);
    if (!parentContext) {
      return;
    }
    mIsNested = true;
    aContext.mParent = parent;
    aContext.mDepth = parentContext->mDepth + 1;
    aContext.mClass = parentContext->mClass;
    aContext.mLevel = parentContext->mLevel;
    aContext.mCallerHash = parentContext->mCallerHash;
    aContext.mIsRepeat = parentContext->mIsRepeat;
  }

  static std::optional<std::uint32_t> ShedLevelFor(tables::route const& aRoute)
  {
    if (!aRoute.mRank) {
      return std::nullopt;
    }
    return static_cast<std::uint32_t>(tables::ShedLevelOfRank(*aRoute.mRank));
  }

  std::uint64_t HashCaller(std::string const& aCaller)
  {
    if (!aCaller.empty()) {
      return core::Hash64(aCaller);
    }
    beast::error_code code;
    auto const remote = mStream.socket().remote_endpoint(code);
    return core::Hash64(code ? "" : remote.address().to_string());
  }

  std::optional<call_refusal> CheckContext(
    traffic::call_context const& aContext)
  {
    auto const notRun = [](refusal_reason aReason, core::duration aRetryAfter) {
      return call_refusal{ outcome::kNotRun, aReason, aRetryAfter };
    };
    if (aContext.mDepth > Outgoing().mSettings.mMaximumDepth) {
      return notRun(refusal_reason::kTooDeep, {});
    }
    if (aContext.mDeadline <= Now()) {
      return notRun(refusal_reason::kDeadlineExceeded, {});
    }
    // Calls of the local upstream belong to requests in flight, which a drain
    // must not interrupt.
    if (!mIsNested && Outgoing().mPolicy.IsRefusingCallers(Now())) {
      return notRun(refusal_reason::kDraining, kNotReadyRetryAfter);
    }
    return std::nullopt;
  }

  task<bool> RunRequest(routed_request aRequest)
  {
    auto const context = aRequest.mContext;
    auto const extraTries = aRequest.mRoute->mExtraTries;
    mStream.expires_at(
      ToSteadyClock(context.mDeadline + kSlowReaderGracePeriod));
    response_sink sink{ [this](call_response_head const& aHead,
                               core::instance_id const& aInstance) {
                         return WriteHead(aHead, aInstance);
                       },
                        [this](std::string_view aBytes, bool aIsLast) {
                          return WriteChunk(aBytes, aIsLast);
                        } };
    auto const key = ClaimKeyFor(aRequest);
    auto const recorder = std::make_shared<response_recorder>(sink);
    auto const runner = std::make_shared<call_runner>(
      Outgoing(), std::move(aRequest), key ? recorder->Sink() : sink);
    runner->SetBodyConsumedCallback([this] { mBodySpaceAvailable.Notify(); });
    mIsReading = true;
    asio::co_spawn(
      Outgoing().mExecutor,
      [self = shared_from_this(), runner] { return self->ReadBody(runner); },
      asio::detached);
    bool const isRoot = mOwnsBudget;
    if (isRoot) {
      Outgoing().mPolicy.OpenRetryBudget(Now(), context, extraTries);
    }
    call_result result;
    if (key) {
      result = co_await RunClaimed(mServices.mClaims,
                                   Outgoing().mExecutor,
                                   runner,
                                   *key,
                                   context.mDeadline,
                                   recorder,
                                   sink);
    } else {
      result = co_await runner->Run();
    }
    if (isRoot) {
      Outgoing().mPolicy.CloseRetryBudget(context.mRequest);
    }
    co_await StopReader();
    if (!result.mHasResponse) {
      if (mIsTooLarge) {
        result.mRefusal.mReason = refusal_reason::kTooLarge;
      }
      co_return co_await Refuse(result.mRefusal);
    }
    Outgoing().mMetrics.CountResponse(
      mClass, mResponse->result_int(), mResponseStarted - mStarted);
    LogResponse(context, result);
    // A truncated response must not look complete, so the connection is closed
    // before the announced length or the last chunk was sent. Without either,
    // only a reset tells the caller.
    mMustReset = !result.mIsComplete && !mResponse->has_content_length() &&
                 !mResponse->chunked();
    if (!result.mIsComplete) {
      co_return false;
    }
    co_return co_await FinishRequest(mResponse->keep_alive());
  }

  /// Reads the request body as the buffer gets free space, then watches for the
  /// caller's disconnect.
  task<void> ReadBody(std::shared_ptr<call_runner> aRunner)
  {
    auto const self = shared_from_this();
    co_await FillBodyBuffer(*aRunner);
    if (!aRunner->Body().HasFailed() && !mMustStopReading) {
      co_await WatchForDisconnect(*aRunner);
    }
    mIsReading = false;
    mReaderDone.Notify();
  }

  task<void> FillBodyBuffer(call_runner& aRunner)
  {
    if (ExpectsContinue()) {
      mHasSentContinue = true;
      http::response<http::empty_body> interim(http::status::continue_,
                                               mParser->get().version());
      co_await http::async_write(mStream, interim, kAsTuple);
    }
    std::array<char, kReadBytes> bytes;
    while (!mParser->is_done() && !mMustStopReading) {
      if (aRunner.HasReceivedResponse()) {
        co_await DropBody();
        co_return;
      }
      auto const freeBytes = std::min(bytes.size(), aRunner.Body().FreeBytes());
      if (freeBytes == 0) {
        co_await mBodySpaceAvailable.Wait();
        continue;
      }
      mParser->get().body().data = bytes.data();
      mParser->get().body().size = freeBytes;
      auto const [code, size] =
        co_await http::async_read_some(mStream, mBuffer, *mParser, kAsTuple);
      if (code && code != http::error::need_buffer) {
        mIsTooLarge = code == http::error::body_limit;
        aRunner.Body().MarkFailed();
        aRunner.Notify();
        co_return;
      }
      aRunner.AppendBody(
        std::string_view(bytes.data(), freeBytes - mParser->get().body().size));
    }
    if (mParser->is_done()) {
      aRunner.CompleteBody();
    }
  }

  /// Reads and drops the rest of the body until its end, an error or a request
  /// to stop. A caller may read the response only after it has sent the body.
  task<void> DropBody()
  {
    std::array<char, kReadBytes> bytes;
    while (!mParser->is_done() && !mMustStopReading) {
      mParser->get().body().data = bytes.data();
      mParser->get().body().size = bytes.size();
      auto const [code, size] =
        co_await http::async_read_some(mStream, mBuffer, *mParser, kAsTuple);
      if (code && code != http::error::need_buffer) {
        mIsTooLarge = code == http::error::body_limit;
        co_return;
      }
    }
  }

  task<void> WatchForDisconnect(call_runner& aRunner)
  {
    if (mBuffer.size() > 0) {
      co_return;
    }
    auto const [code] =
      co_await mStream.socket().async_wait(tcp::socket::wait_read, kAsTuple);
    if (!code && !mMustStopReading && HasCallerLeft()) {
      aRunner.Abandon();
    }
  }

  bool HasCallerLeft()
  {
    return PeekSocket(mStream.socket()) == socket_state::kClosed;
  }

  /// Stops the reader. The request may not have been read to its end.
  task<void> StopReader()
  {
    mMustStopReading = true;
    while (mIsReading) {
      mStream.cancel();
      mBodySpaceAvailable.Notify();
      co_await mReaderDone.Wait(Now() + kReaderStopPoll);
    }
    mMustStopReading = false;
  }

  task<bool> WriteHead(call_response_head const& aHead,
                       core::instance_id const& aInstance)
  {
    mResponseStarted = Now();
    mRespondingInstance = aInstance;
    mResponse.emplace();
    mResponse->version(mParser->get().version());
    mResponse->result(aHead.mStatus);
    AppendHeaders(*mResponse, aHead.mHeaders);
    mServices.mDialect.mMarkResponse(*mResponse, aInstance);
    bool const canChunk = mParser->get().version() >= kFirstChunkedVersion;
    if (aHead.mContentLength) {
      mResponse->content_length(*aHead.mContentLength);
    } else if (aHead.mHasBody && canChunk) {
      mResponse->chunked(true);
    }
    bool const hasLength = aHead.mContentLength || !aHead.mHasBody || canChunk;
    mResponse->keep_alive(mParser->get().keep_alive() && hasLength &&
                          !Outgoing().mPolicy.IsDraining());
    mResponse->body().data = nullptr;
    mResponse->body().more = aHead.mHasBody;
    mSerializer.emplace(*mResponse);
    auto const [code, size] =
      co_await http::async_write_header(mStream, *mSerializer, kAsTuple);
    co_return IsWritten(code);
  }

  task<bool> WriteChunk(std::string_view aBytes, bool aIsLast)
  {
    // The serializer requires a pointer to mutable bytes.
    std::string bytes(aBytes);
    mResponse->body().data = bytes.empty() ? nullptr : bytes.data();
    mResponse->body().size = bytes.size();
    mResponse->body().more = !aIsLast;
    auto const [code, size] =
      co_await http::async_write(mStream, *mSerializer, kAsTuple);
    co_return IsWritten(code);
  }

  /// Responds to a request that has no response of an upstream. Returns whether
  /// the connection can be reused.
  task<bool> Refuse(call_refusal aRefusal)
  {
    auto const status = mServices.mDialect.mStatusFor(aRefusal);
    Outgoing().mMetrics.CountRefusal(refusal_place::kCaller, aRefusal.mReason);
    Outgoing().mMetrics.CountResponse(mClass, status, Now() - mStarted);
    LogRefusal(aRefusal, status);
    auto const& message = mParser->get();
    http::response<http::string_body> response;
    response.version(message.version());
    response.result(status);
    mServices.mDialect.mMarkRefusal(response, aRefusal);
    response.set(http::field::content_type, "text/plain");
    response.body() =
      "outcome: " + std::string(OutcomeName(aRefusal.mOutcome)) +
      "\nreason: " + std::string(core::ReasonName(aRefusal.mReason)) + "\n";
    // A caller that still waits for "100 Continue" does not send the body.
    bool const bodyWillArrive =
      mParser->is_done() || !ExpectsContinue() || mHasSentContinue;
    response.keep_alive(message.keep_alive() && bodyWillArrive &&
                        !mIsTooLarge && !Outgoing().mPolicy.IsDraining());
    response.prepare_payload();
    bool const keepAlive = response.keep_alive();
    auto const [code, size] =
      co_await http::async_write(mStream, response, kAsTuple);
    if (!IsWritten(code)) {
      co_return false;
    }
    co_return co_await FinishRequest(keepAlive);
  }

  void DropRequest()
  {
    auto constexpr reason = refusal_reason::kCallerLeft;
    Outgoing().mMetrics.CountRefusal(refusal_place::kCaller, reason);
    auto const metadata = mServices.mDialect.mReadCaller(mParser->get());
    core::LogInfo("request_dropped")
      .Field("request", metadata.mRequest.mValue)
      .Field("reason", core::ReasonName(reason));
  }

  void LogRefusal(call_refusal const& aRefusal, unsigned aStatus)
  {
    auto const metadata = mServices.mDialect.mReadCaller(mParser->get());
    core::LogInfo("request_refused")
      .Field("request", metadata.mRequest.mValue)
      .Field("target", mParser->get().target())
      .Field("nested", mIsNested ? "yes" : "no")
      .Field("status", aStatus)
      .Field("outcome", OutcomeName(aRefusal.mOutcome))
      .Field("reason", core::ReasonName(aRefusal.mReason))
      .Field(
        "revision",
        static_cast<std::int64_t>(Outgoing().mPolicy.View()->mRevision.mValue))
      .Field("retry_after_ms", core::Milliseconds(aRefusal.mRetryAfter))
      .Field("age_ms", core::Milliseconds(Now() - mStarted));
  }

  /// Failures have an event of their own, so that its limit of lines is not
  /// used up by other responses.
  std::string_view ResponseEvent(call_result const& aResult) const
  {
    if (!aResult.mIsComplete) {
      return "request_cut_off";
    }
    bool const hasFailed = mResponse->result_int() >= kFirstServerError;
    return hasFailed ? "request_failed" : "request_answered";
  }

  void LogResponse(traffic::call_context const& aContext,
                   call_result const& aResult) const
  {
    auto line = core::LogInfo(ResponseEvent(aResult));
    line.Field("request", aContext.mRequest.mValue)
      .Field("nested", mIsNested ? "yes" : "no")
      .Field("route", aContext.mRoute)
      .Field("upstream", mRespondingInstance.mValue)
      .Field("status", mResponse->result_int())
      .Field("answered_ms", core::Milliseconds(mResponseStarted - mStarted))
      .Field("age_ms", core::Milliseconds(Now() - mStarted));
    if (!aResult.mIsComplete) {
      line.Field("reason", core::ReasonName(aResult.mRefusal.mReason));
    }
  }

  /// Reads and drops the rest of a request whose response was sent, as closing
  /// the connection before would reset it and lose the response. Returns
  /// whether the connection can be reused, which aKeepAlive announced.
  task<bool> FinishRequest(bool aKeepAlive)
  {
    if (mParser->is_done()) {
      co_return aKeepAlive;
    }
    SetDropTimeout();
    if (!aKeepAlive) {
      EndOutput();
    }
    if (!mIsTooLarge) {
      co_await DropBody();
    }
    if (mIsTooLarge) {
      // The parser reads nothing beyond its limit.
      co_await DropInput();
    }
    co_return aKeepAlive && mParser->is_done();
  }

  /// Ends the connection in the direction of the caller and drops what the
  /// caller still sends, until it closes the connection or the stream times
  /// out.
  task<void> DropInput()
  {
    EndOutput();
    std::array<char, kReadBytes> bytes;
    for (;;) {
      auto const [code, size] =
        co_await mStream.async_read_some(asio::buffer(bytes), kAsTuple);
      if (code) {
        co_return;
      }
    }
  }

  /// Tells the caller that no further response follows.
  void EndOutput()
  {
    beast::error_code ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  /// Limits the time for the rest of a request. A caller may send it until its
  /// deadline, and read the response after that. In a drain, callers whose
  /// bodies arrive late must get their responses, too.
  void SetDropTimeout()
  {
    auto const end = std::max(Now() + kMinimumDropTime, mDeadline);
    mStream.expires_at(ToSteadyClock(
      std::max(end, Outgoing().mPolicy.StopTime().value_or(end))));
  }

  bool ExpectsContinue() const
  {
    return beast::iequals(FieldValue(mParser->get(), "expect"), "100-continue");
  }

  static constexpr auto kReaderStopPoll = 5ms;
  static constexpr unsigned kFirstChunkedVersion = 11;

  http_services& mServices;
  listener_kind mKind;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::optional<request_parser> mParser;
  std::optional<response_message> mResponse;
  std::optional<response_serializer> mSerializer;
  signal mReaderDone;
  /// Wakes the reader when the body buffer has free space again.
  signal mBodySpaceAvailable;
  tables::work_class mClass = tables::work_class::kCatalogue;
  core::time_point mStarted;
  /// Deadline of the current request; 0 until its route is known.
  core::time_point mDeadline;
  /// When the head of the response was sent.
  core::time_point mResponseStarted;
  core::instance_id mRespondingInstance;
  bool mIsNested = false;
  /// Whether this daemon is the root of the request and holds its retry budget.
  bool mOwnsBudget = true;
  bool mIsTooLarge = false;
  /// Whether the connection ends with a reset.
  bool mMustReset = false;
  bool mHasSentContinue = false;
  bool mIsReading = false;
  bool mMustStopReading = false;
};

}

task<void>
ServeHttp(http_services& aServices, listener_kind aKind, tcp::socket aSocket)
{
  beast::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  auto const session =
    std::make_shared<http_session>(aServices, aKind, std::move(aSocket));
  co_await session->Run();
}

}
