#include "LibCore/TimerService.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace cranberryfold::core;

namespace {

constexpr time_point kStart{ duration(1000) };

}

BOOST_AUTO_TEST_SUITE(TimerService)

BOOST_AUTO_TEST_CASE(RunsInOrderOfDueTime)
{
  timer_service timers;
  std::vector<int> order;
  timers.Once(kStart + duration(2), [&](time_point) { order.push_back(2); });
  timers.Once(kStart + duration(1), [&](time_point) { order.push_back(1); });
  timers.Advance(kStart + duration(2));
  BOOST_TEST(order == (std::vector<int>{ 1, 2 }));
}

// Guards against a burst of catch-up runs after a process was frozen.
BOOST_AUTO_TEST_CASE(SkipsMissedRuns)
{
  timer_service timers;
  int runs = 0;
  timers.Every(kStart, duration(10), [&](time_point) { ++runs; });
  timers.Advance(kStart + duration(95));
  BOOST_TEST(runs == 1);
  BOOST_TEST((timers.NextDue() == kStart + duration(100)));
}

// Guards against use of a timer that its own callback has removed.
BOOST_AUTO_TEST_CASE(CallbackMayCancelItself)
{
  timer_service timers;
  int runs = 0;
  timer_id id;
  id = timers.Every(kStart, duration(1), [&](time_point) {
    ++runs;
    timers.Cancel(id);
  });
  timers.Advance(kStart + duration(50));
  BOOST_TEST(runs == 1);
  BOOST_TEST(!timers.NextDue().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
