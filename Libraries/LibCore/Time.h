#pragma once

#include <chrono>
#include <cstdint>

/// Time as the decision objects see it: a monotonic timeline that only the
/// owner advances, so that the same object runs on real and on virtual time.
namespace cranberryfold::core {

using duration = std::chrono::microseconds;

/// Timeline without a `now()`: the current time always comes from the owner.
struct monotonic_timeline
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<monotonic_timeline>;
};

using time_point = monotonic_timeline::time_point;

/// Converts a steady clock reading of this process to a point of the timeline.
inline time_point
FromSteadyClock(std::chrono::steady_clock::time_point aTime)
{
  return time_point(
    std::chrono::duration_cast<duration>(aTime.time_since_epoch()));
}

/// Returns aDuration in whole milliseconds, rounded down.
inline std::int64_t
Milliseconds(duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

}
