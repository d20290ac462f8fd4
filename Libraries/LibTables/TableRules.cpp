#include "LibTables/TableRules.h"

#include "LibCore/Hash.h"
#include "LibCore/JsonReader.h"
#include "LibTables/Codec.h"

#include <algorithm>
#include <array>

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

constexpr std::string_view kAnyMethod = "*";
constexpr std::array<std::string_view, 8> kMethods{
  kAnyMethod, "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"
};
constexpr core::integer_range kConcurrencyRange{ 0, 100000 };
constexpr core::integer_range kQueueRange{ 0, 100000 };
constexpr core::integer_range kQueueWaitRange{ 1, 60000 };
constexpr core::integer_range kPercentRange{ 0, 100 };
constexpr core::integer_range kColdStartRange{ 0, 600000 };
constexpr core::integer_range kTimeoutRange{ 1, 600000 };
constexpr core::integer_range kExtraTriesRange{ 0, 10 };
constexpr core::integer_range kWeightRange{ 0, 1'000'000 };
constexpr core::integer_range kRankRange{ 0, 1'000'000 };
/// An objective this far beyond the timeout of its route is a mistake.
constexpr std::uint32_t kObjectiveSlackMilliseconds = 60000;
constexpr core::integer_range kObjectiveRange{ 0, 660000 };
constexpr core::integer_range kHeaderBytesRange{ 256, 1 << 20 };
constexpr core::integer_range kBodyBytesRange{ 0, std::int64_t{ 1 } << 40 };
constexpr core::integer_range kLimitTimeRange{ 1, 3'600'000 };

boost::leaf::error_id
RowProblem(std::string const& aRow,
           std::string_view aField,
           std::string const& aDetail)
{
  return core::Fail({ core::error_code::kInvalidInput,
                      "check_tables",
                      "",
                      aRow + ": " + std::string(aField) + ": " + aDetail });
}

core::result<void>
CheckSplit(table_set const& aTables, route const& aRoute)
{
  auto const row = "route " + aRoute.mName;
  if (!aRoute.mPool.empty()) {
    return RowProblem(row, "split", "expected either a pool or a split");
  }
  std::uint64_t sum = 0;
  std::set<std::string_view> seen;
  for (auto const& part : aRoute.mSplit) {
    if (!aTables.mPools.contains(part.mPool)) {
      return RowProblem(
        row, "split", "expected names of pools, found " + part.mPool);
    }
    if (!seen.insert(part.mPool).second) {
      return RowProblem(
        row, "split", "expected each pool once, found twice " + part.mPool);
    }
    sum += part.mWeight;
  }
  if (sum == 0) {
    return RowProblem(row, "split", "expected a weight above 0");
  }
  return {};
}

core::result<void>
CheckTimes(route const& aRoute)
{
  auto const row = "route " + aRoute.mName;
  auto const timeout = aRoute.mTimeoutMilliseconds;
  if (timeout < kTimeoutRange.mMinimum || timeout > kTimeoutRange.mMaximum) {
    return RowProblem(row,
                      "timeout_ms",
                      "expected 1 to " +
                        std::to_string(kTimeoutRange.mMaximum) + ", found " +
                        std::to_string(timeout));
  }
  if (aRoute.mObjectiveMilliseconds >= timeout + kObjectiveSlackMilliseconds) {
    return RowProblem(row,
                      "objective_ms",
                      "expected less than a minute above the timeout, found " +
                        std::to_string(aRoute.mObjectiveMilliseconds));
  }
  return {};
}

core::result<void>
CheckRoute(table_set const& aTables, route const& aRoute)
{
  auto const row = "route " + aRoute.mName;
  if (!aRoute.mSplit.empty()) {
    BOOST_LEAF_CHECK(CheckSplit(aTables, aRoute));
  } else if (!aTables.mPools.contains(aRoute.mPool)) {
    return RowProblem(
      row, "pool", "expected the name of a pool, found " + aRoute.mPool);
  }
  BOOST_LEAF_CHECK(CheckTimes(aRoute));
  if (aRoute.mMethods.empty()) {
    return RowProblem(row, "methods", "expected at least one method");
  }
  for (auto const& method : aRoute.mMethods) {
    if (std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end()) {
      return RowProblem(
        row, "methods", "expected upper-case HTTP methods, found " + method);
    }
  }
  if (!aRoute.mPathPrefix.starts_with('/')) {
    return RowProblem(row, "path_prefix", "expected a path that begins with /");
  }
  return {};
}

