#pragma once

#include "Support/FakeServer.h"
#include "Support/Process.h"

#include <atomic>
#include <optional>
#include <string>

namespace cranberryfold::test_support {

/// A control instance and one instance with an upstream, both with the
/// platform's daemon, on loopback addresses of their own. The upstream reports
/// only what the test sends for it.
class platform_mesh
{
public:
  /// Starts the daemons and applies the tables. Throws std::runtime_error.
  platform_mesh();

  /// Sends a request of a client to the daemon beside the upstream. Returns the
  /// status, or 0.
  unsigned SendRequest();

  /// Posts a heartbeat with this start time, state and sequence number. Returns
  /// the status.
  unsigned Heartbeat(std::uint64_t aStart,
                     std::string const& aState,
                     std::string const& aSequence) const;
  unsigned Post(std::string const& aCall, std::string const& aBody) const;

  /// Kills the daemon beside the upstream and starts it again.
  void RestartDaemon();

  /// Number of requests that the upstream has run.
  int Runs() const { return mRuns; }
  /// Whether the health endpoint reports a healthy upstream.
  void SetHealthy(bool aIsHealthy) { mIsHealthy = aIsHealthy; }

  static constexpr char const* kUpstreamId = "i-7f";

private:
  http::response Answer(http::request const& aRequest);
  core::address At(std::string const& aIp, std::uint16_t aPort) const;
  void WriteSettings(std::string const& aName,
                     std::string const& aIp,
                     bool aIsControl) const;
  child_process StartDaemon(std::string const& aName) const;
  void ApplyTables() const;

  std::string mSubnet;
  temporary_folder mFolder;
  std::atomic<int> mRuns{ 0 };
  std::atomic<bool> mIsHealthy{ true };
  fake_server mUpstream;
  int mRequests = 0;
  std::optional<child_process> mControl;
  std::optional<child_process> mDaemon;
};

}
