#include "LibCore/Random.h"
#include "LibTables/Codec.h"
#include "LibTables/TableRules.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::tables;

namespace {

constexpr std::string_view kSample = R"({
  "pools": [ { "name": "stock", "service": "stock" } ],
  "routes": [
    { "name": "read", "methods": ["GET"], "path_prefix": "/stock",
      "pool": "stock", "class": "catalogue", "idempotent": true },
    { "name": "read-deep", "methods": ["GET"], "path_prefix": "/stock/deep",
      "pool": "stock", "class": "status", "idempotent": true } ] })";

tables::table_set
Sample()
{
  return *core::Attempt([] { return ParseTables(kSample, "sample"); });
}

std::string
ProblemOf(tables::table_set const& aTables)
{
  auto const outcome = core::Attempt([&] { return CheckTables(aTables); });
  return outcome ? "" : outcome.mError.mDetail;
}

}

BOOST_AUTO_TEST_SUITE(Tables)

BOOST_AUTO_TEST_CASE(FormattedTablesParseToTheSame)
{
  auto const parsed = core::Attempt(
    [] { return ParseTables(FormatTables(Sample()), "formatted"); });
  BOOST_REQUIRE(parsed);
  BOOST_TEST((*parsed == Sample()));
}

BOOST_AUTO_TEST_CASE(ProblemsNameRowAndField)
{
  auto dangling = Sample();
  dangling.mRoutes["read"].mPool = "none";
  BOOST_TEST(ProblemOf(dangling) ==
             "route read: pool: expected the name of a pool, found none");
  auto overlapping = Sample();
  overlapping.mRoutes["read-deep"].mPathPrefix = "/stock";
  BOOST_TEST(ProblemOf(overlapping) ==
             "route read-deep: path_prefix: overlaps with route read");
}

BOOST_AUTO_TEST_CASE(ChangesLeadFromOneTableToTheOther)
{
  auto other = Sample();
  other.mRoutes.erase("read");
  other.mPools["stock"].mQueueLimit = 3;
  other.mPools["new"] = pool{ "new", { "new" } };
  auto const changed = core::Attempt(
    [&] { return ApplyChanges(Sample(), CompareTables(Sample(), other)); });
  BOOST_REQUIRE(changed);
  BOOST_TEST((*changed == other));
  BOOST_TEST(CompareTables(other, other).empty());
}

// Guards against an edit that is applied in part.
BOOST_AUTO_TEST_CASE(RefusedChangeLeavesNothingBehind)
{
  auto const changed = core::Attempt(
    [] { return ApplyChanges(Sample(), { remove_pool{ "stock" } }); });
  BOOST_TEST(!changed);
}

BOOST_AUTO_TEST_CASE(LongestPrefixWinsOnWholeSegments)
{
  auto const sample = Sample();
  BOOST_TEST(FindRoute(sample, "GET", "/stock/deep/1?x=/")->mName ==
             "read-deep");
  BOOST_TEST(FindRoute(sample, "GET", "/stock")->mName == "read");
  BOOST_TEST(FindRoute(sample, "GET", "/stocks") == nullptr);
  BOOST_TEST(FindRoute(sample, "POST", "/stock") == nullptr);
}

// Guards against crashes and huge allocations on damaged messages.
BOOST_AUTO_TEST_CASE(DamagedBytesAreRefusedOrDecoded)
{
  auto const bytes = EncodeTables(Sample());
  core::random_source random(7);
  for (int round = 0; round < 5000; ++round) {
    auto damaged = bytes;
    for (int flips = 0; flips < 3; ++flips) {
      damaged[random.Below(damaged.size())] =
        static_cast<char>(random.Below(256));
    }
    damaged.resize(damaged.size() - random.Below(3));
    auto const decoded = core::Attempt([&] { return DecodeTables(damaged); });
    BOOST_TEST(
      (decoded || decoded.mError.mCode == core::error_code::kMalformed));
  }
}

BOOST_AUTO_TEST_SUITE_END()
