#pragma once

#include "LibDaemon/Asio.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <vector>

namespace cranberryfold::daemon {

/// A connection to the local upstream, with the bytes read ahead on it.
struct upstream_connection
{
  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
};

/// Idle connections of one thread to the local upstream, kept since a new one
/// costs about a millisecond.
class upstream_pool
{
public:
  upstream_pool(asio::any_io_executor aExecutor, core::address aUpstream);

  /// Returns an idle connection or a new one; null when the upstream cannot be
  /// reached, in which case nothing was sent to it.
  task<std::shared_ptr<upstream_connection>> Take();

  /// Keeps a connection whose response was read to its end.
  void Return(std::shared_ptr<upstream_connection> aConnection);

private:
  asio::any_io_executor mExecutor;
  core::address mUpstream;
  std::vector<std::shared_ptr<upstream_connection>> mIdle;
};

/// Returns whether the upstream accepts a connection.
task<bool>
IsListening(asio::any_io_executor aExecutor, core::address aUpstream);

/// Asks the upstream's health endpoint once. Returns the HTTP status, or 0
/// when it cannot be reached.
task<unsigned>
CheckHealth(core::address aUpstream, std::string aPath);

}
