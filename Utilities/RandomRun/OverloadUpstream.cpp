#include "OverloadUpstream.h"

#include <algorithm>
#include <cmath>

namespace cranberryfold::random_run {

namespace {

/// Throughput lost for each computing run beyond the cores.
constexpr double kCompetitionLoss = 0.03;
/// Rounding of the timer to whole microseconds.
constexpr double kTolerance = 1e-3;

}

fake_upstream::fake_upstream(core::timer_service& aTimers,
                             std::uint32_t aSlots,
                             std::uint32_t aConnections)
  : mTimers(aTimers)
  , mSlots(aSlots)
  , mConnections(aConnections)
  , mCores(aSlots)
{
}

bool
fake_upstream::Accept(core::time_point aNow, run_id aRun, callback aStarted)
{
  if (Accepted() >= mConnections) {
    return false;
  }
  mWaiting.push_back({ aRun, std::move(aStarted) });
  GiveSlots(aNow);
  return true;
}

void
fake_upstream::Compute(core::time_point aNow,
                       run_id aRun,
                       double aWork,
                       callback aFinished)
{
  AdvanceProgress(aNow);
  auto const end = mProgress + aWork * mWorkFactor;
  mComputing[aRun] = { mProgress, end, mWorkFactor, std::move(aFinished) };
  mEnds.emplace(end, aRun);
  Reschedule(aNow);
}

double
fake_upstream::Leave(core::time_point aNow, run_id aRun)
{
  double work = 0;
  AdvanceProgress(aNow);
  auto const found = mComputing.find(aRun);
  if (found != mComputing.end()) {
    work = (mProgress - found->second.mStart) / found->second.mFactor;
    mEnds.erase({ found->second.mEnd, aRun });
    mComputing.erase(found);
    Reschedule(aNow);
  }
  std::erase_if(mWaiting,
                [&](auto const& aEntry) { return aEntry.mRun == aRun; });
  mHolders.erase(aRun);
  GiveSlots(aNow);
  return work;
}

void
fake_upstream::SetSpeed(core::time_point aNow,
                        double aCores,
                        double aWorkFactor)
{
  AdvanceProgress(aNow);
  mCores = aCores;
  mWorkFactor = aWorkFactor;
  Reschedule(aNow);
}

double
fake_upstream::Rate() const
{
  auto const runs = static_cast<double>(mComputing.size());
  if (runs <= mCores) {
    return 1;
  }
  return mCores / runs / (1 + kCompetitionLoss * (runs - mCores));
}

void
fake_upstream::AdvanceProgress(core::time_point aNow)
{
  mProgress += Rate() * static_cast<double>((aNow - mUpdated).count());
  mUpdated = aNow;
}

void
fake_upstream::Reschedule(core::time_point aNow)
{
  mTimers.Cancel(mTimer);
  if (mEnds.empty()) {
    return;
  }
  auto const left = std::max(0.0, mEnds.begin()->first - mProgress) / Rate();
  core::duration const delay{ static_cast<std::int64_t>(std::ceil(left)) };
  mTimer = mTimers.Once(aNow + delay,
                        [this](core::time_point aTime) { FinishDue(aTime); });
}

void
fake_upstream::FinishDue(core::time_point aNow)
{
  AdvanceProgress(aNow);
  std::deque<callback> finished;
  while (!mEnds.empty() && mEnds.begin()->first <= mProgress + kTolerance) {
    auto const run = mEnds.begin()->second;
    finished.push_back(std::move(mComputing[run].mFinished));
    mEnds.erase(mEnds.begin());
    mComputing.erase(run);
  }
  Reschedule(aNow);
  for (auto const& callback : finished) {
    callback(aNow);
  }
}

void
fake_upstream::GiveSlots(core::time_point aNow)
{
  while (!mWaiting.empty() && mHolders.size() < mSlots) {
    auto const next = std::move(mWaiting.front());
    mWaiting.pop_front();
    mHolders.insert(next.mRun);
    next.mStarted(aNow);
  }
}

}
