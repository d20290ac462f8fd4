#include "LibCore/JsonReader.h"
#include "LibTables/TableRules.h"

#include <array>

/// Reads and formats the tables as JSON and defines the ranges of their fields.
namespace cranberryfold::tables {

namespace {

using core::enumeration_name;
using core::presence;

constexpr std::array<enumeration_name<work_class>, kWorkClassCount> kClassNames{
  { { work_class::kCatalogue, "catalogue" },
    { work_class::kStatus, "status" },
    { work_class::kOrder, "order" },
    { work_class::kDeposit, "deposit" },
    { work_class::kBooking, "booking" },
    { work_class::kUpload, "upload" } }
};

constexpr std::array<enumeration_name<pool_objective>, 2> kObjectiveNames{
  { { pool_objective::kGoodput, "goodput" },
    { pool_objective::kRecoveryTime, "recovery_time" } }
};

constexpr std::array<enumeration_name<concurrency_policy>, 2> kConcurrencyNames{
  { { concurrency_policy::kAdaptive, "adaptive" },
    { concurrency_policy::kSlots, "slots" } }
};
constexpr std::array<enumeration_name<spill_scope>, 3> kSpillNames{
  { { spill_scope::kZone, "zone" },
    { spill_scope::kRegion, "region" },
    { spill_scope::kAll, "all" } }
};

constexpr core::integer_range kConcurrencyRange{ 0, 100000 };
constexpr core::integer_range kQueueLimitRange{ 0, 100000 };
constexpr core::integer_range kQueueWaitRangeMilliseconds{ 1, 60000 };
constexpr core::integer_range kPercentRange{ 0, 100 };
constexpr core::integer_range kColdStartRangeMilliseconds{ 0, 600000 };
constexpr core::integer_range kTimeoutRangeMilliseconds{ 1, 600000 };
constexpr core::integer_range kExtraTriesRange{ 0, 10 };
constexpr core::integer_range kWeightRange{ 0, 1'000'000 };
constexpr core::integer_range kRankRange{ 0, 1'000'000 };
constexpr core::integer_range kObjectiveRangeMilliseconds{ 0, 660000 };
constexpr core::integer_range kHeaderBytesRange{ 256, 1 << 20 };
constexpr core::integer_range kBodyBytesRange{ 0, std::int64_t{ 1 } << 40 };
constexpr core::integer_range kCallerTimeoutRangeMilliseconds{ 1, 3'600'000 };

std::string
Quote(std::string_view aText)
{
  std::string quoted = "\"";
  for (char const character : aText) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += character;
  }
  return quoted + "\"";
}

template<class Enumeration, std::size_t Size>
std::string
QuoteName(std::array<enumeration_name<Enumeration>, Size> const& aNames,
          Enumeration aValue)
{
  for (auto const& entry : aNames) {
    if (entry.mValue == aValue) {
      return Quote(entry.mName);
    }
  }
  return "\"\"";
}

std::string
FormatBoolean(bool aValue)
{
  return aValue ? "true" : "false";
}

std::string
FormatSplit(std::vector<weighted_pool> const& aSplit)
{
  std::string parts;
  for (auto const& part : aSplit) {
    parts += parts.empty() ? "" : ", ";
    parts += "{ \"pool\": " + Quote(part.mPool) +
             ", \"weight\": " + std::to_string(part.mWeight) + " }";
  }
  return "[" + parts + "]";
}

std::string
FormatPool(pool const& aPool)
{
  std::string row = "    { \"name\": " + Quote(aPool.mName);
  row += ", \"service\": " + Quote(aPool.mService.mValue);
  row += ", \"objective\": " + QuoteName(kObjectiveNames, aPool.mObjective);
  row += ", \"max_concurrency\": " + std::to_string(aPool.mMaxConcurrency);
  row +=
    ", \"concurrency\": " + QuoteName(kConcurrencyNames, aPool.mConcurrency);
  row += ",\n      \"queue_limit\": " + std::to_string(aPool.mQueueLimit);
  row += ", \"queue_wait_ms\": " + std::to_string(aPool.mQueueWaitMilliseconds);
  row += ", \"retry_percent\": " + std::to_string(aPool.mRetryPercent);
  row += ", \"spill\": " + QuoteName(kSpillNames, aPool.mSpill);
  row += ", \"cold_start_ms\": " + std::to_string(aPool.mColdStartMilliseconds);
  if (!aPool.mHealthPath.empty()) {
    row += ",\n      \"health_path\": " + Quote(aPool.mHealthPath);
  }
  row += ",\n      \"upstream_connections\": " +
         std::to_string(aPool.mUpstreamConnections);
  row += ", \"upstream_protocol\": " + Quote(aPool.mUpstreamProtocol);
  row += ", \"upstream_tls\": " + FormatBoolean(aPool.mUpstreamTls);
  return row + " }";
}

std::string
FormatRoute(route const& aRoute)
{
  std::string methods;
  for (auto const& method : aRoute.mMethods) {
    methods += (methods.empty() ? "" : ", ") + Quote(method);
  }
  std::string row = "    { \"name\": " + Quote(aRoute.mName);
  row += ", \"methods\": [" + methods + "]";
  if (!aRoute.mHost.empty()) {
    row += ", \"host\": " + Quote(aRoute.mHost);
  }
  row += ", \"path_prefix\": " + Quote(aRoute.mPathPrefix);
  row += aRoute.mSplit.empty() ? ", \"pool\": " + Quote(aRoute.mPool)
                               : ", \"split\": " + FormatSplit(aRoute.mSplit);
  row += ",\n      \"class\": " + QuoteName(kClassNames, aRoute.mClass);
  if (aRoute.mRank) {
    row += ", \"rank\": " + std::to_string(*aRoute.mRank);
  }
  row += ", \"idempotent\": " + FormatBoolean(aRoute.mIdempotent);
  row += ", \"large_bodies\": " + FormatBoolean(aRoute.mLargeBodies);
  row +=
    ",\n      \"timeout_ms\": " + std::to_string(aRoute.mTimeoutMilliseconds);
  row += ", \"objective_ms\": " + std::to_string(aRoute.mObjectiveMilliseconds);
  row += ", \"extra_tries\": " + std::to_string(aRoute.mExtraTries);
  return row + " }";
}

template<class Rows, class Format>
std::string
FormatRows(Rows const& aRows, Format const& aFormat)
{
  std::string text;
  for (auto const& [name, row] : aRows) {
    text += (text.empty() ? "\n" : ",\n") + aFormat(row);
  }
  return text + (text.empty() ? "" : "\n  ");
}

}

