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
/// Time beyond the deadline for a caller that reads its answer slowly.
constexpr core::duration kSlowReaderTime = 10s;
/// Time for the rest of a body that is no longer needed. Closing before it has
/// arrived would reset the connection and lose the answer.
constexpr auto kDiscardTime = 2s;
/// Suggested wait of a caller while the daemon has no tables or is leaving.
constexpr core::duration kNotReadyRetryAfter = 500ms;

using request_parser = http::request_parser<http::buffer_body>;
using answer_message = http::response<http::buffer_body>;
using answer_serializer = http::response_serializer<http::buffer_body>;

/// Beast reports as an error that it wants the next part of the body.
bool
IsWritten(beast::error_code aCode)
{
  return !aCode || aCode == http::error::need_buffer;
}

std::string
MakeRequestId(core::instance_id const& aInstance)
{
  static std::atomic<std::uint64_t> sequence{ 0 };
  return aInstance.mValue + "-" +
         std::to_string(Now().time_since_epoch().count()) + "-" +
         std::to_string(++sequence);
}

/// One HTTP connection and the request that it carries now.
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
    , mRoom(aServices.mOutgoing.mExecutor)
  {
    // Beast reads as much as the buffer has room for, at first 512 bytes.
    mBuffer.reserve(kReadBytes);
  }

  task<void> Run()
  {
    bool keepAlive = true;
    while (keepAlive) {
      auto const limits = Outgoing().mPolicy.View()->Tables().mLimits;
      // GCC 12 evaluates a co_await within && or a condition more than once.
      bool const hasRequest = co_await WaitForRequest(limits);
      if (!hasRequest) {
        break;
      }
      ++mServices.mRequests;
      keepAlive = co_await ServeNext(limits);
      --mServices.mRequests;
    }
    beast::error_code ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    mStream.close();
  }

