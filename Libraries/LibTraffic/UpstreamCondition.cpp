#include "LibTraffic/UpstreamCondition.h"

#include <array>
#include <cstdio>

namespace cranberryfold::traffic {

std::string
FormatRequestLimit(upstream_condition const& aCondition)
{
  if (!aCondition.mRequestsPerSecond) {
    return "none";
  }
  std::array<char, 32> text{};
  std::snprintf(
    text.data(), text.size(), "%.2f", *aCondition.mRequestsPerSecond);
  return text.data();
}

}
