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

/// Runs `random_run` from the folder of the built programs.
run_outcome
RunProgram(std::string const& aArguments)
{
  char const* const folder = std::getenv("CRANBERRYFOLD_BIN");
  std::string const path = folder == nullptr ? "" : folder;
  BOOST_REQUIRE_MESSAGE(!path.empty(), "CRANBERRYFOLD_BIN is not set");
  auto const command = path + "/random_run " + aArguments + " 2>&1";
  auto* const pipe = ::popen(command.c_str(), "r");
  BOOST_REQUIRE(pipe != nullptr);
  run_outcome outcome;
  std::array<char, 4096> buffer{};
  while (auto const size = std::fread(buffer.data(), 1, buffer.size(), pipe)) {
    outcome.mOutput.append(buffer.data(), size);
  }
  int const status = ::pclose(pipe);
  outcome.mExitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return outcome;
}

run_outcome
RunControl(std::string const& aArguments)
{
  return RunProgram("control " + aArguments);
}

/// Checks that the run fails without the mechanism and passes with it.
void
CheckMechanism(std::string const& aName,
               std::string const& aSeed,
               std::string const& aViolation)
{
  auto const without = RunControl("--seed " + aSeed + " --without " + aName);
  BOOST_TEST(without.mExitCode == 1, without.mOutput);
  BOOST_TEST(without.mOutput.find(aViolation) != std::string::npos,
             without.mOutput);
  BOOST_TEST(without.mOutput.find("last events:") != std::string::npos);
  auto const with = RunControl("--seed " + aSeed);
  BOOST_TEST(with.mExitCode == 0, with.mOutput);
}

}

BOOST_AUTO_TEST_SUITE(ControlRun)

// Guards against a change of the replica that only shows under many faults. The
// faults found so far have tests of their own in Tests/LibControl.
BOOST_AUTO_TEST_CASE(FixedSeedsHoldAllInvariants)
{
  for (int const seed : { 1, 2, 3, 32, 87, 129, 184, 300 }) {
    auto const outcome = RunControl("--seed " + std::to_string(seed));
    BOOST_TEST(outcome.mExitCode == 0, outcome.mOutput);
  }
}

// Guards against a removal that costs the majority right after a disk was lost.
BOOST_AUTO_TEST_CASE(RemovalsAndLostDisksMayMeet)
{
  for (std::string const seed : { "20854", "20892" }) {
    auto const outcome = RunControl("--steps 10000 --seed " + seed);
    BOOST_TEST(outcome.mExitCode == 0, outcome.mOutput);
  }
}

// Guards against groups that do not reach or keep their size by themselves.
BOOST_AUTO_TEST_CASE(GroupsFormByThemselves)
{
  for (std::string const instances : { "3", "6", "9" }) {
    for (std::string const seed : { "1", "2", "3", "4" }) {
      auto arguments = "--instances " + instances;
      arguments += " --seed " + seed;
      auto const outcome = RunControl(arguments);
      BOOST_TEST(outcome.mExitCode == 0, outcome.mOutput);
    }
  }
}

BOOST_AUTO_TEST_CASE(SameSeedGivesTheSameRun)
{
  auto const arguments = "--seed 5 --steps 3000";
  BOOST_TEST(RunControl(arguments).mOutput == RunControl(arguments).mOutput);
}

BOOST_AUTO_TEST_CASE(UnknownMechanismIsRefused)
{
  BOOST_TEST(RunControl("--without gravity").mExitCode == 2);
}

// Guards against a restart from real files that misses the last edits.
BOOST_AUTO_TEST_CASE(RestartFromFilesRecoversTheLatestRevision)
{
  auto const outcome = RunProgram("control_restart --steps 300");
  BOOST_TEST(outcome.mExitCode == 0, outcome.mOutput);
  BOOST_TEST(outcome.mOutput.find("revision=300 ") != std::string::npos,
             outcome.mOutput);
}

BOOST_AUTO_TEST_CASE(IncarnationFenceIsNeeded)
{
  CheckMechanism("incarnation_fence", "2", "which is not admitted");
}

BOOST_AUTO_TEST_CASE(SyncBeforeAnswerIsNeeded)
{
  CheckMechanism("sync_before_answer", "15", "was made by");
}

BOOST_AUTO_TEST_CASE(LeaseCheckIsNeeded)
{
  CheckMechanism("lease_check", "4", "to be current after");
}

BOOST_AUTO_TEST_CASE(EditIdsAreNeeded)
{
  CheckMechanism("edit_ids", "1", "got the answer conflict");
}

BOOST_AUTO_TEST_CASE(PreVoteIsNeeded)
{
  CheckMechanism("pre_vote", "2", "raised its term without hearing");
}

// Guards against a replica that stays out after its disk refused a write
// (review/2).
BOOST_AUTO_TEST_CASE(JournalRecoveryIsNeeded)
{
  CheckMechanism("journal_recovery", "5", "has not converged");
}

// Guards against a recovery that keeps a journal whose last bytes may not be on
// the disk.
BOOST_AUTO_TEST_CASE(JournalRewriteIsNeeded)
{
  CheckMechanism("journal_rewrite", "1", "no edit was accepted after");
}

BOOST_AUTO_TEST_SUITE_END()
