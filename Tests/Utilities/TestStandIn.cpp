#include "LibHttp/Pattern.h"
#include "Support/Process.h"

#include <csignal>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;

namespace {

constexpr std::uint64_t kUploadBytes = 20000000;

/// A stand-in on a port that the kernel chose.
struct stand_in_fixture
{
  core::address Start(std::vector<std::string> aFlags)
  {
    aFlags.push_back("--journal=" + mFolder.File("journal"));
    mProcess.emplace("stand_in_upstream", aFlags, mFolder.File("output"));
    std::string text;
    WaitUntil([&] {
      text = mProcess->Output();
      return text.find('\n') != std::string::npos;
    });
    text = text.substr(0, text.find('\n'));
    auto const parsed = core::Attempt(
      [&] { return core::ParseAddress(text.substr(text.find('=') + 1)); });
    BOOST_REQUIRE(parsed);
    return *parsed;
  }

  bool WaitForJournal(std::string const& aText)
  {
    return WaitUntil([&] {
      return ReadFile(mFolder.File("journal")).find(aText) != std::string::npos;
    });
  }

  temporary_folder mFolder;
  std::optional<child_process> mProcess;
};

}

BOOST_FIXTURE_TEST_SUITE(StandIn, stand_in_fixture)

// Guards against daemons of tests that cannot listen since an outgoing
// connection of another process has taken their port.
BOOST_AUTO_TEST_CASE(ReservedPortsAreBelowThoseOfOutgoingConnections)
{
  constexpr std::uint16_t kFirstPortOfOutgoingConnections = 32768;
  auto const reservation = ReservePorts(30);
  for (auto const port : reservation.Ports()) {
    BOOST_TEST(port < kFirstPortOfOutgoingConnections);
  }
}

// Guards against daemons that cannot listen since another test has the same
// port and nothing listens on it yet.
BOOST_AUTO_TEST_CASE(PortsOfReservationsDiffer)
{
  std::vector<stand_in::port_reservation> reservations;
  std::set<std::uint16_t> ports;
  for (std::size_t index = 0; index < 30; ++index) {
    reservations.push_back(ReservePorts(60));
    auto const& added = reservations.back().Ports();
    ports.insert(added.begin(), added.end());
  }
  BOOST_TEST(ports.size() == 30U * 60U);
}

// Guards against ports that stay reserved, so that none are left.
BOOST_AUTO_TEST_CASE(ReservationsEndWithTheirObjects)
{
  for (std::size_t index = 0; index < 30; ++index) {
    BOOST_TEST(ReservePorts(1'000).Ports().size() == 1'000U);
  }
}

// Guards against lost, repeated or reordered chunks in the shared HTTP code.
BOOST_AUTO_TEST_CASE(BodiesArriveByteForByte)
{
  auto const address = Start({ "--service_time_ms=0" });
  auto const up = SendPattern(address, { "PUT", "/photos", {} }, kUploadBytes);
  BOOST_REQUIRE(up);
  BOOST_TEST(up->mBody.find(http::FormatHash(
               http::PatternHash(kUploadBytes))) != std::string::npos);
  auto const down = Send(address, { { "GET", "/bytes?size=3000001", {} }, "" });
  BOOST_REQUIRE(down);
  http::body_hash hash;
  hash.Add(down->mBody);
  BOOST_TEST(hash.Digest() == http::PatternHash(3000001));
}

// Guards against a client that takes half a body for a whole one.
BOOST_AUTO_TEST_CASE(TruncatedAnswerIsAnError)
{
  auto const address = Start({});
  auto const answer = Send(
    address, { { "GET", "/x", { { "x-stand-in-truncate", "yes" } } }, "" });
  BOOST_TEST(!answer);
  BOOST_TEST((answer.mError.mCode == core::error_code::kClosed));
}

BOOST_AUTO_TEST_CASE(DeadlineEndsTheWork)
{
  auto const address = Start({ "--service_time_ms=3600000" });
  auto const answer =
    Send(address,
         { { "GET", "/x", { { "x-cranberryfold-deadline-ms", "50" } } }, "" });
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->mHead.mStatus == 504U);
  BOOST_TEST(WaitForJournal("outcome=deadline"));
}

// Guards against work that goes on although no one waits for it.
BOOST_AUTO_TEST_CASE(ClosedConnectionCancelsTheWork)
{
  auto const address = Start({ "--service_time_ms=3600000" });
  {
    raw_connection const connection(address,
                                    "GET /x HTTP/1.1\r\nhost: x\r\n\r\n");
    BOOST_TEST(WaitForJournal("event=start"));
  }
  BOOST_TEST(WaitForJournal("outcome=cancelled"));
}

BOOST_AUTO_TEST_CASE(DrainRefusesAsNotRun)
{
  auto const address = Start({});
  BOOST_REQUIRE(Send(address, { { "POST", "/drain", {} }, "" }));
  auto const health = Send(address, { { "GET", "/health", {} }, "" });
  BOOST_REQUIRE(health);
  BOOST_TEST(health->mHead.mStatus == 503U);
  auto const refused = Send(address, { { "GET", "/x", {} }, "" });
  BOOST_REQUIRE(refused);
  BOOST_TEST(refused->mHead.mStatus == 503U);
  BOOST_TEST(http::FindHeader(refused->mHead.mHeaders,
                              "x-cranberryfold-outcome") == "not_run");
  BOOST_TEST(ReadFile(mFolder.File("journal")).empty());
}

BOOST_AUTO_TEST_CASE(CrashOnlyWhenAllowed)
{
  http::request const marked{
    { "GET", "/x", { { "x-stand-in-crash", "yes" } } }, ""
  };
  BOOST_TEST(bool(Send(Start({}), marked)));
  mProcess.reset();
  std::remove(mFolder.File("output").c_str());
  BOOST_TEST(!Send(Start({ "--allow_crash" }), marked));
  BOOST_TEST(mProcess->WaitForExit().value_or(-1) == 128 + SIGABRT);
}

BOOST_AUTO_TEST_SUITE_END()
