#pragma once

#include "LibDaemon/CallFrames.h"
#include "LibDaemon/TrafficPolicy.h"
#include "LibMembership/UpstreamTracker.h"

#include <boost/beast/http/fields.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// The headers that callers, daemons and upstreams exchange. A platform with
/// headers of its own plugs in another dialect.
namespace cranberryfold::daemon {

using http_fields = boost::beast::http::fields;

/// What a caller tells about its request.
struct caller_metadata
{
  /// Empty when the caller gives none; the daemon makes one then.
  core::request_id mRequest;
  /// How long the caller waits; nothing when it does not tell.
  std::optional<core::duration> mTimeLeft;
  std::string mKey;
  /// Tells customers behind one address apart; empty when not told.
  std::string mCaller;
};

/// What an upstream tells beside its response.
struct upstream_response_metadata
{
  /// The upstream guarantees that it has not run the request.
  bool mIsNotRun = false;
  /// The response lacks what every response of an upstream has.
  bool mIsMalformed = false;
  /// The request that the response belongs to; empty when not told.
  core::request_id mRequest;
  /// How long the upstream keeps an idle connection; nothing when not told.
  std::optional<core::duration> mKeepAlive;
};

struct http_dialect
{
  std::function<caller_metadata(http_fields const&)> mReadCaller;
  /// Reads the context that an upstream copied onto its own call; nothing when
  /// there is none.
  std::function<std::optional<traffic::call_context>(http_fields const&,
                                                     core::time_point)>
    mReadContext;
  /// Returns the request whose run may have made a call without a context, or
  /// an empty id. It is the maker if it runs at the own upstream.
  std::function<core::request_id(core::request_id const&)> mFindParent;
  /// Adds context and the process that the call is meant for to a request for
  /// the upstream.
  std::function<void(http_fields&,
                     traffic::call_context const&,
                     membership::upstream_id const&,
                     core::time_point)>
    mWriteContext;
  std::function<upstream_response_metadata(unsigned, http_fields const&)>
    mReadResponse;
  /// Adds to a response of an upstream where it ran.
  std::function<void(http_fields&, core::instance_id const&)> mMarkResponse;
  /// Returns the status of a request that ends without an answer.
  std::function<unsigned(call_refusal const&)> mStatusFor;
  /// Adds outcome, reason and advice to such a response.
  std::function<void(http_fields&, call_refusal const&)> mMarkRefusal;
  /// Whether a header is set by daemons only and never passed on.
  std::function<bool(std::string_view)> mIsOwnHeader;
};

/// The dialect of this project: headers that begin with x-cranberryfold-.
http_dialect
DefaultDialect();

}
