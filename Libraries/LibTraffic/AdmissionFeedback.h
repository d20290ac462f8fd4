#pragma once

#include "LibCore/Time.h"
#include "LibTables/Tables.h"
#include "LibTraffic/AdmissionThreshold.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cranberryfold::traffic {

/// Sets the admission threshold of one upstream. Measures the rate of arrivals
/// by shed position and the completion rate of the upstream, and places the
/// threshold so that the arrivals above it come somewhat faster than calls
/// complete while the queue is short, and slower while it is long.
class admission_feedback
{
public:
  explicit admission_feedback(core::time_point aNow)
    : mWindowStart(aNow)
  {
  }

  /// aTargetWait is the mean queue wait that the threshold aims at.
  void Configure(tables::pool_objective aObjective, core::duration aTargetWait)
  {
    mObjective = aObjective;
    mTargetWait = aTargetWait;
  }

  /// Sets the calls per second that the upstream accepts; empty if it has not
  /// stated a limit. At low rates, counting completions is too inaccurate.
  void SetStatedRate(std::optional<double> aCallsPerSecond)
  {
    mStatedRate = aCallsPerSecond;
  }

  void CountArrival(std::uint32_t aPosition) { ++mArrivals.at(aPosition); }
  void CountCompletion() { ++mCompletions; }
  /// Counts a call above the threshold that left the queue after aWait.
  void CountWait(core::duration aWait)
  {
    mWaitSum += aWait;
    ++mWaits;
  }
  /// Counts a call above the threshold that was refused because the queue was
  /// full or its wait too long.
  void CountOverload() { ++mOverloads; }
  /// Notes that the upstream had a free slot and no call was waiting for it.
  void CountIdleCapacity() { mHadIdleCapacity = true; }

  /// Notes that all slots of the upstream were taken, so that a stated rate may
  /// be above what it completes.
  void CountFullSlots() { mHadFullSlots = true; }

  /// Closes the current window once it is long enough, and moves the threshold.
  void Advance(core::time_point aNow);

  /// Returns the shed position below which calls are refused; 0 refuses none.
  std::uint32_t Threshold() const { return mThreshold; }

  /// Returns the lowest threshold of the last second. It applies to calls of
  /// work in progress, which may have been admitted under it.
  std::uint32_t ThresholdOfWorkInProgress() const;

  /// Returns the calls per second that the upstream completes or, while the
  /// rate that it stated is what limits it, accepts; 0 when unknown.
  double CompletionRate() const { return mCompletionRate; }

private:
  /// Windows in one second.
  static constexpr std::size_t kRecentWindows = 10;

  void UpdateRates(double aSeconds);
  void UpdateAllowedRate();
  void PlaceThreshold();
  double TotalRate() const;
  /// Returns the mean wait divided by the target wait; 0 if no call waited.
  double RelativeWait() const;

  core::time_point mWindowStart;
  tables::pool_objective mObjective = tables::pool_objective::kGoodput;
  std::array<std::uint32_t, kShedPositions> mArrivals{};
  /// Arrivals per second by position. Below the threshold senders hold back
  /// most calls, so those rates decay from their earlier values instead.
  std::array<double, kShedPositions> mRates{};
  std::uint32_t mCompletions = 0;
  std::uint32_t mOverloads = 0;
  std::uint32_t mWaits = 0;
  core::duration mWaitSum{};
  core::duration mTargetWait{ 1 };
  bool mHadIdleCapacity = false;
  bool mHadFullSlots = false;
  std::optional<double> mStatedRate;
  double mCountedRate = 0;
  double mCompletionRate = 0;
  /// Arrivals per second that are admitted; empty when there is no overload.
  std::optional<double> mAllowedRate;
  std::uint32_t mThreshold = 0;
  /// Ring buffer of the thresholds of the last windows.
  std::array<std::uint32_t, kRecentWindows> mRecentThresholds{};
  std::size_t mNextRecentIndex = 0;
};

}