bool
TakesAnyMethod(route const& aRoute)
{
  return aRoute.mMethods.contains(std::string(kAnyMethod));
}

bool
Overlap(route const& aFirst, route const& aSecond)
{
  bool const sharesMethod =
    TakesAnyMethod(aFirst) || TakesAnyMethod(aSecond) ||
    std::any_of(
      aFirst.mMethods.begin(), aFirst.mMethods.end(), [&](auto const& aMethod) {
        return aSecond.mMethods.contains(aMethod);
      });
  return aFirst.mPathPrefix == aSecond.mPathPrefix &&
         aFirst.mHost == aSecond.mHost && sharesMethod;
}

core::result<void>
CheckOverlaps(table_set const& aTables)
{
  using place = std::pair<std::string_view, std::string_view>;
  std::map<place, std::vector<route const*>> byPlace;
  for (auto const& [name, row] : aTables.mRoutes) {
    auto& others = byPlace[{ row.mHost, row.mPathPrefix }];
    for (auto const* const other : others) {
      if (Overlap(*other, row)) {
        return RowProblem("route " + name,
                          "path_prefix",
                          "overlaps with route " + other->mName);
      }
    }
    others.push_back(&row);
  }
  return {};
}

core::result<void>
CheckPool(pool const& aPool)
{
  auto const row = "pool " + aPool.mName;
  if (aPool.mService.IsEmpty()) {
    return RowProblem(row, "service", "expected the name of a service");
  }
  if (aPool.mQueueWaitMilliseconds == 0) {
    return RowProblem(row, "queue_wait_ms", "expected at least 1");
  }
  if (aPool.mRetryPercent > kPercentRange.mMaximum) {
    return RowProblem(row, "retry_percent", "expected at most 100");
  }
  return {};
}

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

/// Applies one change to tables that are not checked yet.
struct change_applier
{
  table_set& mTables;

  core::result<void> operator()(put_pool const& aChange) const
  {
    mTables.mPools.insert_or_assign(aChange.mPool.mName, aChange.mPool);
    return {};
  }
  core::result<void> operator()(put_route const& aChange) const
  {
    mTables.mRoutes.insert_or_assign(aChange.mRoute.mName, aChange.mRoute);
    return {};
  }
  core::result<void> operator()(remove_pool const& aChange) const
  {
    return Remove(mTables.mPools, "pool ", aChange.mName);
  }
  core::result<void> operator()(remove_route const& aChange) const
  {
    return Remove(mTables.mRoutes, "route ", aChange.mName);
  }
  core::result<void> operator()(put_claim_map const& aChange) const
  {
    mTables.mClaimMap = aChange.mEncoded;
    return {};
  }
  core::result<void> operator()(put_limits const& aChange) const
  {
    mTables.mLimits = aChange.mLimits;
    return {};
  }

  core::result<void> operator()(put_label const& aChange) const
  {
    mTables.mLabel = aChange.mLabel;
    return {};
  }

  core::result<void> operator()(add_replica const&) const { return {}; }
  core::result<void> operator()(remove_replica const&) const { return {}; }

private:
  template<class Rows>
  static core::result<void> Remove(Rows& aRows,
                                   std::string const& aKind,
                                   std::string const& aName)
  {
    if (aRows.erase(aName) == 0) {
      return core::Fail({ core::error_code::kNotFound,
                          "apply_changes",
                          "",
                          aKind + aName + ": expected a row to remove" });
    }
    return {};
  }
};

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

int
ShedOrder(work_class aClass)
{
  switch (aClass) {
    case work_class::kCatalogue:
      return 0;
    case work_class::kStatus:
      return 1;
    default:
      return 2;
  }
}

int
ShedLevelOfRank(std::uint32_t aRank)
{
  constexpr std::uint32_t kHighest = kShedLevels - 1;
  return static_cast<int>(kHighest - std::min(aRank, kHighest));
}

