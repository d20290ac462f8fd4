#include "LibTraffic/TokenBucket.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::traffic;

namespace {

constexpr core::time_point kStart{ std::chrono::seconds(100) };
constexpr std::chrono::milliseconds kMillisecond{ 1 };

std::size_t
TakeAll(token_bucket& aBucket, core::time_point aNow)
{
  std::size_t taken = 0;
  for (; aBucket.HasToken(aNow); ++taken) {
    aBucket.Take(aNow);
  }
  return taken;
}

}

BOOST_AUTO_TEST_SUITE(TokenBucket)

// Guards against a burst that grows with the time for which nothing was sent.
BOOST_AUTO_TEST_CASE(UnusedTokensAreKeptForAShortTime)
{
  token_bucket bucket;
  bucket.SetRate(kStart, 40);
  BOOST_TEST(TakeAll(bucket, kStart) == 0U);
  BOOST_TEST(TakeAll(bucket, kStart + std::chrono::seconds(60)) == 10U);
}

// Guards against timers that find no token when they expire.
BOOST_AUTO_TEST_CASE(TokenIsThereWhenAnnounced)
{
  token_bucket bucket;
  bucket.SetRate(kStart, 7);
  auto now = kStart;
  for (int call = 0; call < 100; ++call) {
    now += bucket.TimeUntil(now, 1);
    BOOST_TEST_REQUIRE(bucket.HasToken(now));
    bucket.Take(now);
  }
  // The first token takes one period, too.
  BOOST_TEST((now - kStart <= 100 * std::chrono::microseconds(142858)));
}

// Guards against tokens of a higher rate that are spent under a lower one.
BOOST_AUTO_TEST_CASE(LowerRateTakesUnusedTokensAway)
{
  token_bucket bucket;
  bucket.SetRate(kStart, 400);
  auto const later = kStart + std::chrono::seconds(1);
  bucket.SetRate(later, 2);
  BOOST_TEST(TakeAll(bucket, later) == 1U);
  BOOST_TEST(!bucket.HasToken(later + 400 * kMillisecond));
  BOOST_TEST(bucket.HasToken(later + 500 * kMillisecond));
}

BOOST_AUTO_TEST_SUITE_END()
