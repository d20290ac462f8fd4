#pragma once

#include "LibDaemon/AdminApi.h"
#include "LibDaemon/CallServer.h"
#include "LibDaemon/ControlPlane.h"
#include "LibDaemon/Extension.h"
#include "LibDaemon/HttpServer.h"
#include "LibDaemon/TrafficThread.h"

#include "LibCore/StateChart.h"

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/signal_set.hpp>

/// The whole daemon: one control thread, traffic threads, four listeners.
namespace cranberryfold::daemon {

class mesh_daemon
{
public:
  explicit mesh_daemon(daemon_settings aSettings,
                       daemon_extension aExtension = {});
  ~mesh_daemon();

  /// Opens all listeners. aBootstrap starts a new control group on an empty
  /// data folder. Fails with kUnreachable, kStorage or kInvalidInput.
  core::result<void> Start(bool aBootstrap);

  /// Serves until it is told to stop and has drained.
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
  std::optional<membership::report_outcome> ReportUpstream(
    membership::upstream_report const& aReport);
  void ApplyUpstreamFacts();
  /// Logs how many refusals and retries there were, by reason.
  void LogDigest();
  /// Takes over what may change while the daemon runs: the seeds.
  void ReloadSettings();
  task<void> WatchUpstream();
  /// Asks the upstream for its state until it has reported or answered. A
  /// daemon that starts beside a running upstream would otherwise leave it idle
  /// until its next report, 1.5 s later at the users' sites.
  task<void> FindUpstream();
  /// Returns the health path that the tables give the own service; empty when
  /// they are not known yet.
  std::string OwnHealthPath() const;
  task<void> WatchSignals();
  task<void> WaitUntilIdle();
  void OnUpstreamHealth(unsigned aStatus);
  void OnTrafficMessage(traffic_thread& aThread,
                        traffic_message const& aMessage,
                        hello const& aPeer);
  void AnswerPermits(traffic_thread& aThread,
                     traffic_message const& aMessage,
                     hello const& aPeer);
  void OnView(std::shared_ptr<routing_view const> aView);
  void InstallClaimMap(std::string const& aEncoded);

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
  membership::upstream_status mAppliedUpstream;
  std::vector<core::address> mSeeds;
  admin_api mAdmin;
  std::vector<std::unique_ptr<traffic_thread>> mThreads;
  std::vector<bound_listener> mListeners;
  /// Encoded form of the claim map that was installed last.
  std::string mClaimMap;
  bool mIsStopped = false;
};

}