std::uint32_t
PresetRank(work_class aClass)
{
  return static_cast<std::uint32_t>(kShedLevels - 1 - ShedOrder(aClass));
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
                 kQueueRange,
                 kOptional,
                 "Calls that may wait at each upstream.");
  aReader.Number("queue_wait_ms",
                 row.mQueueWaitMilliseconds,
                 kQueueWaitRange,
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
                 kColdStartRange,
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
                 kTimeoutRange,
                 kOptional,
                 "Time for the whole request.");
  aReader.Number("objective_ms",
                 row.mObjectiveMilliseconds,
                 kObjectiveRange,
                 kOptional,
                 "Time within which a response is worth most; 0: the timeout.");
  aReader.Number("extra_tries",
                 row.mExtraTries,
                 kExtraTriesRange,
                 kOptional,
                 "Further tries, at all depths together.");
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
                 kLimitTimeRange,
                 kOptional,
                 "Time for the header, from its first byte.");
  aReader.Number("idle_timeout_ms",
                 aOut.mIdleTimeoutMilliseconds,
                 kLimitTimeRange,
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

core::result<void>
CheckTables(table_set const& aTables)
{
  if (aTables.mPools.size() > kMaximumRows ||
      aTables.mRoutes.size() > kMaximumRows) {
    return RowProblem("tables",
                      "rows",
                      "expected at most " + std::to_string(kMaximumRows) +
                        " in each table");
  }
  for (auto const& [name, row] : aTables.mPools) {
    BOOST_LEAF_CHECK(CheckPool(row));
  }
  for (auto const& [name, row] : aTables.mRoutes) {
    BOOST_LEAF_CHECK(CheckRoute(aTables, row));
  }
  return CheckOverlaps(aTables);
}

bool
IsSystemEdit(edit const& aEdit)
{
  return !aEdit.mChanges.empty() &&
         std::all_of(aEdit.mChanges.begin(),
                     aEdit.mChanges.end(),
                     [](change const& aChange) {
                       return std::holds_alternative<put_claim_map>(aChange);
                     });
}

std::vector<change>
CompareTables(table_set const& aFrom, table_set const& aTo)
{
  std::vector<change> changes;
  for (auto const& [name, row] : aTo.mPools) {
    auto const before = aFrom.mPools.find(name);
    if (before == aFrom.mPools.end() || before->second != row) {
      changes.emplace_back(put_pool{ row });
    }
  }
  for (auto const& [name, row] : aTo.mRoutes) {
    auto const before = aFrom.mRoutes.find(name);
    if (before == aFrom.mRoutes.end() || before->second != row) {
      changes.emplace_back(put_route{ row });
    }
  }
  for (auto const& [name, row] : aFrom.mRoutes) {
    if (!aTo.mRoutes.contains(name)) {
      changes.emplace_back(remove_route{ name });
    }
  }
  for (auto const& [name, row] : aFrom.mPools) {
    if (!aTo.mPools.contains(name)) {
      changes.emplace_back(remove_pool{ name });
    }
  }
  if (aFrom.mLimits != aTo.mLimits) {
    changes.emplace_back(put_limits{ aTo.mLimits });
  }
  if (aFrom.mLabel != aTo.mLabel) {
    changes.emplace_back(put_label{ aTo.mLabel });
  }
  if (aFrom.mClaimMap != aTo.mClaimMap) {
    changes.emplace_back(put_claim_map{ aTo.mClaimMap });
  }
  return changes;
}

core::result<table_set>
ApplyChanges(table_set const& aTables, std::vector<change> const& aChanges)
{
  table_set changed = aTables;
  for (auto const& entry : aChanges) {
    BOOST_LEAF_CHECK(std::visit(change_applier{ changed }, entry));
  }
  BOOST_LEAF_CHECK(CheckTables(changed));
  return changed;
}

std::vector<std::string>
PoolsOf(route const& aRoute)
{
  if (aRoute.mSplit.empty()) {
    return { aRoute.mPool };
  }
  std::vector<std::string> names;
  for (auto const& part : aRoute.mSplit) {
    names.push_back(part.mPool);
  }
  return names;
}

std::uint64_t
ContentHash(table_set const& aTables)
{
  return core::Hash64(EncodeTables(aTables));
}

}
