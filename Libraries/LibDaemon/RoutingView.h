#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"
#include "LibTables/Tables.h"

#include <cstdint>
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
  tables::table_set mTables;
  std::vector<routing_member> mMembers;

  bool operator==(routing_view const&) const = default;
};

}
