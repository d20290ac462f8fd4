#include "Daemon/Mesh.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;

namespace {

http::request const kReadStock{ { "GET", "/stock/item", {} }, "" };

std::size_t
CountRuns(std::string const& aJournal)
{
  std::size_t count = 0;
  for (auto line = aJournal.find("event=start"); line != std::string::npos;
       line = aJournal.find("event=start", line + 1)) {
    ++count;
  }
  return count;
}

bool
IsSuccess(core::attempt<http::response> const& aResponse)
{
  return aResponse && aResponse->mHead.mStatus == 200;
}

bool
IsNotRun(core::attempt<http::response> const& aResponse)
{
  return aResponse && aResponse->mHead.mStatus == 503 &&
         http::FindHeader(aResponse->mHead.mHeaders,
                          "x-cranberryfold-outcome") == "not_run";
}

}

BOOST_AUTO_TEST_SUITE(UpstreamCondition)

// Guards against sending an upstream more requests than the limit that its
// responses state.
BOOST_AUTO_TEST_CASE(LimitedUpstreamGetsNoMoreThanItsLimit)
{
  constexpr double kLimit = 2;
  // Requests beyond the limit that the upstream's owners tolerate.
  constexpr double kToleratedFactor = 1.5;
  constexpr double kToleratedRequests = 5;
  mesh const running({ "--requests_per_second=2" });
  auto const start = std::chrono::steady_clock::now();
  BOOST_TEST(IsSuccess(Send(running.Caller("order"), kReadStock)));
  std::size_t refused = 0;
  for (int request = 0; request < 100; ++request) {
    auto const response = Send(running.Caller("order"), kReadStock);
    BOOST_TEST((IsSuccess(response) || IsNotRun(response)));
    refused += IsNotRun(response) ? 1 : 0;
  }
  std::chrono::duration<double> const elapsed =
    std::chrono::steady_clock::now() - start;
  auto const allowed =
    kToleratedFactor * kLimit * elapsed.count() + kToleratedRequests;
  auto const runs = CountRuns(running.Journal("stock"));
  BOOST_TEST(runs + refused == 101U);
  BOOST_TEST(static_cast<double>(runs) <= allowed);
}

// Guards against new requests to an upstream whose responses state that it is
// leaving, while its health endpoint still reports that it serves.
BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNoNewRequests)
{
  mesh const running;
  BOOST_TEST(IsSuccess(Send(running.Caller("order"), kReadStock)));
  BOOST_REQUIRE(
    Send(running.UpstreamAddress("stock"), { { "POST", "/leave", {} }, "" }));
  BOOST_TEST(IsSuccess(Send(running.Caller("order"), kReadStock)));
  for (int request = 0; request < 20; ++request) {
    BOOST_TEST(IsNotRun(Send(running.Caller("order"), kReadStock)));
  }
  BOOST_TEST(CountRuns(running.Journal("stock")) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
