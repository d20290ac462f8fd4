#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTraffic/CallContext.h"
#include "LibTraffic/LoadStatus.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryfold::traffic {

/// An older load status does not describe the present state. Its expiry also
/// lets senders that held back all calls notice a recovery.
inline constexpr core::duration kLoadStatusLifetime{ 2'000'000 };

/// Identifies an attempt among those of one upstream_selector.
using upstream_attempt_id = core::number_id<struct upstream_attempt_tag>;

/// How one attempt at an upstream ended, as seen by its sender.
struct attempt_report
{
  upstream_attempt_id mAttempt;
  outcome mOutcome = outcome::kUnknown;
  /// Set when the attempt was refused or lost.
  std::optional<core::refusal_reason> mReason;
  /// From sending the call to the end of the response.
  core::duration mLatency{};
  std::optional<load_status> mLoadStatus;
  /// Bytes sent and received.
  std::uint64_t mBytes = 0;
  /// The upstream ran the call and answered with a server error.
  bool mServerError = false;
  /// Name of the route of the call.
  std::string mRoute;
};

/// Averages over the upstreams of a pool, for comparison.
struct pool_average
{
  /// Mean service time; 0 when unknown.
  double mServiceMicroseconds = 0;
  /// Mean share of recent attempts that failed.
  double mErrorShare = 0;
};

/// What one sender knows about one upstream from its own attempts.
class upstream_health
{
public:
  void CountStart() { ++mInFlight; }
  void CountEnd(core::time_point aNow, attempt_report const& aReport);

  /// Returns whether the upstream is avoided because of recent failures or
  /// refusals.
  bool IsAvoided(core::time_point aNow) const { return aNow < mAvoidedUntil; }

  /// Returns the admission threshold of the last load status; 0 if it has
  /// expired.
  std::uint32_t Threshold(core::time_point aNow) const;
  /// Returns whether the last load status reported a drain; false if it has
  /// expired, since another process of the upstream may serve by then.
  bool IsDraining(core::time_point aNow) const;

  /// Returns the expected duration of one more call in microseconds, including
  /// the wait, and increased if the share of errors is above the pool's mean.
  double Cost(core::time_point aNow,
              std::uint32_t aSlots,
              pool_average const& aAverage) const;
  /// Returns the service time of the last load status in microseconds; 0 when
  /// unknown.
  double ServiceMicroseconds() const;
  /// Returns the share of recent attempts that failed. It decays while nothing
  /// is sent, so that a failed upstream is tried again.
  double ErrorShare(core::time_point aNow) const;

  std::uint32_t InFlight() const { return mInFlight; }

  /// Returns the moving average of the latency; 0 when unknown.
  core::duration Latency() const;

private:
  bool HasRecentStatus(core::time_point aNow) const;
  void Avoid(core::time_point aNow, core::duration aDuration);
  void CountError(core::time_point aNow, bool aIsError);
  /// Returns the expected duration of a call without waiting, in microseconds.
  double ExpectedService(core::time_point aNow,
                         pool_average const& aAverage) const;
  /// Returns the estimated number of calls at the upstream.
  double Load(core::time_point aNow) const;

  std::uint32_t mInFlight = 0;
  /// Own attempts in flight when the last load status arrived.
  std::uint32_t mInFlightAtLoadStatus = 0;
  double mErrorShare = 0;
  core::time_point mErrorShareUpdated;
  /// Moving average; 0 when unknown.
  double mLatencyMicroseconds = 0;
  std::uint32_t mConsecutiveFailures = 0;
  core::time_point mAvoidedUntil;
  std::optional<load_status> mLoadStatus;
  core::time_point mLoadStatusReceived;
};

}
