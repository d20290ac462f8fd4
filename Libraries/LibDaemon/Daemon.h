#pragma once

#include "LibDaemon/AdminApi.h"
#include "LibDaemon/CallServer.h"
#include "LibDaemon/ControlPlane.h"
#include "LibDaemon/Extension.h"
#include "LibDaemon/HttpServer.h"
#include "LibDaemon/TrafficThread.h"

#include "LibCore/StateChart.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/signal_set.hpp>

/// The daemon: one control thread, traffic threads, and four listeners for
/// callers, egress, operators and peers.
namespace cranberryfold::daemon {

/// Keeps a hangup from ending the process until a mesh_daemon handles signals.
/// To be called first thing, before the settings are read, so that no change of
/// them is missed.
void
IgnoreEarlyHangups();

class mesh_daemon
{
public:
  explicit mesh_daemon(daemon_settings aSettings,
                       daemon_extension aExtension = {});
  ~mesh_daemon();

  /// Opens all listeners and starts the traffic threads. aBootstrap starts a
  /// new control group on an empty data folder. Fails with kUnreachable,
  /// kStorage or kInvalidInput.
  core::result<void> Start(bool aBootstrap);

  /// Serves until a stop is requested and draining has finished.
  void Run();

private:
  struct bound_listener
  {
    core::address mAddress;
    std::unique_ptr<listener> mListener;
  };

  core::result<void> BindLifecycle();
  void MakeListeners();
  call_server_hooks MakePeerHooks(traffic_thread& aThread);
  void StartPeriodicWork();
  void Announce();
  void StartGrace();
  void Stop();
  admin_handler MakeAdminHandler();
  /// Responds to the report of a process that is not known only when the health
  /// endpoint has responded.
  task<std::optional<membership::report_outcome>> ReportUpstream(
    membership::upstream_report aReport);
  void ApplyUpstreamStatus();
  /// Logs the refusals and retries since the last call, by reason.
  void LogRefusalCounts();
  /// Reloads the settings and applies the seeds, which are the only setting
  /// that may change while the daemon runs.
  void ReloadSettings();
  task<void> PollUpstream();
  /// Queries the health of an upstream that reports itself until its state is
  /// known. A daemon that starts beside a running upstream would otherwise
  /// leave it idle until its next report, 1.5 s later at the users' sites.
  task<void> ProbeUpstream();
  /// Returns the health path of this daemon's service in the tables; empty
  /// while they are unknown.
  std::string OwnHealthPath() const;
  /// Queries the health endpoint, or waits for the query that is running, and
  /// passes the response to the tracker. Returns whether a query was sent.
  task<bool> QueryHealth();
  task<void> WatchSignals();
  task<void> WaitUntilIdle();
  void OnUpstreamHealth(unsigned aStatus);
  void OnUpstreamLeaving(membership::upstream_id const& aId);
  /// Passes an event to the lifecycle and logs a change of its state.
  void FireLifecycle(std::string_view aEvent);
  void OnTrafficMessage(traffic_thread& aThread,
                        traffic_message const& aMessage,
                        hello const& aPeer);
  void HandlePermitMessage(traffic_thread& aThread,
                           traffic_message const& aMessage,
                           hello const& aPeer);
  void OnView(std::shared_ptr<routing_view const> aView);
  void InstallClaimMap(std::string const& aEncoded);
  /// Renews the links to members whose address has passed to another process.
  void RenewLinks(routing_view const& aView);

  daemon_settings mSettings;
  daemon_extension mExtension;
  metrics mMetrics;
  traffic_policy mPolicy;
  pending_permits mPermits;
  peer_messenger mMessenger;
  claim_service mClaims;
  quarantine_service mQuarantine;
  request_counter mRequests{ 0 };
  asio::io_context mContext{ 1 };
  asio::signal_set mSignals;
  control_plane mControl;
  std::optional<core::state_machine> mLifecycle;
  membership::upstream_tracker mUpstream;
  membership::upstream_status mAppliedUpstreamStatus;
  bool mIsQueryingHealth = false;
  asio::steady_timer mHealthQueryEnd{ mContext };
  std::vector<core::address> mSeeds;
  admin_api mAdmin;
  std::vector<std::unique_ptr<traffic_thread>> mThreads;
  std::vector<bound_listener> mListeners;
  /// The installed claim map in its encoded form.
  std::string mInstalledClaimMap;
  /// Start times of the members' processes, as of the latest view.
  std::map<core::instance_id, core::incarnation> mPeerProcesses;
  /// Admitted calls at the last log line that counts refusals.
  std::uint64_t mLoggedCalls = 0;
  bool mIsStopped = false;
};

}
