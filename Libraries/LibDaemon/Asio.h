#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "LibCore/Address.h"
#include "LibCore/Time.h"

#include <chrono>
#include <optional>

namespace cranberryfold::daemon {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

template<class T>
using task = asio::awaitable<T>;

/// Completion token that returns errors as values. LEAF keeps its errors in
/// thread-local storage, which does not survive the suspension of a coroutine.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// Returns the current time of the steady clock, as the decision objects use
/// it.
inline core::time_point
Now()
{
  return core::FromSteadyClock(std::chrono::steady_clock::now());
}

inline std::chrono::steady_clock::time_point
ToSteadyClock(core::time_point aTime)
{
  return std::chrono::steady_clock::time_point(aTime.time_since_epoch());
}

inline core::address
ToAddress(tcp::endpoint const& aEndpoint)
{
  return { aEndpoint.address().to_string(), aEndpoint.port() };
}

/// Returns the endpoint, or std::nullopt if the host is not an IP address.
template<class Protocol>
std::optional<typename Protocol::endpoint>
ToEndpoint(core::address const& aAddress)
{
  boost::system::error_code code;
  auto const host = asio::ip::make_address(aAddress.mHost, code);
  if (code) {
    return std::nullopt;
  }
  return typename Protocol::endpoint(host, aAddress.mPort);
}

/// What a read from a socket would return now.
enum class socket_state
{
  /// Nothing yet; the connection is open.
  kIdle,
  kReadable,
  /// The peer has closed its side, or the connection failed.
  kClosed,
};

/// Returns the state of a connected socket without reading from it.
inline socket_state
PeekSocket(tcp::socket& aSocket)
{
  boost::system::error_code code;
  aSocket.non_blocking(true, code);
  char byte = 0;
  auto const size =
    aSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
  if (size > 0) {
    return socket_state::kReadable;
  }
  return code == asio::error::would_block ? socket_state::kIdle
                                          : socket_state::kClosed;
}

/// Wakes a waiting coroutine on the same thread. A notification without a
/// waiter is lost, so a coroutine must check its condition before each wait.
class signal
{
public:
  explicit signal(asio::any_io_executor const& aExecutor)
    : mTimer(aExecutor)
  {
  }

  void Notify() { mTimer.cancel(); }

  /// Returns after a notification or at aUntil.
  task<void> Wait(core::time_point aUntil)
  {
    mTimer.expires_at(ToSteadyClock(aUntil));
    co_await mTimer.async_wait(kAsTuple);
  }

  /// Returns after a notification.
  task<void> Wait()
  {
    mTimer.expires_at(std::chrono::steady_clock::time_point::max());
    co_await mTimer.async_wait(kAsTuple);
  }

private:
  asio::steady_timer mTimer;
};

}
