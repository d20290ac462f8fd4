#include "LibControl/GroupChangePolicy.h"

namespace cranberryfold::control {

namespace {

using live_instances = std::map<core::instance_id, core::address>;

core::duration
SilenceOf(replica_status const& aStatus, core::instance_id const& aInstance)
{
  auto const found = aStatus.mSilence.find(aInstance);
  return found == aStatus.mSilence.end() ? core::duration{} : found->second;
}

/// Returns the member that has been silent for longest, beyond the delay.
std::optional<core::instance_id>
LongestSilent(replica_status const& aStatus)
{
  std::optional<core::instance_id> longest;
  for (auto const& [instance, member] : aStatus.mGroup) {
    auto const silence = SilenceOf(aStatus, instance);
    if (silence < kReplacementDelay) {
      continue;
    }
    if (!longest || silence > SilenceOf(aStatus, *longest)) {
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
    // One member catches up at a time; a silent one is in the way.
    if (SilenceOf(aStatus, instance) >= kReplacementDelay) {
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
    if (auto const silent = LongestSilent(aStatus)) {
      return tables::remove_replica{ *silent };
    }
  }
  return std::nullopt;
}

}
