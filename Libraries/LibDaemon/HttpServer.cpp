#include "LibDaemon/HttpServer.h"

#include "LibCore/Hash.h"
#include "LibCore/Log.h"
#include "LibDaemon/ClaimedCall.h"
#include "LibDaemon/HttpFields.h"
#include "LibTables/TableRules.h"

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

constexpr std::uint32_t kMaximumHeaderBytes = 16U * 1024U;
constexpr auto kIdleTimeout = 60s;
constexpr std::size_t kReadBytes = 16UL * 1024UL;
constexpr std::size_t kRequestIdBytes = 16;

using request_parser = http::request_parser<http::buffer_body>;
using answer_message = http::response<http::buffer_body>;
using answer_serializer = http::response_serializer<http::buffer_body>;

/// The status that a caller sees for a request without an answer.
http::status
StatusFor(call_refusal const& aRefusal)
{
  if (aRefusal.mReason == refusal_reason::kNoRoute) {
    return http::status::not_found;
  }
  if (aRefusal.mReason == refusal_reason::kBadRequest ||
      aRefusal.mReason == refusal_reason::kMissingKey) {
    return http::status::bad_request;
  }
  if (aRefusal.mOutcome == outcome::kNotRun) {
    return http::status::service_unavailable;
  }
  if (aRefusal.mReason == refusal_reason::kClaimHeld) {
    return http::status::conflict;
  }
  return aRefusal.mReason == refusal_reason::kDeadlineExceeded
           ? http::status::gateway_timeout
           : http::status::bad_gateway;
}

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
      mParser.emplace();
      mParser->header_limit(kMaximumHeaderBytes);
      mParser->body_limit(boost::none);
      mStream.expires_after(kIdleTimeout);
      auto const [code, size] =
        co_await http::async_read_header(mStream, mBuffer, *mParser, kAsTuple);
      if (code) {
        CountDamage(code);
        break;
      }
      mStream.expires_never();
      ++mServices.mRequests;
      keepAlive = co_await Serve();
      --mServices.mRequests;
    }
    beast::error_code ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    mStream.close();
  }

