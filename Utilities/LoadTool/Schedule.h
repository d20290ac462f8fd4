#pragma once

#include "LibCore/Time.h"
#include "Settings.h"

#include <cstddef>
#include <vector>

namespace cranberryfold::load_tool {

struct arrival
{
  /// After the beginning of the run.
  core::duration mTime{};
  /// Index into load_settings::mClasses.
  std::size_t mClass = 0;

  bool operator==(arrival const&) const = default;
};

/// Draws all arrival times: a Poisson process for each class, with its rate
/// multiplied in the surge window. The same seed gives the same schedule.
std::vector<arrival>
MakeSchedule(load_settings const& aSettings);

}
