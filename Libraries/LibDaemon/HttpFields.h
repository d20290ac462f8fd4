#pragma once

#include "LibDaemon/CallFrames.h"
#include "LibTraffic/CallContext.h"
#include "LibTraffic/UpstreamCondition.h"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP headers: forwarding, and the call context that they carry.
namespace cranberryfold::daemon {

namespace header {

inline constexpr std::string_view kPrefix = "x-cranberryfold-";
inline constexpr std::string_view kRequestId = "x-cranberryfold-request-id";
inline constexpr std::string_view kRoot = "x-cranberryfold-root";
inline constexpr std::string_view kDeadline = "x-cranberryfold-deadline-ms";
inline constexpr std::string_view kClass = "x-cranberryfold-class";
inline constexpr std::string_view kCallerHash = "x-cranberryfold-caller";
inline constexpr std::string_view kDepth = "x-cranberryfold-depth";
inline constexpr std::string_view kOutcome = "x-cranberryfold-outcome";
inline constexpr std::string_view kReason = "x-cranberryfold-reason";
inline constexpr std::string_view kInstance = "x-cranberryfold-instance";
/// Set by upstreams that accept a limited number of requests per second.
inline constexpr std::string_view kRequestLimit =
  "x-cranberryfold-requests-per-second";
/// Set to "yes" by upstreams that are about to stop.
inline constexpr std::string_view kLeaving = "x-cranberryfold-leaving";
inline constexpr std::string_view kIdempotencyKey = "idempotency-key";
/// Set by callers to distinguish customers behind one address.
inline constexpr std::string_view kCallerId = "x-caller-id";

}

/// Returns whether a header name starts with kPrefix, in any case.
bool
HasOwnPrefix(std::string_view aName);

/// Returns the end-to-end headers: all but the hop-by-hop headers, those that
/// the connection header names, and those for which aIsOwn returns true.
std::vector<header_field>
EndToEndHeaders(boost::beast::http::fields const& aFields,
                std::function<bool(std::string_view)> const& aIsOwn);

/// Sets a header and replaces existing ones of that name.
void
SetField(boost::beast::http::fields& aFields,
         std::string_view aName,
         std::string_view aValue);

/// Parses a decimal integer. Returns std::nullopt if aText contains anything
/// else or the number is out of range.
std::optional<std::int64_t>
ParseDecimal(std::string_view aText);

/// Returns a new id for a request whose caller sent none.
std::string
MakeRequestId(core::instance_id const& aInstance);

/// Parses a decimal number that is finite and not negative. Returns
/// std::nullopt for anything else.
std::optional<double>
ParseRate(std::string_view aText);

/// Returns the condition of an upstream from the values of two headers, empty
/// if they are missing. Returns std::nullopt if the limit cannot be parsed.
std::optional<traffic::upstream_condition>
ParseCondition(std::string_view aRequestLimit, bool aIsLeaving);

/// Adds headers and keeps existing ones of the same name.
void
AppendHeaders(boost::beast::http::fields& aFields,
              std::vector<header_field> const& aHeaders);

/// Writes the context of a call to the headers of a request for the upstream.
void
WriteContext(boost::beast::http::fields& aFields,
             traffic::call_context const& aContext,
             core::time_point aNow);

/// Reads the context that an upstream copied to its own call. Returns
/// std::nullopt if a header is missing or malformed.
std::optional<traffic::call_context>
ReadContext(boost::beast::http::fields const& aFields, core::time_point aNow);

/// Returns the value of a header, or an empty string if it is missing.
std::string_view
FieldValue(boost::beast::http::fields const& aFields, std::string_view aName);

/// Returns the name of an outcome for the outcome header and the log.
std::string_view
OutcomeName(traffic::outcome aOutcome);

}
