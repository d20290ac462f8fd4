#include "Commands.h"
#include "TrafficWorld.h"

#include <array>
#include <cstdio>

/// random_run traffic: claims and quarantine under random faults.
namespace cranberryfold::random_run {

namespace {

constexpr std::array<std::string_view, 7> kMechanisms{
  "claims",     "majority",  "epoch_fence", "holder_recovery",
  "life_fence", "retention", "quarantine"
};
constexpr double kStallChance = 0.002;
/// Time for the last resends, the lease of a lost trial and some messages.
/// After it and the retention time fresh keys are claimed again: by then all
/// that restarted holders may have lost has expired.
constexpr core::duration kSettleMargin = std::chrono::seconds(17);
constexpr core::duration kProbeTime = std::chrono::seconds(3);
constexpr std::size_t kProbes = 60;
constexpr std::uint64_t kLongestStep = 10;
constexpr std::size_t kBurst = 40;

class traffic_run
{
public:
  explicit traffic_run(run_options const& aOptions)
    : mOptions(aOptions)
    , mWorld(SettingsFor(aOptions))
  {
  }

  void Run()
  {
    mWorld.SetStalls(kStallChance);
    for (std::uint64_t step = 0; step < mOptions.mSteps; ++step) {
      RandomFault();
      RandomRequest();
      auto const time = 1 + Random().Below(kLongestStep);
      mWorld.Advance(
        std::chrono::milliseconds(static_cast<std::int64_t>(time)));
    }
    Settle();
  }

  void Print() const
  {
    auto& world = const_cast<traffic_world&>(mWorld);
    auto const& counters = world.Counters();
    std::printf("seed=%lu steps=%lu without=%s\nfaults:",
                mOptions.mSeed,
                mOptions.mSteps,
                mOptions.mWithout.empty() ? "-" : mOptions.mWithout.c_str());
    for (auto const& [kind, count] : counters.mFaults) {
      std::printf(" %s=%lu", kind.c_str(), count);
    }
    std::printf("\nrequests=%zu outcomes:", world.RequestCount());
    for (std::size_t index = 1; index < kToldCount; ++index) {
      std::printf(" %s=%lu",
                  std::string(ToldName(static_cast<told>(index))).c_str(),
                  counters.mTold[index]);
    }
    std::printf("\nexecutions=%lu upstream_crashes=%lu trials=%lu "
                "excused_runs_of_crashing_requests=%lu\n",
                counters.mExecutions,
                counters.mUpstreamCrashes,
                counters.mTrials,
                counters.mExcusedCrashes);
    auto const claims = counters.mClaims == 0 ? 1 : counters.mClaims;
    std::printf(
      "claims=%lu messages_per_claim=%.1f bytes_per_claim=%.0f "
      "mean_claim_us=%ld longest_claim_ms=%ld\n",
      counters.mClaims,
      static_cast<double>(counters.mClaimMessages) /
        static_cast<double>(claims),
      static_cast<double>(counters.mClaimBytes) / static_cast<double>(claims),
      static_cast<long>(counters.mClaimTime.count()) /
        static_cast<long>(claims),
      static_cast<long>(core::Milliseconds(counters.mLongestClaimTime)));
  }

  void PrintTrace() const
  {
    for (auto const& line : mWorld.Events()) {
      std::printf("  %s\n", line.c_str());
    }
  }

private:
  static traffic_settings SettingsFor(run_options const& aOptions)
  {
    traffic_settings settings;
    settings.mSeed = aOptions.mSeed;
    settings.mZones = 2 + aOptions.mSeed % 2;
    settings.mWithout = aOptions.mWithout;
    return settings;
  }

  core::random_source& Random() { return mWorld.Random(); }

  std::size_t AnyDaemon()
  {
    return static_cast<std::size_t>(Random().Below(mWorld.DaemonCount()));
  }

  core::duration Between(std::uint64_t aLeast, std::uint64_t aMost)
  {
    return std::chrono::milliseconds(
      static_cast<std::int64_t>(aLeast + Random().Below(aMost - aLeast)));
  }

  void Count(char const* aFault) { ++mWorld.Counters().mFaults[aFault]; }

  void RandomRequest()
  {
    if (!Random().Chance(0.2)) {
      return;
    }
    caller_request request;
    auto const number = std::to_string(mWorld.RequestCount());
    request.mName = "r" + number;
    request.mServiceTime =
      Random().Chance(0.05) ? Between(300, 2500) : Between(2, 40);
    request.mPoison = Random().Chance(0.01);
    if (Random().Chance(0.7)) {
      auto const zone =
        static_cast<std::size_t>(Random().Below(mWorld.Settings().mZones));
      auto const prefix =
        Random().Chance(0.8) ? mWorld.ZoneName(zone) + "/" : std::string();
      request.mKey = prefix + "key" + number;
    }
    auto const index = mWorld.Submit(request, AnyDaemon());
    // An impatient caller sends the same request through a second daemon.
    if (!request.mKey.empty() && Random().Chance(0.1)) {
      Count("concurrent_resends");
      mWorld.Resend(index, AnyDaemon());
    }
  }

  void RandomFault()
  {
    if (mHealAt && mWorld.Now() >= *mHealAt) {
      mHealAt.reset();
      mWorld.HealAll();
    }
    if (!Random().Chance(0.01)) {
      return;
    }
    switch (Random().Below(9)) {
      case 0:
        return RestartSome();
      case 1:
        return Partition();
      case 2:
        return ChangeMap();
      case 3:
        return ChangeNetwork();
      case 4:
        return FreezeSome();
      case 5:
        Count("upstream_crashes_by_themselves");
        return mWorld.CrashUpstream(AnyDaemon());
      case 6:
        return LoseAnswers();
      case 7:
        Count("answer_loss_changes");
        return mWorld.SetAnswerLoss(Random().Fraction() * 0.3);
      default:
        return BurstAndRestart();
    }
  }

