#include "MembershipRun.h"

#include <cstdio>

/// Registers "random_run membership".
namespace cranberryfold::random_run {

namespace {

struct mechanism
{
  std::string_view mName;
  void (*mSwitchOff)(fleet_settings&);
};

constexpr std::array kMechanisms{
  mechanism{ "anti_entropy",
             [](fleet_settings& aFleet) { aFleet.mAntiEntropy = false; } },
  mechanism{
    "refutation",
    [](fleet_settings& aFleet) { aFleet.mMechanisms.mRefutation = false; } },
  mechanism{
    "seed_rejoin",
    [](fleet_settings& aFleet) { aFleet.mMechanisms.mSeedRejoin = false; } },
  mechanism{
    "drain_push",
    [](fleet_settings& aFleet) { aFleet.mMechanisms.mDrainPush = false; } },
  mechanism{
    "member_sync",
    [](fleet_settings& aFleet) { aFleet.mMechanisms.mMemberSync = false; } },
  mechanism{ "isolation_guard",
             [](fleet_settings& aFleet) {
               aFleet.mMechanisms.mIsolationGuard = false;
             } },
};

bool
SwitchOff(std::string_view aName, fleet_settings& aSettings)
{
  if (aName.empty()) {
    return true;
  }
  for (auto const& entry : kMechanisms) {
    if (entry.mName == aName) {
      entry.mSwitchOff(aSettings);
      return true;
    }
  }
  std::fprintf(stderr, "unknown mechanism; expected one of:");
  for (auto const& entry : kMechanisms) {
    std::fprintf(stderr, " %s", std::string(entry.mName).c_str());
  }
  std::fprintf(stderr, "\n");
  return false;
}

int
RunMembership(run_options const& aOptions)
{
  fleet_settings settings;
  settings.mSeed = aOptions.mSeed;
  if (!SwitchOff(aOptions.mWithout, settings)) {
    return 2;
  }
  return membership_run(aOptions, settings).Execute();
}

command_registration const kRegistration(
  "membership",
  "members, failures, drains and edits under faults",
  RunMembership);

}

}
