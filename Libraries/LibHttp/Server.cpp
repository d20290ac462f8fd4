#include "LibHttp/Server.h"

#include "LibHttp/Beast.h"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cranberryfold::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using detail::kNoThrow;
using error_code = boost::beast::error_code;

namespace {

using request_parser =
  detail::beast_http::request_parser<detail::beast_http::buffer_body>;
using empty_response =
  detail::beast_http::response<detail::beast_http::empty_body>;

constexpr std::size_t kMaximumBufferBytes = 256U << 10U;
/// Pause after a failed accept, such as one for want of descriptors; without
/// it the loop would spin.
constexpr std::chrono::milliseconds kAcceptPause{ 50 };

core::attempt<core::nothing>
ToAttempt(error_code const& aCode, std::string aStep)
{
  if (!aCode) {
    return { core::nothing{}, {} };
  }
  return {
    std::nullopt,
    { core::error_code::kClosed, std::move(aStep), "client", aCode.message() }
  };
}

}

namespace detail {

struct server_connection
{
  explicit server_connection(tcp::socket aSocket)
    : mSocket(std::move(aSocket))
    , mBuffer(kMaximumBufferBytes)
  {
  }

  tcp::socket mSocket;
  boost::beast::flat_buffer mBuffer;
  std::optional<request_parser> mParser;
  request_head mHead;
  bool mIsKept = false;
};

}

server_exchange::server_exchange(detail::server_connection& aConnection)
  : mConnection(aConnection)
{
}

request_head const&
server_exchange::Head() const
{
  return mConnection.mHead;
}

asio::awaitable<core::attempt<core::nothing>>
server_exchange::ReadBody(body_sink const& aSink)
{
  auto& connection = mConnection;
  bool const isExpecting =
    FindHeader(connection.mHead.mHeaders, "expect") == "100-continue";
  if (isExpecting && !connection.mParser->is_done()) {
    static constexpr std::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(
      connection.mSocket, asio::buffer(kContinue), kNoThrow);
  }
  auto const code = co_await detail::ReadBody(
    connection.mSocket, connection.mBuffer, *connection.mParser, aSink);
  connection.mIsKept = connection.mIsKept && !code;
  co_return ToAttempt(code, "read_request_body");
}

asio::awaitable<core::attempt<core::nothing>>
server_exchange::Respond(response_head const& aHead, outgoing_body const& aBody)
{
  auto& connection = mConnection;
  // Closing with unread bytes would reset the connection, and the client could
  // lose the response.
  if (!connection.mParser->is_done()) {
    body_sink const discard = [](std::string_view) {};
    auto const drained = co_await ReadBody(discard);
    if (!drained) {
      co_return drained;
    }
  }
  empty_response message;
  message.version(11);
  message.result(aHead.mStatus);
  detail::AddHeaders(message, aHead.mHeaders);
  message.content_length(aBody.mSize);
  message.keep_alive(connection.mIsKept);
  bool const hasBody = connection.mHead.mMethod != "HEAD";
  outgoing_body const body = hasBody ? aBody : outgoing_body{};
  auto const code =
    co_await detail::WriteMessage(connection.mSocket, message, body);
  connection.mIsKept = connection.mIsKept && !code;
  co_return ToAttempt(code, "write_response");
}

asio::awaitable<core::attempt<core::nothing>>
server_exchange::Respond(response const& aResponse)
{
  auto const body = BodyOf(aResponse.mBody);
  co_return co_await Respond(aResponse.mHead, body);
}

asio::awaitable<void>
server_exchange::WaitForClose()
{
  auto& socket = mConnection.mSocket;
  auto const [code] =
    co_await socket.async_wait(tcp::socket::wait_read, kNoThrow);
  char byte = 0;
  error_code peekCode;
  socket.non_blocking(true);
  auto const count =
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekCode);
  if (!code && count == 1) {
    // The next request is already there. Closing can't be seen behind it, so
    // this waits until the owner cancels it.
    asio::steady_timer never(socket.get_executor(),
                             asio::steady_timer::time_point::max());
    co_await never.async_wait(kNoThrow);
  }
}

void
server_exchange::Abandon()
{
  mConnection.mIsKept = false;
}

