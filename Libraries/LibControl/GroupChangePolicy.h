#pragma once

#include "LibControl/Replica.h"

#include <map>
#include <optional>

/// Decides when to add or replace members of the control group automatically.
namespace cranberryfold::control {

/// A voter that has not acknowledged the leader for this long may be replaced
/// by a standby instance. Longer than a restart with its recovery, so that a
/// planned restart does not cause a replacement, which copies the data.
inline constexpr core::duration kReplacementDelay = std::chrono::seconds(3);

/// Returns the next change of the control group, or std::nullopt if none is
/// needed or a change is still in progress. aStatus must come from the leader;
/// aLive are the live instances that can be control replicas, with their peer
/// addresses.
///
/// Live instances are added until there are kMaximumReplicas. If the group is
/// full and a live instance stands by, the voter that has been unresponsive for
/// longest is removed, which makes room for it. Without a standby an
/// unresponsive voter stays a member: removing it would not raise the number of
/// failures that the group survives.
std::optional<tables::change>
ProposeGroupChange(replica_status const& aStatus,
                   std::map<core::instance_id, core::address> const& aLive);

}
