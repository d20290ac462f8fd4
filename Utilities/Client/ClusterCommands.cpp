#include "Session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

namespace cranberryfold::client {

namespace asio = boost::asio;

namespace {

/// Daemons asked at once; at design size there are 1,700.
constexpr std::size_t kConcurrentRequests = 32;
constexpr std::chrono::milliseconds kPollInterval{ 5 };

/// One member and what its daemon said of itself.
struct member_status
{
  boost::json::value mMember;
  boost::json::value mStatus;
  std::string mError;
};

struct status_survey
{
  std::vector<member_status> mMembers;
  std::size_t mNext = 0;
  std::size_t mRunning = 0;
};

asio::awaitable<void>
AskMember(session& aSession, member_status& aMember)
{
  auto const address = core::Attempt([&] {
    return core::ParseAddress(TextOf(aMember.mMember, "admin_address"));
  });
  if (!address) {
    aMember.mError = core::FormatError(address.mError);
    co_return;
  }
  auto const request = GetRequest("/v1/status");
  auto answer = co_await aSession.mClient.AskOne(*address, request);
  if (!answer) {
    aMember.mError = core::FormatError(answer.mError);
  } else if (answer->mStatus != 200) {
    aMember.mError = "status " + std::to_string(answer->mStatus);
  } else {
    aMember.mStatus = std::move(answer->mBody);
  }
}

asio::awaitable<void>
AskMembers(session& aSession, status_survey& aSurvey)
{
  while (aSurvey.mNext < aSurvey.mMembers.size()) {
    auto& member = aSurvey.mMembers[aSurvey.mNext++];
    co_await AskMember(aSession, member);
  }
  --aSurvey.mRunning;
}

asio::awaitable<void>
RunSurvey(session& aSession, status_survey& aSurvey)
{
  auto const executor = co_await asio::this_coro::executor;
  aSurvey.mRunning = kConcurrentRequests;
  for (std::size_t index = 0; index < kConcurrentRequests; ++index) {
    asio::co_spawn(executor, AskMembers(aSession, aSurvey), asio::detached);
  }
  asio::steady_timer timer(executor);
  while (aSurvey.mRunning > 0) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

boost::json::value
ControlOf(boost::json::value const& aStatus)
{
  auto const* const object = aStatus.if_object();
  auto const* const control =
    object != nullptr ? object->if_contains("control") : nullptr;
  return control != nullptr ? *control : boost::json::value();
}

void
PrintSurvey(session& aSession, status_survey const& aSurvey)
{
  std::vector<std::vector<std::string>> rows{
    { "INSTANCE", "ZONE", "STATE", "REVISION", "HASH", "ROLE", "TERM" }
  };
  std::string leader;
  for (auto const& member : aSurvey.mMembers) {
    auto const control = ControlOf(member.mStatus);
    bool const isUp = member.mError.empty();
    rows.push_back({ TextOf(member.mMember, "instance"),
                     TextOf(member.mMember, "zone"),
                     isUp ? TextOf(member.mStatus, "state") : "unreachable",
                     TextOf(member.mStatus, "revision"),
                     TextOf(member.mStatus, "hash"),
                     TextOf(control, "role"),
                     TextOf(control, "term") });
    if (TextOf(control, "role") == "leader") {
      leader +=
        (leader.empty() ? "" : ", ") + TextOf(member.mMember, "instance");
    }
    if (!isUp) {
      aSession.mNotes << TextOf(member.mMember, "instance") << ": "
                      << member.mError << "\n";
    }
  }
  PrintRows(aSession.mOut, rows);
  aSession.mOut << "leader: " << (leader.empty() ? "none" : leader) << "\n";
}

boost::json::value
SurveyJson(status_survey const& aSurvey)
{
  boost::json::array daemons;
  for (auto const& member : aSurvey.mMembers) {
    daemons.push_back({ { "member", member.mMember },
                        { "status", member.mStatus },
                        { "error", member.mError } });
  }
  return { { "daemons", daemons } };
}

std::vector<std::string>
RowOf(boost::json::value const& aObject,
      std::vector<std::string> const& aColumns)
{
  std::vector<std::string> row;
  row.reserve(aColumns.size());
  for (auto const& column : aColumns) {
    row.push_back(TextOf(aObject, column));
  }
  return row;
}

}

command_result
ShowStatus(session& aSession)
{
  auto const request = GetRequest("/v1/members");
  auto const asked = co_await AskOrReport(aSession, request);
  if (!asked.mAnswer) {
    co_return asked.mCode;
  }
  status_survey survey;
  for (auto const& member : ListOf(asked.mAnswer->mBody, "members")) {
    survey.mMembers.push_back({ member, {}, "" });
  }
  co_await RunSurvey(aSession, survey);
  if (aSession.mOptions.mJson) {
    aSession.mOut << boost::json::serialize(SurveyJson(survey)) << "\n";
  } else {
    PrintSurvey(aSession, survey);
  }
  co_return exit_code::kSuccess;
}

command_result
ShowMembers(session& aSession)
{
  static std::vector<std::string> const kColumns{
    "instance", "zone",  "region",       "service",       "state",
    "view",     "slots", "peer_address", "admin_address", "control"
  };
  auto const request = GetRequest("/v1/members");
  auto const asked = co_await AskOrReport(aSession, request);
  if (!asked.mAnswer) {
    co_return asked.mCode;
  }
  auto const& body = asked.mAnswer->mBody;
  if (aSession.mOptions.mJson) {
    aSession.mOut << boost::json::serialize(body) << "\n";
    co_return exit_code::kSuccess;
  }
  std::vector<std::vector<std::string>> rows{ kColumns };
  for (auto const& member : ListOf(body, "members")) {
    rows.push_back(RowOf(member, kColumns));
  }
  PrintRows(aSession.mOut, rows);
  co_return exit_code::kSuccess;
}

command_result
ExplainRoute(session& aSession)
{
  std::string const target = "/v1/explain?route=" + aSession.mOptions.mRoute;
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
  aSession.mOut << "route: " << TextOf(body, "route") << "\n"
                << "pool: " << TextOf(body, "pool") << "\n"
                << "upstreams: " << ListOf(body, "upstreams").size() << "\n";
  for (auto const& upstream : ListOf(body, "upstreams")) {
    aSession.mOut << "  " << boost::json::serialize(upstream) << "\n";
  }
  for (auto const& problem : ListOf(body, "problems")) {
    aSession.mOut << "problem: " << boost::json::serialize(problem) << "\n";
  }
  co_return exit_code::kSuccess;
}

}
