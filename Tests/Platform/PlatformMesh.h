#pragma once

#include "Support/FakeServer.h"
#include "Support/Process.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace cranberryfold::test_support {

/// A control instance and one instance with an upstream, both with the
/// platform's daemon, on loopback addresses of their own. The upstream reports
/// only what the test sends for it.
class platform_mesh
{
public:
  /// Starts the daemons and applies the tables. aHasPeer adds an instance of
  /// the same service with the same upstream. Throws std::runtime_error.
  explicit platform_mesh(bool aHasPeer = false);

  /// Sends a request of a client to the daemon beside the upstream. Returns the
  /// status, or 0.
  unsigned SendRequest();

  /// Posts a heartbeat with this start time, state and sequence number. Returns
  /// the status.
  unsigned Heartbeat(std::uint64_t aStart,
                     std::string const& aState,
                     std::string const& aSequence) const;
  unsigned Post(std::string const& aCall, std::string const& aBody) const;
  /// Posts the next heartbeat of the peer's upstream. Returns the status.
  unsigned PeerHeartbeat();

  /// Kills the daemon beside the upstream and starts it again.
  void RestartDaemon();

  /// Stops the daemon beside the upstream as planned.
  void StopDaemon();
  /// Returns the exit status of the daemon beside the upstream once it has
  /// ended.
  std::optional<int> WaitForDaemonExit();

  /// The address for the clients' requests.
  core::address Callers() const;
  /// Number of requests that the upstream has run.
  int Runs() const { return mRuns; }
  /// Returns whether the upstream has run the request with this id.
  bool HasRun(std::string const& aId);
  /// Sets how long the upstream works on a request of the route /order/.
  void SetWork(std::chrono::milliseconds aWork) { mWork = aWork; }
  /// Whether the health endpoint reports a healthy upstream.
  void SetHealthy(bool aIsHealthy) { mIsHealthy = aIsHealthy; }

  static constexpr char const* kUpstreamId = "i-7f";

private:
  http::response Answer(http::request const& aRequest);
  std::string HeartbeatBody(std::uint64_t aStart,
                            std::string const& aState,
                            std::string const& aSequence) const;
  unsigned PostTo(std::string const& aIp,
                  std::string const& aCall,
                  std::string const& aBody) const;
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
  std::atomic<std::chrono::milliseconds> mWork{ std::chrono::milliseconds(0) };
  std::mutex mMutex;
  std::set<std::string> mRunIds;
  fake_server mUpstream;
  int mRequests = 0;
  int mPeerReports = 0;
  std::optional<child_process> mControl;
  std::optional<child_process> mDaemon;
  std::optional<child_process> mPeer;
};

}