std::string_view
WorkClassName(work_class aClass)
{
  return kClassNames.at(static_cast<std::size_t>(aClass)).mName;
}

std::optional<work_class>
ParseWorkClass(std::string_view aName)
{
  for (auto const& entry : kClassNames) {
    if (entry.mName == aName) {
      return entry.mValue;
    }
  }
  return std::nullopt;
}

pool
ReadPool(core::json_reader& aReader)
{
  constexpr auto kRequired = presence::kRequired;
  constexpr auto kOptional = presence::kOptional;
  pool row;
  aReader.Text("name", row.mName, kRequired, "Name that routes refer to.");
  aReader.Text("service",
               row.mService.mValue,
               kRequired,
               "Service whose upstreams do the work.");
  aReader.Choice("objective",
                 row.mObjective,
                 kObjectiveNames,
                 kOptional,
                 "What counts more under overload.");
  aReader.Number("max_concurrency",
                 row.mMaxConcurrency,
                 kConcurrencyRange,
                 kOptional,
                 "Calls at once for each upstream; 0 means its slots.");
  aReader.Choice("concurrency",
                 row.mConcurrency,
                 kConcurrencyNames,
                 kOptional,
                 "What bounds the calls at once below that number.");
  aReader.Number("queue_limit",
                 row.mQueueLimit,
                 kQueueLimitRange,
                 kOptional,
                 "Calls that may wait at each upstream.");
  aReader.Number("queue_wait_ms",
                 row.mQueueWaitMilliseconds,
                 kQueueWaitRangeMilliseconds,
                 kOptional,
                 "Longest wait in that queue.");
  aReader.Number("retry_percent",
                 row.mRetryPercent,
                 kPercentRange,
                 kOptional,
                 "Repeats for each hundred calls of a daemon, within 10 s.");
  aReader.Choice("spill",
                 row.mSpill,
                 kSpillNames,
                 kOptional,
                 "How far from the sender's zone work may go.");
  aReader.Number("cold_start_ms",
                 row.mColdStartMilliseconds,
                 kColdStartRangeMilliseconds,
                 kOptional,
                 "Ramp of a freshly started upstream.");
  aReader.Text("health_path",
               row.mHealthPath,
               kOptional,
               "Path that answers 200 when an upstream is healthy.");
  aReader.Number(
    "upstream_connections",
    row.mUpstreamConnections,
    kConcurrencyRange,
    kOptional,
    "Connections that each upstream accepts; 0 means as announced.");
  aReader.Text("upstream_protocol",
               row.mUpstreamProtocol,
               kOptional,
               "Protocol of the upstreams; h1 is HTTP/1.1.");
  aReader.Boolean("upstream_tls",
                  row.mUpstreamTls,
                  kOptional,
                  "Whether the upstreams expect TLS.");
  return row;
}

