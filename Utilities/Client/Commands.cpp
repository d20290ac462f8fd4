#include "Commands.h"

#include "Session.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cranberryfold::client {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds kProgressDelay{ 2 };
constexpr std::chrono::seconds kProgressInterval{ 5 };

struct progress
{
  core::address mPeer;
  std::chrono::steady_clock::time_point mStart =
    std::chrono::steady_clock::now();
};

bool
IsCommand(std::vector<std::string> const& aWords,
          std::vector<std::string> const& aNames,
          std::size_t aArguments)
{
  return aWords.size() == aNames.size() + aArguments &&
         std::equal(aNames.begin(), aNames.end(), aWords.begin());
}

command_result
ReportUsage(session& aSession)
{
  aSession.mNotes << UsageText();
  co_return exit_code::kInvalidInput;
}

command_result
AddReplica(session& aSession, std::vector<std::string> aWords)
{
  auto const address =
    core::Attempt([&] { return core::ParseAddress(aWords[3]); });
  if (!address) {
    co_return ReportError(aSession, address.mError);
  }
  boost::json::object change;
  change["add_replica"] = { { "instance", aWords[2] },
                            { "peer_address", aWords[3] } };
  co_return co_await ChangeReplicas(aSession, std::move(change));
}

command_result
Dispatch(session& aSession, std::vector<std::string> const& aWords)
{
  if (IsCommand(aWords, { "tables", "get" }, 0)) {
    return TablesGet(aSession);
  }
  if (IsCommand(aWords, { "tables", "check" }, 1)) {
    return TablesCheck(aSession, aWords[2]);
  }
  if (IsCommand(aWords, { "tables", "apply" }, 1)) {
    return TablesApply(aSession, aWords[2]);
  }
  if (IsCommand(aWords, { "tables", "history" }, 0)) {
    return TablesHistory(aSession);
  }
  if (IsCommand(aWords, { "status" }, 0)) {
    return ShowStatus(aSession);
  }
  if (IsCommand(aWords, { "members" }, 0)) {
    return ShowMembers(aSession);
  }
  if (IsCommand(aWords, { "explain" }, 0) &&
      !aSession.mOptions.mRoute.empty()) {
    return ExplainRoute(aSession);
  }
  if (IsCommand(aWords, { "replicas", "add" }, 2)) {
    return AddReplica(aSession, aWords);
  }
  if (IsCommand(aWords, { "replicas", "remove" }, 1)) {
    boost::json::object change;
    change["remove_replica"] = { { "instance", aWords[2] } };
    return ChangeReplicas(aSession, std::move(change));
  }
  return ReportUsage(aSession);
}

asio::awaitable<void>
RunToEnd(asio::io_context& aContext, command_result aCommand, exit_code& aCode)
{
  aCode = co_await std::move(aCommand);
  aContext.stop();
}

/// Prints a line from time to time while an answer is awaited.
asio::awaitable<void>
ShowProgress(asio::io_context& aContext,
             progress const& aProgress,
             std::ostream& aNotes)
{
  asio::steady_timer timer(aContext);
  timer.expires_after(kProgressDelay);
  co_await timer.async_wait(asio::use_awaitable);
  for (;;) {
    auto const waited = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::steady_clock::now() - aProgress.mStart);
    aNotes << "waiting for " << core::FormatAddress(aProgress.mPeer) << ", "
           << waited.count() << " s\n"
           << std::flush;
    timer.expires_after(kProgressInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

bool
NeedsAdmin(std::vector<std::string> const& aWords)
{
  return !IsCommand(aWords, { "tables", "check" }, 1);
}

}

std::string
UsageText()
{
  return "usage: cranberryfold [--admin ADDRESS[,ADDRESS...]] [--json] "
         "COMMAND\n"
         "  tables get [--current]     print the tables in force\n"
         "  tables check FILE          check a file without sending it\n"
         "  tables apply FILE [--base_revision N] [--edit_id ID]\n"
         "  tables history             list accepted edits\n"
         "  status                     revision and role of every daemon\n"
         "  members                    all announced instances\n"
         "  explain --route NAME       how requests of a route are placed\n"
         "  replicas add INSTANCE PEER_ADDRESS\n"
         "  replicas remove INSTANCE\n"
         "CRANBERRYFOLD_ADMIN is used when --admin is not given.\n"
         "exit codes: 0 success, 2 invalid input, 3 conflict, 4 no majority,\n"
         "5 unreachable\n";
}

exit_code
RunCommand(std::vector<std::string> const& aWords,
           options const& aOptions,
           std::ostream& aOut,
           std::ostream& aNotes)
{
  if (NeedsAdmin(aWords) && aOptions.mAdmin.empty()) {
    aNotes << UsageText() << "step=read_flags code=invalid_input: --admin: "
           << "expected at least one address\n";
    return exit_code::kInvalidInput;
  }
  asio::io_context context(1);
  progress waiting;
  session current{ aOptions,
                   admin_client(aOptions.mAdmin,
                                aOptions.mLimits,
                                [&waiting](core::address const& aPeer) {
                                  waiting.mPeer = aPeer;
                                }),
                   aOut,
                   aNotes };
  auto code = exit_code::kUnreachable;
  asio::co_spawn(context,
                 RunToEnd(context, Dispatch(current, aWords), code),
                 asio::detached);
  if (aOptions.mShowsProgress) {
    asio::co_spawn(
      context, ShowProgress(context, waiting, aNotes), asio::detached);
  }
  context.run();
  return code;
}

}
