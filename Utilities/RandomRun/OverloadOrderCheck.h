#pragma once

#include "LibCore/Time.h"
#include "LibTables/Tables.h"

#include <array>
#include <cstdint>

namespace cranberryfold::random_run {

/// Invariant of one upstream: in no window is a class refused for overload
/// while a lower one is admitted in bulk.
class order_check
{
public:
  void CountAdmitted(core::time_point aNow, tables::work_class aClass);
  void CountOverloadRefusal(core::time_point aNow, tables::work_class aClass);

  std::uint64_t Violations() const { return mViolations; }

private:
  struct counts
  {
    std::uint32_t mAdmitted = 0;
    std::uint32_t mRefused = 0;
  };

  void Advance(core::time_point aNow);
  bool IsViolated() const;

  core::time_point mStart;
  std::array<counts, tables::kShedLevels> mLevels{};
  std::uint64_t mViolations = 0;
};

}
