#pragma once

#include "LibTraffic/CallContext.h"

#include <cstdint>

/// The scale on which work is ordered for shedding.
namespace cranberryfold::traffic {

/// Caller groups of one class; a class is shed one group at a time.
inline constexpr std::uint32_t kCallerGroups = 64;

/// Positions of one shedding level: new root requests, then passed calls.
inline constexpr std::uint32_t kLevelPositions = 2 * kCallerGroups;

/// Threshold that refuses everything.
inline constexpr std::uint32_t kShedPositions =
  static_cast<std::uint32_t>(tables::kShedLevels) * kLevelPositions;

/// What the shedding order takes into account; randomised runs switch parts
/// off to show what each is good for.
struct shed_rules
{
  bool mByClass = true;
  bool mByHop = true;
  /// When false, each call gets a group of its own, which differs by hop.
  bool mByCaller = true;

  bool operator==(shed_rules const&) const = default;
};

/// Returns the place of a call in the shedding order, from 0 (shed first) to
/// kShedPositions - 1: by class, then new root requests before calls that have
/// passed a hop, then by caller group. All hops put a caller in the same group.
std::uint32_t
ShedPosition(call_context const& aContext, shed_rules const& aRules = {});

/// Returns the band of a position: class and hop without the caller group.
inline std::uint32_t
ShedBand(std::uint32_t aPosition)
{
  return aPosition / kCallerGroups;
}

}
