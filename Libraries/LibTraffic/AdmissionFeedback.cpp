#include "LibTraffic/AdmissionFeedback.h"

#include <algorithm>
#include <numeric>

namespace cranberryfold::traffic {

namespace {

constexpr core::duration kWindow{ 100'000 };
constexpr double kMicrosecondsPerSecond = 1e6;
/// Weight of the newest window in the running rates.
constexpr double kWeight = 0.2;
/// Rates below the threshold fade in about 10 s, so that callers who left are
/// forgotten.
constexpr double kFade = 0.99;
/// Effect of one overloaded window on the allowed rate.
constexpr double kClose = 0.95;
constexpr double kLeastShare = 0.9;
constexpr double kMostShare = 1.2;
/// Effect of one window with room on the allowed rate.
constexpr double kSlowOpen = 1.05;
constexpr double kFastOpen = 1.2;
/// Spare rate from which the threshold is lifted altogether.
constexpr double kSpare = 1.2;

}

void
admission_feedback::Advance(core::time_point aNow)
{
  if (aNow < mStart + kWindow) {
    return;
  }
  auto const elapsed = static_cast<double>((aNow - mStart).count());
  UpdateRates(elapsed / kMicrosecondsPerSecond);
  UpdateAllowance();
  PlaceThreshold();
  mStart = aNow;
  mArrivals.fill(0);
  mCompletions = 0;
  mOverloads = 0;
  mRoom = false;
}

void
admission_feedback::UpdateRates(double aSeconds)
{
  for (std::uint32_t position = 0; position < kShedPositions; ++position) {
    auto& rate = mRates.at(position);
    auto const seen = mArrivals.at(position) / aSeconds;
    auto const updated = rate + kWeight * (seen - rate);
    rate = position < mThreshold ? std::max(updated, kFade * rate) : updated;
  }
  auto const completed = mCompletions / aSeconds;
  mCompletionRate += kWeight * (completed - mCompletionRate);
}

void
admission_feedback::UpdateAllowance()
{
  if (mOverloads > 0) {
    auto const current = mAllowed.value_or(mCompletionRate);
    mAllowed = std::clamp(kClose * current,
                          kLeastShare * mCompletionRate,
                          kMostShare * mCompletionRate);
    return;
  }
  if (!mAllowed || !mRoom) {
    return;
  }
  bool const fast = mObjective == tables::pool_objective::kRecoveryTime;
  *mAllowed = std::max(*mAllowed, mCompletionRate);
  *mAllowed *= fast ? kFastOpen : kSlowOpen;
  if (*mAllowed > kSpare * TotalRate()) {
    mAllowed.reset();
  }
}

void
admission_feedback::PlaceThreshold()
{
  mThreshold = 0;
  if (!mAllowed) {
    return;
  }
  double sum = 0;
  for (std::uint32_t position = kShedPositions; position > 0; --position) {
    sum += mRates.at(position - 1);
    if (sum > *mAllowed) {
      mThreshold = position;
      return;
    }
  }
}

double
admission_feedback::TotalRate() const
{
  return std::accumulate(mRates.begin(), mRates.end(), 0.0);
}

}
