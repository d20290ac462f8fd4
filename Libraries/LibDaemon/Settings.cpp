#include "LibDaemon/Settings.h"

#include <array>
#include <filesystem>

#include <unistd.h>

namespace cranberryfold::daemon {

namespace {

using core::json_reader;
using core::presence;

constexpr auto kRequired = presence::kRequired;
constexpr auto kOptional = presence::kOptional;
constexpr core::integer_range kSlotRange{ 1, 100000 };
constexpr core::integer_range kThreadRange{ 1, 64 };
constexpr core::integer_range kConnectionRange{ 1, 100000 };
constexpr core::integer_range kDepthRange{ 1, 64 };
constexpr core::integer_range kDrainMillisecondsRange{ 0, 600000 };
constexpr core::integer_range kPercentRange{ 0, 100 };
constexpr core::integer_range kRetryWindowMillisecondsRange{ 100, 600000 };
constexpr core::integer_range kRetrySlackRange{ 0, 1000000 };
constexpr std::size_t kMaximumReplicaCount = 7;

constexpr std::array<core::enumeration_name<core::log_level>, 4> kLevelNames{
  { { core::log_level::kDebug, "debug" },
    { core::log_level::kInfo, "info" },
    { core::log_level::kWarning, "warning" },
    { core::log_level::kError, "error" } }
};

void
ReadUpstream(json_reader& aReader, upstream_settings& aOut)
{
  aReader.NetworkAddress(
    "address", aOut.mAddress, kRequired, "HTTP address of the upstream.");
  aReader.Text("service",
               aOut.mService.mValue,
               kRequired,
               "Service that the upstream belongs to.");
  aReader.Number("slots",
                 aOut.mSlots,
                 kSlotRange,
                 kRequired,
                 "Calls that the upstream runs at once.");
  aReader.Number("connections",
                 aOut.mConnections,
                 kConnectionRange,
                 kOptional,
                 "Connections that the upstream accepts.");
  aReader.Text("health_path",
               aOut.mHealthPath,
               kOptional,
               "Path that answers 200 when the upstream is ready.");
  aReader.Boolean("reports_itself",
                  aOut.mReportsItself,
                  kOptional,
                  "The upstream reports its state; its health is not polled.");
}

void
ReadControl(json_reader& aReader, control_settings& aOut)
{
  aReader.Text("data_folder",
               aOut.mDataFolder,
               kRequired,
               "Folder of the journal and snapshots.");
  aReader.Each(
    "initial_group",
    kRequired,
    [&aOut](json_reader& aRow) {
      replica_settings replica;
      aRow.Text("instance",
                replica.mInstance.mValue,
                kRequired,
                "Instance of the replica.");
      aRow.NetworkAddress("peer_address",
                          replica.mPeerAddress,
                          kRequired,
                          "Peer address of its daemon.");
      aOut.mInitialGroup.push_back(std::move(replica));
    },
    "Control replicas of a new system.");
  if (aOut.mInitialGroup.empty() ||
      aOut.mInitialGroup.size() > kMaximumReplicaCount) {
    aReader.Reject("initial_group", "one to seven control replicas");
  }
}

void
ReadSeeds(json_reader& aReader, std::vector<core::address>& aOut)
{
  std::vector<std::string> texts;
  aReader.TextList(
    "seeds", texts, kRequired, "Peer addresses of a few daemons to join.");
  for (auto const& text : texts) {
    auto const parsed = core::Attempt([&] { return core::ParseAddress(text); });
    if (!parsed) {
      aReader.Reject("seeds", "IP addresses with port, found " + text);
      return;
    }
    aOut.push_back(*parsed);
  }
}

void
ReadAddresses(json_reader& aReader, daemon_settings& aOut)
{
  aReader.NetworkAddress(
    "caller_address", aOut.mCallerAddress, kRequired, "Listener for callers.");
  aReader.NetworkAddress("egress_address",
                         aOut.mEgressAddress,
                         kRequired,
                         "Listener for calls of the own upstream.");
  aReader.NetworkAddress("admin_address",
                         aOut.mAdminAddress,
                         kRequired,
                         "Listener for operators and metrics.");
  aReader.NetworkAddress("peer_address",
                         aOut.mPeerAddress,
                         kRequired,
                         "TCP and UDP listener for other daemons.");
  aReader.NetworkAddress("ready_address",
                         aOut.mReadyAddress,
                         kOptional,
                         "Listener that tells readiness alone.");
  aReader.NetworkAddress("metrics_address",
                         aOut.mMetricsAddress,
                         kOptional,
                         "Further listener for metrics.");
}

void
ReadRetries(json_reader& aReader, retry_settings& aOut)
{
  aReader.Number("maximum_percent",
                 aOut.mMaximumPercent,
                 kPercentRange,
                 kOptional,
                 "Most repeats for each hundred calls of a pool.");
  aReader.Number("window_ms",
                 aOut.mWindowMilliseconds,
                 kRetryWindowMillisecondsRange,
                 kOptional,
                 "Span over which repeats are counted.");
  aReader.Number("slack",
                 aOut.mSlack,
                 kRetrySlackRange,
                 kOptional,
                 "Repeats beyond the percentage, of all daemons together; 0 "
                 "means one for each daemon.");
  aOut.mOneRetryPerDaemon = aOut.mSlack == 0;
}

void
ReadLimits(json_reader& aReader, daemon_settings& aOut)
{
  aReader.Number("traffic_threads",
                 aOut.mTrafficThreads,
                 kThreadRange,
                 kOptional,
                 "Threads that carry calls.");
  aReader.Number("maximum_connections",
                 aOut.mMaximumConnections,
                 kConnectionRange,
                 kOptional,
                 "Connections open at once on each listener.");
  aReader.Number("maximum_depth",
                 aOut.mMaximumDepth,
                 kDepthRange,
                 kOptional,
                 "Deepest call chain that is served.");
  aReader.Number("drain_grace_ms",
                 aOut.mDrainGraceMilliseconds,
                 kDrainMillisecondsRange,
                 kOptional,
                 "Longest time to finish calls in flight at a stop.");
  aReader.Number("drain_serve_ms",
                 aOut.mDrainServeMilliseconds,
                 kDrainMillisecondsRange,
                 kOptional,
                 "Time for which callers are served after a stop request.");
  aReader.Boolean("claims",
                  aOut.mClaims,
                  kOptional,
                  "Requests with an idempotency key are claimed first.");
  aReader.Choice("log_level",
                 aOut.mLogLevel,
                 kLevelNames,
                 kOptional,
                 "Least level that is logged.");
}

daemon_settings
ReadSettings(json_reader& aReader)
{
  daemon_settings settings;
  aReader.Text("instance",
               settings.mInstance.mValue,
               kRequired,
               "Name of the instance, unique in the system.");
  aReader.Text("zone",
               settings.mZone.mValue,
               kRequired,
               "Availability zone of the instance.");
  aReader.Text(
    "region", settings.mRegion.mValue, kRequired, "Region of the zone.");
  ReadAddresses(aReader, settings);
  ReadSeeds(aReader, settings.mSeeds);
  aReader.Object(
    "upstream",
    kRequired,
    [&settings](json_reader& aNested) {
      ReadUpstream(aNested, settings.mUpstream);
    },
    "The upstream on this instance.");
  control_settings control;
  bool const isReplica = aReader.Object(
    "control",
    kOptional,
    [&control](json_reader& aNested) { ReadControl(aNested, control); },
    "Makes the daemon a control replica.");
  if (isReplica) {
    settings.mControl = control;
  }
  aReader.Object(
    "retries",
    kOptional,
    [&settings](json_reader& aNested) {
      ReadRetries(aNested, settings.mRetries);
    },
    "Bounds on repeats, whatever the tables allow.");
  ReadLimits(aReader, settings);
  return settings;
}

core::result<void>
CheckDataFolder(std::string const& aFolder, std::string const& aFile)
{
  std::error_code code;
  std::filesystem::create_directories(aFolder, code);
  if (code || ::access(aFolder.c_str(), R_OK | W_OK | X_OK) != 0) {
    return core::Fail(
      { core::error_code::kInvalidInput,
        "load_settings",
        aFile,
        "control.data_folder: expected a folder that can be read and written, "
        "found " +
          aFolder });
  }
  return {};
}

}

core::result<daemon_settings>
ParseSettings(std::string_view aText, std::string const& aFile)
{
  auto reader = json_reader::ForText(aText, aFile);
  auto settings = ReadSettings(reader);
  BOOST_LEAF_CHECK(reader.Finish());
  return settings;
}

core::result<daemon_settings>
LoadSettings(std::string const& aFile)
{
  BOOST_LEAF_AUTO(text, core::ReadTextFile(aFile));
  BOOST_LEAF_AUTO(settings, ParseSettings(text, aFile));
  if (settings.mControl) {
    BOOST_LEAF_CHECK(CheckDataFolder(settings.mControl->mDataFolder, aFile));
  }
  return settings;
}

std::vector<core::field_description>
DescribeSettings()
{
  auto reader = json_reader::Describing();
  ReadSettings(reader);
  return reader.Fields();
}

}
