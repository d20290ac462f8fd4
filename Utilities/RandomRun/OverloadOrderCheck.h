#pragma once

#include "LibCore/Time.h"
#include "LibTables/Tables.h"

#include <array>
#include <cstdint>

namespace cranberryfold::random_run {

/// Invariant of one upstream: a class is not refused for overload again and
/// again after lower ones were admitted in bulk. Only refusals that follow the
/// admissions count, and only in two windows in a row: the threshold follows
/// the load with the delay of its feedback.
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
    /// Refusals after admissions of a lower class in bulk.
    std::uint32_t mRefusedAfter = 0;
  };

  void Advance(core::time_point aNow);

  core::time_point mStart;
  bool mWrongBefore = false;
  std::array<counts, tables::kShedLevels> mLevels{};
  std::uint64_t mViolations = 0;
};

}
