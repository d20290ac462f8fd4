#include "LibTraffic/UpstreamHealth.h"

#include "LibCore/Assert.h"

#include <algorithm>

namespace cranberryfold::traffic {

using core::refusal_reason;

namespace {

constexpr double kLatencyWeight = 0.1;
constexpr core::duration kFirstAvoidance{ 250'000 };
constexpr core::duration kLongestAvoidance{ 10'000'000 };
constexpr core::duration kRefusalAvoidance{ 50'000 };
constexpr std::uint32_t kMostDoublings = 6;
/// Older stamps say nothing about the present; their expiry also lets senders
/// notice a recovery after they have held back everything.
constexpr core::duration kStampLifetime{ 2'000'000 };
/// Stands in for the latency of an upstream without calls, so that an untried
/// upstream is tried.
constexpr double kLeastLatency = 100;

bool
IsFailure(attempt_report const& aReport)
{
  return aReport.mOutcome == outcome::kUnknown ||
         aReport.mReason == refusal_reason::kConnectFailed ||
         aReport.mReason == refusal_reason::kNotReady;
}

/// A full queue says that another upstream is the better choice for a moment;
/// refusals by class or deadline say nothing about other calls.
bool
IsBusyRefusal(attempt_report const& aReport)
{
  return aReport.mReason == refusal_reason::kQueueFull ||
         aReport.mReason == refusal_reason::kQueueTimeout ||
         aReport.mReason == refusal_reason::kUpstreamRefused;
}

}

void
upstream_health::CountEnd(core::time_point aNow, attempt_report const& aReport)
{
  CF_ASSERT(mInFlight > 0, "an attempt ended that was not started");
  --mInFlight;
  if (aReport.mStamp) {
    mStamp = aReport.mStamp;
    mStamped = aNow;
  }
  if (IsFailure(aReport)) {
    auto const doublings = std::min(mFailures++, kMostDoublings);
    Avoid(aNow,
          std::min(kLongestAvoidance, kFirstAvoidance * (1 << doublings)));
    return;
  }
  if (IsBusyRefusal(aReport)) {
    Avoid(aNow, kRefusalAvoidance);
    return;
  }
  if (aReport.mOutcome == outcome::kRan) {
    mFailures = 0;
    auto const latency = static_cast<double>(aReport.mLatency.count());
    mLatency = mLatency == 0 ? latency
                             : mLatency + kLatencyWeight * (latency - mLatency);
  }
}

void
upstream_health::Avoid(core::time_point aNow, core::duration aLongest)
{
  mAvoidedUntil = std::max(mAvoidedUntil, aNow + aLongest);
}

bool
upstream_health::WouldRefuse(core::time_point aNow,
                             std::uint32_t aPosition) const
{
  return mStamp && aNow < mStamped + kStampLifetime &&
         aPosition < mStamp->mAdmissionThreshold;
}

double
upstream_health::Cost(std::uint32_t aSlots) const
{
  auto const reported = mStamp ? mStamp->mInFlight : 0;
  auto const limit =
    std::max(mStamp && mStamp->mLimit > 0 ? mStamp->mLimit : aSlots, 1U);
  double const load = 1.0 + std::max(mInFlight, reported);
  return load / limit * std::max(mLatency, kLeastLatency);
}

core::duration
upstream_health::Latency() const
{
  return core::duration(static_cast<std::int64_t>(mLatency));
}

}
