#include "LibTraffic/AdmissionDependency.h"

#include <algorithm>

namespace cranberryfold::traffic {

namespace {

constexpr std::uint32_t kLeastRuns = 20;
constexpr double kWeight = 0.05;
constexpr double kNeededShare = 0.9;
/// Pools with a smaller share are forgotten.
constexpr double kForgottenShare = 0.001;

}

void
downstream_dependency::CountRun(tables::work_class aClass,
                                std::vector<std::string> const& aPools)
{
  auto& record = mClasses.at(static_cast<std::size_t>(aClass));
  ++record.mRuns;
  for (auto& [name, share] : record.mShares) {
    bool const called =
      std::find(aPools.begin(), aPools.end(), name) != aPools.end();
    share += kWeight * ((called ? 1.0 : 0.0) - share);
  }
  for (auto const& name : aPools) {
    // The first runs decide quickly; later ones average.
    record.mShares.try_emplace(name,
                               record.mRuns <= kLeastRuns ? 1.0 : kWeight);
  }
  std::erase_if(record.mShares, [](auto const& aEntry) {
    return aEntry.second < kForgottenShare;
  });
}

std::vector<std::string>
downstream_dependency::NeededPools(tables::work_class aClass) const
{
  auto const& record = mClasses.at(static_cast<std::size_t>(aClass));
  std::vector<std::string> needed;
  if (record.mRuns < kLeastRuns) {
    return needed;
  }
  for (auto const& [name, share] : record.mShares) {
    if (share >= kNeededShare) {
      needed.push_back(name);
    }
  }
  return needed;
}

}
