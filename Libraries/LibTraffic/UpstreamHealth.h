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

/// Older stamps say nothing about the present; their expiry also lets senders
/// notice a recovery after they have held back everything.
inline constexpr core::duration kLoadStatusLifetime{ 2'000'000 };

/// How one attempt at an upstream ended, as its sender saw it.
struct attempt_report
{
  core::instance_id mInstance;
  outcome mOutcome = outcome::kUnknown;
  /// Set when the attempt was refused or lost.
  std::optional<core::refusal_reason> mReason;
  /// From sending the call to the end of the response.
  core::duration mLatency{};
  std::optional<load_status> mLoadStatus;
  /// Sent and received.
  std::uint64_t mBytes = 0;
  /// The upstream ran the call and reported an error of its own.
  bool mServerError = false;
  /// Route that the call took.
  std::string mRoute;
};

/// What the upstreams of one pool have in common, for comparison.
struct pool_average
{
  /// Microseconds of service time; 0 when unknown.
  double mService = 0;
  /// Share of recent attempts that failed.
  double mErrors = 0;
};

/// What one sender knows about one upstream from its own calls.
class upstream_health
{
public:
  void CountStart() { ++mInFlight; }
  void CountEnd(core::time_point aNow, attempt_report const& aReport);

  /// Returns true while recent failures speak against the upstream.
  bool IsAvoided(core::time_point aNow) const { return aNow < mAvoidedUntil; }

  /// Returns the admission threshold of the last stamp, as far as it is recent.
  std::uint32_t Threshold(core::time_point aNow) const;
  bool IsDraining() const { return mLoadStatus && mLoadStatus->mDraining; }

  /// Returns the expected time of one more call in microseconds, waiting
  /// included and with a penalty for errors beyond those of the pool.
  double Cost(core::time_point aNow,
              std::uint32_t aSlots,
              pool_average const& aAverage) const;
  /// Returns the service time in microseconds; 0 when unknown.
  double Service() const;
  /// Returns the share of recent attempts that failed; it fades while nothing
  /// is sent, so that an upstream gets another chance.
  double Errors(core::time_point aNow) const;

  std::uint32_t InFlight() const { return mInFlight; }

  /// Returns the recent latency; 0 when unknown.
  core::duration Latency() const;

private:
  void Avoid(core::time_point aNow, core::duration aLongest);
  void CountError(core::time_point aNow, bool aIsError);
  /// Returns the time that a call takes without waiting, in microseconds.
  double ExpectedService(core::time_point aNow,
                         pool_average const& aAverage) const;
  /// Returns the calls that are probably at the upstream now.
  double Load(core::time_point aNow) const;

  std::uint32_t mInFlight = 0;
  /// Own attempts in flight when the last stamp came.
  std::uint32_t mInFlightAtStamp = 0;
  double mErrors = 0;
  core::time_point mErrorsAt;
  /// Microseconds.
  double mLatency = 0;
  std::uint32_t mFailures = 0;
  core::time_point mAvoidedUntil;
  std::optional<load_status> mLoadStatus;
  core::time_point mStamped;
};

}
