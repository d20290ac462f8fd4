#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTraffic/CallContext.h"
#include "LibTraffic/LoadStamp.h"

#include <cstdint>
#include <optional>

namespace cranberryfold::traffic {

/// How one attempt at an upstream ended, as its sender saw it.
struct attempt_report
{
  core::instance_id mInstance;
  outcome mOutcome = outcome::kUnknown;
  /// Set when the attempt was refused or lost.
  std::optional<core::refusal_reason> mReason;
  /// From sending the call to the end of the response.
  core::duration mLatency{};
  std::optional<load_stamp> mStamp;
  /// Sent and received.
  std::uint64_t mBytes = 0;
};

/// What one sender knows about one upstream from its own calls.
class upstream_health
{
public:
  void CountStart() { ++mInFlight; }
  void CountEnd(core::time_point aNow, attempt_report const& aReport);

  /// Returns true while recent failures speak against the upstream.
  bool IsAvoided(core::time_point aNow) const { return aNow < mAvoidedUntil; }

  /// Returns true while the last stamp says that the position is refused.
  bool WouldRefuse(core::time_point aNow, std::uint32_t aPosition) const;
  bool IsDraining() const { return mStamp && mStamp->mDraining; }

  /// Expected cost of one more call; the better of two has the lower one.
  double Cost(std::uint32_t aSlots) const;

  std::uint32_t InFlight() const { return mInFlight; }

  /// Returns the recent latency; 0 when unknown.
  core::duration Latency() const;

private:
  void Avoid(core::time_point aNow, core::duration aLongest);

  std::uint32_t mInFlight = 0;
  /// Microseconds.
  double mLatency = 0;
  std::uint32_t mFailures = 0;
  core::time_point mAvoidedUntil;
  std::optional<load_stamp> mStamp;
  core::time_point mStamped;
};

}
