#pragma once

#include "LibTables/Tables.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryfold::traffic {

/// Distributes the requests of a route over its pools by smooth weighted round
/// robin. Each daemon keeps the proportions on its own, also over short
/// intervals: of any consecutive requests as many as the sum of the weights,
/// each pool gets exactly its share.
class weighted_pool_selector
{
public:
  /// Returns the pool for the next request of aRoute.
  std::string const& Choose(tables::route const& aRoute);

  /// Removes the state of routes that are not in aTables.
  void RemoveRoutesNotIn(tables::table_set const& aTables);

private:
  struct route_state
  {
    std::vector<tables::weighted_pool> mSplit;
    /// Current weight of each pool of the split; the pool with the highest one
    /// is next.
    std::vector<std::int64_t> mCurrentWeights;
  };

  std::map<std::string, route_state> mRoutes;
};

}
