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

/// What traffic needs to know about one upstream and its daemon.
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
  /// Set when failure detection does not vouch for the member.
  bool mIsDoubtful = false;

  bool operator==(routing_member const&) const = default;
};

/// Immutable snapshot that the control thread publishes to traffic threads.
struct routing_view
{
  core::revision mRevision;
  /// Null until tables have been installed; views of one revision share it.
  std::shared_ptr<tables::route_index const> mRoutes;
  std::vector<routing_member> mMembers;

  /// Returns the tables in force, empty ones before the first are installed.
  tables::table_set const& Tables() const;
  /// Whether there is anything that a request could be routed by.
  bool HasRoutes() const { return !Tables().mRoutes.empty(); }
};

}
