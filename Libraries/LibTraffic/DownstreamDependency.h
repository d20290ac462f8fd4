#pragma once

#include "LibTables/Tables.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryfold::traffic {

/// Pool that a run calls, and the route of that call.
struct callee
{
  std::string mPool;
  std::string mRoute;

  // clang-tidy takes the zero of the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(callee const&) const = default;
};

/// Learns from the calls that pass through the daemon which pools the local
/// upstream needs to run the calls of each route. If a required pool would
/// refuse the nested call, running the arriving call is wasted work, so the
/// daemon refuses it instead.
class downstream_dependency
{
public:
  /// Records one finished run of a call on aRoute and its callees. A callee
  /// that was called several times may be listed several times.
  void CountRun(std::string const& aRoute, std::vector<callee> const& aCallees);

  /// Returns the callees of nearly all recent runs of aRoute; empty while too
  /// few runs are known.
  std::vector<callee> RequiredCallees(std::string const& aRoute) const;

  /// Removes what is known about routes that are not in aTables.
  void RemoveRoutesNotIn(tables::table_set const& aTables);

private:
  struct route_record
  {
    std::uint32_t mRuns = 0;
    /// Moving average of the share of runs that made the call.
    std::map<callee, double> mShares;
  };

  std::map<std::string, route_record> mRoutes;
};

}
