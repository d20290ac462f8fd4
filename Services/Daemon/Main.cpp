#include "LibCore/Log.h"
#include "LibDaemon/Daemon.h"
#include "LibDaemon/Reference.h"

#include <cstdio>

#include <gflags/gflags.h>

DEFINE_string(settings, "", "JSON file with the settings of the daemon.");
DEFINE_bool(check, false, "Check the settings and stop.");
DEFINE_bool(bootstrap_control,
            false,
            "Start a new control group when the data folder is empty. Give it "
            "once, at the first start of each initial replica: later, an empty "
            "folder means a lost disk.");
DEFINE_string(describe,
              "",
              "Print a reference as a table and stop: settings, tables or "
              "reasons.");

namespace {

using namespace cranberryfold;

constexpr int kBadInput = 2;
constexpr int kCannotStart = 1;

int
Report(core::error const& aError, int aExitCode)
{
  std::fprintf(stderr, "error: %s\n", core::FormatError(aError).c_str());
  return aExitCode;
}

int
PrintReference()
{
  auto const text = daemon::ReferenceTable(FLAGS_describe);
  if (text.empty()) {
    return Report({ core::error_code::kInvalidInput,
                    "describe",
                    FLAGS_describe,
                    "expected settings, tables or reasons" },
                  kBadInput);
  }
  std::fputs(text.c_str(), stdout);
  return 0;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  daemon::IgnoreEarlyHangups();
  gflags::SetUsageMessage("--settings FILE");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  if (!FLAGS_describe.empty()) {
    return PrintReference();
  }
  auto settings =
    core::Attempt([] { return daemon::LoadSettings(FLAGS_settings); });
  if (!settings) {
    return Report(settings.mError, kBadInput);
  }
  if (FLAGS_check) {
    std::printf("%s: settings are valid\n", FLAGS_settings.c_str());
    return 0;
  }
  core::InitializeLog(settings->mLogLevel);
  daemon::mesh_daemon process(*settings);
  auto const started =
    core::Attempt([&] { return process.Start(FLAGS_bootstrap_control); });
  if (!started) {
    return Report(started.mError, kCannotStart);
  }
  process.Run();
  return 0;
}
