#include "LibTables/TableRules.h"

#include "LibCore/Hash.h"
#include "LibTables/Codec.h"

#include <algorithm>
#include <array>

namespace cranberryfold::tables {

namespace {

constexpr std::string_view kAnyMethod = "*";
constexpr std::array<std::string_view, 8> kMethods{
  kAnyMethod, "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"
};
/// An objective that exceeds the timeout of its route by this much is rejected
/// as a mistake.
constexpr std::uint32_t kObjectiveExcessLimitMilliseconds = 60000;
/// Ranges that are also checked for tables that were not read from JSON.
constexpr std::uint32_t kMaximumTimeoutMilliseconds = 600000;
constexpr std::uint32_t kMaximumPercent = 100;

boost::leaf::error_id
RowError(std::string const& aRow,
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
    return RowError(row, "split", "expected either a pool or a split");
  }
  std::uint64_t sum = 0;
  std::set<std::string_view> seen;
  for (auto const& part : aRoute.mSplit) {
    if (!aTables.mPools.contains(part.mPool)) {
      return RowError(
        row, "split", "expected names of pools, found " + part.mPool);
    }
    if (!seen.insert(part.mPool).second) {
      return RowError(
        row, "split", "expected each pool once, found twice " + part.mPool);
    }
    sum += part.mWeight;
  }
  if (sum == 0) {
    return RowError(row, "split", "expected a weight above 0");
  }
  return {};
}

core::result<void>
CheckTimes(route const& aRoute)
{
  auto const row = "route " + aRoute.mName;
  auto const timeout = aRoute.mTimeoutMilliseconds;
  if (timeout < 1 || timeout > kMaximumTimeoutMilliseconds) {
    return RowError(row,
                    "timeout_ms",
                    "expected 1 to " +
                      std::to_string(kMaximumTimeoutMilliseconds) + ", found " +
                      std::to_string(timeout));
  }
  if (aRoute.mObjectiveMilliseconds >=
      timeout + kObjectiveExcessLimitMilliseconds) {
    return RowError(row,
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
    return RowError(
      row, "pool", "expected the name of a pool, found " + aRoute.mPool);
  }
  BOOST_LEAF_CHECK(CheckTimes(aRoute));
  if (aRoute.mMethods.empty()) {
    return RowError(row, "methods", "expected at least one method");
  }
  for (auto const& method : aRoute.mMethods) {
    if (std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end()) {
      return RowError(
        row, "methods", "expected upper-case HTTP methods, found " + method);
    }
  }
  if (!aRoute.mPathPrefix.starts_with('/')) {
    return RowError(row, "path_prefix", "expected a path that begins with /");
  }
  return {};
}

bool
MatchesAnyMethod(route const& aRoute)
{
  return aRoute.mMethods.contains(std::string(kAnyMethod));
}

bool
Overlap(route const& aFirst, route const& aSecond)
{
  bool const sharesMethod =
    MatchesAnyMethod(aFirst) || MatchesAnyMethod(aSecond) ||
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
  using host_and_prefix = std::pair<std::string_view, std::string_view>;
  std::map<host_and_prefix, std::vector<route const*>> byHostAndPrefix;
  for (auto const& [name, row] : aTables.mRoutes) {
    auto& others = byHostAndPrefix[{ row.mHost, row.mPathPrefix }];
    for (auto const* const other : others) {
      if (Overlap(*other, row)) {
        return RowError("route " + name,
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
    return RowError(row, "service", "expected the name of a service");
  }
  if (aPool.mQueueWaitMilliseconds == 0) {
    return RowError(row, "queue_wait_ms", "expected at least 1");
  }
  if (aPool.mRetryPercent > kMaximumPercent) {
    return RowError(row, "retry_percent", "expected at most 100");
  }
  return {};
}

/// Applies one change without the checks of CheckTables().
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

int
ShedLevelOfClass(work_class aClass)
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

core::result<void>
CheckTables(table_set const& aTables)
{
  if (aTables.mPools.size() > kMaximumRows ||
      aTables.mRoutes.size() > kMaximumRows) {
    return RowError("tables",
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
