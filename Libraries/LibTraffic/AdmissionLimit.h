#pragma once

#include "LibCore/Time.h"
#include "LibTables/Tables.h"

#include <cstdint>
#include <optional>

namespace cranberryfold::traffic {

/// Concurrency limit of one upstream, at most its announced slots; a limit that
/// stays at the slots leaves a few of them free. Latency that rises with
/// concurrency means that calls compete inside the upstream, and the limit
/// shrinks. Latency that a smaller limit does not improve is accepted as the
/// upstream's present service time, because shrinking would cost throughput.
class concurrency_limit
{
public:
  /// aAdaptive is false for a limit that always stays at the slots.
  explicit concurrency_limit(bool aAdaptive)
    : mAdaptive(aAdaptive)
  {
  }

  /// Applies the slots and the pool's configuration. Changed slots reset the
  /// limit to them.
  void Configure(std::uint32_t aSlots, tables::pool const& aPool);

  /// Starts to ramp up an upstream that runs with cold caches.
  void Restart(core::time_point aNow);

  /// Records one completed or cancelled call. aInFlight is the number of
  /// running calls, including this one.
  void Record(core::time_point aNow,
              core::duration aLatency,
              std::uint32_t aInFlight);

  /// Returns the number of calls that may run at once, at least 1.
  std::uint32_t Limit(core::time_point aNow) const;

  /// Returns the latency of the upstream without competing calls; 0 when
  /// unknown.
  core::duration Baseline() const;

private:
  struct window
  {
    core::time_point mStart;
    double mLatencySum = 0;
    std::uint32_t mCalls = 0;
    std::uint32_t mBusyCalls = 0;
  };

  /// Comparison of a smaller limit with the one before it.
  struct trial
  {
    double mLimitBefore = 0;
    double mLatencyBefore = 0;
  };

  void CloseWindow(double aLatency, bool aBusy);
  void StartTrial(double aLatency);
  void EndTrial(double aLatency);
  void Grow(double aLatency);

  bool mAdaptive;
  bool mFollowsLatency = true;
  tables::pool_objective mObjective = tables::pool_objective::kGoodput;
  double mSlots = 1;
  double mLimit = 1;
  double mLimitOfWindow = 1;
  core::time_point mLimitChanged;
  core::duration mColdStart{};
  std::optional<core::time_point> mRestarted;
  /// Microseconds; 0 before the first window.
  double mBaseline = 0;
  /// The baseline without the latencies that failed trials have raised it to,
  /// in microseconds.
  double mBaselineFloor = 0;
  window mWindow;
  std::optional<trial> mTrial;
};

}
