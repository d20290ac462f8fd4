#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

#include <sys/wait.h>

namespace {

struct run_outcome
{
  int mExitCode = -1;
  std::string mOutput;
};

/// Returns the path of random_run.
std::string
RandomRunPath()
{
  auto const* const directory = std::getenv("CRANBERRYFOLD_BIN");
  BOOST_TEST_REQUIRE((directory != nullptr));
  return directory == nullptr ? "" : std::string(directory) + "/random_run";
}

/// Runs "random_run membership" with some options.
run_outcome
RunMembership(std::string const& aOptions)
{
  auto const command = RandomRunPath() + " membership " + aOptions + " 2>&1";
  run_outcome outcome;
  auto* const output = popen(command.c_str(), "r");
  BOOST_REQUIRE(output != nullptr);
  std::array<char, 4096> part{};
  while (std::fgets(part.data(), part.size(), output) != nullptr) {
    outcome.mOutput += part.data();
  }
  auto const status = pclose(output);
  outcome.mExitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return outcome;
}

struct mechanism_seed
{
  char const* mMechanism;
  int mSeed;
  /// Part of the violation that the run has to print.
  char const* mViolation;
};

std::ostream&
operator<<(std::ostream& aStream, mechanism_seed const& aCase)
{
  return aStream << aCase.mMechanism << " with seed " << aCase.mSeed;
}

std::array<mechanism_seed, 6> const kMechanismSeeds{ {
  { "anti_entropy", 1, "holds revision" },
  { "refutation", 2, "as dead" },
  { "seed_rejoin", 7, "but all see something else" },
  { "drain_push", 38, "does not know" },
  { "member_sync", 1, "after the faults stopped" },
  { "isolation_guard", 2, "as dead" },
} };

}

BOOST_AUTO_TEST_SUITE(MembershipRun)

// Guards against a violated invariant under faults. 38 once left a daemon
// behind for good, 18 and 62 once showed healthy members as dead.
BOOST_DATA_TEST_CASE(InvariantsHoldUnderFaults,
                     boost::unit_test::data::make({ 18, 38, 62 }),
                     seed)
{
  auto const outcome =
    RunMembership("--steps 1500 --seed " + std::to_string(seed));
  BOOST_TEST(outcome.mExitCode == 0, outcome.mOutput);
}

// Guards against mechanisms that do nothing and checks that see nothing: the
// same seed fails without the mechanism and holds with it.
BOOST_DATA_TEST_CASE(MechanismIsNeeded,
                     boost::unit_test::data::make(kMechanismSeeds),
                     tried)
{
  std::string const options =
    "--steps 1500 --seed " + std::to_string(tried.mSeed);
  auto const without =
    RunMembership(options + " --without " + tried.mMechanism);
  BOOST_TEST(without.mExitCode == 1, without.mOutput);
  BOOST_TEST(without.mOutput.find(tried.mViolation) != std::string::npos,
             without.mOutput);
  BOOST_TEST(without.mOutput.find("last events:") != std::string::npos);
  auto const with = RunMembership(options);
  BOOST_TEST(with.mExitCode == 0, with.mOutput);
}

BOOST_AUTO_TEST_CASE(UnknownMechanismIsRefused)
{
  BOOST_TEST(RunMembership("--without nothing").mExitCode == 2);
}

// Guards against a measuring run that no longer starts or converges.
BOOST_AUTO_TEST_CASE(DisseminationOfASmallFleetConverges)
{
  auto const command = RandomRunPath() +
                       " dissemination --daemons 24 --edits 2 | "
                       "grep -q 'not converged\\|violated'";
  BOOST_TEST(WEXITSTATUS(std::system(command.c_str())) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
