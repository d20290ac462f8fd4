#pragma once

#include "LibDaemon/ControlPlane.h"
#include "LibDaemon/Extension.h"
#include "LibDaemon/TrafficPolicy.h"
#include "LibHttp/Server.h"

#include <memory>

namespace cranberryfold::daemon {

/// HTTP interface for operators: metrics, health, tables and members. Runs on
/// the control thread.
class admin_api
{
public:
  /// Returns the name of the daemon's life-cycle state.
  using state_function = std::function<std::string()>;

  admin_api(asio::io_context& aContext,
            daemon_settings const& aSettings,
            control_plane& aControl,
            traffic_policy& aPolicy,
            metrics& aMetrics,
            state_function aState,
            admin_handler aHandler);

  /// Opens the listeners. Fails with kUnreachable if one cannot be bound.
  core::result<void> Start();
  void Stop();

  // Operations for a platform's admin handler, see daemon_operations.
  task<replacement_result> ReplaceTables(
    core::edit_id aId,
    tables::table_replacement aReplacement);
  task<confirmed_tables> ReadTables();
  std::string NotReadyReason() const;

private:
  task<void> Handle(http::server_exchange& aExchange);
  /// Responds to GET /metrics and with 404 to every other request.
  task<void> HandleMetrics(http::server_exchange& aExchange);
  task<http::response> Respond(http::request aRequest);
  /// Returns why the daemon does not participate in the mesh; empty if it does.
  std::string NotInMeshReason() const;
  http::response Ready() const;
  task<http::response> Tables(std::string_view aTarget);
  task<http::response> ConfirmedTables();
  task<http::response> SubmitEdit(std::string aBody);
  http::response NotLeader() const;
  http::response History();
  http::response Status();
  http::response Members() const;
  http::response Explain(std::string_view aTarget) const;

  asio::io_context& mContext;
  daemon_settings const& mSettings;
  control_plane& mControl;
  traffic_policy& mPolicy;
  metrics& mMetrics;
  state_function mState;
  admin_handler mHandler;
  http::server mServer;
  /// Serves the same resources as mServer on the readiness listener.
  http::server mReadyServer;
  http::server mMetricsServer;
};

}
