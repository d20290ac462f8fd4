#pragma once

#include "Soak/Checks.h"

#include <cstdint>
#include <string>
#include <vector>

/// A randomised soak of the real programs: callers with kept connections, an
/// operator whose plans are overturned, and faults from outside the processes.
namespace cranberryfold::soak {

struct run_settings
{
  std::uint64_t mSeed = 1;
  std::chrono::seconds mLength{ 30 };
  std::size_t mInstances = 9;
  std::size_t mCallers = 6;
  /// Whether the disks of control replicas are full at times.
  bool mDisksFail = false;
  limits mLimits;
};

struct run_report
{
  std::vector<std::string> mViolations;
  std::size_t mRequests = 0;
  std::size_t mServed = 0;
  std::size_t mEdits = 0;
  std::size_t mAcknowledgedEdits = 0;
  /// One line for each fault, in order.
  std::vector<std::string> mFaults;
  /// Logs of the daemons that violations name, and of those that ended by
  /// themselves.
  std::string mLogs;
};

/// Runs a soak. Throws std::runtime_error if the deployment does not get ready.
run_report
Run(run_settings const& aSettings);

}
