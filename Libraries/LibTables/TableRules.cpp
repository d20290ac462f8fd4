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

constexpr std::array<enumeration_name<spill_scope>, 3> kSpillNames{
  { { spill_scope::kZone, "zone" },
    { spill_scope::kRegion, "region" },
    { spill_scope::kAll, "all" } }
};

constexpr std::array<std::string_view, 7> kMethods{ "DELETE",  "GET",   "HEAD",
                                                    "OPTIONS", "PATCH", "POST",
                                                    "PUT" };
constexpr core::integer_range kConcurrencyRange{ 0, 100000 };
constexpr core::integer_range kQueueRange{ 0, 100000 };
constexpr core::integer_range kQueueWaitRange{ 1, 60000 };
constexpr core::integer_range kPercentRange{ 0, 100 };
constexpr core::integer_range kColdStartRange{ 0, 600000 };
constexpr core::integer_range kTimeoutRange{ 1, 600000 };
constexpr core::integer_range kExtraTriesRange{ 0, 10 };

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
CheckRoute(table_set const& aTables, route const& aRoute)
{
  auto const row = "route " + aRoute.mName;
  if (!aTables.mPools.contains(aRoute.mPool)) {
    return RowProblem(
      row, "pool", "expected the name of a pool, found " + aRoute.mPool);
  }
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
Overlap(route const& aFirst, route const& aSecond)
{
  return aFirst.mPathPrefix == aSecond.mPathPrefix &&
         std::any_of(aFirst.mMethods.begin(),
                     aFirst.mMethods.end(),
                     [&](auto const& aMethod) {
                       return aSecond.mMethods.contains(aMethod);
                     });
}

core::result<void>
CheckOverlaps(table_set const& aTables)
{
  std::map<std::string_view, std::vector<route const*>> byPrefix;
  for (auto const& [name, row] : aTables.mRoutes) {
    auto& others = byPrefix[row.mPathPrefix];
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
FormatPool(pool const& aPool)
{
  std::string row = "    { \"name\": " + Quote(aPool.mName);
  row += ", \"service\": " + Quote(aPool.mService.mValue);
  row += ", \"objective\": " + QuoteName(kObjectiveNames, aPool.mObjective);
  row += ", \"max_concurrency\": " + std::to_string(aPool.mMaxConcurrency);
  row += ",\n      \"queue_limit\": " + std::to_string(aPool.mQueueLimit);
  row += ", \"queue_wait_ms\": " + std::to_string(aPool.mQueueWaitMilliseconds);
  row += ", \"retry_percent\": " + std::to_string(aPool.mRetryPercent);
  row += ", \"spill\": " + QuoteName(kSpillNames, aPool.mSpill);
  row += ", \"cold_start_ms\": " + std::to_string(aPool.mColdStartMilliseconds);
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
  row += ", \"path_prefix\": " + Quote(aRoute.mPathPrefix);
  row += ", \"pool\": " + Quote(aRoute.mPool);
  row += ",\n      \"class\": " + QuoteName(kClassNames, aRoute.mClass);
  row +=
    std::string(", \"idempotent\": ") + (aRoute.mIdempotent ? "true" : "false");
  row += ", \"timeout_ms\": " + std::to_string(aRoute.mTimeoutMilliseconds);
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
                 "Retries for each hundred successes of a daemon.");
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
  aReader.TextList("methods", methods, kRequired, "HTTP methods, upper case.");
  aReader.Text("path_prefix",
               row.mPathPrefix,
               kRequired,
               "Paths that it takes; the longest match wins.");
  aReader.Text("pool", row.mPool, kRequired, "Pool that does the work.");
  aReader.Choice("class",
                 row.mClass,
                 kClassNames,
                 kRequired,
                 "Class of the work; decides what is shed first.");
  aReader.Boolean("idempotent",
                  row.mIdempotent,
                  kRequired,
                  "Whether running it twice does no harm.");
  aReader.Number("timeout_ms",
                 row.mTimeoutMilliseconds,
                 kTimeoutRange,
                 kOptional,
                 "Time for the whole request.");
  aReader.Number("extra_tries",
                 row.mExtraTries,
                 kExtraTriesRange,
                 kOptional,
                 "Further tries, at all depths together.");
  row.mMethods.insert(methods.begin(), methods.end());
  return row;
}

void
ReadTables(core::json_reader& aReader, table_set& aOut)
{
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
  return "{\n  \"pools\": [" + FormatRows(aTables.mPools, FormatPool) +
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

std::uint64_t
ContentHash(table_set const& aTables)
{
  return core::Hash64(EncodeTables(aTables));
}

route const*
FindRoute(table_set const& aTables,
          std::string_view aMethod,
          std::string_view aTarget)
{
  auto const path = aTarget.substr(0, aTarget.find('?'));
  route const* best = nullptr;
  for (auto const& [name, row] : aTables.mRoutes) {
    auto const& prefix = row.mPathPrefix;
    bool const wholeSegments =
      prefix.ends_with('/') || path.size() == prefix.size() ||
      (path.size() > prefix.size() && path[prefix.size()] == '/');
    if (!path.starts_with(prefix) || !wholeSegments ||
        !row.mMethods.contains(std::string(aMethod))) {
      continue;
    }
    if (best == nullptr || prefix.size() > best->mPathPrefix.size()) {
      best = &row;
    }
  }
  return best;
}

}
