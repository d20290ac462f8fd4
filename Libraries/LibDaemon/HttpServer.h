#pragma once

#include "LibDaemon/CallRunner.h"
#include "LibDaemon/ClaimService.h"
#include "LibDaemon/HttpDialect.h"

#include <atomic>
#include <memory>

/// The HTTP side of a daemon: callers, and calls of the own upstream.
namespace cranberryfold::daemon {

enum class listener_kind
{
  /// Context headers are dropped.
  kCaller,
  /// Calls of the own upstream; context headers are honoured.
  kEgress,
};

/// Requests in flight on all HTTP connections, for the drain.
using request_counter = std::atomic<std::int64_t>;

struct http_services
{
  outgoing_services& mOutgoing;
  request_counter& mRequests;
  claim_service& mClaims;
  http_dialect const& mDialect;
};

/// Serves one accepted HTTP connection to its end.
task<void>
ServeHttp(http_services& aServices, listener_kind aKind, tcp::socket aSocket);

}
