#include "LibMembership/MemberFilter.h"

#include <algorithm>

namespace cranberryfold::membership {

namespace {

bool
HasLeft(member const& aMember)
{
  return aMember.mState == member_state::kLeft ||
         aMember.mAnnouncement.mLifecycle == lifecycle_state::kLeft;
}

bool
IsServing(member const& aMember)
{
  return aMember.mAnnouncement.mLifecycle == lifecycle_state::kServing;
}

}

std::vector<member>
MembersOfService(std::vector<member> const& aMembers,
                 core::service_id const& aService)
{
  std::vector<member> found;
  for (auto const& entry : aMembers) {
    if (entry.mAnnouncement.mService == aService && !HasLeft(entry)) {
      found.push_back(entry);
    }
  }
  return found;
}

bool
AppearsMostlyDead(std::vector<member> const& aMembers)
{
  std::size_t present = 0;
  std::size_t dead = 0;
  for (auto const& entry : aMembers) {
    present += HasLeft(entry) ? 0 : 1;
    dead += entry.mState == member_state::kDead ? 1 : 0;
  }
  return dead * 2 > present;
}

service_members
UsableMembers(std::vector<member> const& aMembers,
              core::service_id const& aService)
{
  auto const candidates = MembersOfService(aMembers, aService);
  service_members usable;
  usable.mPanic = AppearsMostlyDead(candidates) || AppearsMostlyDead(aMembers);
  for (auto const& entry : candidates) {
    bool const isReachable = entry.mState == member_state::kAlive ||
                             entry.mState == member_state::kSuspect;
    if (IsServing(entry) && (isReachable || usable.mPanic)) {
      usable.mMembers.push_back(entry);
    }
  }
  return usable;
}

}
