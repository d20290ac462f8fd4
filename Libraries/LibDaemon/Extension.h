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

/// What a platform plugs into the daemon: headers, calls on the operators'
/// listener, settings. All of it runs on the control thread, but for the
/// dialect.
namespace cranberryfold::daemon {

/// How a replacement of the tables ended.
struct replacement_result
{
  control::edit_status mStatus = control::edit_status::kUnknown;
  std::string mReason;
  /// Operators' listener of the leader; set when the answer is kNotLeader and
  /// the leader is known.
  std::optional<core::address> mLeader;
};

/// Tables that a majority has confirmed to be the newest.
struct confirmed_tables
{
  /// Nothing when they could not be confirmed here.
  std::optional<tables::table_set> mTables;
  /// Operators' listener of the leader, when it is another instance.
  std::optional<core::address> mLeader;
};

/// What calls on the operators' listener can ask of the daemon.
struct daemon_operations
{
  /// Replaces all rows. The edit id makes a resent replacement known.
  std::function<task<replacement_result>(core::edit_id,
                                         tables::table_replacement)>
    mReplaceTables;
  std::function<task<confirmed_tables>()> mReadTables;
  /// Takes a report of the local upstream; nothing without an upstream here.
  std::function<std::optional<membership::report_outcome>(
    membership::upstream_report const&)>
    mReportUpstream;
  /// Returns why the daemon is not ready, or an empty text.
  std::function<std::string()> mNotReadyReason;
};

/// Answers a request on the operators' listener, or leaves it to the daemon's
/// own interface.
using admin_handler =
  std::function<task<std::optional<http::response>>(http::request const&)>;

struct daemon_extension
{
  http_dialect mDialect = DefaultDialect();
  /// Makes the handler of one daemon; none means the own interface only.
  std::function<admin_handler(daemon_operations)> mMakeAdminHandler;
  /// Reads what the upstream tells in the answer of its health endpoint;
  /// nothing when it takes no work or does not tell enough. None means that the
  /// daemon waits for the upstream's own report.
  std::function<std::optional<membership::upstream_report>(
    http::response const&)>
    mReadHealth;
  /// Reads the settings anew; none means that they never change.
  std::function<core::result<daemon_settings>()> mLoadSettings;
};

}
