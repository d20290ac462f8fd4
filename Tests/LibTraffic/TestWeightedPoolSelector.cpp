#include "LibTraffic/WeightedPoolSelector.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace cranberryfold;

BOOST_AUTO_TEST_SUITE(WeightedPoolSelector)

// Guards against shares that are met only on average: a canary of 10% would get
// bursts and gaps.
BOOST_AUTO_TEST_CASE(EachRunOfRequestsKeepsTheProportions)
{
  tables::route route;
  route.mName = "read";
  route.mSplit = { { "old", 9 }, { "new", 1 } };
  traffic::weighted_pool_selector selector;
  std::map<std::string, int> counts;
  for (int request = 0; request < 100; ++request) {
    ++counts[selector.Choose(route)];
    if (request % 10 == 9) {
      BOOST_TEST(counts["new"] == (request + 1) / 10);
    }
  }
}

// Guards against choosing by outdated weights after a change of the route.
BOOST_AUTO_TEST_CASE(ChangedWeightsCountFromTheNextRequest)
{
  tables::route route;
  route.mName = "read";
  route.mSplit = { { "old", 1 }, { "new", 0 } };
  traffic::weighted_pool_selector selector;
  BOOST_TEST(selector.Choose(route) == "old");
  route.mSplit = { { "old", 0 }, { "new", 1 } };
  BOOST_TEST(selector.Choose(route) == "new");
  route.mSplit.clear();
  route.mPool = "only";
  BOOST_TEST(selector.Choose(route) == "only");
}

BOOST_AUTO_TEST_SUITE_END()
