#include "Daemon/Mesh.h"
#include "Support/EndlessServer.h"

#include <csignal>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;

namespace {

http::request const kReadStock{ { "GET", "/stock/item", {} }, "" };
/// Far more than sockets buffer, and far less than arrives before a deadline.
constexpr std::uint64_t kMaximumReadBytes = 64UL << 20U;

bool
IsFailure(core::attempt<http::response> const& aResponse)
{
  return !aResponse || aResponse->mHead.mStatus >= 500;
}

/// The mesh with a stock upstream that sends bytes without end.
struct fixture
{
  void Start(endless_bytes aBytes)
  {
    BOOST_TEST_REQUIRE(mMesh.WaitForStock());
    mMesh.Upstream("stock").Signal(SIGKILL);
    BOOST_TEST_REQUIRE(mMesh.Upstream("stock").WaitForExit().has_value());
    mServer.emplace(mMesh.UpstreamAddress("stock"), std::move(aBytes));
    BOOST_TEST_REQUIRE(mMesh.WaitForStock());
  }

  /// Sends a request repeatedly until it has reached the upstream. Returns the
  /// last response.
  core::attempt<http::response> SendUntilReceived() const
  {
    core::attempt<http::response> response;
    WaitUntil([&] {
      response = Send(mMesh.Caller("order"), kReadStock);
      return mServer->Written() > 0;
    });
    return response;
  }

  /// Checks that the caller gets a failure and that the daemon closes the
  /// connection before it has read much.
  void ExpectAborted(endless_bytes aBytes)
  {
    Start(std::move(aBytes));
    BOOST_TEST(IsFailure(SendUntilReceived()));
    BOOST_TEST(WaitUntil([&] { return mServer->Closed() > 0; }));
    BOOST_TEST(mServer->Written() < kMaximumReadBytes);
  }

  mesh mMesh;
  std::optional<endless_server> mServer;
};

}

BOOST_FIXTURE_TEST_SUITE(EndlessUpstreamResponses, fixture)

// Guards against unbounded memory for the header line of a chunk, which the
// parser does not limit.
BOOST_AUTO_TEST_CASE(EndlessChunkHeaderIsAborted)
{
  ExpectAborted(
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=", "a" });
}

// Guards against reading an endless response head.
BOOST_AUTO_TEST_CASE(EndlessHeadIsAborted)
{
  ExpectAborted({ "HTTP/1.1 200 OK\r\nx-filler: ", "a" });
}

// Guards against reading endless bytes that are not an HTTP response.
BOOST_AUTO_TEST_CASE(EndlessMalformedBytesAreAborted)
{
  ExpectAborted({ "", "\x01\xff#" });
}

// Guards against an interim response that is taken for the final one, and
// against reading interim responses without end.
BOOST_AUTO_TEST_CASE(EndlessInterimResponsesAreAborted)
{
  ExpectAborted({ "", "HTTP/1.1 103 Early Hints\r\n\r\n" });
}

// Guards against an endless body that looks complete or is read after the
// deadline.
BOOST_AUTO_TEST_CASE(EndlessBodyIsAbortedAtTheDeadline)
{
  Start({ "HTTP/1.1 200 OK\r\n\r\n", "a" });
  BOOST_TEST(!SendUntilReceived());
  BOOST_TEST(WaitUntil([&] { return mServer->Closed() > 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EndlessResponses)

// Guards against unbounded memory and time for an endless response to the
// daemon's own requests, such as health checks.
BOOST_AUTO_TEST_CASE(EndlessResponseIsAbortedAtItsLimit)
{
  auto const reservation = ReservePorts(1);
  core::address const address{ "127.0.0.1", reservation.Ports().front() };
  endless_server const server(address, { "HTTP/1.1 200 OK\r\n\r\n", "a" });
  auto const response = Send(address, kReadStock);
  BOOST_TEST(!response);
  BOOST_TEST((response.mError.mCode == core::error_code::kLimitExceeded));
}

BOOST_AUTO_TEST_SUITE_END()
