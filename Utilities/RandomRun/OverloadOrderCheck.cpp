#include "OverloadOrderCheck.h"

namespace cranberryfold::random_run {

namespace {

constexpr core::duration kWindow{ 1'000'000 };
/// Fewer refusals are the edge of a window, not a preference.
constexpr std::uint32_t kLeastRefusals = 5;
constexpr double kRefusedShare = 0.1;
constexpr double kBulkShare = 0.5;
constexpr std::uint32_t kLeastAdmitted = 5;

double
Share(std::uint32_t aPart, std::uint32_t aRest)
{
  return static_cast<double>(aPart) / static_cast<double>(aPart + aRest);
}

}

void
order_check::CountAdmitted(core::time_point aNow, tables::work_class aClass)
{
  Advance(aNow);
  ++mLevels.at(static_cast<std::size_t>(tables::ShedOrder(aClass))).mAdmitted;
}

void
order_check::CountOverloadRefusal(core::time_point aNow,
                                  tables::work_class aClass)
{
  Advance(aNow);
  ++mLevels.at(static_cast<std::size_t>(tables::ShedOrder(aClass))).mRefused;
}

void
order_check::Advance(core::time_point aNow)
{
  if (aNow < mStart + kWindow) {
    return;
  }
  if (IsViolated()) {
    ++mViolations;
  }
  mLevels = {};
  mStart = aNow;
}

bool
order_check::IsViolated() const
{
  for (std::size_t higher = 1; higher < mLevels.size(); ++higher) {
    auto const& refused = mLevels.at(higher);
    if (refused.mRefused < kLeastRefusals ||
        Share(refused.mRefused, refused.mAdmitted) < kRefusedShare) {
      continue;
    }
    for (std::size_t lower = 0; lower < higher; ++lower) {
      auto const& admitted = mLevels.at(lower);
      if (admitted.mAdmitted >= kLeastAdmitted &&
          Share(admitted.mAdmitted, admitted.mRefused) >= kBulkShare) {
        return true;
      }
    }
  }
  return false;
}

}