route
ReadRoute(core::json_reader& aReader)
{
  constexpr auto kRequired = presence::kRequired;
  constexpr auto kOptional = presence::kOptional;
  route row;
  std::vector<std::string> methods;
  aReader.Text("name", row.mName, kRequired, "Name of the row.");
  aReader.TextList(
    "methods", methods, kRequired, "HTTP methods, upper case; * for all.");
  aReader.Text("host", row.mHost, kOptional, "Host asked for; none for all.");
  aReader.Text("path_prefix",
               row.mPathPrefix,
               kRequired,
               "Paths that it takes; the longest match wins.");
  aReader.Text("pool",
               row.mPool,
               kOptional,
               "Pool that does the work; required without a split.");
  aReader.Each(
    "split",
    kOptional,
    [&row](core::json_reader& aPart) {
      weighted_pool part;
      aPart.Text("pool", part.mPool, kRequired, "Pool of this part.");
      aPart.Number("weight",
                   part.mWeight,
                   kWeightRange,
                   kRequired,
                   "Share of this part, relative to the sum of all.");
      row.mSplit.push_back(std::move(part));
    },
    "Divides the work over several pools.");
  aReader.Choice("class",
                 row.mClass,
                 kClassNames,
                 kRequired,
                 "Class of the work; decides what is shed first.");
  std::int64_t rank = -1;
  aReader.Number("rank",
                 rank,
                 { -1, kRankRange.mMaximum },
                 kOptional,
                 "Priority, 0 being the highest; -1 leaves it to the class.");
  if (rank >= 0) {
    row.mRank = static_cast<std::uint32_t>(rank);
  }
  aReader.Boolean("idempotent",
                  row.mIdempotent,
                  kRequired,
                  "Whether running it twice does no harm.");
  aReader.Boolean(
    "large_bodies", row.mLargeBodies, kOptional, "Callers send large bodies.");
  aReader.Number("timeout_ms",
                 row.mTimeoutMilliseconds,
                 kTimeoutRangeMilliseconds,
                 kOptional,
                 "Time for the whole request.");
  aReader.Number("objective_ms",
                 row.mObjectiveMilliseconds,
                 kObjectiveRangeMilliseconds,
                 kOptional,
                 "Time within which a response is worth most; 0: the timeout.");
  aReader.Number("extra_tries",
                 row.mExtraTries,
                 kExtraTriesRange,
                 kOptional,
                 "Further upstreams that calls of the request may be sent "
                 "to, at all depths together.");
  row.mMethods.insert(methods.begin(), methods.end());
  return row;
}

void
ReadLimits(core::json_reader& aReader, caller_limits& aOut)
{
  constexpr auto kOptional = presence::kOptional;
  aReader.Number("header_bytes",
                 aOut.mHeaderBytes,
                 kHeaderBytesRange,
                 kOptional,
                 "Longest header of a request.");
  aReader.Number("body_bytes",
                 aOut.mBodyBytes,
                 kBodyBytesRange,
                 kOptional,
                 "Longest body of a request; 0 means no limit.");
  aReader.Number("header_timeout_ms",
                 aOut.mHeaderTimeoutMilliseconds,
                 kCallerTimeoutRangeMilliseconds,
                 kOptional,
                 "Time for the header, from its first byte.");
  aReader.Number("idle_timeout_ms",
                 aOut.mIdleTimeoutMilliseconds,
                 kCallerTimeoutRangeMilliseconds,
                 kOptional,
                 "Time that a connection may stay idle.");
}

void
ReadTables(core::json_reader& aReader, table_set& aOut)
{
  aReader.Object(
    "caller_limits",
    presence::kOptional,
    [&aOut](core::json_reader& aNested) { ReadLimits(aNested, aOut.mLimits); },
    "What callers may send, and how long they may take.");
  aReader.Each(
    "pools",
    presence::kRequired,
    [&aOut](core::json_reader& aRow) {
      auto row = ReadPool(aRow);
      if (!aOut.mPools.emplace(row.mName, row).second) {
        aRow.Reject("name", "a name of its own, found " + row.mName + " twice");
      }
    },
    "Pools, one object for each row.");
  aReader.Each(
    "routes",
    presence::kRequired,
    [&aOut](core::json_reader& aRow) {
      auto row = ReadRoute(aRow);
      if (!aOut.mRoutes.emplace(row.mName, row).second) {
        aRow.Reject("name", "a name of its own, found " + row.mName + " twice");
      }
    },
    "Routes, one object for each row.");
}

core::result<table_set>
ParseTables(std::string_view aText, std::string const& aFile)
{
  table_set parsed;
  auto reader = core::json_reader::ForText(aText, aFile);
  ReadTables(reader, parsed);
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_CHECK(CheckTables(parsed));
  return parsed;
}

std::string
FormatTables(table_set const& aTables)
{
  auto const& limits = aTables.mLimits;
  std::string const head =
    "{\n  \"caller_limits\": { \"header_bytes\": " +
    std::to_string(limits.mHeaderBytes) +
    ", \"body_bytes\": " + std::to_string(limits.mBodyBytes) +
    ",\n    \"header_timeout_ms\": " +
    std::to_string(limits.mHeaderTimeoutMilliseconds) +
    ", \"idle_timeout_ms\": " +
    std::to_string(limits.mIdleTimeoutMilliseconds) + " },\n";
  return head + "  \"pools\": [" + FormatRows(aTables.mPools, FormatPool) +
         "],\n  \"routes\": [" + FormatRows(aTables.mRoutes, FormatRoute) +
         "]\n}\n";
}

}
