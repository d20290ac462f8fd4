#pragma once

#include "LibDaemon/ControlPlane.h"
#include "LibDaemon/TrafficPolicy.h"
#include "LibHttp/Server.h"

#include <memory>

namespace cranberryfold::daemon {

/// The operators' interface: metrics, health, tables, members. Runs on the
/// control thread.
class admin_api
{
public:
  /// Tells the name of the own life-cycle state.
  using state_function = std::function<std::string()>;

  admin_api(asio::io_context& aContext,
            daemon_settings const& aSettings,
            control_plane& aControl,
            traffic_policy& aPolicy,
            metrics& aMetrics,
            state_function aState);

  /// Opens the listener. Fails with kUnreachable.
  core::result<void> Start();
  void Stop() { mServer.Stop(); }

private:
  task<void> Handle(http::server_exchange& aExchange);
  task<http::response> Respond(std::string_view aMethod,
                               std::string_view aTarget,
                               std::string aBody);
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
  http::server mServer;
};

}
