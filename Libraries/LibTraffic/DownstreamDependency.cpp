#include "LibTraffic/DownstreamDependency.h"

#include <algorithm>

namespace cranberryfold::traffic {

namespace {

constexpr std::uint32_t kLeastRuns = 20;
constexpr double kWeight = 0.05;
constexpr double kNeededShare = 0.9;
/// Callees with a smaller share are forgotten.
constexpr double kForgottenShare = 0.001;

}

void
downstream_dependency::CountRun(std::string const& aRoute,
                                std::vector<callee> const& aCallees)
{
  auto& record = mRoutes[aRoute];
  ++record.mRuns;
  for (auto& [name, share] : record.mShares) {
    bool const called =
      std::find(aCallees.begin(), aCallees.end(), name) != aCallees.end();
    share += kWeight * ((called ? 1.0 : 0.0) - share);
  }
  for (auto const& name : aCallees) {
    // The first runs decide quickly; later ones average.
    record.mShares.try_emplace(name,
                               record.mRuns <= kLeastRuns ? 1.0 : kWeight);
  }
  std::erase_if(record.mShares, [](auto const& aEntry) {
    return aEntry.second < kForgottenShare;
  });
}

std::vector<callee>
downstream_dependency::RequiredCallees(std::string const& aRoute) const
{
  std::vector<callee> needed;
  auto const record = mRoutes.find(aRoute);
  if (record == mRoutes.end() || record->second.mRuns < kLeastRuns) {
    return needed;
  }
  for (auto const& [name, share] : record->second.mShares) {
    if (share >= kNeededShare) {
      needed.push_back(name);
    }
  }
  return needed;
}

void
downstream_dependency::RemoveRoutesNotIn(tables::table_set const& aTables)
{
  std::erase_if(mRoutes, [&aTables](auto const& aEntry) {
    return !aTables.mRoutes.contains(aEntry.first);
  });
}

}
