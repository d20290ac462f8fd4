#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"
#include "LibTables/RouteIndex.h"
#include "LibTables/Tables.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cranberryfold::daemon {

/// Routing data of one upstream and its daemon.
struct routing_member
{
  core::instance_id mInstance;
  core::zone_id mZone;
  core::region_id mRegion;
  core::service_id mService;
  core::address mPeerAddress;
  std::uint32_t mSlots = 0;
  core::incarnation mIncarnation;
  bool mIsServing = false;
  bool mIsDraining = false;
  /// Whether failure detection has the member in any state but alive.
  bool mIsNotAlive = false;

  bool operator==(routing_member const&) const = default;
};

/// Immutable snapshot of tables and members that the control thread publishes
/// to the traffic threads.
struct routing_view
{
  core::revision mRevision;
  /// Null until tables are installed. Views of the same revision share it.
  std::shared_ptr<tables::route_index const> mRoutes;
  std::vector<routing_member> mMembers;

  /// Returns the installed tables; empty until tables are installed.
  tables::table_set const& Tables() const;
  /// Returns whether the tables contain a route.
  bool HasRoutes() const { return !Tables().mRoutes.empty(); }
};

}
