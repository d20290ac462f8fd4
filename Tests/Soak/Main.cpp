#include "Soak/Run.h"

#include <cstdio>
#include <exception>
#include <fstream>

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "Seed of the faults, requests and edits.");
DEFINE_uint64(runs, 1, "Runs, with the seeds from --seed on.");
DEFINE_uint32(seconds, 60, "Length of one run.");
DEFINE_uint32(instances, 9, "Daemons, each beside an upstream.");
DEFINE_uint32(callers, 6, "Callers, each with kept connections.");
DEFINE_uint32(in_force_ms, 9000, "Time until an edit must be in force.");
DEFINE_bool(failing_disks,
            false,
            "Disks of control replicas are full at times.");
DEFINE_string(log_folder, "", "Folder for the logs of runs with violations.");

/// Runs the soak by hand. Programs are taken from the folder CRANBERRYFOLD_BIN.
int
main(int aCount, char** aArguments)
{
  using namespace cranberryfold;
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::size_t violations = 0;
  for (auto seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_runs; ++seed) {
    soak::run_settings settings;
    settings.mSeed = seed;
    settings.mLength = std::chrono::seconds(FLAGS_seconds);
    settings.mInstances = FLAGS_instances;
    settings.mCallers = FLAGS_callers;
    settings.mDisksFail = FLAGS_failing_disks;
    settings.mLimits.mInForce = std::chrono::milliseconds(FLAGS_in_force_ms);
    soak::run_report report;
    try {
      report = soak::Run(settings);
    } catch (std::exception const& error) {
      std::printf("seed=%llu error=\"%s\"\n",
                  static_cast<unsigned long long>(seed),
                  error.what());
      return 2;
    }
    std::printf("seed=%llu requests=%zu served=%zu edits=%zu "
                "acknowledged=%zu faults=%zu violations=%zu\n",
                static_cast<unsigned long long>(seed),
                report.mRequests,
                report.mServed,
                report.mEdits,
                report.mAcknowledgedEdits,
                report.mFaults.size(),
                report.mViolations.size());
    for (auto const& line : report.mViolations) {
      std::printf("  %s\n", line.c_str());
    }
    std::fflush(stdout);
    violations += report.mViolations.size();
    if (!report.mViolations.empty() && !FLAGS_log_folder.empty()) {
      std::ofstream log(FLAGS_log_folder + "/soak-" + std::to_string(seed) +
                        ".log");
      for (auto const& fault : report.mFaults) {
        log << fault << "\n";
      }
      log << report.mLogs;
    }
  }
  return violations == 0 ? 0 : 1;
}
