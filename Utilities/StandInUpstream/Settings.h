#pragma once

#include "LibCore/Address.h"
#include "LibCore/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Settings of the stand-in upstream.
namespace cranberryfold::stand_in {

/// What happens to a request that finds all slots taken.
enum class full_behaviour
{
  kWait,
  kRefuse,
};

/// A call that a request to mPathPrefix makes through the daemon.
struct further_call
{
  std::string mPathPrefix;
  std::string mMethod;
  std::string mTarget;

  bool operator==(further_call const&) const = default;
};

struct settings
{
  core::address mListen;
  std::string mInstance;
  std::string mService;
  std::uint32_t mSlots = 10;
  full_behaviour mWhenFull = full_behaviour::kWait;
  double mServiceTimeMilliseconds = 5;
  /// Sigma of the lognormal distribution; 0 makes all times equal.
  double mServiceTimeSpread = 0;
  std::uint64_t mSeed = 1;
  /// Time after the start during which the health endpoint reports not ready.
  std::uint32_t mStartDelayMilliseconds = 0;
  /// Time after the start during which work takes longer.
  std::uint32_t mColdStartMilliseconds = 0;
  /// Factor on the service time at the start; it falls linearly to 1.
  double mColdStartFactor = 5;
  std::string mHealthPath = "/health";
  /// The load endpoint reports the state of this long ago.
  std::uint32_t mLoadLagMilliseconds = 0;
  /// Reported instead of the true number in flight.
  std::optional<std::uint32_t> mFalseLoad;
  /// Reported instead of the true health: "up", "down" or "" for the truth.
  std::string mFalseHealth;
  /// Stated in responses; not enforced. Empty for no limit.
  std::optional<double> mRequestsPerSecond;
  bool mAllowCrash = false;
  std::optional<core::address> mEgress;
  std::vector<further_call> mCalls;
  std::uint32_t mCallTries = 1;
  std::uint32_t mCallTimeoutMilliseconds = 5000;
  /// Execution journal file; empty for none.
  std::string mJournalFile;
};

/// Parses "/orders=GET /stock/item,/orders=POST /payments". Fails with
/// kInvalidInput.
core::result<std::vector<further_call>>
ParseCalls(std::string_view aText);

/// Parses "wait" or "refuse". Fails with kInvalidInput.
core::result<full_behaviour>
ParseFullBehaviour(std::string_view aText);

}
