#include "ControlRun.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <gflags/gflags.h>

DEFINE_uint64(instances,
              0,
              "control: Instances of which the group forms, grows and is "
              "replaced by itself; 0 for a group that only operators change.");

namespace cranberryfold::random_run {

namespace {

/// The run whose trace is printed when an invariant inside a replica aborts.
control_run const* sRunning = nullptr;

void
PrintViolation(control_run const& aRun, std::string const& aText)
{
  std::printf("violation: %s\nlast events:\n", aText.c_str());
  aRun.Trace().Print();
  std::printf("%s\n", aRun.Summary().c_str());
  std::fflush(stdout);
}

/// CF_ASSERT raises SIGABRT synchronously, outside of any library call, so that
/// printing is possible here.
void
OnAbort(int)
{
  if (sRunning != nullptr) {
    PrintViolation(*sRunning, "an assertion in a replica; see standard error");
  }
  std::_Exit(1);
}

int
RunControl(run_options const& aOptions)
{
  auto const known = control_run::Mechanisms();
  if (!aOptions.mWithout.empty() &&
      std::find(known.begin(), known.end(), aOptions.mWithout) == known.end()) {
    std::fprintf(stderr, "unknown mechanism; known ones:");
    for (auto const& name : known) {
      std::fprintf(stderr, " %s", name.c_str());
    }
    std::fprintf(stderr, "\n");
    return 2;
  }
  control_run run(aOptions, FLAGS_instances);
  sRunning = &run;
  std::signal(SIGABRT, OnAbort);
  try {
    run.Run();
  } catch (violation const& aViolation) {
    PrintViolation(run, aViolation.mText);
    return 1;
  }
  std::printf("%s\n", run.Summary().c_str());
  return 0;
}

command_registration const kRegistration(
  "control",
  "consensus among control replicas under faults; --without may name "
  "incarnation_fence, sync_before_answer, lease_check, edit_ids, pre_vote, "
  "journal_recovery or journal_rewrite",
  RunControl);

}

}
