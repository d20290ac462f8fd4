#include "LibDaemon/ClaimMapPlanner.h"

#include "LibWire/Codec.h"

#include <algorithm>

namespace cranberryfold::traffic {

template<class Archive>
void
serialize(Archive& aArchive, shard_activated& aValue)
{
  aArchive(aValue.mShard.mZone, aValue.mShard.mIndex, aValue.mEpoch);
}

}

namespace cranberryfold::daemon {

template<class Archive>
void
serialize(Archive& aArchive, activation_report& aReport)
{
  aArchive(aReport.mInstance, aReport.mShards);
}

std::string
EncodeActivationReport(activation_report const& aReport)
{
  return wire::Encode(aReport);
}

core::result<activation_report>
DecodeActivationReport(std::string_view aBytes)
{
  return wire::Decode<activation_report>(aBytes, "decode_activation_report");
}

void
claim_map_planner::OnReport(activation_report const& aReport)
{
  for (auto const& shard : aReport.mShards) {
    auto& entry = mActivations[shard.mShard];
    if (entry.mEpoch < shard.mEpoch) {
      entry = { shard.mEpoch, {} };
    }
    if (entry.mEpoch == shard.mEpoch) {
      entry.mInstances.insert(aReport.mInstance);
    }
  }
}

bool
claim_map_planner::IsActivated(traffic::shard_id const& aShard,
                               traffic::claim_group const& aGroup) const
{
  auto const found = mActivations.find(aShard);
  if (found == mActivations.end() || found->second.mEpoch != aGroup.mEpoch) {
    return false;
  }
  auto const& reporters = found->second.mInstances;
  auto const active =
    std::count_if(aGroup.mHolders.begin(),
                  aGroup.mHolders.end(),
                  [&reporters](traffic::holder_id const& aHolder) {
                    return reporters.contains(aHolder.mInstance);
                  });
  return static_cast<std::size_t>(active) >= aGroup.Majority();
}

std::optional<traffic::claim_map>
claim_map_planner::Propose(traffic::claim_map const& aCurrent,
                           std::vector<traffic::claim_member> const& aMembers)
{
  auto proposed = traffic::BuildClaimMap(aCurrent, aMembers);
  for (auto const& [zone, shards] : aCurrent.mZones) {
    for (std::uint32_t index = 0; index < shards.size(); ++index) {
      traffic::shard_id const shard{ zone, index };
      auto const& group = shards[index].mGroup;
      if (!shards[index].mEarlier.empty() && IsActivated(shard, group)) {
        proposed = traffic::ForgetEarlierGroups(proposed, shard, group.mEpoch);
      }
    }
  }
  if (proposed == aCurrent) {
    return std::nullopt;
  }
  return proposed;
}

}
