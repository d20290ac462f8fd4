#pragma once

#include "LibCore/Address.h"
#include "LibCore/Error.h"
#include "LibCore/Ids.h"
#include "LibCore/JsonReader.h"
#include "LibCore/Log.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Settings of one daemon: a JSON file, checked as a whole at start.
namespace cranberryfold::daemon {

struct upstream_settings
{
  core::address mAddress;
  core::service_id mService;
  std::uint32_t mSlots = 50;
  std::uint32_t mConnections = 400;
  std::string mHealthPath = "/health";
  /// Whether the upstream reports its state to the daemon; otherwise the daemon
  /// polls the health path.
  bool mReportsItself = false;

  bool operator==(upstream_settings const&) const = default;
};

struct replica_settings
{
  core::instance_id mInstance;
  core::address mPeerAddress;

  bool operator==(replica_settings const&) const = default;
};

struct control_settings
{
  std::string mDataFolder;
  /// The control group of a new system; ignored once there is a journal.
  std::vector<replica_settings> mInitialGroup;

  bool operator==(control_settings const&) const = default;
};

/// Bounds on repeats that hold whatever the tables allow, since upstreams count
/// what reaches them from all daemons together.
struct retry_settings
{
  /// Most repeats for each hundred calls of a pool.
  std::uint32_t mMaximumPercent = 100;
  /// Any span of this length counts.
  std::uint32_t mWindowMilliseconds = 10000;
  /// Repeats beyond the percentage, of all daemons together.
  std::uint32_t mSlack = 0;
  /// Whether each daemon has one repeat beyond the percentage instead.
  bool mOneRetryPerDaemon = true;

  bool operator==(retry_settings const&) const = default;
};

struct daemon_settings
{
  core::instance_id mInstance;
  core::zone_id mZone;
  core::region_id mRegion;
  core::address mCallerAddress;
  core::address mEgressAddress;
  core::address mAdminAddress;
  core::address mPeerAddress;
  /// Listener for readiness alone; port 0 means none.
  core::address mReadyAddress;
  /// Listener for metrics alone, on a port that is known in advance; port 0
  /// means that only the operators' listener serves them.
  core::address mMetricsAddress;
  std::vector<core::address> mSeeds;
  /// Without a service, the instance has no upstream and serves no callers.
  upstream_settings mUpstream;
  std::optional<control_settings> mControl;
  std::uint32_t mTrafficThreads = 1;
  std::uint32_t mMaximumConnections = 2000;
  std::uint32_t mMaximumDepth = 16;
  std::uint32_t mDrainGraceMilliseconds = 30000;
  /// Time for which callers are still served after a stop was requested, since
  /// they learn of it late.
  std::uint32_t mDrainServeMilliseconds = 0;
  retry_settings mRetries;
  /// Whether requests with an idempotency key are claimed before they run.
  bool mClaims = true;
  core::log_level mLogLevel = core::log_level::kInfo;

  bool HasUpstream() const { return !mUpstream.mService.IsEmpty(); }

  bool operator==(daemon_settings const&) const = default;
};

/// Parses and checks settings. Fails with kInvalidInput: file, key path and
/// what was expected.
core::result<daemon_settings>
ParseSettings(std::string_view aText, std::string const& aFile);

/// Reads a settings file and checks that the data folder can be used. Fails as
/// ParseSettings() does, or with kNotFound.
core::result<daemon_settings>
LoadSettings(std::string const& aFile);

/// Lists all keys with their ranges, defaults and meaning.
std::vector<core::field_description>
DescribeSettings();

}
