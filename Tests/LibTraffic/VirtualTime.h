#pragma once

#include "LibCore/TimerService.h"

namespace cranberryfold::traffic {

/// Runs the timers that are due within aDuration, each at its own time, and
/// moves aNow to the end of aDuration.
inline void
RunTimers(core::timer_service& aTimers,
          core::time_point& aNow,
          core::duration aDuration)
{
  auto const end = aNow + aDuration;
  while (aTimers.NextDue() && *aTimers.NextDue() <= end) {
    aNow = *aTimers.NextDue();
    aTimers.Advance(aNow);
  }
  aNow = end;
  aTimers.Advance(aNow);
}

}
