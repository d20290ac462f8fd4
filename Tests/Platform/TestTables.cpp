#include "platform/Tables.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace cranberryfold;

namespace {

/// A document with one plain and one split route.
std::string const kDocument = R"({
  "Version": "r7",
  "Routes": {
    "book": { "Hostname": "Shop.Example", "PathPrefix": "/book/",
      "RouteType": "unsafe", "TimeoutMs": 800, "TargetLatencyMs": 1500,
      "Priority": 0, "Service": "desk", "MaxAttempts": 2 },
    "read": { "Hostname": "shop.example", "PathPrefix": "/read/",
      "RouteType": "safe", "TimeoutMs": 2000, "TargetLatencyMs": 1200,
      "Priority": 2, "MaxAttempts": 1, "WeightedServices": [
        { "Service": "desk", "Weight": 90 },
        { "Service": "view", "Weight": 10 } ] } },
  "Services": {
    "desk": { "HealthPath": "/health", "MaxConnections": 616,
      "Protocol": "h1", "Tls": false },
    "view": { "HealthPath": "/health", "MaxConnections": 214,
      "Protocol": "h1", "Tls": false } },
  "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
    "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 } })";

std::string
Replaced(std::string const& aFrom, std::string const& aTo)
{
  auto document = kDocument;
  auto const start = document.find(aFrom);
  BOOST_REQUIRE(start != std::string::npos);
  return document.replace(start, aFrom.size(), aTo);
}

/// Returns why a document is refused, or an empty text.
std::string
ProblemOf(std::string const& aDocument)
{
  auto const decoded =
    core::Attempt([&] { return platform::DecodeTables(aDocument); });
  return decoded ? "" : decoded.mError.mDetail;
}

}

BOOST_AUTO_TEST_SUITE(PlatformTables)

BOOST_AUTO_TEST_CASE(DocumentBecomesTables)
{
  auto const decoded =
    core::Attempt([] { return platform::DecodeTables(kDocument); });
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->mLabel == 7);
  auto const& book = decoded->mRoutes.at("book");
  BOOST_TEST(book.mHost == "shop.example");
  BOOST_TEST(!book.mIdempotent);
  BOOST_TEST(book.mExtraTries == 1);
  BOOST_TEST(*book.mRank == 0);
  auto const& read = decoded->mRoutes.at("read");
  BOOST_TEST(read.mIdempotent);
  BOOST_TEST(read.mSplit.size() == 2);
  BOOST_TEST(decoded->mPools.at("desk").mUpstreamConnections == 616);
  BOOST_TEST(decoded->mLimits.mIdleTimeoutMilliseconds == 15000);
}

// Guards against a document that is read back other than it was sent.
BOOST_AUTO_TEST_CASE(EncodedTablesDecodeToTheSame)
{
  auto const decoded =
    core::Attempt([] { return platform::DecodeTables(kDocument); });
  BOOST_REQUIRE(decoded);
  auto const again = core::Attempt(
    [&] { return platform::DecodeTables(platform::EncodeTables(*decoded)); });
  BOOST_REQUIRE(again);
  BOOST_TEST((*again == *decoded));
}

// Guards against tables in force that an operator did not mean.
BOOST_AUTO_TEST_CASE(InvalidDocumentsAreRefused)
{
  BOOST_TEST(ProblemOf(kDocument) == "");
  BOOST_TEST(ProblemOf(kDocument.substr(0, kDocument.size() / 2)) != "");
  BOOST_TEST(ProblemOf(Replaced("\"Service\": \"desk\", \"MaxAttempts\"",
                                "\"Service\": \"none\", \"MaxAttempts\"")) !=
             "");
  BOOST_TEST(ProblemOf(Replaced("\"Weight\": 10", "\"Weight\": -1")) != "");
  BOOST_TEST(ProblemOf(Replaced("800", "600001")) != "");
  BOOST_TEST(ProblemOf(Replaced("800", "0")) != "");
  BOOST_TEST(ProblemOf(Replaced("1500", "60800")) != "");
  BOOST_TEST(ProblemOf(Replaced("\"MaxAttempts\": 2", "\"MaxAttempts\": 0")) !=
             "");
  BOOST_TEST(ProblemOf(Replaced("\"/book/\"", "\"book/\"")) != "");
  BOOST_TEST(ProblemOf(Replaced("\"/book/\"", "\"/read/\"")) != "");
  BOOST_TEST(ProblemOf(Replaced("\"r7\"", "\"7x\"")) != "");
  BOOST_TEST(ProblemOf(Replaced("\"unsafe\"", "\"odd\"")) != "");
}

BOOST_AUTO_TEST_CASE(VersionsAreNumbersBehindALetter)
{
  BOOST_TEST(*platform::ParseVersion("r12") == 12);
  BOOST_TEST(*platform::ParseVersion("r0") == 0);
  BOOST_TEST(*platform::ParseVersion("0") == 0);
  BOOST_TEST(!platform::ParseVersion("12"));
  BOOST_TEST(!platform::ParseVersion("r1x"));
  BOOST_TEST(!platform::ParseVersion(""));
}

BOOST_AUTO_TEST_SUITE_END()
