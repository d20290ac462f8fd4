#include "Commands.h"
#include "Fleet.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

#include <gflags/gflags.h>

DEFINE_string(daemons,
              "100,400,1700",
              "Fleet sizes of the dissemination run, separated by commas.");
DEFINE_uint64(edits, 20, "Edits whose dissemination is timed.");
DEFINE_string(csv, "", "File for the results as CSV.");

/// "random_run dissemination": time, traffic, processor time and memory of
/// membership and dissemination at several fleet sizes.
namespace cranberryfold::random_run {

namespace {

constexpr core::duration kMeasuredTime = std::chrono::seconds(30);
/// Waiting time beyond which a phase counts as not converged.
constexpr core::duration kLimit = std::chrono::seconds(60);
/// 5,000 edits a day.
constexpr core::duration kEditInterval = std::chrono::milliseconds(17280);
constexpr core::duration kPoll = std::chrono::milliseconds(10);
constexpr core::duration kViewPoll = std::chrono::milliseconds(250);

/// One figure with its unit, for the table and for CSV.
struct figure
{
  std::size_t mDaemons = 0;
  std::string mName;
  double mValue = 0;
  std::string mUnit;
};

double
Seconds(core::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double
Median(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

/// Measures one fleet size.
class dissemination_run
{
public:
  dissemination_run(std::size_t aDaemons, std::uint64_t aSeed)
    : mFleet(Settings(aDaemons, aSeed))
    , mDaemons(aDaemons)
  {
    mFleet.OnViolation([](std::string const& aText) {
      std::printf("violated: %s\n", aText.c_str());
    });
  }

  std::vector<figure> Execute()
  {
    StartAll();
    MeasureTraffic("at_rest", false);
    MeasureEdits();
    MeasureTraffic("with_edits", true);
    MeasureMemory();
    MeasureZoneLoss();
    MeasurePartition();
    return mFigures;
  }

private:
  static fleet_settings Settings(std::size_t aDaemons, std::uint64_t aSeed)
  {
    fleet_settings settings;
    settings.mDaemons = aDaemons;
    settings.mSeed = aSeed;
    // 160 services with two routes or pools each.
    settings.mTableRows = 160;
    return settings;
  }

  void Add(std::string const& aName, double aValue, std::string const& aUnit)
  {
    mFigures.push_back({ mDaemons, aName, aValue, aUnit });
    std::printf("%7zu  %-44s %12.3f %s\n",
                mDaemons,
                aName.c_str(),
                aValue,
                aUnit.c_str());
    std::fflush(stdout);
  }

  void StartAll()
  {
    auto const begin = mFleet.Now();
    constexpr std::size_t kStartsPerStep = 20;
    for (std::size_t node = 0; node < mDaemons; ++node) {
      mFleet.Start(node);
      if (node % kStartsPerStep == 0) {
        mFleet.Run(kPoll);
      }
    }
    auto const converged = RunUntilEqualViews();
    Add("cold_start_until_equal_views",
        Seconds(mFleet.Now() - begin),
        converged ? "s" : "s (not converged)");
    mFleet.CommitEdit();
    mFleet.Run(std::chrono::seconds(10));
  }

  bool AllInstalled() const
  {
    auto const newest = mFleet.NewestRevision();
    return std::all_of(mFleet.Nodes().begin(),
                       mFleet.Nodes().end(),
                       [newest](fleet_node const& aNode) {
                         return !aNode.IsUp() || aNode.mInstalled == newest;
                       });
  }

  /// Compares what every daemon sees by the sum of all versions and states.
  bool HaveEqualViews() const
  {
    std::optional<std::vector<membership::member>> first;
    for (auto const& node : mFleet.Nodes()) {
      if (!node.IsUp()) {
        continue;
      }
      auto view = node.mDirectory->Members();
      if (!first) {
        first = std::move(view);
      } else if (view != *first) {
        return false;
      }
    }
    return true;
  }

  std::size_t CountInFirstView(membership::member_state aState) const
  {
    auto const view = mFleet.Nodes().front().mDirectory->Members();
    return static_cast<std::size_t>(
      std::count_if(view.begin(), view.end(), [aState](auto const& aMember) {
        return aMember.mState == aState;
      }));
  }

  bool RunUntilEqualViews()
  {
    auto const end = mFleet.Now() + kLimit;
    while (mFleet.Now() < end) {
      mFleet.Run(kViewPoll);
      if (CountInFirstView(membership::member_state::kAlive) > mDaemons / 2 &&
          HaveEqualViews()) {
        return true;
      }
    }
    return false;
  }

  /// Returns the time until the newest revision is in force everywhere.
  double TimeEdit()
  {
    auto const begin = mFleet.Now();
    mFleet.CommitEdit();
    while (!AllInstalled() && mFleet.Now() - begin < kLimit) {
      mFleet.Run(kPoll);
    }
    core::time_point last = begin;
    for (auto const& node : mFleet.Nodes()) {
      last = node.IsUp() ? std::max(last, node.mInstalledAt) : last;
    }
    return Seconds(last - begin);
  }

  void MeasureEdits()
  {
    std::vector<double> times;
    network_faults faults;
    for (auto const drop : { 0.0, 0.05 }) {
      faults.mDrop = drop;
      mFleet.SetDatagramFaults(faults);
      times.clear();
      for (std::uint64_t edit = 0; edit < FLAGS_edits; ++edit) {
        times.push_back(TimeEdit());
        mFleet.Run(std::chrono::milliseconds(mFleet.Random().Below(500)));
      }
      std::string const suffix = drop > 0 ? "_with_5_percent_loss" : "";
      Add("edit_in_force_everywhere_median" + suffix, Median(times), "s");
      Add("edit_in_force_everywhere_maximum" + suffix,
          *std::max_element(times.begin(), times.end()),
          "s");
    }
    mFleet.SetDatagramFaults({});
    mFleet.Run(std::chrono::seconds(5));
  }

  void MeasureTraffic(std::string const& aPhase, bool aWithEdits)
  {
    mFleet.ResetCounters();
    auto const begin = mFleet.Now();
    auto nextEdit = begin;
    while (mFleet.Now() - begin < kMeasuredTime) {
      if (aWithEdits && mFleet.Now() >= nextEdit) {
        mFleet.CommitEdit();
        nextEdit += kEditInterval;
      }
      mFleet.Run(kPoll);
    }
    AddTraffic(aPhase, Seconds(mFleet.Now() - begin));
  }

  void AddTraffic(std::string const& aPhase, double aSeconds)
  {
    constexpr std::array kLinkNames{ "_zone", "_region", "_cross_region" };
    auto const perDaemon = 1.0 / (aSeconds * static_cast<double>(mDaemons));
    for (std::size_t kind = 0; kind < kLinkKindCount; ++kind) {
      std::uint64_t sent = 0;
      std::uint64_t received = 0;
      for (auto const& node : mFleet.Nodes()) {
        sent += node.mTraffic.mSent.at(kind);
        received += node.mTraffic.mReceived.at(kind);
      }
      auto link = aPhase;
      link += kLinkNames.at(kind);
      Add(link + "_sent",
          static_cast<double>(sent) * perDaemon,
          "B/s per daemon");
      Add(link + "_received",
          static_cast<double>(received) * perDaemon,
          "B/s per daemon");
    }
    AddMaxima(aPhase, aSeconds);
  }

  void AddMaxima(std::string const& aPhase, double aSeconds)
  {
    double total = 0;
    double relay = 0;
    double other = 0;
    double processor = 0;
    double processorMaximum = 0;
    for (auto const& node : mFleet.Nodes()) {
      if (!node.IsUp()) {
        continue;
      }
      auto const bytes = static_cast<double>(node.mTraffic.Total()) / aSeconds;
      auto& maximum = node.mDirectory->IsRelay() ? relay : other;
      maximum = std::max(maximum, bytes);
      total += bytes;
      auto const used =
        static_cast<double>(node.mProcessorMicroseconds) / aSeconds / 1e4;
      processor += used;
      processorMaximum = std::max(processorMaximum, used);
    }
    auto const count = static_cast<double>(mDaemons);
    Add(aPhase + "_mean_sent_and_received", total / count, "B/s per daemon");
    Add(aPhase + "_maximum_of_a_relay", relay, "B/s");
    Add(aPhase + "_maximum_of_others", other, "B/s");
    Add(aPhase + "_processor_mean", processor / count, "% of a core");
    Add(aPhase + "_processor_maximum", processorMaximum, "% of a core");
  }

  void MeasureMemory()
  {
    std::size_t most = 0;
    for (auto const& node : mFleet.Nodes()) {
      most = std::max(most,
                      node.mDirectory->MemoryBytes() +
                        node.mDistributor->MemoryBytes());
    }
    Add("memory_maximum", static_cast<double>(most) / 1e6, "MB");
  }

  /// Kills the daemons of the last zone; the first daemon leads.
  void MeasureZoneLoss()
  {
    auto const lost = mFleet.ZoneCount() - 1;
    for (std::size_t node = 0; node < mDaemons; ++node) {
      if (mFleet.Nodes()[node].mZone == lost) {
        mFleet.Kill(node);
      }
    }
    MeasureBurst("zone_loss");
    for (std::size_t node = 0; node < mDaemons; ++node) {
      if (!mFleet.Nodes()[node].IsUp()) {
        mFleet.Start(node);
      }
    }
    MeasureBurst("zone_return");
  }

  void MeasurePartition()
  {
    auto const& nodes = mFleet.Nodes();
    for (std::size_t left = 0; left < mFleet.ZoneCount(); ++left) {
      for (std::size_t right = 0; right < mFleet.ZoneCount(); ++right) {
        if (nodes[left].mRegion != nodes[right].mRegion) {
          mFleet.CutZones(left, right);
        }
      }
    }
    mFleet.Run(std::chrono::seconds(15));
    constexpr int kEditsMeanwhile = 10;
    for (int edit = 0; edit < kEditsMeanwhile; ++edit) {
      mFleet.CommitEdit();
      mFleet.Run(std::chrono::seconds(1));
    }
    mFleet.HealZones();
    MeasureBurst("partition_heal");
  }

  /// Measures from now until tables and views are equal everywhere, and the
  /// busiest second of a daemon meanwhile.
  void MeasureBurst(std::string const& aPhase)
  {
    auto const begin = mFleet.Now();
    double busiest = 0;
    double processor = 0;
    bool isDone = false;
    while (!isDone && mFleet.Now() - begin < kLimit) {
      mFleet.ResetCounters();
      // The state right after the event is equal everywhere; a check before
      // anything was noticed would end the phase at once.
      mFleet.Run(std::chrono::seconds(1));
      for (auto const& node : mFleet.Nodes()) {
        busiest = std::max(busiest, static_cast<double>(node.mTraffic.Total()));
        processor = std::max(
          processor, static_cast<double>(node.mProcessorMicroseconds) / 1e4);
      }
      isDone = AllInstalled() && HaveEqualViews() &&
               HasExpectedStates(aPhase == "zone_loss");
    }
    Add(aPhase + "_time_to_converge",
        Seconds(mFleet.Now() - begin),
        isDone ? "s" : "s (not converged)");
    Add(aPhase + "_busiest_second_of_a_daemon", busiest, "B/s");
    Add(aPhase + "_processor_in_busiest_second", processor, "% of a core");
  }

  bool HasExpectedStates(bool aZoneIsLost) const
  {
    auto const up = static_cast<std::size_t>(
      std::count_if(mFleet.Nodes().begin(),
                    mFleet.Nodes().end(),
                    [](fleet_node const& aNode) { return aNode.IsUp(); }));
    bool const isUnreachableSeen =
      CountInFirstView(membership::member_state::kUnreachable) > 0;
    return CountInFirstView(membership::member_state::kAlive) == up &&
           isUnreachableSeen == aZoneIsLost;
  }

  fleet mFleet;
  std::size_t mDaemons;
  std::vector<figure> mFigures;
};

void
WriteCsv(std::string const& aFile, std::vector<figure> const& aFigures)
{
  auto* const file = std::fopen(aFile.c_str(), "w");
  if (file == nullptr) {
    std::fprintf(stderr, "cannot write %s\n", aFile.c_str());
    return;
  }
  std::fprintf(file, "daemons,name,value,unit\n");
  for (auto const& entry : aFigures) {
    std::fprintf(file,
                 "%zu,%s,%.6g,%s\n",
                 entry.mDaemons,
                 entry.mName.c_str(),
                 entry.mValue,
                 entry.mUnit.c_str());
  }
  std::fclose(file);
}

int
RunDissemination(run_options const& aOptions)
{
  std::vector<figure> all;
  std::istringstream sizes(FLAGS_daemons);
  std::string text;
  while (std::getline(sizes, text, ',')) {
    auto const daemons = std::strtoull(text.c_str(), nullptr, 10);
    if (daemons < 2) {
      std::fprintf(stderr, "--daemons: expected numbers of 2 or more\n");
      return 2;
    }
    auto const figures = dissemination_run(daemons, aOptions.mSeed).Execute();
    all.insert(all.end(), figures.begin(), figures.end());
  }
  if (!FLAGS_csv.empty()) {
    WriteCsv(FLAGS_csv, all);
  }
  return 0;
}

command_registration const kRegistration(
  "dissemination",
  "time, traffic, processor time and memory by fleet size",
  RunDissemination);

}

}
