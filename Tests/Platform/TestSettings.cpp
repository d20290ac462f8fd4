#include "platform/Settings.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace cranberryfold;

namespace {

std::string const kUpstreamInstance = R"({
  "Serves": ["app_node"], "Ip": "10.1.0.8", "Zone": "a", "Region": "r",
  "Listen": { "Inbound": "10.1.0.8:8300", "Outbound": "10.1.0.8:8304",
    "Ready": "10.1.0.8:8302", "Control": "10.1.0.8:8306" },
  "InternalPortRange": [7620, 7635],
  "Seeds": ["10.1.0.12:8306", "10.2.0.10:8306"], "Bootstrap": true,
  "Limits": { "MaxFds": 4100 }, "DataDir": null,
  "Bounds": ["SeedLagS=3", "GraceS=6"],
  "AppAddr": "10.1.0.8:8301", "Service": "desk", "Unknown": 1 })";

std::string const kControlInstance = R"({
  "Serves": ["control"], "Ip": "10.1.0.12", "Zone": "a", "Region": "r",
  "Listen": { "Control": "10.1.0.12:8306" },
  "InternalPortRange": [7620, 7635],
  "Seeds": ["10.1.0.12:8306", "10.2.0.10:8306"], "Bootstrap": true,
  "Limits": { "MaxFds": 4096 }, "DataDir": "/data/x",
  "Bounds": ["GraceS=6"] })";

platform::process_settings
Decoded(std::string const& aText)
{
  auto const decoded =
    core::Attempt([&] { return platform::DecodeSettings(aText, "node.json"); });
  BOOST_REQUIRE_MESSAGE(decoded, core::FormatError(decoded.mError));
  return *decoded;
}

}

BOOST_AUTO_TEST_SUITE(PlatformSettings)

BOOST_AUTO_TEST_CASE(InstanceWithAnUpstream)
{
  auto const settings = Decoded(kUpstreamInstance);
  auto const& daemon = settings.mDaemon;
  BOOST_TEST(daemon.mInstance.mValue == "10.1.0.8");
  BOOST_TEST(core::FormatAddress(daemon.mCallerAddress) == "10.1.0.8:8304");
  BOOST_TEST(core::FormatAddress(daemon.mPeerAddress) == "10.1.0.8:7620");
  BOOST_TEST(core::FormatAddress(daemon.mSeeds.at(1)) == "10.2.0.10:7620");
  BOOST_TEST(daemon.HasUpstream());
  BOOST_TEST(daemon.mUpstream.mReportsItself);
  BOOST_TEST(!daemon.mControl);
  BOOST_TEST(!settings.mFormsControlGroup);
  BOOST_TEST(daemon.mDrainGraceMilliseconds < 6000);
}

// Guards against a second control group, formed by an instance that comes back
// with an empty disk or is not among the first.
BOOST_AUTO_TEST_CASE(OnlySeedsOfANewSystemFormTheControlGroup)
{
  BOOST_TEST(Decoded(kControlInstance).mFormsControlGroup);
  auto later = kControlInstance;
  later.replace(later.find("true"), 4, "false");
  BOOST_TEST(!Decoded(later).mFormsControlGroup);
  auto other = kControlInstance;
  other.replace(other.find("[\"10.1.0.12:8306\""), 17, "[\"10.1.0.13:8306\"");
  BOOST_TEST(!Decoded(other).mFormsControlGroup);
  BOOST_TEST(Decoded(kControlInstance).mDaemon.mControl->mInitialGroup.size() ==
             2);
}

// Guards against more repeats than the platform allows at a deployment with
// other bounds than the two that are known.
BOOST_AUTO_TEST_CASE(RepeatsFollowTheBoundsOfTheDeployment)
{
  auto text = kUpstreamInstance;
  std::string const bounds = "\"SeedLagS=3\"";
  text.replace(text.find(bounds),
               bounds.size(),
               "\"RetryBudgetRatio=0.1\", \"BudgetWindowS=5\", "
               "\"RetryBudgetSlack=40\"");
  auto const retries = Decoded(text).mDaemon.mRetries;
  BOOST_TEST(retries.mMaximumPercent == 8);
  BOOST_TEST(retries.mWindowMilliseconds == 5000);
  BOOST_TEST(retries.mSlack == 20);
  BOOST_TEST(!retries.mOneRetryPerDaemon);
}

BOOST_AUTO_TEST_CASE(ProblemsNameFileAndField)
{
  auto const decoded = core::Attempt(
    [] { return platform::DecodeSettings("{ \"Ip\": 3 }", "node.json"); });
  BOOST_TEST(!decoded);
  BOOST_TEST(decoded.mError.mDetail == "node.json: Ip: expected a text");
}

BOOST_AUTO_TEST_SUITE_END()
