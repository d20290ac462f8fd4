#include "LibTraffic/WeightedPoolSelector.h"

#include <algorithm>

namespace cranberryfold::traffic {

std::string const&
weighted_pool_selector::Choose(tables::route const& aRoute)
{
  if (aRoute.mSplit.empty()) {
    return aRoute.mPool;
  }
  auto& state = mRoutes[aRoute.mName];
  if (state.mSplit != aRoute.mSplit) {
    state = { aRoute.mSplit,
              std::vector<std::int64_t>(aRoute.mSplit.size(), 0) };
  }
  std::int64_t sum = 0;
  for (std::size_t part = 0; part < state.mSplit.size(); ++part) {
    state.mOwed[part] += state.mSplit[part].mWeight;
    sum += state.mSplit[part].mWeight;
  }
  auto const most = std::max_element(state.mOwed.begin(), state.mOwed.end());
  *most -= sum;
  auto const index = static_cast<std::size_t>(most - state.mOwed.begin());
  return aRoute.mSplit.at(index).mPool;
}

void
weighted_pool_selector::RemoveRoutesNotIn(tables::table_set const& aTables)
{
  std::erase_if(mRoutes, [&aTables](auto const& aEntry) {
    return !aTables.mRoutes.contains(aEntry.first);
  });
}

}
