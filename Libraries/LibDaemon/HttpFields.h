#pragma once

#include "LibDaemon/CallFrames.h"
#include "LibTraffic/CallContext.h"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP headers: what is passed on, and the context that travels in them.
namespace cranberryfold::daemon {

namespace header {

inline constexpr std::string_view kPrefix = "x-cranberryfold-";
inline constexpr std::string_view kRequestId = "x-cranberryfold-request-id";
inline constexpr std::string_view kRoot = "x-cranberryfold-root";
inline constexpr std::string_view kDeadline = "x-cranberryfold-deadline-ms";
inline constexpr std::string_view kClass = "x-cranberryfold-class";
inline constexpr std::string_view kCaller = "x-cranberryfold-caller";
inline constexpr std::string_view kDepth = "x-cranberryfold-depth";
inline constexpr std::string_view kOutcome = "x-cranberryfold-outcome";
inline constexpr std::string_view kReason = "x-cranberryfold-reason";
inline constexpr std::string_view kInstance = "x-cranberryfold-instance";
inline constexpr std::string_view kKey = "idempotency-key";
/// Set by callers; tells customers behind one address apart.
inline constexpr std::string_view kCallerId = "x-caller-id";

}

/// Whether a header is one of this system's own.
bool
HasOwnPrefix(std::string_view aName);

/// Copies the end-to-end headers. Hop-by-hop headers stay behind, also those
/// that the connection header names, and what aIsOwn names.
std::vector<header_field>
EndToEndHeaders(boost::beast::http::fields const& aFields,
                std::function<bool(std::string_view)> const& aIsOwn);

/// Replaces a header.
void
SetField(boost::beast::http::fields& aFields,
         std::string_view aName,
         std::string_view aValue);

/// Parses a whole decimal number; nothing when there is anything else.
std::optional<std::int64_t>
ParseDecimal(std::string_view aText);

/// Adds headers to a message.
void
AppendHeaders(boost::beast::http::fields& aFields,
              std::vector<header_field> const& aHeaders);

/// Writes the context of a call for its upstream.
void
WriteContext(boost::beast::http::fields& aFields,
             traffic::call_context const& aContext,
             core::time_point aNow);

/// Reads the context that an upstream copied onto its own call; nothing when
/// there is none or a part of it is damaged.
std::optional<traffic::call_context>
ReadContext(boost::beast::http::fields const& aFields, core::time_point aNow);

/// Returns the value of a header, or an empty text.
std::string_view
FieldValue(boost::beast::http::fields const& aFields, std::string_view aName);

/// The name of an outcome in the outcome header.
std::string_view
OutcomeName(traffic::outcome aOutcome);

}
