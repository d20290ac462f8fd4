#include "Commands.h"
#include "OverloadCallers.h"
#include "OverloadMesh.h"
#include "OverloadPolicy.h"
#include "OverloadReport.h"
#include "OverloadShape.h"

#include "LibCore/Random.h"
#include "LibCore/TimerService.h"

#include <cstdio>

#include <gflags/gflags.h>

DEFINE_string(shape, "plumehost", "overload: plumehost or tanglewick.");
DEFINE_string(baseline, "", "overload: none, per_hop_retries or fixed_limit.");
DEFINE_string(objective,
              "",
              "overload: goodput or recovery_time; empty for the shape's own.");
DEFINE_string(slowdown,
              "cores",
              "overload: cores (calls compete) or work (each takes longer).");
DEFINE_uint64(try_timeout_ms, 2000, "overload: what callers give one try.");
DEFINE_uint64(lost_percent, 0, "overload: lost responses of the deep service.");
DEFINE_uint64(surge_seconds, 60, "overload: virtual seconds of the surge.");

namespace cranberryfold::random_run {

namespace {

constexpr std::chrono::seconds kBefore{ 20 };
constexpr std::chrono::seconds kAfter{ 60 };
/// Until all that began has ended: tries and their pauses.
constexpr std::chrono::seconds kDrain{ 30 };
constexpr double kSlowShare = 0.2;
constexpr double kSurgeDemand = 2;

struct overload_setup
{
  overload_shape mShape;
  overload_policy mPolicy;
  /// Cores and work factor of the deep service during the surge.
  double mCoreShare = kSlowShare;
  double mWorkFactor = 1;
};

bool
ReadObjective(overload_shape& aShape)
{
  if (FLAGS_objective == "goodput") {
    aShape.mObjective = tables::pool_objective::kGoodput;
  } else if (FLAGS_objective == "recovery_time") {
    aShape.mObjective = tables::pool_objective::kRecoveryTime;
  } else {
    return FLAGS_objective.empty();
  }
  return true;
}

std::optional<overload_setup>
ReadSetup(run_options const& aOptions)
{
  auto const shape = FindOverloadShape(FLAGS_shape);
  auto const policy = BaselinePolicy(FLAGS_baseline);
  if (!shape || !policy) {
    return std::nullopt;
  }
  overload_setup setup{ *shape, *policy };
  setup.mShape.mTryTimeout = std::chrono::milliseconds(FLAGS_try_timeout_ms);
  setup.mShape.mLostShare = static_cast<double>(FLAGS_lost_percent) / 100;
  if (!ReadObjective(setup.mShape)) {
    return std::nullopt;
  }
  if (!SwitchOff(setup.mPolicy, aOptions.mWithout)) {
    return std::nullopt;
  }
  if (FLAGS_slowdown == "work") {
    setup.mCoreShare = 1;
    setup.mWorkFactor = 1 / kSlowShare;
  } else if (FLAGS_slowdown != "cores") {
    return std::nullopt;
  }
  return setup;
}

void
AdvanceTo(core::timer_service& aTimers, core::time_point aTime)
{
  while (auto const due = aTimers.NextDue()) {
    if (*due > aTime) {
      return;
    }
    aTimers.Advance(*due);
  }
}

/// Cores of the whole deep service during the surge.
double
SlowedCapacity(overload_shape const& aShape)
{
  return kSlowShare * kOverloadZones * aShape.mServices.back().mSlots;
}

/// Checks the invariants that hold with all mechanisms on.
bool
CheckInvariants(overload_mesh const& aMesh)
{
  std::printf("invariants order_violations=%llu runs_over_bound=%llu "
              "left_in_flight=%llu\n",
              static_cast<unsigned long long>(aMesh.OrderViolations()),
              static_cast<unsigned long long>(aMesh.RunsOverBound()),
              static_cast<unsigned long long>(aMesh.InFlight()));
  return aMesh.OrderViolations() == 0 && aMesh.RunsOverBound() == 0 &&
         aMesh.InFlight() == 0;
}

int
RunOverload(run_options const& aOptions)
{
  auto const setup = ReadSetup(aOptions);
  if (!setup) {
    std::fprintf(stderr,
                 "overload: unknown shape, baseline, objective, slowdown or "
                 "mechanism; mechanisms: %s\n",
                 MechanismNames().c_str());
    return 2;
  }
  core::time_point const surge{ kBefore };
  auto const end = surge + std::chrono::seconds(FLAGS_surge_seconds);
  overload_report report({ surge, end, end + kAfter });
  core::timer_service timers;
  core::random_source random(aOptions.mSeed);
  overload_mesh mesh(setup->mShape, setup->mPolicy, timers, random, report);
  overload_callers callers(setup->mShape, mesh, timers, random, report);
  callers.Start({});
  AdvanceTo(timers, surge);
  mesh.SetDeepSpeed(surge, setup->mCoreShare, setup->mWorkFactor);
  callers.SetDemand(kSurgeDemand);
  AdvanceTo(timers, end);
  mesh.SetDeepSpeed(end, 1, 1);
  callers.SetDemand(1);
  AdvanceTo(timers, end + kAfter + kDrain);
  std::printf("overload shape=%s seed=%llu baseline=%s without=%s\n",
              FLAGS_shape.c_str(),
              static_cast<unsigned long long>(aOptions.mSeed),
              FLAGS_baseline.c_str(),
              aOptions.mWithout.c_str());
  report.Print(SlowedCapacity(setup->mShape));
  bool const held = CheckInvariants(mesh);
  return held || !FLAGS_baseline.empty() ? 0 : 1;
}

command_registration const kRegistration(
  "overload",
  "admission control, selection and retries under a surge",
  RunOverload);

}

}
