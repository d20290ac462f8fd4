#include "LibTraffic/UpstreamHealth.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <cmath>

namespace cranberryfold::traffic {

using core::refusal_reason;

namespace {

constexpr double kLatencyWeight = 0.1;
constexpr core::duration kFirstAvoidance{ 250'000 };
constexpr core::duration kMaximumAvoidance{ 10'000'000 };
constexpr core::duration kRefusalAvoidance{ 50'000 };
constexpr std::uint32_t kMaximumDoublings = 6;
/// Assumed service time, in microseconds, of a pool without calls.
constexpr double kDefaultServiceMicroseconds = 100;
/// Weight of one attempt in the share of errors.
constexpr double kErrorWeight = 0.1;
/// Half-life of the share of errors while nothing is sent, in microseconds.
constexpr double kErrorHalfLifeMicroseconds = 1e6;
/// Assumed service time of an upstream without calls, as a share of the pool's
/// mean.
constexpr double kUntriedServiceShare = 0.5;
/// Half-life of the weight of a reported service time, in microseconds.
constexpr double kServiceHalfLifeMicroseconds = 5e6;
/// Half-life of a reported load, in microseconds.
constexpr double kLoadHalfLifeMicroseconds = 0.5e6;
/// Exponent of the cost of errors: with half of the attempts failing, the cost
/// is 16 times as high, so that other upstreams are chosen unless they are
/// full.
constexpr double kErrorExponent = 4;
constexpr double kMaximumErrorShare = 0.95;
/// Share of the limit in use above which the expected wait adds to the cost.
/// Below it, slots that other senders take before this call arrives do not
/// matter.
constexpr double kBusyShare = 0.7;
/// Avoidance after an upstream answered that it is not ready; it announces when
/// it is.
constexpr core::duration kNotReadyAvoidance{ 200'000 };

/// An upstream that refuses is reachable, whether or not the refusal proves
/// that the call was not run.
bool
IsFailure(attempt_report const& aReport)
{
  if (aReport.mReason == refusal_reason::kUpstreamRefused) {
    return false;
  }
  return aReport.mOutcome == outcome::kUnknown ||
         aReport.mReason == refusal_reason::kConnectFailed;
}

/// Returns whether the upstream itself failed the call. Load does not explain a
/// failure, since its daemon dispatches only what the upstream can take.
bool
IsUpstreamError(attempt_report const& aReport)
{
  return aReport.mServerError || aReport.mOutcome == outcome::kUnknown ||
         aReport.mReason == refusal_reason::kUpstreamRefused;
}

/// A full queue makes another upstream the better choice for a short time;
/// refusals by class or deadline do not concern other calls.
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
  if (aReport.mLoadStatus) {
    mLoadStatus = aReport.mLoadStatus;
    mLoadStatusReceived = aNow;
    mInFlightAtLoadStatus = mInFlight;
  }
  // The caller ended the attempt; this is no sign of the upstream's health.
  if (aReport.mReason == refusal_reason::kCallerLeft) {
    return;
  }
  bool const wasTried =
    aReport.mOutcome == outcome::kRan || IsUpstreamError(aReport);
  if (wasTried) {
    CountError(aNow, IsUpstreamError(aReport));
  }
  if (IsFailure(aReport)) {
    auto const doublings = std::min(mConsecutiveFailures++, kMaximumDoublings);
    Avoid(aNow,
          std::min(kMaximumAvoidance, kFirstAvoidance * (1 << doublings)));
    return;
  }
  // The news that would take the upstream out of the candidates may be late.
  bool const takesNoCalls = aReport.mReason == refusal_reason::kNotReady ||
                            aReport.mReason == refusal_reason::kWrongService;
  if (takesNoCalls) {
    Avoid(aNow, kNotReadyAvoidance);
    return;
  }
  if (IsBusyRefusal(aReport)) {
    Avoid(aNow, kRefusalAvoidance);
    return;
  }
  if (aReport.mOutcome == outcome::kRan) {
    mConsecutiveFailures = 0;
    auto const latency = static_cast<double>(aReport.mLatency.count());
    mLatencyMicroseconds =
      mLatencyMicroseconds == 0
        ? latency
        : mLatencyMicroseconds +
            kLatencyWeight * (latency - mLatencyMicroseconds);
  }
}

void
upstream_health::Avoid(core::time_point aNow, core::duration aDuration)
{
  mAvoidedUntil = std::max(mAvoidedUntil, aNow + aDuration);
}

std::uint32_t
upstream_health::Threshold(core::time_point aNow) const
{
  return HasRecentStatus(aNow) ? mLoadStatus->mAdmissionThreshold : 0;
}

bool
upstream_health::IsDraining(core::time_point aNow) const
{
  return HasRecentStatus(aNow) && mLoadStatus->mDraining;
}

bool
upstream_health::HasRecentStatus(core::time_point aNow) const
{
  return mLoadStatus && aNow < mLoadStatusReceived + kLoadStatusLifetime;
}

double
upstream_health::ErrorShare(core::time_point aNow) const
{
  auto const age = static_cast<double>((aNow - mErrorShareUpdated).count());
  return mErrorShare * std::exp2(-age / kErrorHalfLifeMicroseconds);
}

void
upstream_health::CountError(core::time_point aNow, bool aIsError)
{
  auto const before = ErrorShare(aNow);
  mErrorShare = before + kErrorWeight * ((aIsError ? 1.0 : 0.0) - before);
  mErrorShareUpdated = aNow;
}

double
upstream_health::ServiceMicroseconds() const
{
  return mLoadStatus ? mLoadStatus->mServiceMicroseconds : 0;
}

double
upstream_health::Load(core::time_point aNow) const
{
  if (!mLoadStatus) {
    return mInFlight;
  }
  // An upstream that is too busy to answer sends no load status, so the last
  // one decays slowly.
  auto const age = static_cast<double>((aNow - mLoadStatusReceived).count());
  auto const reported =
    mLoadStatus->mInFlight * std::exp2(-age / kLoadHalfLifeMicroseconds);
  auto const sent = static_cast<double>(mInFlight) - mInFlightAtLoadStatus;
  return std::max<double>(mInFlight, reported + sent);
}

/// An upstream without recent calls is assumed to be fast, so that it is tried.
/// Otherwise a new one would never be chosen over a faster neighbour, and the
/// recovery of a slow one would go unnoticed.
double
upstream_health::ExpectedService(core::time_point aNow,
                                 pool_average const& aAverage) const
{
  auto const untried =
    kUntriedServiceShare *
    std::max(aAverage.mServiceMicroseconds, kDefaultServiceMicroseconds);
  if (ServiceMicroseconds() <= 0) {
    return untried;
  }
  auto const age = static_cast<double>((aNow - mLoadStatusReceived).count());
  auto const weight = std::exp2(-age / kServiceHalfLifeMicroseconds);
  return weight * ServiceMicroseconds() + (1 - weight) * untried;
}

double
upstream_health::Cost(core::time_point aNow,
                      std::uint32_t aSlots,
                      pool_average const& aAverage) const
{
  auto const limit = std::max(
    mLoadStatus && mLoadStatus->mLimit > 0 ? mLoadStatus->mLimit : aSlots, 1U);
  auto const service = ExpectedService(aNow, aAverage);
  auto const share = (Load(aNow) + 1) / limit;
  auto const wait = std::max(0.0, share - kBusyShare) * service;
  auto const errors = std::clamp(
    ErrorShare(aNow) - aAverage.mErrorShare, 0.0, kMaximumErrorShare);
  return (service + wait) / std::pow(1 - errors, kErrorExponent);
}

core::duration
upstream_health::Latency() const
{
  return core::duration(static_cast<std::int64_t>(mLatencyMicroseconds));
}

}
