#include "LibMembership/Member.h"

#include <array>

namespace cranberryfold::membership {

std::string_view
LifecycleStateName(lifecycle_state aState)
{
  constexpr std::array<std::string_view, 4> kNames{
    "starting", "serving", "draining", "left"
  };
  return kNames.at(static_cast<std::size_t>(aState));
}

std::string_view
MemberStateName(member_state aState)
{
  constexpr std::array<std::string_view, kMemberStateCount> kNames{
    "alive", "suspect", "dead", "left", "unreachable"
  };
  return kNames.at(static_cast<std::size_t>(aState));
}

}
