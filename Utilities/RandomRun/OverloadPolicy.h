#pragma once

#include "LibTraffic/AdmissionController.h"
#include "LibTraffic/UpstreamSelection.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryfold::random_run {

/// Which mechanisms the daemons of a run use.
struct overload_policy
{
  /// False for plain forwarding to the upstream.
  bool mAdmission = true;
  bool mCancellation = true;
  /// Refuses calls whose needed pool would refuse the call that follows.
  bool mEarlyRefusal = true;
  /// Retries after permission of the root daemon.
  bool mRetries = true;
  /// False grants every permit.
  bool mRetryPermits = true;
  bool mRetryRatio = true;
  /// Further tries at each hop after any failure, without control.
  std::uint32_t mRetriesPerHop = 0;
  traffic::admission_mechanisms mController;
  traffic::selection_mechanisms mSelection;
};

/// Returns the policy of a baseline: "", "none", "per_hop_retries" or
/// "fixed_limit"; nothing for an unknown name.
std::optional<overload_policy>
BaselinePolicy(std::string_view aName);

/// Switches off mechanisms, separated by commas; false for an unknown name.
bool
SwitchOff(overload_policy& aPolicy, std::string_view aMechanisms);

/// Returns the names that SwitchOff() knows, separated by spaces.
std::string
MechanismNames();

}
