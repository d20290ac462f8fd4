#include "LibDaemon/HttpFields.h"

#include "LibCore/Address.h"
#include "LibDaemon/Asio.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cmath>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace cranberryfold::daemon {

namespace {

namespace http = boost::beast::http;

constexpr std::array<http::field, 9> kHopByHop{
  http::field::connection,       http::field::keep_alive,
  http::field::proxy_connection, http::field::te,
  http::field::trailer,          http::field::transfer_encoding,
  http::field::upgrade,          http::field::expect,
  http::field::content_length,
};

constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

template<class Number>
std::optional<Number>
ParseNumber(std::string_view aText, int aBase)
{
  Number number{};
  auto const* const end = aText.data() + aText.size();
  auto const [parsed, code] = std::from_chars(aText.data(), end, number, aBase);
  if (code != std::errc{} || parsed != end) {
    return std::nullopt;
  }
  return number;
}

std::string
FormatHexadecimal(std::uint64_t aNumber)
{
  std::array<char, 16> text{};
  auto const [end, code] = std::to_chars(
    text.data(), text.data() + text.size(), aNumber, kHexadecimal);
  return { text.data(), end };
}

}

std::string_view
FieldValue(http::fields const& aFields, std::string_view aName)
{
  auto const found = aFields.find({ aName.data(), aName.size() });
  if (found == aFields.end()) {
    return {};
  }
  return { found->value().data(), found->value().size() };
}

bool
HasOwnPrefix(std::string_view aName)
{
  return boost::beast::iequals(aName.substr(0, header::kPrefix.size()),
                               header::kPrefix);
}

void
SetField(http::fields& aFields, std::string_view aName, std::string_view aValue)
{
  aFields.set({ aName.data(), aName.size() }, { aValue.data(), aValue.size() });
}

std::optional<std::int64_t>
ParseDecimal(std::string_view aText)
{
  return ParseNumber<std::int64_t>(aText, kDecimal);
}

std::string
MakeRequestId(core::instance_id const& aInstance)
{
  static std::atomic<std::uint64_t> sequence{ 0 };
  return aInstance.mValue + "-" +
         std::to_string(Now().time_since_epoch().count()) + "-" +
         std::to_string(++sequence);
}

std::optional<double>
ParseRate(std::string_view aText)
{
  double rate = 0;
  auto const* const end = aText.data() + aText.size();
  auto const [parsed, code] =
    std::from_chars(aText.data(), end, rate, std::chars_format::fixed);
  bool const isValid = code == std::errc{} && parsed == end &&
                       std::isfinite(rate) && !std::signbit(rate);
  return isValid ? std::optional(rate) : std::nullopt;
}

std::optional<traffic::upstream_condition>
ParseCondition(std::string_view aRequestLimit, bool aIsLeaving)
{
  if (aRequestLimit.empty()) {
    return traffic::upstream_condition{ std::nullopt, aIsLeaving };
  }
  auto const rate = ParseRate(aRequestLimit);
  if (!rate && !aIsLeaving) {
    return std::nullopt;
  }
  return traffic::upstream_condition{ rate, aIsLeaving };
}

std::vector<header_field>
EndToEndHeaders(http::fields const& aFields,
                std::function<bool(std::string_view)> const& aIsOwn)
{
  http::token_list named{ aFields[http::field::connection] };
  std::vector<header_field> headers;
  for (auto const& field : aFields) {
    bool const isHopByHop =
      std::find(kHopByHop.begin(), kHopByHop.end(), field.name()) !=
      kHopByHop.end();
    std::string_view const name(field.name_string().data(),
                                field.name_string().size());
    if (isHopByHop || aIsOwn(name) || named.exists(field.name_string())) {
      continue;
    }
    headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return headers;
}

void
AppendHeaders(http::fields& aFields, std::vector<header_field> const& aHeaders)
{
  for (auto const& field : aHeaders) {
    aFields.insert(field.mName, field.mValue);
  }
}

void
WriteContext(http::fields& aFields,
             traffic::call_context const& aContext,
             core::time_point aNow)
{
  auto const set = [&aFields](std::string_view aName, std::string_view aValue) {
    SetField(aFields, aName, aValue);
  };
  auto const remaining =
    std::max<std::int64_t>(0, core::Milliseconds(aContext.mDeadline - aNow));
  set(header::kRequestId, aContext.mRequest.mValue);
  set(header::kRoot, core::FormatAddress(aContext.mRootDaemon));
  set(header::kDeadline, std::to_string(remaining));
  set(header::kClass, tables::WorkClassName(aContext.mClass));
  set(header::kCallerHash, FormatHexadecimal(aContext.mCallerHash));
  set(header::kDepth, std::to_string(aContext.mDepth));
}

std::optional<traffic::call_context>
ReadContext(http::fields const& aFields, core::time_point aNow)
{
  auto const root = core::Attempt(
    [&] { return core::ParseAddress(FieldValue(aFields, header::kRoot)); });
  auto const remaining =
    ParseNumber<std::int64_t>(FieldValue(aFields, header::kDeadline), kDecimal);
  auto const workClass =
    tables::ParseWorkClass(FieldValue(aFields, header::kClass));
  auto const caller = ParseNumber<std::uint64_t>(
    FieldValue(aFields, header::kCallerHash), kHexadecimal);
  auto const depth =
    ParseNumber<std::uint32_t>(FieldValue(aFields, header::kDepth), kDecimal);
  auto const request = FieldValue(aFields, header::kRequestId);
  if (!root || !remaining || !workClass || !caller || !depth ||
      request.empty()) {
    return std::nullopt;
  }
  return traffic::call_context{
    { std::string(request) },
    *root,
    aNow + std::chrono::milliseconds(*remaining),
    *workClass,
    *caller,
    *depth,
    std::string(FieldValue(aFields, header::kIdempotencyKey)),
  };
}

std::string_view
OutcomeName(traffic::outcome aOutcome)
{
  switch (aOutcome) {
    case traffic::outcome::kNotRun:
      return "not_run";
    case traffic::outcome::kRan:
      return "ran";
    case traffic::outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}
