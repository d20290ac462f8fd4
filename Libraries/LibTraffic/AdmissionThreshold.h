#pragma once

#include "LibTraffic/CallContext.h"

#include <cstdint>

/// The scale on which work is ordered for shedding.
namespace cranberryfold::traffic {

/// Caller groups of one class; a class is shed one group at a time.
inline constexpr std::uint32_t kCallerGroups = 64;

/// Threshold that refuses everything.
inline constexpr std::uint32_t kShedPositions =
  static_cast<std::uint32_t>(tables::kShedLevels) * kCallerGroups;

/// What the shedding order takes into account; randomised runs switch parts
/// off to show what each is good for.
struct shed_rules
{
  bool mByClass = true;
  /// When false, each call gets a group of its own, which differs by hop.
  bool mByCaller = true;

  bool operator==(shed_rules const&) const = default;
};

/// Returns the place of a call in the shedding order, from 0 (shed first) to
/// kShedPositions - 1: by class, then by caller group. All hops put a caller in
/// the same group, so that admitted work is carried through.
std::uint32_t
ShedPosition(call_context const& aContext, shed_rules const& aRules = {});

/// Returns the shedding level of a position: 0 is shed first.
inline std::uint32_t
ShedLevel(std::uint32_t aPosition)
{
  return aPosition / kCallerGroups;
}

}
