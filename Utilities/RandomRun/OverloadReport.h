#pragma once

#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTables/Tables.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

/// What an overload run measures.
namespace cranberryfold::random_run {

enum class run_phase : std::uint8_t
{
  kBefore,
  kDuring,
  kAfter,
};

inline constexpr std::size_t kRunPhases = 3;

struct phase_times
{
  core::time_point mSurgeStart;
  core::time_point mSurgeEnd;
  core::time_point mEnd;

  run_phase At(core::time_point aNow) const
  {
    if (aNow < mSurgeStart) {
      return run_phase::kBefore;
    }
    return aNow < mSurgeEnd ? run_phase::kDuring : run_phase::kAfter;
  }
};

struct class_counts
{
  /// Customer requests that began in the phase, and those of them that
  /// succeeded in one of the caller's tries.
  std::uint64_t mBegun = 0;
  std::uint64_t mSucceeded = 0;
};

struct phase_counts
{
  std::array<class_counts, tables::kWorkClassCount> mClasses{};
  /// Runs at upstreams, and the tries of callers that led to them.
  std::uint64_t mRuns = 0;
  std::uint64_t mTries = 0;
  /// Microseconds of undisturbed cores, for tries that succeeded and others.
  double mUsefulWork = 0;
  double mWastedWork = 0;
  double mUsefulDeepWork = 0;
  double mWastedDeepWork = 0;
  std::vector<core::duration> mLatencies;
  std::array<std::uint64_t, core::kRefusalReasonCount> mRefusals{};
  std::array<std::uint64_t, core::kRetryReasonCount> mRetries{};
};

/// Collects the figures of one run.
class overload_report
{
public:
  explicit overload_report(phase_times aTimes);

  phase_counts& At(core::time_point aNow);
  phase_counts const& Of(run_phase aPhase) const;
  phase_times const& Times() const { return mTimes; }

  void CountBegin(core::time_point aNow, tables::work_class aClass);
  /// aBegun is when the customer request began.
  void CountSuccess(core::time_point aNow,
                    core::time_point aBegun,
                    tables::work_class aClass);

  /// Returns the seconds after the surge until 95% of the requests that begin
  /// in each second succeed promptly; the rest of the run when they never do.
  double RecoverySeconds() const;

  /// Returns useful deep work during the surge over aCapacity, in cores.
  double SurgeGoodputRatio(double aCapacity) const;

  /// Returns succeeded over begun requests of classes of one shedding level.
  double SuccessShare(run_phase aPhase, int aLevel) const;

  /// Returns the latency that 99% of the served tries keep, in milliseconds.
  double LatencyP99(run_phase aPhase) const;

  void Print(double aCapacity) const;

private:
  double PhaseSeconds(run_phase aPhase) const;
  void PrintClasses() const;
  void PrintWork() const;
  void PrintReasons() const;

  phase_times mTimes;
  std::array<phase_counts, kRunPhases> mPhases;
  /// By the tenth of a second in which the request began.
  std::vector<std::uint32_t> mBegunSlices;
  std::vector<std::uint32_t> mSucceededSlices;
};

}
