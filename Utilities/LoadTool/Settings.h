#pragma once

#include "LibCore/Address.h"
#include "LibCore/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// What the load tool sends, and when.
namespace cranberryfold::load_tool {

/// Requests of one class, arriving at random around a rate.
struct load_class
{
  std::string mName;
  std::uint32_t mRatePerSecond = 1;
  std::string mMethod = "GET";
  std::string mPath = "/";
  /// A class that is not idempotent gets an idempotency key for each request.
  bool mIdempotent = true;
  std::uint64_t mBodyBytes = 0;

  bool operator==(load_class const&) const = default;
};

/// A window in which all rates are multiplied.
struct surge_window
{
  std::uint32_t mStartSeconds = 0;
  std::uint32_t mLengthSeconds = 0;
  std::uint32_t mFactor = 1;

  bool operator==(surge_window const&) const = default;
};

struct load_settings
{
  /// Caller addresses of daemons; each try goes to a random one.
  std::vector<core::address> mTargets;
  std::vector<load_class> mClasses;
  std::uint32_t mSeconds = 10;
  std::uint64_t mSeed = 1;
  /// Further tries of a caller whose request failed.
  std::uint32_t mRetries = 0;
  /// Before the first retry; doubles for each further one.
  std::uint32_t mBackoffMilliseconds = 100;
  std::uint32_t mTimeoutMilliseconds = 10000;
  /// Prefix of idempotency keys, such as "zone-1/"; may be empty.
  std::string mKeyPrefix;
  surge_window mSurge;
};

/// Reads a JSON file. Fails with kInvalidInput: file, key path and what was
/// expected.
core::result<load_settings>
ReadSettings(std::string_view aText, std::string const& aFile);

/// Parses "catalogue=50 GET /stock/item,order=10 POST /orders". All methods but
/// GET, HEAD and PUT count as not idempotent. Fails with kInvalidInput.
core::result<std::vector<load_class>>
ParseClasses(std::string_view aText);

/// Parses addresses separated by commas. Fails with kInvalidInput.
core::result<std::vector<core::address>>
ParseTargets(std::string_view aText);

/// Checks what both sources have in common. Fails with kInvalidInput.
core::result<void>
CheckSettings(load_settings const& aSettings);

}
