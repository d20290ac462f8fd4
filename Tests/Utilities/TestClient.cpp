#include "Support/FakeServer.h"
#include "Support/Process.h"

#include <atomic>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;

namespace {

constexpr std::string_view kTables = R"({ "pools": [
  { "name": "stock", "service": "stock" } ], "routes": [
  { "name": "read", "methods": ["GET"], "path_prefix": "/stock",
    "pool": "stock", "class": "catalogue", "idempotent": true } ] })";

struct client_run
{
  std::optional<int> mStatus;
  std::string mOutput;
};

client_run
RunClient(std::vector<std::string> const& aArguments)
{
  temporary_folder const folder;
  child_process client("cranberryfold", aArguments, folder.File("output"));
  auto const status = client.WaitForExit();
  return { status, client.Output() };
}

/// Applies the sample tables with base revision 4 and edit id "e1".
client_run
Apply(std::string const& aAdmin)
{
  temporary_folder const folder;
  auto const file = folder.File("tables.json");
  WriteFile(file, std::string(kTables));
  return RunClient({ "--admin",
                     aAdmin,
                     "--total_timeout_ms",
                     "3000",
                     "tables",
                     "apply",
                     file,
                     "--base_revision",
                     "4",
                     "--edit_id",
                     "e1" });
}

/// A daemon that gives the same answer to everything.
fake_server
Always(unsigned aStatus, std::string const& aBody)
{
  return fake_server([aStatus, aBody](http::request const&) {
    return http::response{ { aStatus, {} }, aBody };
  });
}

bool
Contains(std::string const& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

}

BOOST_AUTO_TEST_SUITE(Client)

// Guards against an apply that sends something else than it was given.
BOOST_AUTO_TEST_CASE(AcceptedEditGivesZero)
{
  std::string body;
  fake_server const admin([&body](http::request const& aRequest) {
    body = aRequest.mBody;
    return http::response{
      { 200, {} }, R"({"result":"accepted","revision":5,"edit_id":"e1"})"
    };
  });
  auto const run = Apply(admin.Address());
  BOOST_TEST(run.mStatus.value_or(-1) == 0);
  BOOST_TEST(Contains(run.mOutput, "edit id e1"));
  BOOST_TEST(Contains(run.mOutput, "accepted: revision 5"));
  BOOST_TEST(Contains(body, "\"base_revision\":4"));
  BOOST_TEST(Contains(body, "\"edit_id\":\"e1\""));
  BOOST_TEST(Contains(body, "\"path_prefix\":\"/stock\""));
}

// Guards against a refused edit that looks like an accepted one in a script.
BOOST_AUTO_TEST_CASE(EachRefusalHasItsExitCode)
{
  auto const invalid = Always(400, R"({"result":"invalid","error":"row x"})");
  auto const refused = Apply(invalid.Address());
  BOOST_TEST(refused.mStatus.value_or(-1) == 2);
  BOOST_TEST(Contains(refused.mOutput, "row x"));
  auto const conflict =
    Always(409, R"({"result":"conflict","revision":7,"edit_id":"other"})");
  auto const lost = Apply(conflict.Address());
  BOOST_TEST(lost.mStatus.value_or(-1) == 3);
  BOOST_TEST(Contains(lost.mOutput, "revision 7 by edit other"));
  auto const minority =
    Always(503, R"({"result":"no_majority","error":"2/3"})");
  BOOST_TEST(Apply(minority.Address()).mStatus.value_or(-1) == 4);
  auto const garbage = Always(200, "<html>");
  BOOST_TEST(Apply(garbage.Address()).mStatus.value_or(-1) == 5);
}

// Guards against a client that hangs or aborts when no daemon is there.
BOOST_AUTO_TEST_CASE(UnreachableDaemonGivesFive)
{
  auto const reservation = ReservePorts(1);
  auto const address =
    "127.0.0.1:" + std::to_string(reservation.Ports().front());
  auto const run = Apply(address);
  BOOST_TEST(run.mStatus.value_or(-1) == 5);
  BOOST_TEST(Contains(run.mOutput, "step=connect peer=" + address));
}

// Guards against an operator who must know which replica leads.
BOOST_AUTO_TEST_CASE(HintsAreFollowedToTheLeader)
{
  auto const leader =
    Always(200, R"({"result":"accepted","revision":5,"edit_id":"e1"})");
  auto const follower = Always(421,
                               R"({"result":"not_leader","candidates":[")" +
                                 leader.Address() + "\"]}");
  BOOST_TEST(Apply(follower.Address()).mStatus.value_or(-1) == 0);
}

// Guards against endless hops between replicas that point at each other.
BOOST_AUTO_TEST_CASE(HintsThatLeadNowhereEnd)
{
  std::atomic<int> requests = 0;
  fake_server const follower([&requests](http::request const&) {
    ++requests;
    return http::response{ { 421, {} },
                           R"({"result":"not_leader","candidates":[]})" };
  });
  BOOST_TEST(Apply(follower.Address()).mStatus.value_or(-1) == 4);
  BOOST_TEST(requests.load() > 1);
  BOOST_TEST(requests.load() <= 64);
}

BOOST_AUTO_TEST_CASE(FaultyFileIsNotSent)
{
  temporary_folder const folder;
  auto const file = folder.File("tables.json");
  WriteFile(file, R"({ "pools": [], "routes": [ { "name": "x" } ] })");
  auto const run = RunClient({ "tables", "check", file });
  BOOST_TEST(run.mStatus.value_or(-1) == 2);
  BOOST_TEST(Contains(run.mOutput, "methods"));
}

BOOST_AUTO_TEST_CASE(StatusShowsRevisionsAndTheLeader)
{
  std::string address;
  fake_server const admin([&address](http::request const& aRequest) {
    bool const isMembers = aRequest.mHead.mTarget == "/v1/members";
    return http::response{
      { 200, {} },
      isMembers
        ? R"({"members":[{"instance":"a","zone":"z","admin_address":")" +
            address + R"("},{"instance":"b","zone":"z",)" +
            R"("admin_address":"127.0.0.1:1"}]})"
        : R"({"state":"serving","revision":9,"hash":"ff",)"
          R"("control":{"role":"leader","term":3}})"
    };
  });
  address = admin.Address();
  auto const run = RunClient({ "--admin", address, "status" });
  BOOST_TEST(run.mStatus.value_or(-1) == 0);
  BOOST_TEST(Contains(run.mOutput, "serving"));
  BOOST_TEST(Contains(run.mOutput, "unreachable"));
  BOOST_TEST(Contains(run.mOutput, "leader: a"));
}

BOOST_AUTO_TEST_SUITE_END()
