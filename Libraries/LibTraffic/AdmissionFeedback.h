#pragma once

#include "LibCore/Time.h"
#include "LibTables/Tables.h"
#include "LibTraffic/AdmissionThreshold.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cranberryfold::traffic {

/// Sets the admission threshold of one upstream. Counts arrivals by position,
/// estimates what the upstream completes, and moves the threshold to where the
/// arrivals above it fit. Overload lowers the allowed rate, room raises it.
class admission_feedback
{
public:
  explicit admission_feedback(core::time_point aNow)
    : mStart(aNow)
  {
  }

  void SetObjective(tables::pool_objective aObjective)
  {
    mObjective = aObjective;
  }

  void CountArrival(std::uint32_t aPosition) { ++mArrivals.at(aPosition); }
  void CountCompletion() { ++mCompletions; }
  /// A call was refused, or waited too long, although above the threshold.
  void CountOverload() { ++mOverloads; }
  /// The upstream had a free place and nothing was waiting for it.
  void CountRoom() { mRoom = true; }

  /// Closes the window once it is long enough.
  void Advance(core::time_point aNow);

  /// Positions below it are refused; 0 refuses none.
  std::uint32_t Threshold() const { return mThreshold; }

  /// Returns completed calls per second; 0 when unknown.
  double CompletionRate() const { return mCompletionRate; }

private:
  void UpdateRates(double aSeconds);
  void UpdateAllowance();
  void PlaceThreshold();
  double TotalRate() const;

  core::time_point mStart;
  tables::pool_objective mObjective = tables::pool_objective::kGoodput;
  std::array<std::uint32_t, kShedPositions> mArrivals{};
  /// Arrivals per second; below the threshold, senders hold most of them back,
  /// so those rates are remembered from before.
  std::array<double, kShedPositions> mRates{};
  std::uint32_t mCompletions = 0;
  std::uint32_t mOverloads = 0;
  bool mRoom = false;
  double mCompletionRate = 0;
  /// Arrivals per second that are let in; nothing when there is no overload.
  std::optional<double> mAllowed;
  std::uint32_t mThreshold = 0;
};

}
