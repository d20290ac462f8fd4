#include "Schedule.h"

#include "LibCore/Random.h"

#include <algorithm>
#include <cmath>

#include <boost/random/exponential_distribution.hpp>

namespace cranberryfold::load_tool {

namespace {

bool
IsInSurge(surge_window const& aSurge, double aSecond)
{
  double const start = aSurge.mStartSeconds;
  return aSecond >= start && aSecond < start + aSurge.mLengthSeconds;
}

}

std::vector<arrival>
MakeSchedule(load_settings const& aSettings)
{
  std::vector<arrival> schedule;
  auto const& surge = aSettings.mSurge;
  double const factor = std::max(surge.mFactor, 1U);
  for (std::size_t index = 0; index < aSettings.mClasses.size(); ++index) {
    double const rate = aSettings.mClasses[index].mRatePerSecond;
    if (rate <= 0) {
      continue;
    }
    core::random_source random(aSettings.mSeed + index);
    boost::random::exponential_distribution<double> const gap(rate * factor);
    // Drawn at the rate of the surge; outside of it most are left out, so that
    // the times in the surge stay a Poisson process.
    for (double second = random.Draw(gap); second < aSettings.mSeconds;
         second += random.Draw(gap)) {
      bool const isKept = random.Chance(1 / factor);
      if (isKept || IsInSurge(surge, second)) {
        schedule.push_back(
          { core::duration(std::llround(second * 1000000)), index });
      }
    }
  }
  std::stable_sort(schedule.begin(),
                   schedule.end(),
                   [](arrival const& aFirst, arrival const& aSecond) {
                     return aFirst.mTime < aSecond.mTime;
                   });
  return schedule;
}

}
