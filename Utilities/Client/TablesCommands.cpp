#include "LibCore/JsonReader.h"
#include "LibHttp/Pattern.h"
#include "LibTables/TableRules.h"
#include "Session.h"

#include <random>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace cranberryfold::client {

namespace {

core::result<tables::table_set>
ReadTablesFile(std::string const& aFile)
{
  BOOST_LEAF_AUTO(text, core::ReadTextFile(aFile));
  return tables::ParseTables(text, aFile);
}

/// Two equal ids would make one operator's edit pass for another's, so they
/// come from the system's random device.
std::string
MakeEditId()
{
  std::random_device device;
  auto const half = [&device] { return std::uint64_t{ device() }; };
  return "edit-" + http::FormatHash(half() << 32U | half());
}

http::request
PostEdit(boost::json::object const& aEdit)
{
  return { { "POST", "/v1/edits", { { "content-type", "application/json" } } },
           boost::json::serialize(aEdit) };
}

command_result
SendEdit(session& aSession, boost::json::object aEdit)
{
  auto const& given = aSession.mOptions.mEditId;
  auto const id = given.empty() ? MakeEditId() : given;
  aEdit["edit_id"] = id;
  // Printed before sending: after a lost response the same id can be sent
  // again.
  aSession.mNotes << "edit id " << id << std::endl;
  auto const request = PostEdit(aEdit);
  auto const asked = co_await AskOrReport(aSession, request);
  if (!asked.mAnswer) {
    co_return asked.mCode;
  }
  auto const& body = asked.mAnswer->mBody;
  if (aSession.mOptions.mJson) {
    aSession.mOut << boost::json::serialize(body) << "\n";
  } else {
    aSession.mOut << TextOf(body, "result") << ": revision "
                  << TextOf(body, "revision") << ", edit id " << id << "\n";
  }
  co_return exit_code::kSuccess;
}

}

command_result
TablesGet(session& aSession)
{
  auto const* const target =
    aSession.mOptions.mCurrent ? "/v1/tables?current=true" : "/v1/tables";
  auto const request = GetRequest(target);
  auto const asked = co_await AskOrReport(aSession, request);
  if (!asked.mAnswer) {
    co_return asked.mCode;
  }
  auto const& body = asked.mAnswer->mBody;
  if (aSession.mOptions.mJson) {
    aSession.mOut << boost::json::serialize(body) << "\n";
    co_return exit_code::kSuccess;
  }
  auto const peer = core::FormatAddress(asked.mAnswer->mPeer);
  auto const parsed = core::Attempt(
    [&] { return tables::ParseTables(TextOf(body, "tables"), peer); });
  if (!parsed) {
    auto problem = parsed.mError;
    // The fault is the daemon's answer, not the operator's input.
    problem.mCode = core::error_code::kMalformed;
    co_return ReportError(aSession, problem);
  }
  aSession.mNotes << "revision " << TextOf(body, "revision") << ", hash "
                  << TextOf(body, "hash") << ", from " << peer
                  << (TextOf(body, "stale") == "true" ? " (may be stale)" : "")
                  << "\n";
  aSession.mOut << tables::FormatTables(*parsed);
  co_return exit_code::kSuccess;
}

command_result
TablesCheck(session& aSession, std::string aFile)
{
  auto const parsed = core::Attempt([&] { return ReadTablesFile(aFile); });
  if (!parsed) {
    co_return ReportError(aSession, parsed.mError);
  }
  if (aSession.mOptions.mJson) {
    aSession.mOut << R"({"result":"valid"})"
                  << "\n";
  } else {
    aSession.mOut << aFile << ": valid, " << parsed->mPools.size() << " pools, "
                  << parsed->mRoutes.size() << " routes\n";
  }
  co_return exit_code::kSuccess;
}

command_result
TablesApply(session& aSession, std::string aFile)
{
  auto const parsed = core::Attempt([&] { return ReadTablesFile(aFile); });
  if (!parsed) {
    co_return ReportError(aSession, parsed.mError);
  }
  boost::json::object edit;
  if (aSession.mOptions.mBaseRevision) {
    edit["base_revision"] = *aSession.mOptions.mBaseRevision;
  } else {
    auto const request = GetRequest("/v1/tables?current=true");
    auto const asked = co_await AskOrReport(aSession, request);
    if (!asked.mAnswer) {
      co_return asked.mCode;
    }
    auto const& body = asked.mAnswer->mBody.get_object();
    edit["base_revision"] =
      body.contains("revision") ? body.at("revision") : boost::json::value(0);
    aSession.mNotes << "base revision " << TextOf(body, "revision") << "\n";
  }
  edit["tables"] = boost::json::parse(tables::FormatTables(*parsed));
  co_return co_await SendEdit(aSession, std::move(edit));
}

command_result
ChangeReplicas(session& aSession, boost::json::object aChange)
{
  co_return co_await SendEdit(aSession, std::move(aChange));
}

command_result
TablesHistory(session& aSession)
{
  auto const request = GetRequest("/v1/history");
  auto const asked = co_await AskOrReport(aSession, request);
  if (!asked.mAnswer) {
    co_return asked.mCode;
  }
  auto const& body = asked.mAnswer->mBody;
  if (aSession.mOptions.mJson) {
    aSession.mOut << boost::json::serialize(body) << "\n";
    co_return exit_code::kSuccess;
  }
  for (auto const& edit : ListOf(body, "edits")) {
    aSession.mOut << "revision " << TextOf(edit, "revision") << " by "
                  << TextOf(edit, "edit_id") << "\n";
    for (auto const& change : ListOf(edit, "changes")) {
      auto const* const text = change.if_string();
      aSession.mOut << "  "
                    << (text != nullptr ? std::string(*text)
                                        : boost::json::serialize(change))
                    << "\n";
    }
  }
  co_return exit_code::kSuccess;
}

}
