#include "Platform/PlatformMesh.h"
#include "Support/SlowRequest.h"

#include <chrono>
#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;
using namespace std::chrono_literals;

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kStart = 1'700'000'000'000;

/// An order whose head and end of the body are sent at these times after the
/// stop request.
struct late_order
{
  std::string mId;
  milliseconds mHeadAt;
  milliseconds mEndAt;
};

struct order_result
{
  late_order mOrder;
  /// Empty if the connection ended without a response.
  std::optional<unsigned> mStatus;
};

std::string
HeadOf(late_order const& aOrder)
{
  return "POST /order/" + aOrder.mId +
         " HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: " + aOrder.mId +
         "\r\nDeadline-Ms: 4000\r\nContent-Length: 8\r\n\r\n";
}

order_result
Place(core::address const& aPeer,
      late_order const& aOrder,
      std::chrono::steady_clock::time_point aStop)
{
  std::this_thread::sleep_until(aStop + aOrder.mHeadAt);
  slow_request request(aPeer);
  request.Write(HeadOf(aOrder) + "body");
  std::this_thread::sleep_until(aStop + aOrder.mEndAt);
  request.Write("rest");
  return { aOrder, request.Status() };
}

/// Stops the daemon one second after the call, with these orders on their way.
/// The peer's upstream goes on to report.
std::vector<order_result>
StopWithOrders(platform_mesh& aMesh, std::vector<late_order> const& aOrders)
{
  auto const stop = std::chrono::steady_clock::now() + 1s;
  std::vector<std::future<order_result>> pending;
  pending.reserve(aOrders.size());
  for (auto const& order : aOrders) {
    pending.push_back(std::async(std::launch::async, [&aMesh, order, stop] {
      return Place(aMesh.Callers(), order, stop);
    }));
  }
  std::this_thread::sleep_until(stop);
  aMesh.StopDaemon();
  std::vector<order_result> results;
  results.reserve(pending.size());
  for (auto& result : pending) {
    while (result.wait_for(1s) == std::future_status::timeout) {
      aMesh.PeerHeartbeat();
    }
    results.push_back(result.get());
  }
  return results;
}

struct stop_fixture
{
  platform_mesh mMesh{ true };

  stop_fixture()
  {
    mMesh.Heartbeat(kStart, "ready", "1");
    BOOST_REQUIRE(WaitUntil([this] { return mMesh.PeerHeartbeat() == 200; }));
    BOOST_REQUIRE(WaitUntil([this] { return mMesh.SendRequest() == 200; }));
    // Time for the daemon to learn that the peer serves.
    std::this_thread::sleep_for(1s);
  }
};

}

BOOST_FIXTURE_TEST_SUITE(PlannedStop, stop_fixture)

// Guards against orders that are passed on late in a planned stop and lose
// their connection without an answer: their bodies end so late that the
// upstream cannot answer before the daemon stops.
BOOST_AUTO_TEST_CASE(OrdersWithLateBodiesAreAnswered)
{
  mMesh.SetWork(1200ms);
  auto const results = StopWithOrders(mMesh,
                                      { { "a1", -900ms, 4600ms },
                                        { "b1", 1900ms, 4600ms },
                                        { "b2", 1900ms, 4600ms },
                                        { "c1", 2400ms, 4600ms },
                                        { "c2", 2400ms, 4600ms },
                                        { "d1", 2400ms, 4900ms },
                                        { "e1", 2400ms, 5200ms } });
  for (auto const& [order, status] : results) {
    BOOST_TEST_CONTEXT("order " << order.mId)
    {
      BOOST_REQUIRE(status);
      BOOST_TEST(*status != 200U);
      BOOST_TEST(!mMesh.HasRun(order.mId));
    }
  }
  BOOST_TEST(mMesh.WaitForDaemonExit().value_or(-1) == 0);
}

// Guards against orders that are refused although they arrive while callers
// still send to the stopping daemon.
BOOST_AUTO_TEST_CASE(OrdersThatAreWholeInTimeAreServed)
{
  mMesh.SetWork(1200ms);
  auto const results = StopWithOrders(mMesh,
                                      { { "a1", -500ms, 1500ms },
                                        { "b1", 100ms, 1500ms },
                                        { "c1", 1900ms, 1900ms },
                                        { "d1", 1500ms, 2300ms } });
  for (auto const& [order, status] : results) {
    BOOST_TEST(status.value_or(0) == 200U, order.mId);
  }
  BOOST_TEST(mMesh.WaitForDaemonExit().value_or(-1) == 0);
}

// Guards against connections that end without an answer when the time for a
// stop is over.
BOOST_AUTO_TEST_CASE(UnfinishedOrdersAreAnsweredAtTheEnd)
{
  mMesh.SetWork(10s);
  auto const results = StopWithOrders(
    mMesh, { { "a1", 1800ms, 1800ms }, { "b1", 2200ms, 2200ms } });
  for (auto const& [order, status] : results) {
    BOOST_TEST(status.value_or(0) == 502U, order.mId);
    BOOST_TEST(mMesh.HasRun(order.mId));
  }
  BOOST_TEST(mMesh.WaitForDaemonExit().value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
