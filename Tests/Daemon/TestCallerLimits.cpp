#include "Daemon/Mesh.h"
#include "Support/LateReader.h"

#include <list>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;
using namespace std::chrono_literals;

namespace {

constexpr int kCallers = 4;
constexpr std::uint32_t kShortHeader = 2'000;
constexpr std::uint32_t kLongHeader = 12'000;
constexpr std::uint64_t kShortBody = 100'000;
constexpr std::uint64_t kLongBody = 1'000'000;
constexpr std::size_t kChunkBytes = 16'384;

std::string const kGet = "GET /stock/item HTTP/1.1\r\nhost: stock\r\n";
std::string const kEndOfHead = "\r\n\r\n";

std::string
ReadWithHeader(std::size_t aBytes)
{
  return kGet + "x-padding: " + std::string(aBytes, 'a') + kEndOfHead;
}

std::string
Upload(std::size_t aBytes)
{
  return UploadWithLength(std::string(aBytes, 'p'));
}

std::string
ChunkedUpload(std::size_t aChunks)
{
  return UploadInChunks(std::string(aChunks * kChunkBytes, 'p'), kChunkBytes);
}

tables::caller_limits
Limits(std::uint32_t aHeaderBytes, std::uint64_t aBodyBytes)
{
  tables::caller_limits limits;
  limits.mHeaderBytes = aHeaderBytes;
  limits.mBodyBytes = aBodyBytes;
  return limits;
}

tables::caller_limits
IdleLimit(std::chrono::milliseconds aTimeout)
{
  tables::caller_limits limits;
  limits.mIdleTimeoutMilliseconds =
    static_cast<std::uint32_t>(aTimeout.count());
  return limits;
}

struct fixture
{
  mesh mMesh;
  std::list<late_reader> mCallers;

  /// Opens connections that are kept after a request.
  void OpenConnections()
  {
    BOOST_REQUIRE(WaitUntil([&] {
      return late_reader(mMesh.Caller("order")).Send(kGet + "\r\n").mStatus ==
             200;
    }));
    for (int caller = 0; caller < kCallers; ++caller) {
      auto& connection = mCallers.emplace_back(mMesh.Caller("order"));
      BOOST_TEST(connection.Send(kGet + "\r\n").mStatus == 200U);
    }
  }

  /// Opens connections under the first limits and changes to the second.
  void ChangeLimits(tables::caller_limits const& aFrom,
                    tables::caller_limits const& aTo)
  {
    BOOST_REQUIRE(mMesh.SetLimits("order", aFrom));
    OpenConnections();
    BOOST_REQUIRE(mMesh.SetLimits("order", aTo));
  }

  /// Sends aRequest on each kept connection and on a new one.
  void ExpectEverywhere(std::string const& aRequest, unsigned aStatus)
  {
    mCallers.emplace_back(mMesh.Caller("order"));
    for (auto& caller : mCallers) {
      auto const response = caller.Send(aRequest);
      BOOST_TEST(response.mStatus == aStatus);
      BOOST_TEST(response.mIsWhole);
    }
  }
};

}

BOOST_FIXTURE_TEST_SUITE(CallerLimits, fixture)

// Guards against kept connections that are held to the limits of the tables
// that were in force when they became idle.
BOOST_AUTO_TEST_CASE(KeptConnectionsFollowRaisedLimits)
{
  ChangeLimits(Limits(kShortHeader, kShortBody),
               Limits(kLongHeader, kLongBody));
  ExpectEverywhere(Upload(kLongBody / 2), 200);
  ExpectEverywhere(ChunkedUpload(20), 200);
  ExpectEverywhere(ReadWithHeader(kLongHeader / 2), 200);
}

// Guards against the same in the other direction, and against a rejection that
// is lost because the caller still sends.
BOOST_AUTO_TEST_CASE(KeptConnectionsFollowLoweredBodyLimit)
{
  ChangeLimits(Limits(kLongHeader, kLongBody), Limits(kLongHeader, kShortBody));
  ExpectEverywhere(Upload(kLongBody / 2), 413);
}

// As above, for bodies whose length is not announced.
BOOST_AUTO_TEST_CASE(KeptConnectionsFollowLoweredLimitOfChunkedBodies)
{
  ChangeLimits(Limits(kLongHeader, kLongBody), Limits(kLongHeader, kShortBody));
  ExpectEverywhere(ChunkedUpload(60), 413);
}

// As above, for headers.
BOOST_AUTO_TEST_CASE(KeptConnectionsFollowLoweredHeaderLimit)
{
  ChangeLimits(Limits(kLongHeader, kLongBody), Limits(kShortHeader, kLongBody));
  ExpectEverywhere(ReadWithHeader(kLongHeader / 2), 431);
}

// Guards against closing a connection after the idle time that was allowed when
// it became idle.
BOOST_AUTO_TEST_CASE(IdleConnectionsFollowARaisedTimeout)
{
  constexpr auto kShortTimeout = 3s;
  ChangeLimits(IdleLimit(kShortTimeout), IdleLimit(60s));
  std::this_thread::sleep_for(kShortTimeout + 1s);
  ExpectEverywhere(kGet + "\r\n", 200);
}

// Guards against connections that stay open longer than the limit in force
// allows.
BOOST_AUTO_TEST_CASE(IdleConnectionsFollowALoweredTimeout)
{
  ChangeLimits(IdleLimit(60s), IdleLimit(500ms));
  std::this_thread::sleep_for(1500ms);
  for (auto& caller : mCallers) {
    BOOST_TEST(caller.Send(kGet + "\r\n").mStatus == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
