#include "LibHttp/Client.h"

#include "LibHttp/Beast.h"
#include "LibHttp/ResponseChecks.h"
#include "LibHttp/ResponseHead.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace cranberryfold::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

using detail::kNoThrow;
using detail::beast_http::empty_body;
using detail::beast_http::error;
using response_parser =
  detail::beast_http::response_parser<detail::beast_http::buffer_body>;

/// Buffered bytes beyond a body chunk; also bounds the response header.
constexpr std::size_t kMaximumBufferBytes = 256U << 10U;

core::error_code
ToErrorCode(beast::error_code const& aCode)
{
  auto const endOfStream = make_error_code(error::end_of_stream);
  if (aCode == beast::error::timeout) {
    return core::error_code::kTimeout;
  }
  if (aCode == error::body_limit) {
    return core::error_code::kLimitExceeded;
  }
  bool const isParseError = aCode.category() == endOfStream.category() &&
                            aCode != error::end_of_stream &&
                            aCode != error::partial_message;
  return isParseError ? core::error_code::kMalformed
                      : core::error_code::kClosed;
}

core::error
ToError(beast::error_code const& aCode,
        std::string aStep,
        core::address const& aPeer)
{
  return { ToErrorCode(aCode),
           std::move(aStep),
           core::FormatAddress(aPeer),
           aCode.message() };
}

// GCC 12 may destroy an aggregate temporary of a co_return twice, so the
// attempts are made by functions.
template<class T>
core::attempt<T>
Failed(core::error aError)
{
  return { std::nullopt, std::move(aError) };
}

template<class T>
core::attempt<T>
Succeeded(T aValue)
{
  return { std::move(aValue), {} };
}

response_head
ToHead(response_parser const& aParser)
{
  return { aParser.get().result_int(), detail::ToHeaders(aParser.get()) };
}

detail::beast_http::request<empty_body>
ToMessage(request_head const& aHead,
          std::uint64_t aBodySize,
          core::address const& aPeer)
{
  detail::beast_http::request<empty_body> message;
  message.version(11);
  message.method_string(aHead.mMethod);
  message.target(aHead.mTarget);
  message.set(detail::beast_http::field::host, core::FormatAddress(aPeer));
  detail::AddHeaders(message, aHead.mHeaders);
  if (aBodySize > 0 || aHead.mMethod == "POST" || aHead.mMethod == "PUT") {
    message.content_length(aBodySize);
  }
  return message;
}

}

struct client_connection::state
{
  state(asio::any_io_executor const& aExecutor, core::address aPeer)
    : mStream(aExecutor)
    , mPeer(std::move(aPeer))
    , mBuffer(kMaximumBufferBytes)
  {
  }

  /// Reads one response; a HEAD response has no body.
  asio::awaitable<beast::error_code> Read(response_parser& aParser,
                                          body_sink const& aSink)
  {
    auto code = co_await ReadResponseHead(mStream, mBuffer, aParser);
    if (!code && !IsHttpStatus(aParser.get().result_int())) {
      code = make_error_code(error::bad_status);
    }
    if (!code) {
      code = co_await detail::ReadBody(mStream, mBuffer, aParser, aSink);
    }
    co_return code;
  }

  beast::tcp_stream mStream;
  core::address mPeer;
  beast::flat_buffer mBuffer;
  bool mIsReusable = false;
};

client_connection::client_connection(asio::any_io_executor const& aExecutor,
                                     core::address aPeer)
  : mState(std::make_unique<state>(aExecutor, std::move(aPeer)))
{
}

client_connection::~client_connection() = default;

asio::awaitable<core::attempt<core::nothing>>
client_connection::Connect(core::duration aTimeout)
{
  beast::error_code code;
  auto const host = asio::ip::make_address(mState->mPeer.mHost, code);
  if (!code) {
    mState->mStream.expires_after(aTimeout);
    asio::ip::tcp::endpoint const endpoint(host, mState->mPeer.mPort);
    std::tie(code) = co_await mState->mStream.async_connect(endpoint, kNoThrow);
  }
  if (code) {
    auto problem = ToError(code, "connect", mState->mPeer);
    if (problem.mCode != core::error_code::kTimeout) {
      problem.mCode = core::error_code::kUnreachable;
    }
    co_return Failed<core::nothing>(std::move(problem));
  }
  // Otherwise a small request waits for the acknowledgement of the previous
  // one.
  mState->mStream.socket().set_option(asio::ip::tcp::no_delay(true), code);
  mState->mIsReusable = true;
  co_return Succeeded(core::nothing{});
}

asio::awaitable<core::attempt<response_head>>
client_connection::Exchange(request_head const& aHead,
                            outgoing_body const& aBody,
                            body_sink const& aSink,
                            core::duration aTimeout,
                            std::uint64_t aMaximumBody)
{
  auto const message = ToMessage(aHead, aBody.mSize, mState->mPeer);
  mState->mStream.expires_after(aTimeout);
  mState->mIsReusable = false;
  auto const writeCode =
    co_await detail::WriteMessage(mState->mStream, message, aBody);
  response_parser parser;
  parser.body_limit(aMaximumBody);
  parser.skip(aHead.mMethod == "HEAD");
  // A server may refuse and close before it has read the whole body, so the
  // response is read even after a failed write.
  auto const readCode = co_await mState->Read(parser, aSink);
  bool const isCutOff = parser.is_header_done() && parser.need_eof() &&
                        WasConnectionLost(writeCode);
  if (readCode || isCutOff) {
    Close();
    auto const step = parser.is_header_done() ? "read_body" : "read_response";
    auto const code = writeCode ? writeCode : readCode;
    co_return Failed<response_head>(ToError(code, step, mState->mPeer));
  }
  mState->mIsReusable = !writeCode && parser.get().keep_alive();
  if (!mState->mIsReusable) {
    Close();
  }
  co_return Succeeded(ToHead(parser));
}

bool
client_connection::IsReusable() const
{
  if (!mState->mIsReusable) {
    return false;
  }
  // An idle connection has nothing to read, unless the peer has closed it.
  char byte = 0;
  beast::error_code code;
  auto& socket = mState->mStream.socket();
  socket.non_blocking(true, code);
  socket.receive(
    asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, code);
  return code == asio::error::would_block;
}

void
client_connection::Close()
{
  mState->mIsReusable = false;
  mState->mStream.close();
}

asio::awaitable<core::attempt<response>>
SendRequest(core::address const& aPeer,
            request const& aRequest,
            core::duration aTimeout,
            std::uint64_t aMaximumBody)
{
  client_connection connection(co_await asio::this_coro::executor, aPeer);
  auto const connected = co_await connection.Connect(aTimeout);
  if (!connected) {
    co_return Failed<response>(connected.mError);
  }
  response received;
  body_sink const sink = [&received](std::string_view aBytes) {
    received.mBody += aBytes;
  };
  auto const body = BodyOf(aRequest.mBody);
  auto const head = co_await connection.Exchange(
    aRequest.mHead, body, sink, aTimeout, aMaximumBody);
  if (!head) {
    co_return Failed<response>(head.mError);
  }
  received.mHead = *head;
  co_return Succeeded(std::move(received));
}

}