private:
  outgoing_services& Outgoing() { return mServices.mOutgoing; }

  void CountDamage(beast::error_code aCode)
  {
    bool const isDamage =
      aCode.category() ==
        http::make_error_code(http::error::bad_method).category() &&
      aCode != http::error::end_of_stream;
    if (isDamage) {
      Outgoing().mMetrics.CountRefusal(refusal_place::kListener,
                                       refusal_reason::kMalformed);
    }
  }

  /// Serves the request whose header was read. Returns whether the connection
  /// can be used again.
  task<bool> Serve()
  {
    auto const view = Outgoing().mPolicy.View();
    auto const& message = mParser->get();
    auto const method = std::string(message.method_string());
    auto const target = std::string(message.target());
    auto const* const route = tables::FindRoute(view->mTables, method, target);
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
                            *route,
                            method,
                            target,
                            EndToEndHeaders(message),
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
    if (mKind == listener_kind::kEgress) {
      if (auto context = ReadContext(message, now)) {
        ++context->mDepth;
        return *context;
      }
    }
    traffic::call_context context;
    context.mRequest = { MakeRequestId(Outgoing().mSettings.mInstance) };
    context.mRootDaemon = Outgoing().mSettings.mPeerAddress;
    context.mDeadline =
      now + std::chrono::milliseconds(aRoute.mTimeoutMilliseconds);
    context.mClass = aRoute.mClass;
    context.mCallerHash = HashCaller();
    context.mKey = FieldValue(message, header::kKey);
    return context;
  }

  std::uint64_t HashCaller()
  {
    auto const id = FieldValue(mParser->get(), header::kCallerId);
    if (!id.empty()) {
      return core::Hash64(id);
    }
    beast::error_code code;
    auto const remote = mStream.socket().remote_endpoint(code);
    return core::Hash64(code ? "" : remote.address().to_string());
  }

  std::optional<call_refusal> CheckContext(
    traffic::call_context const& aContext)
  {
    auto const notRun = [](refusal_reason aReason) {
      return call_refusal{ outcome::kNotRun, aReason, {} };
    };
    if (aContext.mDepth > Outgoing().mSettings.mMaximumDepth) {
      return notRun(refusal_reason::kTooDeep);
    }
    if (aContext.mDeadline <= Now()) {
      return notRun(refusal_reason::kDeadlineExceeded);
    }
    // Calls of the own upstream belong to requests in flight, which a drain
    // must not cut off.
    if (mKind == listener_kind::kCaller && Outgoing().mPolicy.IsDraining()) {
      return notRun(refusal_reason::kDraining);
    }
    return std::nullopt;
  }

  task<bool> RunRequest(routed_request aRequest)
  {
    auto const context = aRequest.mContext;
    auto const extraTries = aRequest.mRoute.mExtraTries;
    answer_sink sink{ [this](answer_head const& aHead,
                             core::instance_id const& aInstance) {
                       return WriteHead(aHead, aInstance);
                     },
                      [this](std::string_view aBytes, bool aIsLast) {
                        return WriteChunk(aBytes, aIsLast);
                      } };
    auto const key = ClaimKeyFor(aRequest);
    auto const recorder = std::make_shared<answer_recorder>(sink);
    auto const runner = std::make_shared<call_runner>(
      Outgoing(), std::move(aRequest), key ? recorder->Sink() : sink);
    runner->SetBodyTakenHook([this] { mRoom.Notify(); });
    mIsReading = true;
    asio::co_spawn(
      Outgoing().mExecutor,
      [self = shared_from_this(), runner] { return self->ReadBody(runner); },
      asio::detached);
    bool const isRoot = context.mDepth == 0;
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
    if (!result.mHasAnswer) {
      bool const keepAlive = co_await Refuse(result.mRefusal);
      co_return keepAlive&& bodyWasRead;
    }
    Outgoing().mMetrics.CountResponse(mClass, mAnswer->result_int());
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
    if (beast::iequals(FieldValue(mParser->get(), "expect"), "100-continue")) {
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

  task<bool> WriteHead(answer_head const& aHead,
                       core::instance_id const& aInstance)
  {
    mAnswer.emplace();
    mAnswer->version(mParser->get().version());
    mAnswer->result(aHead.mStatus);
    AppendHeaders(*mAnswer, aHead.mHeaders);
    SetField(*mAnswer, header::kInstance, aInstance.mValue);
    SetField(*mAnswer, header::kOutcome, OutcomeName(outcome::kRan));
    bool const canChunk = mParser->get().version() >= kFirstChunkedVersion;
    if (aHead.mContentLength) {
      mAnswer->content_length(*aHead.mContentLength);
    } else if (aHead.mHasBody && canChunk) {
      mAnswer->chunked(true);
    }
    bool const hasLength = aHead.mContentLength || !aHead.mHasBody || canChunk;
    mAnswer->keep_alive(mParser->get().keep_alive() && hasLength);
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

  static void SetField(http::fields& aFields,
                       std::string_view aName,
                       std::string_view aValue)
  {
    aFields.set({ aName.data(), aName.size() },
                { aValue.data(), aValue.size() });
  }

  task<bool> Refuse(call_refusal aRefusal)
  {
    auto const status = StatusFor(aRefusal);
    Outgoing().mMetrics.CountRefusal(refusal_place::kCaller, aRefusal.mReason);
    Outgoing().mMetrics.CountResponse(mClass, static_cast<unsigned>(status));
    http::response<http::string_body> response(status,
                                               mParser->get().version());
    SetField(response, header::kOutcome, OutcomeName(aRefusal.mOutcome));
    SetField(response, header::kReason, core::ReasonName(aRefusal.mReason));
    if (aRefusal.mOutcome == outcome::kNotRun) {
      auto const seconds = std::max<std::int64_t>(
        1, core::Milliseconds(aRefusal.mRetryAfter) / 1000);
      response.set(http::field::retry_after, std::to_string(seconds));
    }
    response.set(http::field::content_type, "text/plain");
    response.body() =
      "outcome: " + std::string(OutcomeName(aRefusal.mOutcome)) +
      "\nreason: " + std::string(core::ReasonName(aRefusal.mReason)) + "\n";
    bool const keepAlive = mParser->get().keep_alive() && mParser->is_done();
    response.keep_alive(keepAlive);
    response.prepare_payload();
    auto const [code, size] =
      co_await http::async_write(mStream, response, kAsTuple);
    co_return IsWritten(code) && keepAlive;
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
