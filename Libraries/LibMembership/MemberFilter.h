#pragma once

#include "LibMembership/Member.h"

#include <vector>

/// Selection of members from a snapshot.
namespace cranberryfold::membership {

/// Members that may receive new requests of a service.
struct service_members
{
  std::vector<member> mMembers;
  /// Panic mode: more than half of the service or of all members appear dead,
  /// so that the view is not trusted and mMembers includes the dead ones.
  bool mPanic = false;

  bool operator==(service_members const&) const = default;
};

/// Returns all members of a service that have not left, in the order of
/// aMembers.
std::vector<member>
MembersOfService(std::vector<member> const& aMembers,
                 core::service_id const& aService);

/// Whether more than half of the members that have not left appear dead.
/// Members of an unreachable zone do not count as dead.
bool
AppearsMostlyDead(std::vector<member> const& aMembers);

/// Returns the serving members of a service that are alive or suspect; in panic
/// mode, also the dead and unreachable ones. Suspicion alone excludes no
/// member. Draining members receive no new requests even in panic mode.
service_members
UsableMembers(std::vector<member> const& aMembers,
              core::service_id const& aService);

}
