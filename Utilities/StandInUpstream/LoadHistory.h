#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

/// Load as it was some time ago.
namespace cranberryfold::stand_in {

struct load_report
{
  std::uint32_t mInFlight = 0;
  std::uint64_t mWaiting = 0;

  bool operator==(load_report const&) const = default;
};

/// Keeps the changes of the load for as long as a report may lag.
class load_history
{
public:
  using clock = std::chrono::steady_clock;

  explicit load_history(std::chrono::milliseconds aLag)
    : mLag(aLag)
  {
  }

  void Record(clock::time_point aNow, load_report const& aReport);

  /// Returns the load of aNow minus the lag.
  load_report At(clock::time_point aNow) const;

private:
  struct change
  {
    clock::time_point mTime;
    load_report mReport;
  };

  std::chrono::milliseconds mLag;
  std::deque<change> mChanges;
};

}
