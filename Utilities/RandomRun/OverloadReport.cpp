#include "OverloadReport.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace cranberryfold::random_run {

namespace {

constexpr core::duration kSlice{ 100'000 };
constexpr std::size_t kSlicesPerSecond = 10;
/// A request that succeeds later, after several tries, is not yet normal.
constexpr core::duration kPromptly{ 2'000'000 };
constexpr double kRecoveredShare = 0.95;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMicrosecondsPerMillisecond = 1e3;
constexpr double kPercent = 100;
constexpr std::array<run_phase, kRunPhases> kPhases{ run_phase::kBefore,
                                                     run_phase::kDuring,
                                                     run_phase::kAfter };

double
Ratio(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0;
}

void
CountSlice(std::vector<std::uint32_t>& aSlices, core::time_point aTime)
{
  auto const index =
    static_cast<std::size_t>(aTime.time_since_epoch() / kSlice);
  if (aSlices.size() <= index) {
    aSlices.resize(index + 1);
  }
  ++aSlices.at(index);
}

std::uint32_t
SumOfSecond(std::vector<std::uint32_t> const& aSlices, std::size_t aFirst)
{
  std::uint32_t sum = 0;
  for (auto index = aFirst; index < aFirst + kSlicesPerSecond; ++index) {
    sum += index < aSlices.size() ? aSlices.at(index) : 0;
  }
  return sum;
}

}

overload_report::overload_report(phase_times aTimes)
  : mTimes(aTimes)
{
}

phase_counts&
overload_report::At(core::time_point aNow)
{
  return mPhases.at(static_cast<std::size_t>(mTimes.At(aNow)));
}

phase_counts const&
overload_report::Of(run_phase aPhase) const
{
  return mPhases.at(static_cast<std::size_t>(aPhase));
}

void
overload_report::CountBegin(core::time_point aNow, tables::work_class aClass)
{
  ++At(aNow).mClasses.at(static_cast<std::size_t>(aClass)).mBegun;
  CountSlice(mBegunSlices, aNow);
}

void
overload_report::CountSuccess(core::time_point aNow,
                              core::time_point aBegun,
                              tables::work_class aClass)
{
  ++At(aBegun).mClasses.at(static_cast<std::size_t>(aClass)).mSucceeded;
  if (aNow - aBegun <= kPromptly) {
    CountSlice(mSucceededSlices, aBegun);
  }
}

double
overload_report::RecoverySeconds() const
{
  auto const first =
    static_cast<std::size_t>(mTimes.mSurgeEnd.time_since_epoch() / kSlice);
  auto const end =
    static_cast<std::size_t>(mTimes.mEnd.time_since_epoch() / kSlice);
  std::size_t recovered = 0;
  for (auto slice = first; slice + kSlicesPerSecond <= end; ++slice) {
    auto const begun = SumOfSecond(mBegunSlices, slice);
    auto const succeeded = SumOfSecond(mSucceededSlices, slice);
    if (succeeded < kRecoveredShare * begun) {
      recovered = slice - first + kSlicesPerSecond;
    }
  }
  return static_cast<double>(recovered) / kSlicesPerSecond;
}

double
overload_report::SurgeGoodputRatio(double aCapacity) const
{
  auto const seconds = PhaseSeconds(run_phase::kDuring);
  return Of(run_phase::kDuring).mUsefulDeepWork /
         (aCapacity * seconds * kMicrosecondsPerSecond);
}

double
overload_report::SuccessShare(run_phase aPhase, int aLevel) const
{
  double begun = 0;
  double succeeded = 0;
  for (std::size_t index = 0; index < tables::kWorkClassCount; ++index) {
    if (tables::ShedLevelOfClass(static_cast<tables::work_class>(index)) !=
        aLevel) {
      continue;
    }
    begun += static_cast<double>(Of(aPhase).mClasses.at(index).mBegun);
    succeeded += static_cast<double>(Of(aPhase).mClasses.at(index).mSucceeded);
  }
  return Ratio(succeeded, begun);
}

double
overload_report::LatencyP99(run_phase aPhase) const
{
  auto latencies = Of(aPhase).mLatencies;
  if (latencies.empty()) {
    return 0;
  }
  auto const rank = latencies.size() * 99 / 100;
  std::nth_element(latencies.begin(),
                   latencies.begin() + static_cast<std::ptrdiff_t>(rank),
                   latencies.end());
  return static_cast<double>(latencies.at(rank).count()) /
         kMicrosecondsPerMillisecond;
}

double
overload_report::PhaseSeconds(run_phase aPhase) const
{
  core::duration length = mTimes.mSurgeStart.time_since_epoch();
  if (aPhase == run_phase::kDuring) {
    length = mTimes.mSurgeEnd - mTimes.mSurgeStart;
  }
  if (aPhase == run_phase::kAfter) {
    length = mTimes.mEnd - mTimes.mSurgeEnd;
  }
  return static_cast<double>(length.count()) / kMicrosecondsPerSecond;
}

void
overload_report::PrintClasses() const
{
  std::printf("%-28s %18s %18s %18s\n", "", "before", "during", "after");
  for (std::size_t index = 0; index < tables::kWorkClassCount; ++index) {
    auto const name =
      tables::WorkClassName(static_cast<tables::work_class>(index));
    std::printf(
      "goodput/s %-18.*s", static_cast<int>(name.size()), name.data());
    for (auto const phase : kPhases) {
      auto const& counts = Of(phase).mClasses.at(index);
      auto const succeeded = static_cast<double>(counts.mSucceeded);
      std::printf(" %9.1f (%5.1f%%)",
                  succeeded / PhaseSeconds(phase),
                  kPercent *
                    Ratio(succeeded, static_cast<double>(counts.mBegun)));
    }
    std::printf("\n");
  }
}

void
overload_report::PrintWork() const
{
  auto const print = [&](char const* aName, auto const& aFigure) {
    std::printf("%-28s", aName);
    for (auto const phase : kPhases) {
      std::printf(" %18.2f", aFigure(phase));
    }
    std::printf("\n");
  };
  print("runs per customer request", [&](run_phase aPhase) {
    std::uint64_t begun = 0;
    for (auto const& counts : Of(aPhase).mClasses) {
      begun += counts.mBegun;
    }
    return Ratio(static_cast<double>(Of(aPhase).mRuns),
                 static_cast<double>(begun));
  });
  print("tries of callers/s", [&](run_phase aPhase) {
    return static_cast<double>(Of(aPhase).mTries) / PhaseSeconds(aPhase);
  });
  print("wasted upstream work, %", [&](run_phase aPhase) {
    auto const& counts = Of(aPhase);
    return kPercent *
           Ratio(counts.mWastedWork, counts.mWastedWork + counts.mUsefulWork);
  });
  print("wasted deep work, %", [&](run_phase aPhase) {
    auto const& counts = Of(aPhase);
    return kPercent * Ratio(counts.mWastedDeepWork,
                            counts.mWastedDeepWork + counts.mUsefulDeepWork);
  });
  print("p99 of served tries, ms",
        [&](run_phase aPhase) { return LatencyP99(aPhase); });
}

void
overload_report::PrintReasons() const
{
  std::printf("refusals in the surge:");
  auto const& during = Of(run_phase::kDuring);
  for (std::size_t index = 0; index < core::kRefusalReasonCount; ++index) {
    if (during.mRefusals.at(index) > 0) {
      auto const name =
        core::ReasonName(static_cast<core::refusal_reason>(index));
      std::printf(" %s=%llu",
                  std::string(name).c_str(),
                  static_cast<unsigned long long>(during.mRefusals.at(index)));
    }
  }
  std::printf("\nretries in the surge:");
  for (std::size_t index = 0; index < core::kRetryReasonCount; ++index) {
    if (during.mRetries.at(index) > 0) {
      auto const name =
        core::ReasonName(static_cast<core::retry_reason>(index));
      std::printf(" %s=%llu",
                  std::string(name).c_str(),
                  static_cast<unsigned long long>(during.mRetries.at(index)));
    }
  }
  std::printf("\n");
}

void
overload_report::Print(double aCapacity) const
{
  PrintClasses();
  PrintWork();
  PrintReasons();
  auto const& during = Of(run_phase::kDuring);
  std::printf(
    "result goodput_ratio=%.3f recovery_s=%.1f "
    "important_share=%.4f middle_share=%.4f lowest_share=%.4f "
    "wasted_share=%.4f p99_ms=%.0f\n",
    SurgeGoodputRatio(aCapacity),
    RecoverySeconds(),
    SuccessShare(run_phase::kDuring, 2),
    SuccessShare(run_phase::kDuring, 1),
    SuccessShare(run_phase::kDuring, 0),
    Ratio(during.mWastedWork, during.mWastedWork + during.mUsefulWork),
    LatencyP99(run_phase::kDuring));
}

}
