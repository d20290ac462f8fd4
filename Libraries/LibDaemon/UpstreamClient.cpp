#include "LibDaemon/UpstreamClient.h"

#include "LibHttp/Client.h"

#include <algorithm>

namespace cranberryfold::daemon {

namespace {

using namespace std::chrono_literals;

constexpr auto kConnectTimeout = 1s;
constexpr core::duration kHealthTimeout = 2s;
/// Limit for a health response. Only its status and headers are used.
constexpr std::size_t kMaximumHealthBytes = 64UL * 1024UL;
constexpr std::size_t kMaximumIdleConnections = 64;
constexpr std::size_t kReadAheadBytes = 16UL * 1024UL;
/// An upstream may close an idle connection while a request is on its way, so
/// connections are discarded this long before their keep-alive time ends.
constexpr core::duration kKeepAliveMargin = 1s;
/// Time for which a connection has to stay open to show that the upstream's
/// process goes on. An unused listener is closed at once when a process ends.
constexpr core::duration kListenerCheckTime = 20ms;
/// Keep-alive time if the upstream sends none. Below the 10 s after which the
/// users' upstreams close idle connections.
constexpr core::duration kDefaultKeepAlive = 8s;

task<std::shared_ptr<upstream_connection>>
OpenConnection(asio::any_io_executor aExecutor, core::address aUpstream)
{
  auto const endpoint = ToEndpoint<tcp>(aUpstream);
  if (!endpoint) {
    co_return nullptr;
  }
  auto connection = std::make_shared<upstream_connection>(
    upstream_connection{ boost::beast::tcp_stream(aExecutor) });
  connection->mStream.expires_after(kConnectTimeout);
  auto const [code] =
    co_await connection->mStream.async_connect(*endpoint, kAsTuple);
  if (code) {
    co_return nullptr;
  }
  // Beast reads at most as many bytes as the buffer has capacity for, which is
  // 512 at first.
  connection->mBuffer.reserve(kReadAheadBytes);
  boost::system::error_code ignored;
  connection->mStream.socket().set_option(tcp::no_delay(true), ignored);
  co_return connection;
}

}

upstream_pool::upstream_pool(asio::any_io_executor aExecutor,
                             core::address aUpstream)
  : mExecutor(std::move(aExecutor))
  , mUpstream(std::move(aUpstream))
{
}

task<std::shared_ptr<upstream_connection>>
upstream_pool::Take(core::duration aMaximumIdle)
{
  auto const now = Now();
  while (!mIdleConnections.empty()) {
    auto const idle = std::move(mIdleConnections.back());
    mIdleConnections.pop_back();
    if (now >= idle.mExpires) {
      continue;
    }
    if (now - idle.mIdleSince > aMaximumIdle) {
      // The remaining connections have been idle for longer. They are left to
      // calls that accept a longer idle time.
      mIdleConnections.push_back(idle);
      break;
    }
    // Bytes or the end of the stream mean that the upstream has closed it.
    if (PeekSocket(idle.mConnection->mStream.socket()) == socket_state::kIdle) {
      co_return idle.mConnection;
    }
  }
  co_return co_await OpenConnection(mExecutor, mUpstream);
}

void
upstream_pool::Return(std::shared_ptr<upstream_connection> aConnection,
                      std::optional<core::duration> aKeepAlive)
{
  auto const now = Now();
  auto const keepAlive =
    std::min(kDefaultKeepAlive, aKeepAlive.value_or(kDefaultKeepAlive));
  bool const canKeep = mIdleConnections.size() < kMaximumIdleConnections &&
                       aConnection->mBuffer.size() == 0 &&
                       keepAlive > kKeepAliveMargin;
  if (canKeep) {
    aConnection->mHasCarriedCalls = true;
    aConnection->mStream.expires_never();
    mIdleConnections.push_back(
      { std::move(aConnection), now, now + keepAlive - kKeepAliveMargin });
  }
}

task<bool>
IsListening(asio::any_io_executor aExecutor, core::address aUpstream)
{
  auto const first = co_await OpenConnection(aExecutor, aUpstream);
  if (!first) {
    co_return false;
  }
  asio::steady_timer end(aExecutor, kListenerCheckTime);
  end.async_wait(
    [first](boost::system::error_code) { first->mStream.cancel(); });
  auto const [code] = co_await first->mStream.socket().async_wait(
    tcp::socket::wait_read, kAsTuple);
  end.cancel();
  if (code || PeekSocket(first->mStream.socket()) != socket_state::kClosed) {
    co_return true;
  }
  auto const second = co_await OpenConnection(aExecutor, aUpstream);
  co_return second != nullptr;
}

task<std::optional<http::response>>
FetchHealth(core::address aUpstream, std::string aPath)
{
  http::request request;
  request.mHead.mTarget = std::move(aPath);
  request.mHead.mHeaders = { { "connection", "close" } };
  auto const response = co_await http::SendRequest(
    aUpstream, request, kHealthTimeout, kMaximumHealthBytes);
  if (!response) {
    co_return std::nullopt;
  }
  co_return *response;
}

task<unsigned>
FetchHealthStatus(core::address aUpstream, std::string aPath)
{
  auto const response =
    co_await FetchHealth(std::move(aUpstream), std::move(aPath));
  co_return response ? response->mHead.mStatus : 0U;
}

}
