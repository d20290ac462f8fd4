#pragma once

#include "Commands.h"

#include <ostream>
#include <string_view>

#include <boost/asio/awaitable.hpp>

namespace cranberryfold::client {

/// What every command needs while it runs.
struct session
{
  options const& mOptions;
  admin_client mClient;
  std::ostream& mOut;
  std::ostream& mNotes;
};

using command_result = boost::asio::awaitable<exit_code>;

/// Prints one line with step and peer and returns the exit code that fits.
exit_code
ReportError(session& aSession, core::error const& aError);

/// The same for an answer that is not a success.
exit_code
ReportRefusal(session& aSession, admin_answer const& aAnswer);

/// Asks; prints the error and gives nothing when there is no good answer.
struct asked
{
  std::optional<admin_answer> mAnswer;
  exit_code mCode = exit_code::kSuccess;
};
boost::asio::awaitable<asked>
AskOrReport(session& aSession, http::request const& aRequest);

/// Named requests, because GCC 12 destroys an aggregate temporary twice when it
/// is an operand of co_await.
http::request
GetRequest(std::string aTarget);

/// Prints rows with aligned columns; the first row is the heading.
void
PrintRows(std::ostream& aOut,
          std::vector<std::vector<std::string>> const& aRows);

/// Returns the value of aKey as text; "-" when it is missing or null.
std::string
TextOf(boost::json::value const& aObject, std::string_view aKey);

/// Returns the list under aKey, or an empty one.
boost::json::array const&
ListOf(boost::json::value const& aObject, std::string_view aKey);

command_result
TablesGet(session& aSession);
command_result
TablesCheck(session& aSession, std::string aFile);
command_result
TablesApply(session& aSession, std::string aFile);
command_result
TablesHistory(session& aSession);
command_result
ChangeReplicas(session& aSession, boost::json::object aChange);
command_result
ShowStatus(session& aSession);
command_result
ShowMembers(session& aSession);
command_result
ExplainRoute(session& aSession);

}
