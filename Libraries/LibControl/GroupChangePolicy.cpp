#include "LibControl/GroupChangePolicy.h"

namespace cranberryfold::control {

namespace {

using live_instances = std::map<core::instance_id, core::address>;

core::duration
TimeSinceAcknowledgement(replica_status const& aStatus,
                         core::instance_id const& aInstance)
{
  auto const found = aStatus.mTimeSinceAcknowledgement.find(aInstance);
  return found == aStatus.mTimeSinceAcknowledgement.end() ? core::duration{}
                                                          : found->second;
}

/// Returns the member that has not acknowledged the leader for the longest
/// time, or std::nullopt if none reached kReplacementDelay.
std::optional<core::instance_id>
LongestUnresponsive(replica_status const& aStatus)
{
  std::optional<core::instance_id> longest;
  for (auto const& [instance, member] : aStatus.mGroup) {
    auto const silence = TimeSinceAcknowledgement(aStatus, instance);
    if (silence < kReplacementDelay) {
      continue;
    }
    if (!longest || silence > TimeSinceAcknowledgement(aStatus, *longest)) {
      longest = instance;
    }
  }
  return longest;
}

}

std::optional<tables::change>
ProposeGroupChange(replica_status const& aStatus, live_instances const& aLive)
{
  if (aStatus.mGroupChanging) {
    return std::nullopt;
  }
  for (auto const& [instance, member] : aStatus.mGroup) {
    if (member.mVoter) {
      continue;
    }
    // Only one learner catches up at a time. One that is unresponsive would
    // block further additions, so it is removed.
    if (TimeSinceAcknowledgement(aStatus, instance) >= kReplacementDelay) {
      return tables::remove_replica{ instance };
    }
    return std::nullopt;
  }
  for (auto const& [instance, address] : aLive) {
    if (aStatus.mGroup.contains(instance)) {
      continue;
    }
    if (aStatus.mGroup.size() < kMaximumReplicas) {
      return tables::add_replica{ instance, address };
    }
    if (auto const silent = LongestUnresponsive(aStatus)) {
      return tables::remove_replica{ *silent };
    }
  }
  return std::nullopt;
}

}
