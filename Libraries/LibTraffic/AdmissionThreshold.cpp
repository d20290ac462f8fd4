#include "LibTraffic/AdmissionThreshold.h"

namespace cranberryfold::traffic {

std::uint32_t
ShedPosition(call_context const& aContext)
{
  auto const level =
    static_cast<std::uint32_t>(tables::ShedOrder(aContext.mClass));
  std::uint32_t const passed = aContext.mDepth > 0 ? kCallerGroups : 0;
  auto const group =
    static_cast<std::uint32_t>(aContext.mCallerHash % kCallerGroups);
  return level * kLevelPositions + passed + group;
}

}
