#pragma once

#include "LibCore/Time.h"
#include "LibCore/TimerService.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace cranberryfold::random_run {

/// Fake upstream: runs hold one of its slots, wait for one in order of arrival,
/// and share its cores while they compute. Runs beyond the cores compete and
/// lower the total throughput a little, as locks and caches do.
class fake_upstream
{
public:
  using run_id = std::uint64_t;
  using callback = std::function<void(core::time_point)>;

  fake_upstream(core::timer_service& aTimers,
                std::uint32_t aSlots,
                std::uint32_t aConnections);

  /// Calls aStarted once a slot is free; false when no connection is left.
  bool Accept(core::time_point aNow, run_id aRun, callback aStarted);

  /// Computes for a run that holds a slot. aWork is in microseconds of an
  /// undisturbed core.
  void Compute(core::time_point aNow,
               run_id aRun,
               double aWork,
               callback aFinished);

  /// Ends a run in any state. Returns the work of an interrupted Compute().
  double Leave(core::time_point aNow, run_id aRun);

  /// Changes the cores and the factor on the work of later Compute() calls.
  void SetSpeed(core::time_point aNow, double aCores, double aWorkFactor);

  std::size_t Accepted() const { return mHolders.size() + mWaiting.size(); }

private:
  struct computation
  {
    double mStart = 0;
    double mEnd = 0;
    /// Nominal work per unit of progress, to undo the work factor.
    double mFactor = 1;
    callback mFinished;
  };

  struct waiting_run
  {
    run_id mRun = 0;
    callback mStarted;
  };

  /// Progress of each computing run in microseconds per microsecond.
  double Rate() const;
  void AdvanceProgress(core::time_point aNow);
  void Reschedule(core::time_point aNow);
  void FinishDue(core::time_point aNow);
  void GiveSlots(core::time_point aNow);

  core::timer_service& mTimers;
  std::uint32_t mSlots;
  std::uint32_t mConnections;
  double mCores;
  double mWorkFactor = 1;
  std::set<run_id> mHolders;
  std::deque<waiting_run> mWaiting;
  /// Progress that a run would have made that computed from the beginning.
  double mProgress = 0;
  core::time_point mUpdated;
  std::map<run_id, computation> mComputing;
  std::set<std::pair<double, run_id>> mEnds;
  core::timer_id mTimer;
};

}
