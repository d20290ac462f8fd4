#pragma once

#include "LibCore/Error.h"
#include "LibTraffic/ClaimHolder.h"
#include "LibTraffic/ClaimMap.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Updates of the claim map after changes of the members, on the control
/// leader.
namespace cranberryfold::daemon {

/// A holder's report of the shards in which it votes while the map still lists
/// earlier groups for them.
struct activation_report
{
  core::instance_id mInstance;
  std::vector<traffic::shard_activated> mShards;
};

std::string
EncodeActivationReport(activation_report const& aReport);

/// Fails with kMalformed.
core::result<activation_report>
DecodeActivationReport(std::string_view aBytes);

/// Computes the next claim map. Collects activation reports and drops the
/// earlier groups of a shard once a majority of its current group votes.
class claim_map_planner
{
public:
  void OnReport(activation_report const& aReport);

  /// Returns the map that should replace aCurrent, or std::nullopt if no change
  /// is needed.
  std::optional<traffic::claim_map> Propose(
    traffic::claim_map const& aCurrent,
    std::vector<traffic::claim_member> const& aMembers);

private:
  struct activation
  {
    traffic::claim_epoch mEpoch;
    std::set<core::instance_id> mInstances;
  };

  bool IsActivated(traffic::shard_id const& aShard,
                   traffic::claim_group const& aGroup) const;

  std::map<traffic::shard_id, activation> mActivations;
};

}
