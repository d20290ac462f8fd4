#include "OverloadPolicy.h"

#include <algorithm>
#include <functional>
#include <map>

namespace cranberryfold::random_run {

namespace {

constexpr std::uint32_t kUncontrolledRetries = 3;

overload_policy
PlainForwarding()
{
  overload_policy policy;
  policy.mAdmission = false;
  policy.mCancellation = false;
  policy.mEarlyRefusal = false;
  policy.mRetries = false;
  policy.mSelection.mSenderThreshold = false;
  policy.mSelection.mAvoidance = false;
  return policy;
}

overload_policy
FixedLimit()
{
  overload_policy policy;
  policy.mEarlyRefusal = false;
  policy.mRetries = false;
  policy.mController.mAdaptiveLimit = false;
  policy.mController.mThreshold = false;
  policy.mController.mQueueDeadline = false;
  policy.mController.mShedRules = { false, false };
  policy.mSelection.mSenderThreshold = false;
  return policy;
}

void
SetOrder(overload_policy& aPolicy, bool traffic::shed_rules::*aRule)
{
  aPolicy.mController.mShedRules.*aRule = false;
  aPolicy.mSelection.mShedRules.*aRule = false;
}

using switch_function = std::function<void(overload_policy&)>;

std::map<std::string, switch_function, std::less<>> const&
Switches()
{
  using policy = overload_policy;
  static std::map<std::string, switch_function, std::less<>> const switches{
    { "adaptive_limit",
      [](policy& aPolicy) { aPolicy.mController.mAdaptiveLimit = false; } },
    { "admission_threshold",
      [](policy& aPolicy) { aPolicy.mController.mThreshold = false; } },
    { "queue_deadline",
      [](policy& aPolicy) { aPolicy.mController.mQueueDeadline = false; } },
    { "fast_readmission",
      [](policy& aPolicy) { aPolicy.mController.mFastReadmission = false; } },
    { "class_shedding",
      [](policy& aPolicy) {
        SetOrder(aPolicy, &traffic::shed_rules::mByClass);
      } },
    { "caller_hash",
      [](policy& aPolicy) {
        SetOrder(aPolicy, &traffic::shed_rules::mByCaller);
      } },
    { "sender_threshold",
      [](policy& aPolicy) { aPolicy.mSelection.mSenderThreshold = false; } },
    { "least_cost",
      [](policy& aPolicy) { aPolicy.mSelection.mLeastCost = false; } },
    { "avoidance",
      [](policy& aPolicy) { aPolicy.mSelection.mAvoidance = false; } },
    { "retry_permits", [](policy& aPolicy) { aPolicy.mRetryPermits = false; } },
    { "retry_ratio", [](policy& aPolicy) { aPolicy.mRetryRatio = false; } },
    { "retries", [](policy& aPolicy) { aPolicy.mRetries = false; } },
    { "early_refusal", [](policy& aPolicy) { aPolicy.mEarlyRefusal = false; } },
    { "cancellation", [](policy& aPolicy) { aPolicy.mCancellation = false; } },
  };
  return switches;
}

}

std::optional<overload_policy>
BaselinePolicy(std::string_view aName)
{
  if (aName.empty()) {
    return overload_policy{};
  }
  if (aName == "none") {
    return PlainForwarding();
  }
  if (aName == "per_hop_retries") {
    auto policy = PlainForwarding();
    policy.mRetriesPerHop = kUncontrolledRetries;
    return policy;
  }
  if (aName == "fixed_limit") {
    return FixedLimit();
  }
  return std::nullopt;
}

bool
SwitchOff(overload_policy& aPolicy, std::string_view aMechanisms)
{
  while (!aMechanisms.empty()) {
    auto const end = std::min(aMechanisms.find(','), aMechanisms.size());
    auto const found = Switches().find(aMechanisms.substr(0, end));
    if (found == Switches().end()) {
      return false;
    }
    found->second(aPolicy);
    aMechanisms.remove_prefix(std::min(end + 1, aMechanisms.size()));
  }
  return true;
}

std::string
MechanismNames()
{
  std::string names;
  for (auto const& [name, off] : Switches()) {
    names += (names.empty() ? "" : " ") + name;
  }
  return names;
}

}
