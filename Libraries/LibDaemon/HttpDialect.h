#pragma once

#include "LibDaemon/CallFrames.h"
#include "LibDaemon/TrafficPolicy.h"
#include "LibMembership/UpstreamTracker.h"
#include "LibTraffic/UpstreamCondition.h"

#include <boost/beast/http/fields.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Conversion between HTTP headers and call metadata for callers and upstreams.
/// A platform with its own headers provides another dialect.
namespace cranberryfold::daemon {

using http_fields = boost::beast::http::fields;

/// Metadata that a caller sends with its request.
struct caller_metadata
{
  /// Empty if the caller sent none; the daemon then generates one.
  core::request_id mRequest;
  /// How long the caller waits for the response; empty if it sent no deadline.
  std::optional<core::duration> mTimeLeft;
  /// Idempotency key; empty if the caller sent none.
  std::string mKey;
  /// Distinguishes customers behind one address; empty if the caller sent none.
  std::string mCaller;
};

/// Metadata that an upstream sends with its response.
struct upstream_response_metadata
{
  /// The upstream guarantees that it has not run the request.
  bool mIsNotRun = false;
  /// The response lacks a header that every response of an upstream has.
  bool mIsMalformed = false;
  /// The request that the response belongs to; empty if not sent.
  core::request_id mRequest;
  /// How long the upstream keeps an idle connection open; empty if not sent.
  std::optional<core::duration> mKeepAlive;
  /// Empty if the response does not tell the upstream's condition, for example
  /// because it is malformed.
  std::optional<traffic::upstream_condition> mCondition;
};

struct http_dialect
{
  std::function<caller_metadata(http_fields const&)> mReadCaller;
  /// Reads the context that an upstream copied to its own call. Returns
  /// std::nullopt if there is none.
  std::function<std::optional<traffic::call_context>(http_fields const&,
                                                     core::time_point)>
    mReadContext;
  /// Returns the id of the request that may have made a call without a context,
  /// or an empty id. The caller must check that this request runs at the local
  /// upstream.
  std::function<core::request_id(core::request_id const&)> mFindParent;
  /// Adds the call context and the id of the intended upstream process to a
  /// request for the upstream.
  std::function<void(http_fields&,
                     traffic::call_context const&,
                     membership::upstream_id const&,
                     core::time_point)>
    mWriteContext;
  std::function<upstream_response_metadata(unsigned, http_fields const&)>
    mReadResponse;
  /// Adds the instance that ran the call to a response of an upstream.
  std::function<void(http_fields&, core::instance_id const&)> mMarkResponse;
  /// Returns the HTTP status for a request without a response of an upstream.
  std::function<unsigned(call_refusal const&)> mStatusFor;
  /// Adds the outcome, the reason and the suggested wait to such a response.
  std::function<void(http_fields&, call_refusal const&)> mMarkRefusal;
  /// Returns whether a header is set by daemons only and must not be forwarded.
  std::function<bool(std::string_view)> mIsOwnHeader;
};

/// Returns the default dialect, whose headers start with x-cranberryfold-.
http_dialect
DefaultDialect();

}
