#include "LibTraffic/AdmissionLimit.h"

#include <algorithm>

namespace cranberryfold::traffic {

namespace {

/// Minimum calls of a window: fewer make the mean latency too noisy to compare.
constexpr std::uint32_t kMinimumWindowCalls = 40;
constexpr core::duration kMinimumWindow{ 50'000 };
/// Share of the limit in use from which a call counts as a call under load.
constexpr double kBusyShare = 0.75;
/// Ratio of latency to baseline above which calls are assumed to compete.
constexpr double kCompetitionRatio = 1.6;
/// Ratio of latency to baseline up to which the limit grows.
constexpr double kGrowthRatio = 1.3;
/// Factors on the limit in a trial. The lower one bounds what a trial can cost
/// if calls do not compete.
constexpr double kMinimumShrinkFactor = 0.5;
constexpr double kMaximumShrinkFactor = 0.7;
constexpr double kBaselineWeight = 0.1;
constexpr double kBaselineDecay = 0.95;
constexpr double kSlowGrowth = 0.1;
constexpr double kFastGrowth = 0.3;
/// Share of the slots that a fixed limit uses. With nearly all slots taken,
/// calls compete, and health checks and new connections find no free slot; the
/// last few slots then cost more throughput than they add.
constexpr double kUsableShare = 0.95;
/// With fewer slots, one more running call gains more than the slowdown costs.
constexpr std::uint32_t kMinimumSlotsForHeadroom = 10;
/// Share of the slots that an upstream with cold caches starts with.
constexpr double kColdShare = 0.2;

std::uint32_t
UsableSlots(std::uint32_t aSlots, tables::concurrency_policy aPolicy)
{
  bool const keepsHeadroom = aPolicy == tables::concurrency_policy::kSlots &&
                             aSlots >= kMinimumSlotsForHeadroom;
  return keepsHeadroom ? static_cast<std::uint32_t>(kUsableShare * aSlots)
                       : aSlots;
}

}

void
concurrency_limit::Configure(std::uint32_t aSlots, tables::pool const& aPool)
{
  auto const usable = UsableSlots(aSlots, aPool.mConcurrency);
  auto const cap = aPool.mMaxConcurrency == 0
                     ? usable
                     : std::min(usable, aPool.mMaxConcurrency);
  double const slots = std::max(cap, 1U);
  if (slots != mSlots) {
    mLimit = slots;
    mTrial.reset();
  }
  mSlots = slots;
  mObjective = aPool.mObjective;
  mFollowsLatency =
    mAdaptive && aPool.mConcurrency == tables::concurrency_policy::kAdaptive;
  mColdStart = std::chrono::milliseconds(aPool.mColdStartMilliseconds);
}

void
concurrency_limit::Restart(core::time_point aNow)
{
  mRestarted = aNow;
  mLimit = mSlots;
  mBaseline = 0;
  mBaselineFloor = 0;
  mWindow = { aNow };
  mTrial.reset();
}

std::uint32_t
concurrency_limit::Limit(core::time_point aNow) const
{
  double limit = mLimit;
  if (mRestarted && aNow < *mRestarted + mColdStart) {
    auto const elapsed = static_cast<double>((aNow - *mRestarted).count());
    auto const progress = elapsed / static_cast<double>(mColdStart.count());
    limit =
      std::min(limit, mSlots * (kColdShare + (1 - kColdShare) * progress));
  }
  return static_cast<std::uint32_t>(std::max(limit, 1.0));
}

core::duration
concurrency_limit::Baseline() const
{
  return core::duration(static_cast<std::int64_t>(mBaseline));
}

void
concurrency_limit::Record(core::time_point aNow,
                          core::duration aLatency,
                          std::uint32_t aInFlight)
{
  // Calls that started before the last change of the limit still reflect the
  // earlier concurrency.
  if (aNow - aLatency < mLimitChanged) {
    return;
  }
  mWindow.mLatencySum += static_cast<double>(aLatency.count());
  ++mWindow.mCalls;
  if (aInFlight >= kBusyShare * Limit(aNow)) {
    ++mWindow.mBusyCalls;
  }
  if (mWindow.mCalls < kMinimumWindowCalls ||
      aNow < mWindow.mStart + kMinimumWindow) {
    return;
  }
  auto const closed = mWindow;
  mWindow = { aNow };
  CloseWindow(closed.mLatencySum / closed.mCalls,
              2 * closed.mBusyCalls > closed.mCalls);
  if (mLimit != mLimitOfWindow) {
    mLimitChanged = aNow;
    mLimitOfWindow = mLimit;
  }
}

void
concurrency_limit::CloseWindow(double aLatency, bool aBusy)
{
  if (mBaseline == 0 || aLatency < mBaseline) {
    mBaseline = aLatency;
    mBaselineFloor = aLatency;
  }
  if (!mFollowsLatency) {
    return;
  }
  if (mTrial) {
    EndTrial(aLatency);
    return;
  }
  if (!aBusy) {
    // Without competing calls, the latency is the present service time of the
    // upstream.
    mBaseline += kBaselineWeight * (aLatency - mBaseline);
    mBaselineFloor = mBaseline;
    Grow(aLatency);
    return;
  }
  if (aLatency <= kCompetitionRatio * mBaseline) {
    if (aLatency <= kGrowthRatio * mBaseline) {
      Grow(aLatency);
    }
    // The baseline decays, so that an accepted latency is tried again later.
    mBaseline = std::max(mBaselineFloor, kBaselineDecay * mBaseline);
    return;
  }
  StartTrial(aLatency);
}

void
concurrency_limit::StartTrial(double aLatency)
{
  mTrial.reset();
  if (mLimit <= 1) {
    return;
  }
  mTrial = trial{ mLimit, aLatency };
  // If the throughput stays the same, latency falls as much as the limit
  // (Little's law), and this limit just ends the competition.
  auto const factor = std::clamp(kCompetitionRatio * mBaseline / aLatency,
                                 kMinimumShrinkFactor,
                                 kMaximumShrinkFactor);
  mLimit = std::max(1.0, mLimit * factor);
}

void
concurrency_limit::EndTrial(double aLatency)
{
  // A trial has failed if latency fell by less than half as much as the limit.
  auto const failureRatio = (1 + mLimit / mTrial->mLimitBefore) / 2;
  if (aLatency > failureRatio * mTrial->mLatencyBefore) {
    mLimit = std::min(mSlots, mTrial->mLimitBefore);
    mBaseline = std::max(mBaseline, aLatency);
    mTrial.reset();
  } else if (aLatency > kCompetitionRatio * mBaseline) {
    // Calls still compete, so that the next trial need not wait for another
    // window.
    StartTrial(aLatency);
  } else {
    mTrial.reset();
  }
}

void
concurrency_limit::Grow(double aLatency)
{
  bool const fast = mObjective == tables::pool_objective::kRecoveryTime ||
                    aLatency <= (1 + kSlowGrowth) * mBaseline;
  auto const step = std::max(1.0, mLimit * (fast ? kFastGrowth : kSlowGrowth));
  mLimit = std::min(mSlots, mLimit + step);
}

}
