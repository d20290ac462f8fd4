#include "LibTraffic/DownstreamDependency.h"

#include <algorithm>

namespace cranberryfold::traffic {

namespace {

constexpr std::uint32_t kMinimumRuns = 20;
constexpr double kRunWeight = 0.05;
constexpr double kRequiredShare = 0.9;
/// Callees with a smaller share are removed.
constexpr double kMinimumShare = 0.001;

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
    share += kRunWeight * ((called ? 1.0 : 0.0) - share);
  }
  for (auto const& name : aCallees) {
    // Callees seen in the first runs start with the full share; later ones
    // start with the weight of one run.
    record.mShares.try_emplace(name,
                               record.mRuns <= kMinimumRuns ? 1.0 : kRunWeight);
  }
  std::erase_if(record.mShares, [](auto const& aEntry) {
    return aEntry.second < kMinimumShare;
  });
}

std::vector<callee>
downstream_dependency::RequiredCallees(std::string const& aRoute) const
{
  std::vector<callee> required;
  auto const record = mRoutes.find(aRoute);
  if (record == mRoutes.end() || record->second.mRuns < kMinimumRuns) {
    return required;
  }
  for (auto const& [name, share] : record->second.mShares) {
    if (share >= kRequiredShare) {
      required.push_back(name);
    }
  }
  return required;
}

void
downstream_dependency::RemoveRoutesNotIn(tables::table_set const& aTables)
{
  std::erase_if(mRoutes, [&aTables](auto const& aEntry) {
    return !aTables.mRoutes.contains(aEntry.first);
  });
}

}
