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
  std::int64_t weightSum = 0;
  for (std::size_t part = 0; part < state.mSplit.size(); ++part) {
    state.mCurrentWeights[part] += state.mSplit[part].mWeight;
    weightSum += state.mSplit[part].mWeight;
  }
  auto const highest = std::max_element(state.mCurrentWeights.begin(),
                                        state.mCurrentWeights.end());
  *highest -= weightSum;
  auto const index =
    static_cast<std::size_t>(highest - state.mCurrentWeights.begin());
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
