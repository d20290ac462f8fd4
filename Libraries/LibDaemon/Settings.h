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

/// Settings of a daemon: a JSON file that is validated as a whole at start.
namespace cranberryfold::daemon {

struct upstream_settings
{
  core::address mAddress;
  core::service_id mService;
  std::uint32_t mSlots = 50;
  std::uint32_t mConnections = 400;
  std::string mHealthPath = "/health";
  /// Whether the upstream reports its state to the daemon. Otherwise, the
  /// daemon polls the health path.
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
  /// Control group of a new system. Ignored if a journal exists.
  std::vector<replica_settings> mInitialGroup;

  bool operator==(control_settings const&) const = default;
};

/// Upper bounds on retries that apply even if the tables allow more, since
/// upstreams count the retries of all daemons together.
struct retry_settings
{
  /// Maximum retries for each hundred calls of a pool.
  std::uint32_t mMaximumPercent = 100;
  /// The bounds apply to every time window of this length.
  std::uint32_t mWindowMilliseconds = 10000;
  /// Retries beyond the percentage, for all daemons together.
  std::uint32_t mSlack = 0;
  /// Whether each daemon is allowed one retry beyond the percentage instead of
  /// a share of mSlack.
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
  /// Additional listener for readiness checks. Port 0 disables it.
  core::address mReadyAddress;
  /// Additional listener that serves only metrics, on a port that is known in
  /// advance. Port 0 disables it, so that only the operators' listener serves
  /// metrics.
  core::address mMetricsAddress;
  std::vector<core::address> mSeeds;
  /// An empty service name means that the instance has no upstream and serves
  /// no callers.
  upstream_settings mUpstream;
  std::optional<control_settings> mControl;
  std::uint32_t mTrafficThreads = 1;
  std::uint32_t mMaximumConnections = 2000;
  std::uint32_t mMaximumDepth = 16;
  std::uint32_t mDrainGraceMilliseconds = 30000;
  /// Time for which callers are served after a stop request, since they learn
  /// of the stop late.
  std::uint32_t mDrainServeMilliseconds = 0;
  retry_settings mRetries;
  /// Whether non-idempotent requests with an idempotency key are claimed before
  /// they run.
  bool mClaims = true;
  core::log_level mLogLevel = core::log_level::kInfo;

  bool HasUpstream() const { return !mUpstream.mService.IsEmpty(); }

  bool operator==(daemon_settings const&) const = default;
};

/// Parses and validates settings. Fails with kInvalidInput; the error contains
/// the file, the key path and the expected value.
core::result<daemon_settings>
ParseSettings(std::string_view aText, std::string const& aFile);

/// Reads a settings file and creates the data folder if necessary. Fails as
/// ParseSettings() does, with kInvalidInput if the data folder cannot be used,
/// or with kNotFound.
core::result<daemon_settings>
LoadSettings(std::string const& aFile);

/// Returns all keys with their ranges, defaults and meanings.
std::vector<core::field_description>
DescribeSettings();

}