  /// Many pairs of competing claims while messages are slow and a holder loses
  /// its memory: late grants meet the copies of the new life.
  void BurstAndRestart()
  {
    Count("bursts_with_restart");
    network_faults faults;
    faults.mMaximumDelay = Between(50, 300);
    mWorld.SetNetworkFaults(faults);
    auto const zone =
      static_cast<std::size_t>(Random().Below(mWorld.Settings().mZones));
    for (std::size_t count = 0; count < kBurst; ++count) {
      caller_request request;
      request.mName = "b" + std::to_string(mWorld.RequestCount());
      request.mKey = mWorld.ZoneName(zone) + "/" + request.mName;
      request.mServiceTime = Between(2, 40);
      auto const index = mWorld.Submit(request, AnyDaemon());
      mWorld.Resend(index, AnyDaemon());
    }
    mWorld.Advance(Between(1, 150));
    auto const inZone = static_cast<std::size_t>(
      Random().Below(mWorld.Settings().mDaemonsPerZone));
    mWorld.Restart(zone * mWorld.Settings().mDaemonsPerZone + inZone,
                   Between(1, 20));
  }

  // The order in which arguments are evaluated depends on the compiler. Each
  // statement below draws one random number, so that a seed names the same run
  // on every machine.

  void FreezeSome()
  {
    Count("freezes");
    auto const time = Between(50, 3000);
    mWorld.Freeze(AnyDaemon(), time);
  }

  void LoseAnswers()
  {
    Count("lost_answers_of_upstreams");
    auto const time = Between(100, 2000);
    mWorld.LoseAnswers(AnyDaemon(), time);
  }

  void RestartOne()
  {
    Count("restarts");
    auto const downTime = Between(20, 1500);
    mWorld.Restart(AnyDaemon(), downTime);
  }

  void RestartSome()
  {
    RestartOne();
    if (Random().Chance(0.3)) {
      RestartOne();
    }
  }

  void Partition()
  {
    mHealAt = mWorld.Now() + Between(200, 5000);
    if (Random().Chance(0.5)) {
      Count("zone_partitions");
      mWorld.IsolateZone(
        static_cast<std::size_t>(Random().Below(mWorld.Settings().mZones)));
      return;
    }
    Count("one_way_cuts");
    auto const from = AnyDaemon();
    for (std::size_t to = 0; to < mWorld.DaemonCount(); ++to) {
      if (to != from && Random().Chance(0.6)) {
        mWorld.Cut(from, to);
      }
    }
  }

  void ChangeMap()
  {
    Count("map_changes");
    auto const daemon = AnyDaemon();
    mWorld.SetMember(daemon, !mWorld.IsMember(daemon));
  }

  void ChangeNetwork()
  {
    Count("network_changes");
    network_faults faults;
    faults.mDrop = Random().Chance(0.5) ? Random().Fraction() * 0.1 : 0;
    faults.mDuplicate = Random().Fraction() * 0.2;
    faults.mMaximumDelay =
      Random().Chance(0.3) ? Between(20, 300) : Between(1, 5);
    mWorld.SetNetworkFaults(faults);
  }

  void Settle()
  {
    mWorld.HealAll();
    mWorld.SetNetworkFaults({});
    mWorld.SetAnswerLoss(0);
    mWorld.SetStalls(0);
    mWorld.Advance(mWorld.Settings().mRetention + kSettleMargin);
    std::vector<std::size_t> probes;
    for (std::size_t index = 0; index < kProbes; ++index) {
      caller_request probe;
      auto const zone = index % mWorld.Settings().mZones;
      probe.mName = "probe" + std::to_string(index);
      probe.mKey =
        (index % 4 == 0 ? "" : mWorld.ZoneName(zone) + "/") + probe.mName;
      probe.mServiceTime = std::chrono::milliseconds(5);
      probes.push_back(mWorld.Submit(probe, AnyDaemon()));
    }
    mWorld.Advance(kProbeTime);
    for (auto const index : probes) {
      auto const& probe = mWorld.Request(index);
      if (probe.mAttempts.front().mTold != told::kRan) {
        throw violation{ "after the faults, " + probe.mName + " is told " +
                         std::string(ToldName(probe.mAttempts.front().mTold)) };
      }
    }
    if (!mWorld.AllShardsVote()) {
      throw violation{ "after the faults, a holder does not vote" };
    }
    if (mWorld.SuspectsLeft() != 0) {
      throw violation{ "after the faults, suspects are left" };
    }
  }

  run_options mOptions;
  traffic_world mWorld;
  std::optional<core::time_point> mHealAt;
};

int
RunTraffic(run_options const& aOptions)
{
  auto const isKnown =
    aOptions.mWithout.empty() ||
    std::ranges::find(kMechanisms, aOptions.mWithout) != kMechanisms.end();
  if (!isKnown) {
    std::fprintf(stderr, "unknown mechanism; known are:");
    for (auto const& name : kMechanisms) {
      std::fprintf(stderr, " %s", std::string(name).c_str());
    }
    std::fprintf(stderr, "\n");
    return 2;
  }
  traffic_run run(aOptions);
  try {
    run.Run();
  } catch (violation const& problem) {
    run.Print();
    std::printf("VIOLATION: %s\n", problem.mText.c_str());
    run.PrintTrace();
    return 1;
  }
  run.Print();
  std::printf("all invariants held\n");
  return 0;
}

command_registration const kTraffic("traffic",
                                    "Claims and quarantine under faults.",
                                    RunTraffic);

}

}
