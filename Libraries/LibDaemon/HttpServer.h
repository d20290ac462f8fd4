#pragma once

#include "LibDaemon/CallRunner.h"
#include "LibDaemon/ClaimService.h"
#include "LibDaemon/HttpDialect.h"
#include "LibDaemon/IdleConnections.h"

#include <atomic>
#include <memory>

/// The HTTP server of a daemon, for callers and for calls of the local
/// upstream.
namespace cranberryfold::daemon {

enum class listener_kind
{
  /// Requests of callers; their context headers are dropped.
  kCaller,
  /// Calls of the local upstream; their context headers are used.
  kEgress,
};

/// Number of requests in flight on all HTTP connections. A drain waits until it
/// is zero.
using request_counter = std::atomic<std::int64_t>;

struct http_services
{
  outgoing_services& mOutgoing;
  request_counter& mRequests;
  claim_service& mClaims;
  http_dialect const& mDialect;
  idle_connections& mIdle;
};

/// Serves an accepted HTTP connection until it ends.
task<void>
ServeHttp(http_services& aServices, listener_kind aKind, tcp::socket aSocket);

}
