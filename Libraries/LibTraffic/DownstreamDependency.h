#pragma once

#include "LibTables/Tables.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryfold::traffic {

/// What a run calls: a pool, by a route.
struct callee
{
  std::string mPool;
  std::string mRoute;

  // The check takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(callee const&) const = default;
};

/// Learns from the calls that pass through the daemon which pools the local
/// upstream needs for the calls of each route. When a needed pool would refuse
/// the call that is to follow, running the first part is wasted, and the daemon
/// refuses the arriving call instead.
class downstream_dependency
{
public:
  /// Takes in one ended run of a call on aRoute and what it called; a callee
  /// that was called several times may stand there several times.
  void CountRun(std::string const& aRoute, std::vector<callee> const& aCallees);

  /// Returns what nearly all recent runs of aRoute called.
  std::vector<callee> RequiredCallees(std::string const& aRoute) const;

  /// Forgets routes that are not in aTables.
  void RemoveRoutesNotIn(tables::table_set const& aTables);

private:
  struct route_record
  {
    std::uint32_t mRuns = 0;
    /// Share of recent runs that made the call.
    std::map<callee, double> mShares;
  };

  std::map<std::string, route_record> mRoutes;
};

}
