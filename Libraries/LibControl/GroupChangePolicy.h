#pragma once

#include "LibControl/Replica.h"

#include <map>
#include <optional>

/// Keeps the control group at full strength without an operator.
namespace cranberryfold::control {

/// A voter that is silent for this long gives its place to an instance that
/// stands by. Longer than a restart with its recovery, so that a planned stop
/// does not move data.
inline constexpr core::duration kReplacementDelay = std::chrono::seconds(3);

/// Returns the next change of the control group, or nothing when it is as it
/// should be. aStatus is that of a leader; aLive are the live instances that
/// can be control replicas, with their peer addresses.
///
/// Live instances join until there are kMaximumReplicas. Beyond that, one takes
/// the place of a silent voter. A silent voter that nobody can replace keeps
/// its place: removing it would not raise the number of failures that the
/// group survives.
std::optional<tables::change>
ProposeGroupChange(replica_status const& aStatus,
                   std::map<core::instance_id, core::address> const& aLive);

}
