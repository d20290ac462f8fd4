#pragma once

#include "LibDaemon/CallServer.h"
#include "LibDaemon/HttpServer.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace cranberryfold::daemon {

/// Services shared by all traffic threads.
struct shared_services
{
  daemon_settings const& mSettings;
  traffic_policy& mPolicy;
  metrics& mMetrics;
  pending_permits& mPermits;
  request_counter& mRequests;
  claim_service& mClaims;
  quarantine_service& mQuarantine;
  http_dialect const& mDialect;
  /// Runs on a traffic thread when the upstream does not accept a connection.
  std::function<void()> mOnUpstreamLost;
  std::function<void(membership::upstream_id)> mOnUpstreamLeaving;
};

/// A thread that runs calls, with its event loop, its links to peers and its
/// connections to the upstream.
class traffic_thread
{
public:
  explicit traffic_thread(shared_services aShared);
  ~traffic_thread();

  void Start();
  /// Schedules aFunction to run on the thread.
  void Post(std::function<void()> aFunction);
  void Stop();

  asio::io_context& Context() { return mContext; }
  link_pool& Links() { return mLinks; }
  upstream_pool& Upstreams() { return mUpstreams; }
  incoming_services& Incoming() { return mIncoming; }
  http_services& Http() { return mHttp; }
  idle_connections& Idle() { return mIdle; }
  void SetPeerHooks(call_server_hooks aHooks) { mHooks = std::move(aHooks); }
  call_server_hooks const& PeerHooks() const { return mHooks; }

private:
  asio::io_context mContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  link_pool mLinks;
  upstream_pool mUpstreams;
  incoming_services mIncoming;
  outgoing_services mOutgoing;
  idle_connections mIdle;
  http_services mHttp;
  call_server_hooks mHooks;
  std::thread mThread;
};

/// Accepts connections on one address and assigns them to the traffic threads
/// in turn. Connections above the limit are closed and counted.
class listener
{
public:
  using serve_function =
    std::function<task<void>(traffic_thread&, tcp::socket)>;

  listener(asio::io_context& aContext,
           std::vector<std::unique_ptr<traffic_thread>>& aThreads,
           metrics& aMetrics,
           std::size_t aMaximumConnections,
           serve_function aServe);

  /// Starts to listen. Fails with kUnreachable if the address cannot be used.
  core::result<void> Open(core::address const& aAddress);
  void Close();

private:
  task<void> AcceptConnections();

  asio::io_context& mContext;
  std::vector<std::unique_ptr<traffic_thread>>& mThreads;
  metrics& mMetrics;
  std::size_t mMaximumConnections;
  serve_function mServe;
  tcp::acceptor mAcceptor;
  std::shared_ptr<std::atomic<std::size_t>> mOpenConnections;
  std::size_t mNextThread = 0;
};

}
