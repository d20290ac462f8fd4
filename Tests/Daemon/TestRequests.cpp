#include "Daemon/Mesh.h"
#include "LibHttp/Pattern.h"

#include <csignal>
#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;

namespace {

constexpr std::uint64_t kUploadBytes = 20000000;
http::request const kReadStock{ { "GET", "/stock/item", {} }, "" };

http::request
Deposit(std::string const& aKey, http::header_list aHeaders = {})
{
  aHeaders.push_back({ "idempotency-key", aKey });
  return { { "POST", "/deposits", std::move(aHeaders) }, "" };
}

/// Enough for a request to be read.
constexpr std::chrono::milliseconds kRequestOnItsWay{ 100 };

http::request
PlaceOrder(std::string const& aKey)
{
  return { { "POST", "/orders", { { "idempotency-key", aKey } } }, "" };
}

bool
Contains(std::string const& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::size_t
CountRuns(std::string const& aJournal, std::string const& aKey)
{
  std::size_t count = 0;
  auto const mark = " key=" + aKey + " ";
  for (auto line = aJournal.find("event=start"); line != std::string::npos;
       line = aJournal.find("event=start", line + 1)) {
    auto const end = aJournal.find('\n', line);
    count += Contains(aJournal.substr(line, end - line), mark) ? 1 : 0;
  }
  return count;
}

/// Returns whether a response is correct for a request that was started once
/// and did not complete: an error that does not say that the request was not
/// run.
bool
IsFailureWithoutNotRun(core::attempt<http::response> const& aResponse)
{
  if (!aResponse) {
    return true;
  }
  auto const outcome =
    http::FindHeader(aResponse->mHead.mHeaders, "x-cranberryfold-outcome");
  return aResponse->mHead.mStatus >= 500 && outcome != "not_run";
}

/// Retries a request, as a caller would, while it is refused as not run because
/// the zone has no claim group yet.
core::attempt<http::response>
SendOnceClaimable(core::address const& aPeer, http::request const& aRequest)
{
  core::attempt<http::response> response;
  WaitUntil([&] {
    response = Send(aPeer, aRequest);
    return !response ||
           http::FindHeader(response->mHead.mHeaders,
                            "x-cranberryfold-reason") != "claim_unavailable";
  });
  return response;
}

/// Sends a deposit on another thread and returns once it runs at the upstream.
std::future<core::attempt<http::response>>
StartDeposit(mesh& aMesh, std::string const& aKey)
{
  auto pending = std::async(std::launch::async, [&aMesh, aKey] {
    return SendOnceClaimable(aMesh.Caller("order"), Deposit(aKey));
  });
  // A refused deposit never runs; the test then fails on its response.
  WaitUntil([&] {
    return pending.wait_for(std::chrono::seconds(0)) ==
             std::future_status::ready ||
           CountRuns(aMesh.Journal("stock"), aKey) == 1;
  });
  return pending;
}

/// Starts the daemon of an instance again while nobody can tell it its tables.
void
StartWithoutOthers(mesh& aMesh, std::string const& aInstance)
{
  aMesh.Daemon(aInstance).Signal(SIGKILL);
  aMesh.Daemon(aInstance).WaitForExit();
  aMesh.Daemon("order").Signal(SIGSTOP);
  aMesh.Daemon("stock").Signal(SIGSTOP);
  aMesh.RestartDaemon(aInstance);
  WaitUntil([&] { return CanConnect(aMesh.Caller(aInstance)); });
}

void
ResumeOthers(mesh& aMesh)
{
  aMesh.Daemon("order").Signal(SIGCONT);
  aMesh.Daemon("stock").Signal(SIGCONT);
}

}

BOOST_AUTO_TEST_SUITE(Requests)

// Guards against requests that are refused since a daemon that has just started
// knows no routes or upstreams yet.
BOOST_AUTO_TEST_CASE(StartingDaemonServesItsFirstRequests)
{
  mesh running;
  // On a loaded machine the others may resume too late for one round.
  BOOST_TEST(WaitUntil([&] {
    StartWithoutOthers(running, "spare");
    auto pending = std::async(std::launch::async, [&] {
      return Send(running.Caller("spare"), kReadStock);
    });
    pending.wait_for(kRequestOnItsWay);
    ResumeOthers(running);
    auto const response = pending.get();
    return response && response->mHead.mStatus == 200;
  }));
}

// Guards against running requests whose callers have left while the requests
// waited for a starting daemon.
BOOST_AUTO_TEST_CASE(StartingDaemonDropsRequestsOfDepartedCallers)
{
  mesh running;
  StartWithoutOthers(running, "spare");
  {
    raw_connection const caller(running.Caller("spare"),
                                "GET /stock/left HTTP/1.1\r\nhost: x\r\n\r\n");
    std::this_thread::sleep_for(kRequestOnItsWay);
  }
  ResumeOthers(running);
  BOOST_TEST(WaitUntil([&] {
    auto const response = Send(running.Caller("spare"), kReadStock);
    return response && response->mHead.mStatus == 200;
  }));
  BOOST_TEST(!Contains(running.Journal("stock"), "/stock/left"));
}

// Guards against a failure that the log leaves out since successful requests
// have used up its limit of lines.
BOOST_AUTO_TEST_CASE(FailedRequestIsLoggedBesideManyOthers)
{
  constexpr int kRequestsBeyondLimit = 30;
  mesh running;
  SendOnceClaimable(running.Caller("order"), PlaceOrder("z1/placed"));
  running.Daemon("stock").Signal(SIGKILL);
  for (int request = 0; request < kRequestsBeyondLimit; ++request) {
    Send(running.Caller("order"), PlaceOrder("z1/placed"));
  }
  auto const failed = Send(running.Caller("order"), PlaceOrder("z1/failed"));
  BOOST_TEST_REQUIRE(static_cast<bool>(failed));
  BOOST_TEST(failed->mHead.mStatus >= 500);
  // The line is written after the response.
  std::string output;
  auto line = std::string::npos;
  WaitUntil([&] {
    output = running.Daemon("order").Output();
    line = output.find("event=request_failed");
    return line != std::string::npos;
  });
  BOOST_TEST_REQUIRE(line != std::string::npos, output);
  auto const text = output.substr(line, output.find('\n', line) - line);
  BOOST_TEST(Contains(text, "route=order upstream=order status="), text);
}

// Guards against calls that only reach the daemon's own upstream.
BOOST_AUTO_TEST_CASE(PassThroughTwoDaemons)
{
  mesh const running;
  auto const read = Send(running.Caller("order"), kReadStock);
  BOOST_REQUIRE(read);
  BOOST_TEST(read->mHead.mStatus == 200U);
  BOOST_TEST(Contains(read->mBody, "\"instance\":\"stock\""));
  auto const order =
    SendOnceClaimable(running.Caller("stock"), PlaceOrder("z1/order"));
  BOOST_REQUIRE(order);
  BOOST_TEST_INFO(order->mBody);
  BOOST_TEST(order->mHead.mStatus == 200U);
  BOOST_TEST(
    Contains(order->mBody, "\"target\":\"/stock/item\",\"status\":200"));
}

// Guards against bytes of a large body that are lost, changed or reordered.
BOOST_AUTO_TEST_CASE(LargeBodiesArriveByteForByte)
{
  mesh const running({ "--service_time_ms=0" });
  auto const up = SendPattern(
    running.Caller("order"), { "PUT", "/photos/1", {} }, kUploadBytes);
  BOOST_REQUIRE(up);
  BOOST_TEST(up->mHead.mStatus == 200U);
  BOOST_TEST(
    Contains(up->mBody, http::FormatHash(http::PatternHash(kUploadBytes))));
  auto const down = Send(running.Caller("order"),
                         { { "GET", "/stock/bytes?size=20000000", {} }, "" });
  BOOST_REQUIRE(down);
  http::body_hash hash;
  hash.Add(down->mBody);
  BOOST_TEST(hash.Size() == kUploadBytes);
  BOOST_TEST(hash.Digest() == http::PatternHash(kUploadBytes));
}

// Guards against a truncated response that a caller takes for a complete one.
BOOST_AUTO_TEST_CASE(TruncatedResponsesAreNotReportedAsComplete)
{
  mesh const running;
  for (auto const* const target :
       { "/stock/item", "/stock/bytes?size=500000" }) {
    auto const response =
      Send(running.Caller("order"),
           { { "GET", target, { { "x-stand-in-truncate", "yes" } } }, "" });
    BOOST_TEST((!response || response->mHead.mStatus >= 500));
  }
}

// Guards against a response that reports a started request as not run, and
// against a second run after the upstream is lost.
BOOST_AUTO_TEST_CASE(KilledUpstreamIsNotReportedAsNotRun)
{
  mesh running({ "--service_time_ms=3600000" });
  auto pending = StartDeposit(running, "z1/killed-upstream");
  running.Upstream("stock").Signal(SIGKILL);
  BOOST_TEST(IsFailureWithoutNotRun(pending.get()));
  BOOST_TEST(CountRuns(running.Journal("stock"), "z1/killed-upstream") == 1U);
}

// Guards against the same after the daemon of the upstream is lost.
BOOST_AUTO_TEST_CASE(KilledDaemonIsNotReportedAsNotRun)
{
  mesh running({ "--service_time_ms=3600000" });
  auto pending = StartDeposit(running, "z1/killed-daemon");
  running.Daemon("stock").Signal(SIGKILL);
  BOOST_TEST(IsFailureWithoutNotRun(pending.get()));
  BOOST_TEST(CountRuns(running.Journal("stock"), "z1/killed-daemon") == 1U);
}

// Guards against a second run of a non-idempotent request that is resent.
BOOST_AUTO_TEST_CASE(ResentDepositRunsOnce)
{
  mesh const running;
  auto const deposit = Deposit("z1/resent");
  auto const first = SendOnceClaimable(running.Caller("order"), deposit);
  BOOST_REQUIRE(first);
  BOOST_TEST(first->mHead.mStatus == 200U);
  BOOST_TEST(bool(Send(running.Caller("stock"), deposit)));
  BOOST_TEST(CountRuns(running.Journal("stock"), "z1/resent") == 1U);
}

// Guards against malformed bytes on one connection that affect other requests.
BOOST_AUTO_TEST_CASE(MalformedBytesDoNotAffectOtherRequests)
{
  mesh const running;
  std::string noise(100000, '\0');
  http::FillPattern(noise.data(), noise.size(), 7);
  auto const longHeader =
    "GET /stock/item HTTP/1.1\r\nx: " + std::string(2000000, 'a');
  for (auto const* const instance : { "order", "stock" }) {
    for (auto const& address : { running.Caller(instance),
                                 running.Egress(instance),
                                 running.Admin(instance),
                                 running.Peer(instance) }) {
      SendBytes(address, noise);
      SendBytes(address, std::string(64, '\xff') + noise);
      SendBytes(address, longHeader);
      SendBytes(address,
                "POST / HTTP/1.1\r\ncontent-length: 99999999999999\r\n\r\n");
    }
  }
  auto const read = Send(running.Caller("order"), kReadStock);
  BOOST_REQUIRE(read);
  BOOST_TEST(read->mHead.mStatus == 200U);
}

// Guards against running requests of callers who left while a busy daemon had
// not read them yet.
BOOST_AUTO_TEST_CASE(UnreadRequestsOfDepartedCallersAreNotRun)
{
  mesh running;
  running.Daemon("order").Signal(SIGSTOP);
  for (int caller = 0; caller < 100; ++caller) {
    SendBytes(running.Caller("order"),
              "GET /stock/left HTTP/1.1\r\nhost: x\r\n\r\n");
  }
  running.Daemon("order").Signal(SIGCONT);
  auto const read = Send(running.Caller("order"), kReadStock);
  BOOST_REQUIRE(read);
  BOOST_TEST(read->mHead.mStatus == 200U);
  BOOST_TEST(!Contains(running.Journal("stock"), "/stock/left"));
}

// Guards against a planned stop that aborts a request in flight.
BOOST_AUTO_TEST_CASE(TerminatedDaemonFinishesItsRequests)
{
  mesh running({ "--service_time_ms=3000" });
  auto pending = StartDeposit(running, "z1/drained");
  running.Daemon("stock").Signal(SIGTERM);
  auto const response = pending.get();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->mHead.mStatus == 200U);
  BOOST_TEST(running.Daemon("stock").WaitForExit().value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
