#pragma once

#include "LibTraffic/CallContext.h"

#include <cstdint>

/// The order in which calls are shed under overload.
namespace cranberryfold::traffic {

/// Caller groups in a class; a class is shed one group at a time.
inline constexpr std::uint32_t kCallerGroups = 64;

/// Number of shed positions. As a threshold, it refuses every call.
inline constexpr std::uint32_t kShedPositions =
  static_cast<std::uint32_t>(tables::kShedLevels) * kCallerGroups;

/// Criteria of the shedding order. Randomised runs can disable each to show its
/// effect.
struct shed_rules
{
  bool mByClass = true;
  /// If false, the group depends on the request and the hop instead of the
  /// caller.
  bool mByCaller = true;

  bool operator==(shed_rules const&) const = default;
};

/// Returns the position of a call in the shedding order, from 0 (shed first) to
/// kShedPositions - 1: by class, then by caller group. A caller is in the same
/// group at every hop, so that admitted work is not refused at a later hop.
std::uint32_t
ShedPosition(call_context const& aContext, shed_rules const& aRules = {});

/// Returns the shedding level of a position; 0 is shed first.
inline std::uint32_t
ShedLevel(std::uint32_t aPosition)
{
  return aPosition / kCallerGroups;
}

}