private:
  outgoing_services& Outgoing() { return mServices.mOutgoing; }

  /// Waits for the first bytes of a request. Returns false when there is none.
  task<bool> WaitForRequest(tables::caller_limits const& aLimits)
  {
    if (mBuffer.size() > 0) {
      co_return true;
    }
    mStream.expires_after(
      std::chrono::milliseconds(aLimits.mIdleTimeoutMilliseconds));
    auto const [code, size] =
      co_await mStream.async_read_some(mBuffer.prepare(kReadBytes), kAsTuple);
    mBuffer.commit(size);
    co_return !code;
  }

  /// Reads and serves one request. Returns whether the connection can be used
  /// again.
  task<bool> ServeNext(tables::caller_limits const& aLimits)
  {
    mParser.emplace();
    mIsTooLarge = false;
    mHasContinued = false;
    mParser->header_limit(aLimits.mHeaderBytes);
    if (aLimits.mBodyBytes == 0) {
      mParser->body_limit(boost::none);
    } else {
      mParser->body_limit(aLimits.mBodyBytes);
    }
    mStream.expires_after(
      std::chrono::milliseconds(aLimits.mHeaderTimeoutMilliseconds));
    auto const [code, size] =
      co_await http::async_read_header(mStream, mBuffer, *mParser, kAsTuple);
    mStream.expires_never();
    if (code) {
      co_await RejectHeader(code);
      co_return false;
    }
    co_return co_await Serve();
  }

  /// Answers a header that could not be read, where there is one.
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
    mStream.expires_after(kDiscardTime);
    co_await http::async_write(mStream, response, kAsTuple);
  }

  task<bool> Serve()
  {
    mStarted = Now();
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
    auto const context = MakeContext(*route);
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
    auto const facts = mServices.mDialect.mReadCaller(message);
    core::duration const timeout =
      std::chrono::milliseconds(aRoute.mTimeoutMilliseconds);
    traffic::call_context context;
    context.mRequest = facts.mRequest;
    if (context.mRequest.IsEmpty()) {
      context.mRequest = { MakeRequestId(Outgoing().mSettings.mInstance) };
    }
    context.mRootDaemon = Outgoing().mSettings.mPeerAddress;
    context.mDeadline =
      now + std::min(timeout, facts.mTimeLeft.value_or(timeout));
    context.mClass = aRoute.mClass;
    context.mLevel = LevelOf(aRoute);
    context.mCallerHash = HashCaller(facts.mCaller);
    context.mKey = Outgoing().mSettings.mClaims ? facts.mKey : std::string();
    context.mOrigin = Outgoing().mSettings.mUpstream.mService;
    context.mRoute = aRoute.mName;
    InheritFromParent(context);
    return context;
  }

  /// A call of a run at the own upstream takes the place of that run in the
  /// order of shedding, so that work is carried through or refused as a whole.
  void InheritFromParent(traffic::call_context& aContext)
  {
    auto const parent = mServices.mDialect.mFindParent(aContext.mRequest);
    if (parent.IsEmpty()) {
      return;
    }
    auto const run = Outgoing().mPolicy.ContextOfRun(parent);
    if (!run) {
      return;
    }
    mIsNested = true;
    aContext.mParent = parent;
    aContext.mDepth = run->mDepth + 1;
    aContext.mClass = run->mClass;
    aContext.mLevel = run->mLevel;
    aContext.mCallerHash = run->mCallerHash;
    aContext.mIsRepeat = run->mIsRepeat;
  }

  static std::optional<std::uint32_t> LevelOf(tables::route const& aRoute)
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
    // Calls of the own upstream belong to requests in flight, which a drain
    // must not cut off.
    if (!mIsNested && Outgoing().mPolicy.RefusesCallers(Now())) {
      return notRun(refusal_reason::kDraining, kNotReadyRetryAfter);
    }
    return std::nullopt;
  }

  task<bool> RunRequest(routed_request aRequest)
  {
    auto const context = aRequest.mContext;
    auto const extraTries = aRequest.mRoute->mExtraTries;
    mStream.expires_at(ToSteadyClock(context.mDeadline + kSlowReaderTime));
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
    runner->SetBodyTakenHook([this] { mRoom.Notify(); });
    mIsReading = true;
    asio::co_spawn(
      Outgoing().mExecutor,
      [self = shared_from_this(), runner] { return self->ReadBody(runner); },
      asio::detached);
    bool const isRoot = mOwnsBudget;
    if (isRoot) {
      Outgoing().mPolicy.OpenBudget(Now(), context, extraTries);
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
      Outgoing().mPolicy.CloseBudget(context.mRequest);
    }
    bool const bodyWasRead = co_await StopReading();
    if (!result.mHasResponse) {
      if (mIsTooLarge) {
        result.mRefusal.mReason = refusal_reason::kTooLarge;
      }
      co_return co_await Refuse(result.mRefusal);
    }
    Outgoing().mMetrics.CountResponse(
      mClass, mAnswer->result_int(), mAnswered - mStarted);
    LogAnswer(context.mRequest, result);
    // A truncated answer must not look whole: the connection ends before the
    // announced length or the last chunk.
    co_return result.mIsComplete&& bodyWasRead && mAnswer->keep_alive();
  }

  /// Reads the request's body for as long as there is room, then watches for
  /// the caller's disconnect.
  task<void> ReadBody(std::shared_ptr<call_runner> aRunner)
  {
    auto const self = shared_from_this();
    co_await ReadBodyBytes(*aRunner);
    if (!aRunner->Body().IsBroken() && !mMustStopReading) {
      co_await WatchForDisconnect(*aRunner);
    }
    mIsReading = false;
    mReaderDone.Notify();
  }

  task<void> ReadBodyBytes(call_runner& aRunner)
  {
    if (ExpectsContinue()) {
      mHasContinued = true;
      http::response<http::empty_body> proceed(http::status::continue_,
                                               mParser->get().version());
      co_await http::async_write(mStream, proceed, kAsTuple);
    }
    std::array<char, kReadBytes> bytes;
    while (!mParser->is_done() && !mMustStopReading) {
      auto const room = std::min(bytes.size(), aRunner.Body().Room());
      if (room == 0) {
        co_await mRoom.Wait();
        continue;
      }
      mParser->get().body().data = bytes.data();
      mParser->get().body().size = room;
      auto const [code, size] =
        co_await http::async_read_some(mStream, mBuffer, *mParser, kAsTuple);
      if (code && code != http::error::need_buffer) {
        mIsTooLarge = code == http::error::body_limit;
        aRunner.Body().MarkBroken();
        aRunner.Notify();
        co_return;
      }
      aRunner.Body().Append(
        std::string_view(bytes.data(), room - mParser->get().body().size));
      aRunner.Notify();
    }
    if (mParser->is_done()) {
      aRunner.Body().MarkComplete();
      aRunner.Notify();
    }
  }

  task<void> WatchForDisconnect(call_runner& aRunner)
  {
    if (mBuffer.size() > 0) {
      co_return;
    }
    auto& socket = mStream.socket();
    auto const [code] =
      co_await socket.async_wait(tcp::socket::wait_read, kAsTuple);
    if (code || mMustStopReading) {
      co_return;
    }
    char byte = 0;
    beast::error_code peekCode;
    socket.non_blocking(true, peekCode);
    auto const size = socket.receive(
      asio::buffer(&byte, 1), tcp::socket::message_peek, peekCode);
    if (size == 0 && peekCode != asio::error::would_block) {
      aRunner.Abandon();
    }
  }

  /// Returns whether the request was read to its end.
  task<bool> StopReading()
  {
    mMustStopReading = true;
    while (mIsReading) {
      mStream.cancel();
      mRoom.Notify();
      co_await mReaderDone.Wait(Now() + kReaderStopPoll);
    }
    mMustStopReading = false;
    co_return mParser->is_done();
  }

  task<bool> WriteHead(call_response_head const& aHead,
                       core::instance_id const& aInstance)
  {
    mAnswered = Now();
    mAnswer.emplace();
    mAnswer->version(mParser->get().version());
    mAnswer->result(aHead.mStatus);
    AppendHeaders(*mAnswer, aHead.mHeaders);
    mServices.mDialect.mMarkResponse(*mAnswer, aInstance);
    bool const canChunk = mParser->get().version() >= kFirstChunkedVersion;
    if (aHead.mContentLength) {
      mAnswer->content_length(*aHead.mContentLength);
    } else if (aHead.mHasBody && canChunk) {
      mAnswer->chunked(true);
    }
    bool const hasLength = aHead.mContentLength || !aHead.mHasBody || canChunk;
    mAnswer->keep_alive(mParser->get().keep_alive() && hasLength &&
                        !Outgoing().mPolicy.IsDraining());
    mAnswer->body().data = nullptr;
    mAnswer->body().more = aHead.mHasBody;
    mSerializer.emplace(*mAnswer);
    auto const [code, size] =
      co_await http::async_write_header(mStream, *mSerializer, kAsTuple);
    co_return IsWritten(code);
  }

  task<bool> WriteChunk(std::string_view aBytes, bool aIsLast)
  {
    // The serializer wants a buffer that it may regard as writable.
    std::string bytes(aBytes);
    mAnswer->body().data = bytes.empty() ? nullptr : bytes.data();
    mAnswer->body().size = bytes.size();
    mAnswer->body().more = !aIsLast;
    auto const [code, size] =
      co_await http::async_write(mStream, *mSerializer, kAsTuple);
    co_return IsWritten(code);
  }

  /// Ends a request without an answer. Returns whether the connection can be
  /// used again.
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
    // A caller that waits for "100 Continue" does not send the rest.
    bool const isWholeOrComing =
      mParser->is_done() || !ExpectsContinue() || mHasContinued;
    response.keep_alive(message.keep_alive() && isWholeOrComing &&
                        !Outgoing().mPolicy.IsDraining());
    response.prepare_payload();
    bool const keepAlive = response.keep_alive();
    auto const [code, size] =
      co_await http::async_write(mStream, response, kAsTuple);
    if (!IsWritten(code) || !isWholeOrComing) {
      co_return false;
    }
    bool const isWhole = co_await DiscardBody();
    co_return keepAlive&& isWhole;
  }

  void LogRefusal(call_refusal const& aRefusal, unsigned aStatus) const
  {
    auto const facts = mServices.mDialect.mReadCaller(mParser->get());
    core::LogInfo("request_refused")
      .Field("request", facts.mRequest.mValue)
      .Field("target", mParser->get().target())
      .Field("nested", mIsNested ? "yes" : "no")
      .Field("status", aStatus)
      .Field("outcome", OutcomeName(aRefusal.mOutcome))
      .Field("reason", core::ReasonName(aRefusal.mReason))
      .Field("retry_after_ms", core::Milliseconds(aRefusal.mRetryAfter))
      .Field("age_ms", core::Milliseconds(Now() - mStarted));
  }

  void LogAnswer(core::request_id const& aRequest,
                 call_result const& aResult) const
  {
    auto line = core::LogInfo(aResult.mIsComplete ? "request_answered"
                                                  : "request_cut_off");
    line.Field("request", aRequest.mValue)
      .Field("nested", mIsNested ? "yes" : "no")
      .Field("status", mAnswer->result_int())
      .Field("answered_ms", core::Milliseconds(mAnswered - mStarted))
      .Field("age_ms", core::Milliseconds(Now() - mStarted));
    if (!aResult.mIsComplete) {
      line.Field("reason", core::ReasonName(aResult.mRefusal.mReason));
    }
  }

  /// Reads what is left of the request. Returns whether that was all of it.
  task<bool> DiscardBody()
  {
    std::array<char, kReadBytes> bytes;
    mStream.expires_after(kDiscardTime);
    while (!mParser->is_done()) {
      mParser->get().body().data = bytes.data();
      mParser->get().body().size = bytes.size();
      auto const [code, size] =
        co_await http::async_read_some(mStream, mBuffer, *mParser, kAsTuple);
      if (code && code != http::error::need_buffer) {
        co_return false;
      }
    }
    co_return true;
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
  std::optional<answer_message> mAnswer;
  std::optional<answer_serializer> mSerializer;
  signal mReaderDone;
  /// Wakes the reader when the body buffer has room again.
  signal mRoom;
  tables::work_class mClass = tables::work_class::kCatalogue;
  core::time_point mStarted;
  /// When the head of the answer went out.
  core::time_point mAnswered;
  bool mIsNested = false;
  /// Whether the retry budget of the request is kept here.
  bool mOwnsBudget = true;
  bool mIsTooLarge = false;
  bool mHasContinued = false;
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
