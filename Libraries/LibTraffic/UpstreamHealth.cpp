#include "LibTraffic/UpstreamHealth.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <cmath>

namespace cranberryfold::traffic {

using core::refusal_reason;

namespace {

constexpr double kLatencyWeight = 0.1;
constexpr core::duration kFirstAvoidance{ 250'000 };
constexpr core::duration kLongestAvoidance{ 10'000'000 };
constexpr core::duration kRefusalAvoidance{ 50'000 };
constexpr std::uint32_t kMostDoublings = 6;
/// Stands in for the service time of a pool without calls.
constexpr double kLeastService = 100;
/// Weight of one attempt in the share of errors.
constexpr double kErrorWeight = 0.1;
/// Time in which that share fades to a half while nothing is sent.
constexpr double kErrorHalfLife = 1e6;
/// Service time of an upstream without calls, as a share of the pool's mean.
constexpr double kUntriedShare = 0.5;
/// Time in which a measured service time loses half of its weight.
constexpr double kServiceHalfLife = 5e6;
/// Time in which a load that was told fades to a half.
constexpr double kLoadHalfLife = 0.5e6;
/// Power of the penalty for errors: at half of the attempts failing, a call
/// costs 16 times as much, so that others are chosen unless they are full.
constexpr double kErrorPower = 4;
constexpr double kMostErrors = 0.95;
/// Share of the limit from which the wait is taken into account. Below it,
/// places that others take before this call arrives are not missed.
constexpr double kBusyShare = 0.7;
/// Pause after an upstream said that it does not serve; its announcement tells
/// when it does.
constexpr core::duration kNotReadyAvoidance{ 200'000 };

bool
IsFailure(attempt_report const& aReport)
{
  return aReport.mOutcome == outcome::kUnknown ||
         aReport.mReason == refusal_reason::kConnectFailed;
}

/// Whether the upstream itself failed the call, apart from its load: the daemon
/// beside it hands over only what fits.
bool
IsUpstreamError(attempt_report const& aReport)
{
  return aReport.mServerError || aReport.mOutcome == outcome::kUnknown ||
         aReport.mReason == refusal_reason::kUpstreamRefused;
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
  if (aReport.mLoadStatus) {
    mLoadStatus = aReport.mLoadStatus;
    mStamped = aNow;
    mInFlightAtStamp = mInFlight;
  }
  // The caller ended the attempt, which says nothing about the upstream.
  if (aReport.mReason == refusal_reason::kCallerLeft) {
    return;
  }
  bool const wasTried =
    aReport.mOutcome == outcome::kRan || IsUpstreamError(aReport);
  if (wasTried) {
    CountError(aNow, IsUpstreamError(aReport));
  }
  if (IsFailure(aReport)) {
    auto const doublings = std::min(mFailures++, kMostDoublings);
    Avoid(aNow,
          std::min(kLongestAvoidance, kFirstAvoidance * (1 << doublings)));
    return;
  }
  if (aReport.mReason == refusal_reason::kNotReady) {
    Avoid(aNow, kNotReadyAvoidance);
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

std::uint32_t
upstream_health::Threshold(core::time_point aNow) const
{
  bool const isRecent = mLoadStatus && aNow < mStamped + kLoadStatusLifetime;
  return isRecent ? mLoadStatus->mAdmissionThreshold : 0;
}

double
upstream_health::Errors(core::time_point aNow) const
{
  auto const age = static_cast<double>((aNow - mErrorsAt).count());
  return mErrors * std::exp2(-age / kErrorHalfLife);
}

void
upstream_health::CountError(core::time_point aNow, bool aIsError)
{
  auto const before = Errors(aNow);
  mErrors = before + kErrorWeight * ((aIsError ? 1.0 : 0.0) - before);
  mErrorsAt = aNow;
}

double
upstream_health::Service() const
{
  return mLoadStatus ? mLoadStatus->mServiceMicroseconds : 0;
}

double
upstream_health::Load(core::time_point aNow) const
{
  if (!mLoadStatus) {
    return mInFlight;
  }
  // An upstream that is too busy to answer sends no stamps, so that the last
  // one fades slowly.
  auto const age = static_cast<double>((aNow - mStamped).count());
  auto const told = mLoadStatus->mInFlight * std::exp2(-age / kLoadHalfLife);
  auto const sent = static_cast<double>(mInFlight) - mInFlightAtStamp;
  return std::max<double>(mInFlight, told + sent);
}

/// An upstream without recent calls counts as a fast one, so that it is tried:
/// a new one would otherwise lose against every faster neighbour for good, and
/// one that was slow would never be found to have recovered.
double
upstream_health::ExpectedService(core::time_point aNow,
                                 pool_average const& aAverage) const
{
  auto const untried =
    kUntriedShare * std::max(aAverage.mService, kLeastService);
  if (Service() <= 0) {
    return untried;
  }
  auto const age = static_cast<double>((aNow - mStamped).count());
  auto const weight = std::exp2(-age / kServiceHalfLife);
  return weight * Service() + (1 - weight) * untried;
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
  auto const errors =
    std::clamp(Errors(aNow) - aAverage.mErrors, 0.0, kMostErrors);
  return (service + wait) / std::pow(1 - errors, kErrorPower);
}

core::duration
upstream_health::Latency() const
{
  return core::duration(static_cast<std::int64_t>(mLatency));
}

}
