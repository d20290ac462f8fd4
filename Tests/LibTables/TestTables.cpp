#include "LibCore/Random.h"
#include "LibTables/Codec.h"
#include "LibTables/RouteIndex.h"
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
CheckError(tables::table_set const& aTables)
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
  BOOST_TEST(CheckError(dangling) ==
             "route read: pool: expected the name of a pool, found none");
  auto overlapping = Sample();
  overlapping.mRoutes["read-deep"].mPathPrefix = "/stock";
  BOOST_TEST(CheckError(overlapping) ==
             "route read-deep: path_prefix: overlaps with route read");
}

BOOST_AUTO_TEST_CASE(ComparedChangesTurnOneTableIntoTheOther)
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

// Guards against an edit that is applied although a route would refer to a
// missing pool.
BOOST_AUTO_TEST_CASE(RemovalOfAUsedPoolIsRefused)
{
  auto const changed = core::Attempt(
    [] { return ApplyChanges(Sample(), { remove_pool{ "stock" } }); });
  BOOST_TEST(!changed);
}

BOOST_AUTO_TEST_CASE(LongestPrefixWinsOnWholeSegments)
{
  route_index const index(std::make_shared<table_set const>(Sample()));
  auto const find = [&index](char const* aMethod, char const* aTarget) {
    return index.Find("any.example", aMethod, aTarget);
  };
  BOOST_TEST(find("GET", "/stock/deep/1?x=/")->mName == "read-deep");
  BOOST_TEST(find("GET", "/stock/")->mName == "read");
  BOOST_TEST(find("GET", "/stock")->mName == "read");
  BOOST_TEST(find("GET", "/stocks") == nullptr);
  BOOST_TEST(find("POST", "/stock") == nullptr);
}

// Guards against routing requests by the rows of another host.
BOOST_AUTO_TEST_CASE(HostIsComparedBeforePrefix)
{
  auto tables = Sample();
  auto& own = tables.mRoutes["own"];
  own = tables.mRoutes["read"];
  own.mName = "own";
  own.mHost = "shop.example";
  own.mPathPrefix = "/";
  own.mMethods = { "*" };
  BOOST_TEST(CheckError(tables) == "");
  route_index const index(std::make_shared<table_set const>(tables));
  BOOST_TEST(index.Find("Shop.Example:8080", "PUT", "/x")->mName == "own");
  BOOST_TEST(index.Find("shop.example", "GET", "/stock/1")->mName == "own");
  BOOST_TEST(index.Find("other.example", "GET", "/stock/1")->mName == "read");
  BOOST_TEST(index.Find("other.example", "PUT", "/x") == nullptr);
}

// Guards against splits without any weight, which would drop requests, and
// against splits to missing pools.
BOOST_AUTO_TEST_CASE(SplitsAreChecked)
{
  auto tables = Sample();
  auto& row = tables.mRoutes["read"];
  row.mSplit = { { "stock", 90 } };
  BOOST_TEST(CheckError(tables) ==
             "route read: split: expected either a pool or a split");
  row.mPool.clear();
  BOOST_TEST(CheckError(tables) == "");
  auto const parsed = core::Attempt(
    [&] { return ParseTables(FormatTables(tables), "formatted"); });
  BOOST_REQUIRE(parsed);
  BOOST_TEST((*parsed == tables));
  row.mSplit = { { "stock", 0 } };
  BOOST_TEST(CheckError(tables) ==
             "route read: split: expected a weight above 0");
  row.mSplit = { { "none", 1 } };
  BOOST_TEST(CheckError(tables) ==
             "route read: split: expected names of pools, found none");
}

// Guards against a timeout of 0, and against an objective so far beyond the
// timeout that it must be a mistake.
BOOST_AUTO_TEST_CASE(TimesAreChecked)
{
  auto tables = Sample();
  tables.mRoutes["read"].mTimeoutMilliseconds = 0;
  BOOST_TEST(CheckError(tables) ==
             "route read: timeout_ms: expected 1 to 600000, found 0");
  tables.mRoutes["read"].mTimeoutMilliseconds = 800;
  tables.mRoutes["read"].mObjectiveMilliseconds = 60800;
  BOOST_TEST(CheckError(tables) == "route read: objective_ms: expected less "
                                   "than a minute above the timeout, found "
                                   "60800");
}

// Guards against crashes and huge allocations when damaged messages are
// decoded.
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
