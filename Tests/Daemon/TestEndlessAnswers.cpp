#include "Daemon/Mesh.h"
#include "LibDaemon/FrameChannel.h"
#include "Support/EndlessServer.h"

#include <csignal>
#include <list>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;
using namespace std::chrono_literals;

namespace {

http::request const kReadStock{ { "GET", "/stock/item", {} }, "" };
/// Far more than sockets buffer, and far less than arrives before a deadline.
constexpr std::uint64_t kMaximumReadBytes = 64UL << 20U;
/// The memory of a daemon at the design size.
constexpr std::size_t kMaximumDaemonBytes = 256UL << 20U;
/// Time without progress after which all buffers of a connection are full.
constexpr auto kStall = 1s;
constexpr std::string_view kChunkedHead =
  "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

constexpr auto kSmallChunk = "1\r\na\r\n";

bool
IsFailure(core::attempt<http::response> const& aResponse)
{
  return !aResponse || aResponse->mHead.mStatus >= 500;
}

enum class reader_state
{
  kRunning,
  kFrozen,
};

/// The mesh with a stock upstream that sends bytes without end.
struct fixture
{
  void Start(endless_bytes aBytes, endless_from aFrom = endless_from::kStart)
  {
    BOOST_TEST_REQUIRE(mMesh.WaitForStock());
    mMesh.Upstream("stock").Signal(SIGKILL);
    BOOST_TEST_REQUIRE(mMesh.Upstream("stock").WaitForExit().has_value());
    mServer.emplace(mMesh.UpstreamAddress("stock"), std::move(aBytes), aFrom);
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
    ExpectLittleMemory();
  }

  /// Lets the upstream answer requests of callers that read nothing, and waits
  /// until nothing more is read from it.
  void AnswerIdleCallers(endless_bytes aBytes, reader_state aDaemonOfCallers)
  {
    constexpr int kCallers = 16;
    Start(std::move(aBytes), endless_from::kBeginTrouble);
    BOOST_TEST_REQUIRE(WaitUntil([&] {
      auto const response = Send(mMesh.Caller("order"), kReadStock);
      return response && response->mHead.mStatus == 200;
    }));
    mServer->BeginTrouble();
    std::list<raw_connection> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back(mMesh.Caller("order"),
                           "GET /stock/item HTTP/1.1\r\nhost: a\r\n\r\n");
    }
    BOOST_TEST_REQUIRE(WaitUntil([&] { return mServer->Written() > 0; }));
    bool const isFrozen = aDaemonOfCallers == reader_state::kFrozen;
    if (isFrozen) {
      mMesh.Daemon("order").Signal(SIGSTOP);
    }
    WaitForStall();
    if (isFrozen) {
      mMesh.Daemon("order").Signal(SIGCONT);
    }
  }

  void WaitForStall() const
  {
    auto written = mServer->Written();
    auto lastProgress = std::chrono::steady_clock::now();
    BOOST_TEST(WaitUntil([&] {
      auto const now = std::chrono::steady_clock::now();
      if (mServer->Written() != written) {
        written = mServer->Written();
        lastProgress = now;
      }
      return now - lastProgress >= kStall;
    }));
  }

  void ExpectLittleMemory(std::size_t aMaximumBytes = kMaximumDaemonBytes)
  {
    for (auto const* const daemon : { "order", "stock" }) {
      auto const peak = mMesh.Daemon(daemon).PeakMemoryBytes();
      BOOST_TEST(peak < aMaximumBytes, daemon << " took " << peak);
    }
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

// Guards against a body in small chunks that takes many times its size in the
// daemon of callers who do not read it.
BOOST_AUTO_TEST_CASE(EndlessSmallChunksTakeLittleMemory)
{
  AnswerIdleCallers({ std::string(kChunkedHead), kSmallChunk },
                    reader_state::kRunning);
  ExpectLittleMemory();
}

// The same for chunks that arrive one by one.
BOOST_AUTO_TEST_CASE(EndlessSingleSmallChunksTakeLittleMemory)
{
  AnswerIdleCallers({ std::string(kChunkedHead), kSmallChunk, 1 },
                    reader_state::kRunning);
  ExpectLittleMemory();
}

// Guards against a frame for each small chunk, which overflows the queue of the
// daemon beside the upstream and ends all calls on the connection.
BOOST_AUTO_TEST_CASE(EndlessSmallChunksDoNotOverflowTheQueueToAFrozenDaemon)
{
  AnswerIdleCallers({ std::string(kChunkedHead), kSmallChunk },
                    reader_state::kFrozen);
  ExpectLittleMemory(daemon::frame_channel::kMaximumQueueBytes);
}

// Guards against unbounded memory for a large body of which callers read
// nothing.
BOOST_AUTO_TEST_CASE(EndlessBodiesTakeLittleMemory)
{
  AnswerIdleCallers({ "HTTP/1.1 200 OK\r\n\r\n", "a" }, reader_state::kRunning);
  ExpectLittleMemory();
}

// Guards against unbounded memory for the fields after the last chunk.
BOOST_AUTO_TEST_CASE(EndlessTrailerIsAborted)
{
  ExpectAborted({ std::string(kChunkedHead) + "0\r\n", "x-filler: a\r\n" });
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
