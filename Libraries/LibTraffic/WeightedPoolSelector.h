#pragma once

#include "LibTables/Tables.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryfold::traffic {

/// Divides the requests of a route over its pools by weight. Each daemon keeps
/// the proportions for itself, also over short spans: of any run of requests as
/// long as the sum of the weights, each pool gets exactly its share.
class weighted_pool_selector
{
public:
  /// Returns the pool for the next request of aRoute.
  std::string const& Choose(tables::route const& aRoute);

  /// Forgets routes that are not in aTables.
  void RemoveRoutesNotIn(tables::table_set const& aTables);

private:
  struct route_state
  {
    std::vector<tables::weighted_pool> mSplit;
    /// What each part is owed, in units of weight.
    std::vector<std::int64_t> mOwed;
  };

  std::map<std::string, route_state> mRoutes;
};

}
