#include "LibTraffic/AdmissionLimit.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::traffic;

namespace {

constexpr std::uint32_t kSlots = 20;
constexpr std::int64_t kServiceMicroseconds = 10'000;

/// Records calls at full concurrency; aLatency maps the limit to microseconds.
template<class Latency>
std::uint32_t
LimitAfter(concurrency_limit& aLimit,
           core::time_point& aNow,
           int aCalls,
           Latency const& aLatency)
{
  for (int call = 0; call < aCalls; ++call) {
    auto const limit = aLimit.Limit(aNow);
    core::duration const latency{ aLatency(std::int64_t{ limit }) };
    aNow += latency / limit;
    aLimit.Record(aNow, latency, limit);
  }
  return aLimit.Limit(aNow);
}

concurrency_limit
MakeLimit(core::time_point& aNow)
{
  concurrency_limit limit(true);
  limit.Configure(kSlots, {});
  LimitAfter(
    limit, aNow, 400, [](std::int64_t) { return kServiceMicroseconds; });
  return limit;
}

}

BOOST_AUTO_TEST_SUITE(AdmissionLimit)

// Guards against a limit that stays at the slots although calls at the upstream
// compete.
BOOST_AUTO_TEST_CASE(CompetitionShrinksTheLimit)
{
  core::time_point now{ std::chrono::seconds(1) };
  auto limit = MakeLimit(now);
  BOOST_TEST(limit.Limit(now) == kSlots);
  auto const shrunk = LimitAfter(limit, now, 2000, [](std::int64_t aLimit) {
    return kServiceMicroseconds * std::max<std::int64_t>(aLimit, 4) / 4;
  });
  BOOST_TEST(shrunk >= 3U);
  BOOST_TEST(shrunk <= 8U);
  auto const regrown = LimitAfter(
    limit, now, 2000, [](std::int64_t) { return kServiceMicroseconds; });
  BOOST_TEST(regrown == kSlots);
}

// Guards against a limit that takes so many steps to settle that calls compete
// for seconds.
BOOST_AUTO_TEST_CASE(StrongCompetitionShrinksTheLimitInFewSteps)
{
  core::time_point now{ std::chrono::seconds(1) };
  auto limit = MakeLimit(now);
  // Three windows of 40 calls and the calls that started before each change.
  auto const shrunk = LimitAfter(limit, now, 180, [](std::int64_t aLimit) {
    return kServiceMicroseconds * std::max<std::int64_t>(aLimit, 4) / 4;
  });
  BOOST_TEST(shrunk >= 3U);
  BOOST_TEST(shrunk <= 8U);
}

// Guards against a fixed limit that leaves no slot for health checks and new
// connections, and against headroom that takes a large part of a small
// upstream.
BOOST_AUTO_TEST_CASE(LimitAtTheSlotsKeepsHeadroom)
{
  core::time_point const now{ std::chrono::seconds(1) };
  concurrency_limit limit(true);
  tables::pool pool;
  pool.mConcurrency = tables::concurrency_policy::kSlots;
  limit.Configure(19, pool);
  BOOST_TEST(limit.Limit(now) == 18U);
  limit.Configure(2, pool);
  BOOST_TEST(limit.Limit(now) == 2U);
  pool.mMaxConcurrency = 12;
  limit.Configure(19, pool);
  BOOST_TEST(limit.Limit(now) == 12U);
  pool.mConcurrency = tables::concurrency_policy::kAdaptive;
  pool.mMaxConcurrency = 0;
  limit.Configure(19, pool);
  BOOST_TEST(limit.Limit(now) == 19U);
}

// Guards against a loss of throughput when calls take longer without competing.
BOOST_AUTO_TEST_CASE(LongerServiceTimeKeepsTheLimit)
{
  core::time_point now{ std::chrono::seconds(1) };
  auto limit = MakeLimit(now);
  std::uint32_t sum = 0;
  constexpr std::uint32_t kRounds = 50;
  for (std::uint32_t round = 0; round < kRounds; ++round) {
    sum += LimitAfter(
      limit, now, 100, [](std::int64_t) { return 5 * kServiceMicroseconds; });
  }
  BOOST_TEST(sum >= kRounds * kSlots * 9 / 10);
}

// Guards against a limit above the pool's maximum or the upstream's slots.
BOOST_AUTO_TEST_CASE(SlotsAndPoolRowCapTheLimit)
{
  core::time_point now{ std::chrono::seconds(1) };
  auto limit = MakeLimit(now);
  tables::pool pool;
  pool.mMaxConcurrency = 5;
  limit.Configure(kSlots, pool);
  BOOST_TEST(limit.Limit(now) == 5U);
  limit.Configure(3, pool);
  BOOST_TEST(limit.Limit(now) == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
