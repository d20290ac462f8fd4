#pragma once

#include "LibControl/Events.h"
#include "LibDaemon/Asio.h"
#include "LibDaemon/HttpDialect.h"
#include "LibDaemon/Settings.h"
#include "LibHttp/Message.h"
#include "LibMembership/UpstreamTracker.h"

#include <functional>
#include <optional>
#include <string>

/// Extension points for a platform: HTTP headers, requests on the operators'
/// listener, settings. All callbacks except the dialect's run on the control
/// thread.
namespace cranberryfold::daemon {

/// Result of a replacement of the tables.
struct replacement_result
{
  control::edit_status mStatus = control::edit_status::kUnknown;
  std::string mReason;
  /// Operators' listener of the leader. Set if the status is kNotLeader and the
  /// leader is known.
  std::optional<core::address> mLeader;
};

/// Tables that a majority has confirmed as the latest.
struct confirmed_tables
{
  /// Empty if this instance could not confirm them.
  std::optional<tables::table_set> mTables;
  /// Operators' listener of the leader. Set if the tables could not be
  /// confirmed and another instance is known to lead.
  std::optional<core::address> mLeader;
};

/// Operations of the daemon that an admin handler can use.
struct daemon_operations
{
  /// Replaces all rows. The edit id identifies a replacement that is sent
  /// again.
  std::function<task<replacement_result>(core::edit_id,
                                         tables::table_replacement)>
    mReplaceTables;
  std::function<task<confirmed_tables>()> mReadTables;
  /// Handles a report of the local upstream. Returns std::nullopt if this
  /// instance has no upstream.
  std::function<task<std::optional<membership::report_outcome>>(
    membership::upstream_report)>
    mReportUpstream;
  /// Returns why the daemon is not ready; empty if it is ready.
  std::function<std::string()> mNotReadyReason;
};

/// Responds to a request on the operators' listener. Returns std::nullopt to
/// leave the request to the daemon's own interface.
using admin_handler =
  std::function<task<std::optional<http::response>>(http::request const&)>;

struct daemon_extension
{
  http_dialect mDialect = DefaultDialect();
  /// Creates the admin handler of a daemon. Without it, the daemon serves only
  /// its own interface.
  std::function<admin_handler(daemon_operations)> mMakeAdminHandler;
  /// Parses a response of the health endpoint of an upstream that reports
  /// itself. Without it, the reports count without a confirmation, and the
  /// daemon waits for the first one.
  std::function<membership::upstream_health(http::response const&)> mReadHealth;
  /// Reloads the settings. Without it, they never change.
  std::function<core::result<daemon_settings>()> mLoadSettings;
};

}
