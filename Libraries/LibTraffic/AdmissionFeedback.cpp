#include "LibTraffic/AdmissionFeedback.h"

#include <algorithm>
#include <numeric>

namespace cranberryfold::traffic {

namespace {

constexpr core::duration kWindow{ 100'000 };
constexpr double kMicrosecondsPerSecond = 1e6;
/// Weight of the newest window in the moving averages of the rates.
constexpr double kWindowWeight = 0.2;
/// Factor per window: rates below the threshold decay within about 10 s, so
/// that callers who have left no longer count.
constexpr double kRateDecay = 0.99;
/// Minimum share of the completion rate that is admitted, however long the
/// wait.
constexpr double kMinimumShare = 0.8;
/// Share by which admissions may exceed the completion rate while nothing
/// waits; the larger one with objective kRecoveryTime.
constexpr double kSlowHeadroom = 0.15;
constexpr double kFastHeadroom = 0.3;
/// The threshold is removed once the allowed rate exceeds the arrivals by this
/// factor.
constexpr double kSpareRatio = 1.2;

}

void
admission_feedback::Advance(core::time_point aNow)
{
  if (aNow < mWindowStart + kWindow) {
    return;
  }
  auto const elapsed = static_cast<double>((aNow - mWindowStart).count());
  UpdateRates(elapsed / kMicrosecondsPerSecond);
  UpdateAllowedRate();
  PlaceThreshold();
  mRecentThresholds.at(mNextRecentIndex) = mThreshold;
  mNextRecentIndex = (mNextRecentIndex + 1) % kRecentWindows;
  mWindowStart = aNow;
  mArrivals.fill(0);
  mCompletions = 0;
  mOverloads = 0;
  mWaits = 0;
  mWaitSum = {};
  mHadIdleCapacity = false;
  mHadFullSlots = false;
}

std::uint32_t
admission_feedback::ThresholdOfWorkInProgress() const
{
  return *std::min_element(mRecentThresholds.begin(), mRecentThresholds.end());
}

void
admission_feedback::UpdateRates(double aSeconds)
{
  for (std::uint32_t position = 0; position < kShedPositions; ++position) {
    auto& rate = mRates.at(position);
    auto const arrivalRate = mArrivals.at(position) / aSeconds;
    if (position < mThreshold) {
      rate *= kRateDecay;
    } else {
      rate += kWindowWeight * (arrivalRate - rate);
    }
  }
  mCountedRate += kWindowWeight * (mCompletions / aSeconds - mCountedRate);
  mCompletionRate = mStatedRate && !mHadFullSlots ? *mStatedRate : mCountedRate;
}

double
admission_feedback::RelativeWait() const
{
  if (mWaits == 0) {
    return 0;
  }
  auto const mean = static_cast<double>(mWaitSum.count()) / mWaits;
  return mean / static_cast<double>(mTargetWait.count());
}

void
admission_feedback::UpdateAllowedRate()
{
  auto const wait = RelativeWait();
  if (!mAllowedRate && mOverloads == 0 && wait <= 1) {
    return;
  }
  bool const fast = mObjective == tables::pool_objective::kRecoveryTime;
  auto const headroom = fast ? kFastHeadroom : kSlowHeadroom;
  mAllowedRate =
    mCompletionRate *
    std::clamp(1 + headroom * (1 - wait), kMinimumShare, 1 + headroom);
  if (mHadIdleCapacity && *mAllowedRate > kSpareRatio * TotalRate()) {
    mAllowedRate.reset();
  }
}

void
admission_feedback::PlaceThreshold()
{
  mThreshold = 0;
  if (!mAllowedRate) {
    return;
  }
  double sum = 0;
  for (std::uint32_t position = kShedPositions; position > 0; --position) {
    sum += mRates.at(position - 1);
    if (sum > *mAllowedRate) {
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
