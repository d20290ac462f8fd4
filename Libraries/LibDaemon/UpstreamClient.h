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

/// Bytes that are read ahead on a connection to the upstream at most. The
/// parser bounds a head, but not the line before a chunk.
inline constexpr std::size_t kMaximumReadAheadBytes = 64UL * 1024UL;

/// A connection to the local upstream, with the bytes read ahead on it.
struct upstream_connection
{
  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer{ kMaximumReadAheadBytes };
};

/// Idle connections of one thread to the local upstream, kept since a new one
/// costs about a millisecond.
class upstream_pool
{
public:
  upstream_pool(asio::any_io_executor aExecutor, core::address aUpstream);

  /// Returns a connection that has been idle for aLongestIdle at most, or a new
  /// one; null when the upstream cannot be reached, in which case nothing was
  /// sent to it.
  task<std::shared_ptr<upstream_connection>> Take(core::duration aLongestIdle);

  /// Keeps a connection whose response was read to its end. The upstream closes
  /// it when it has been idle for aKeepAlive, if that is known.
  void Return(std::shared_ptr<upstream_connection> aConnection,
              std::optional<core::duration> aKeepAlive);

  /// Closes the idle connections, which belong to a process that has ended.
  void CloseIdle() { mIdle.clear(); }

private:
  struct idle_connection
  {
    std::shared_ptr<upstream_connection> mConnection;
    core::time_point mSince;
    core::time_point mExpires;
  };

  asio::any_io_executor mExecutor;
  core::address mUpstream;
  std::vector<idle_connection> mIdle;
};

/// Returns whether the upstream accepts a connection.
task<bool>
IsListening(asio::any_io_executor aExecutor, core::address aUpstream);

/// Asks the upstream's health endpoint once. Nothing when it cannot be reached.
task<std::optional<http::response>>
FetchHealth(core::address aUpstream, std::string aPath);

/// Returns the HTTP status of the health endpoint, or 0 when it cannot be
/// reached.
task<unsigned>
FetchHealthStatus(core::address aUpstream, std::string aPath);

}
