#pragma once

#include "LibMembership/Member.h"

#include <vector>

/// Selection of members from a snapshot.
namespace cranberryfold::membership {

/// Members that may take new work of a service.
struct service_members
{
  std::vector<member> mMembers;
  /// Whether the view was distrusted, because more than half of the service or
  /// of all members appear dead; mMembers then contains the dead ones as well.
  bool mPanic = false;

  bool operator==(service_members const&) const = default;
};

/// Returns all members of a service that have not left, in the order given.
std::vector<member>
MembersOfService(std::vector<member> const& aMembers,
                 core::service_id const& aService);

/// Whether more than half of those that have not left appear dead. Members of
/// an unreachable zone do not count as dead.
bool
AppearsMostlyDead(std::vector<member> const& aMembers);

/// Returns the members of a service that serve. They
/// are alive or suspect; suspicion alone keeps no work away from a member.
/// Draining members get no new work even in panic.
service_members
UsableMembers(std::vector<member> const& aMembers,
              core::service_id const& aService);

}
