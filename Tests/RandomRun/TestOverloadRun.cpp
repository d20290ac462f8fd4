#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>

namespace {

struct run_output
{
  int mStatus = -1;
  /// The numbers of the result and invariants lines.
  std::map<std::string, double> mFigures;

  double Of(std::string const& aName) const { return mFigures.at(aName); }
};

void
ReadFigures(std::string const& aLine, run_output& aOutput)
{
  std::istringstream words(aLine);
  std::string word;
  while (words >> word) {
    auto const equals = word.find('=');
    if (equals != std::string::npos) {
      aOutput.mFigures[word.substr(0, equals)] =
        std::strtod(word.c_str() + equals + 1, nullptr);
    }
  }
}

/// A run with a surge of 20 s of virtual time.
run_output
RunOverload(std::string const& aOptions)
{
  char const* const folder = std::getenv("CRANBERRYFOLD_BIN");
  BOOST_TEST_REQUIRE(folder != nullptr);
  auto const command =
    std::string(folder) + "/random_run overload --surge_seconds 20 " + aOptions;
  auto* const pipe = popen(command.c_str(), "r");
  BOOST_TEST_REQUIRE(pipe != nullptr);
  run_output output;
  char line[1024];
  while (std::fgets(line, sizeof line, pipe) != nullptr) {
    std::string const text = line;
    if (text.starts_with("result") || text.starts_with("invariants")) {
      ReadFigures(text, output);
    }
  }
  output.mStatus = pclose(pipe);
  return output;
}

}

BOOST_AUTO_TEST_SUITE(OverloadRun)

// Guards against goodput collapsing in a surge or staying down after it.
BOOST_AUTO_TEST_CASE(PlumehostMeetsTheTargets)
{
  auto const run = RunOverload("--shape plumehost --seed 1");
  BOOST_TEST(run.mStatus == 0);
  BOOST_TEST(run.Of("goodput_ratio") >= 0.9);
  BOOST_TEST(run.Of("recovery_s") <= 5.0);
  BOOST_TEST(run.Of("important_share") >= 0.99);
}

BOOST_AUTO_TEST_CASE(TanglewickMeetsTheTargetsWithSlowCalls)
{
  auto const run = RunOverload("--shape tanglewick --slowdown work --seed 1");
  BOOST_TEST(run.mStatus == 0);
  BOOST_TEST(run.Of("goodput_ratio") >= 0.9);
  BOOST_TEST(run.Of("recovery_s") <= 5.0);
  BOOST_TEST(run.Of("important_share") >= 0.99);
}

// Guards against long tails of repeated checks after the surge.
BOOST_AUTO_TEST_CASE(TanglewickRecoversWithCompetingCalls)
{
  auto const run = RunOverload("--shape tanglewick --seed 1");
  BOOST_TEST(run.mStatus == 0);
  BOOST_TEST(run.Of("recovery_s") <= 5.0);
  BOOST_TEST(run.Of("important_share") >= 0.99);
}

BOOST_AUTO_TEST_CASE(TanglewickGoodputWithCompetingCalls)
{
  auto const run = RunOverload("--shape tanglewick --seed 1");
  BOOST_TEST(run.Of("goodput_ratio") >= 0.9);
}

// Guards against shedding orders while catalogue reads are served: the check
// must notice when classes are ignored.
BOOST_AUTO_TEST_CASE(WithoutClassSheddingTheOrderIsViolated)
{
  auto const run =
    RunOverload("--shape plumehost --seed 1 --without class_shedding");
  BOOST_TEST(run.mStatus != 0);
  BOOST_TEST(run.Of("order_violations") > 0);
}

// Guards against uncontrolled retries: without permits and ratio, lost
// responses lead to more runs than the bound allows.
BOOST_AUTO_TEST_CASE(WithoutPermitsTheBoundOnRunsIsViolated)
{
  auto const bounded = RunOverload("--lost_percent 60 --without retry_ratio");
  BOOST_TEST(bounded.Of("runs_over_bound") == 0);
  auto const unbounded =
    RunOverload("--lost_percent 60 --without retry_permits,retry_ratio");
  BOOST_TEST(unbounded.mStatus != 0);
  BOOST_TEST(unbounded.Of("runs_over_bound") > 0);
}

BOOST_AUTO_TEST_SUITE_END()