struct server::state
{
  state(asio::any_io_executor const& aExecutor, request_handler aHandler)
    : mExecutor(aExecutor)
    , mAcceptor(aExecutor)
    , mHandler(std::move(aHandler))
  {
  }

  asio::any_io_executor mExecutor;
  tcp::acceptor mAcceptor;
  request_handler mHandler;
  std::size_t mOpenConnections = 0;
  bool mIsStopped = false;
};

namespace {

/// Reads the next request header. Returns false when there is none.
asio::awaitable<bool>
ReadHead(detail::server_connection& aConnection)
{
  aConnection.mParser.emplace();
  aConnection.mParser->body_limit(boost::none);
  auto const [code, count] = co_await detail::beast_http::async_read_header(
    aConnection.mSocket, aConnection.mBuffer, *aConnection.mParser, kNoThrow);
  if (code) {
    co_return false;
  }
  auto const& message = aConnection.mParser->get();
  aConnection.mHead = { std::string(message.method_string()),
                        std::string(message.target()),
                        detail::ToHeaders(message) };
  aConnection.mIsKept = message.keep_alive();
  co_return true;
}

template<class State>
asio::awaitable<void>
ServeConnection(std::shared_ptr<State> aState, tcp::socket aSocket)
{
  ++aState->mOpenConnections;
  // The check sees the move of the parameter into the coroutine frame as well.
  // NOLINTNEXTLINE(bugprone-use-after-move)
  detail::server_connection connection(std::move(aSocket));
  connection.mIsKept = true;
  while (connection.mIsKept && !aState->mIsStopped) {
    // GCC 12 evaluates the other operands again after a co_await within &&, so
    // that this stands in a statement of its own. The check takes the suspended
    // frame for a use of the moved parameter.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    bool const hasRequest = co_await ReadHead(connection);
    if (!hasRequest) {
      break;
    }
    server_exchange exchange(connection);
    co_await aState->mHandler(exchange);
    connection.mIsKept = connection.mIsKept && connection.mParser->is_done();
  }
  error_code code;
  connection.mSocket.shutdown(tcp::socket::shutdown_both, code);
  --aState->mOpenConnections;
}

template<class State>
asio::awaitable<void>
AcceptConnections(std::shared_ptr<State> aState)
{
  while (!aState->mIsStopped) {
    auto [code, socket] = co_await aState->mAcceptor.async_accept(kNoThrow);
    if (code) {
      asio::steady_timer pause(aState->mExecutor, kAcceptPause);
      co_await pause.async_wait(kNoThrow);
      continue;
    }
    socket.set_option(tcp::no_delay(true), code);
    asio::co_spawn(aState->mExecutor,
                   ServeConnection(aState, std::move(socket)),
                   asio::detached);
  }
}

}

server::server(asio::any_io_executor const& aExecutor, request_handler aHandler)
  : mState(std::make_shared<state>(aExecutor, std::move(aHandler)))
{
}

server::~server()
{
  Stop();
}

core::result<void>
server::Listen(core::address const& aAddress)
{
  error_code code;
  auto& acceptor = mState->mAcceptor;
  tcp::endpoint const endpoint(asio::ip::make_address(aAddress.mHost, code),
                               aAddress.mPort);
  if (!code) {
    acceptor.open(endpoint.protocol(), code);
  }
  if (!code) {
    error_code ignored;
    acceptor.set_option(tcp::acceptor::reuse_address(true), ignored);
    acceptor.bind(endpoint, code);
  }
  if (!code) {
    acceptor.listen(tcp::acceptor::max_listen_connections, code);
  }
  if (code) {
    return core::Fail({ core::error_code::kUnreachable,
                        "listen",
                        core::FormatAddress(aAddress),
                        code.message() });
  }
  asio::co_spawn(mState->mExecutor, AcceptConnections(mState), asio::detached);
  return {};
}

core::address
server::LocalAddress() const
{
  error_code code;
  auto const endpoint = mState->mAcceptor.local_endpoint(code);
  return { endpoint.address().to_string(), endpoint.port() };
}

void
server::Stop()
{
  mState->mIsStopped = true;
  error_code code;
  mState->mAcceptor.close(code);
}

std::size_t
server::OpenConnections() const
{
  return mState->mOpenConnections;
}

}
