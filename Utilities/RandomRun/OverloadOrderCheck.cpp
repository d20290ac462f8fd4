#include "OverloadOrderCheck.h"

#include <algorithm>

namespace cranberryfold::random_run {

namespace {

/// A few windows of the admission feedback.
constexpr core::duration kWindow{ 250'000 };
constexpr std::uint32_t kBulkAdmissions = 5;
constexpr std::uint32_t kLeastRefusals = 5;

std::size_t
Level(tables::work_class aClass)
{
  return static_cast<std::size_t>(tables::ShedLevelOfClass(aClass));
}

}

void
order_check::CountAdmitted(core::time_point aNow, tables::work_class aClass)
{
  Advance(aNow);
  ++mLevels.at(Level(aClass)).mAdmitted;
}

void
order_check::CountOverloadRefusal(core::time_point aNow,
                                  tables::work_class aClass)
{
  Advance(aNow);
  auto const level = Level(aClass);
  std::uint32_t lower = 0;
  for (std::size_t index = 0; index < level; ++index) {
    lower += mLevels.at(index).mAdmitted;
  }
  if (lower >= kBulkAdmissions) {
    ++mLevels.at(level).mRefusedAfter;
  }
}

void
order_check::Advance(core::time_point aNow)
{
  if (aNow < mStart + kWindow) {
    return;
  }
  bool const wrong =
    aNow < mStart + 2 * kWindow &&
    std::any_of(mLevels.begin(), mLevels.end(), [](auto const& aLevel) {
      return aLevel.mRefusedAfter >= kLeastRefusals;
    });
  if (wrong && mWrongBefore) {
    ++mViolations;
  }
  mWrongBefore = wrong;
  mLevels = {};
  mStart = aNow;
}

}
