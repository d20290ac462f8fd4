#pragma once

#include "LibDaemon/Asio.h"
#include "LibHttp/Message.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberryfold::daemon {

/// Maximum bytes read ahead on a connection to the upstream. The parser limits
/// the size of a head, but not of the line before a chunk.
inline constexpr std::size_t kMaximumReadAheadBytes = 64UL * 1024UL;

/// A connection to the local upstream and the bytes read ahead on it.
struct upstream_connection
{
  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer{ kMaximumReadAheadBytes };
  /// Bytes that belong to an earlier call may still arrive on it.
  bool mHasCarriedCalls = false;
};

/// Idle connections of one thread to the local upstream. They are reused since
/// opening one takes about a millisecond.
class upstream_pool
{
public:
  upstream_pool(asio::any_io_executor aExecutor, core::address aUpstream);

  /// Returns a connection that has been idle for at most aMaximumIdle, or a new
  /// one. Returns null if the upstream cannot be reached; no byte was sent
  /// then.
  task<std::shared_ptr<upstream_connection>> Take(core::duration aMaximumIdle);

  /// Returns a connection to the pool after its response was read to the end.
  /// aKeepAlive is the idle time after which the upstream closes it, if known.
  void Return(std::shared_ptr<upstream_connection> aConnection,
              std::optional<core::duration> aKeepAlive);

  /// Closes the idle connections. Called when the upstream process they belong
  /// to has ended.
  void CloseIdle() { mIdleConnections.clear(); }

private:
  struct idle_connection
  {
    std::shared_ptr<upstream_connection> mConnection;
    core::time_point mIdleSince;
    core::time_point mExpires;
  };

  asio::any_io_executor mExecutor;
  core::address mUpstream;
  std::vector<idle_connection> mIdleConnections;
};

/// Returns whether the upstream accepts connections. The listener of a process
/// that ends can outlive its other connections for a moment, so that an
/// accepted connection has to stay open, or a second one has to be accepted: an
/// upstream may also close connections beyond its limit.
task<bool>
IsListening(asio::any_io_executor aExecutor, core::address aUpstream);

/// Requests the upstream's health endpoint once. Returns std::nullopt if it
/// cannot be reached.
task<std::optional<http::response>>
FetchHealth(core::address aUpstream, std::string aPath);

/// Returns the HTTP status of the upstream's health endpoint, or 0 if it cannot
/// be reached.
task<unsigned>
FetchHealthStatus(core::address aUpstream, std::string aPath);

}
