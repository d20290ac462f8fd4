#include "LibTraffic/AdmissionThreshold.h"

#include "LibCore/Hash.h"

namespace cranberryfold::traffic {

namespace {

std::uint32_t
CallerGroup(call_context const& aContext, shed_rules const& aRules)
{
  auto const hash = aRules.mByCaller
                      ? aContext.mCallerHash
                      : core::Hash64(aContext.mRequest.mValue, aContext.mDepth);
  return static_cast<std::uint32_t>(hash % kCallerGroups);
}

}

std::uint32_t
ShedPosition(call_context const& aContext, shed_rules const& aRules)
{
  auto const preset =
    static_cast<std::uint32_t>(tables::ShedLevelOfClass(aContext.mClass));
  auto const level = aRules.mByClass ? aContext.mLevel.value_or(preset) : 0;
  return level * kCallerGroups + CallerGroup(aContext, aRules);
}

}
