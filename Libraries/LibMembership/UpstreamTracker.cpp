#include "LibMembership/UpstreamTracker.h"

#include <algorithm>

namespace cranberryfold::membership {

namespace {

/// Reports arrive every 1.5 s and may be seconds late; the upstream is
/// considered unavailable after four missing reports.
constexpr core::duration kReportTimeout = std::chrono::seconds(6);
/// Length of a series of reports that proves that its process still reports. A
/// report may be late by any time, so that a single one proves nothing.
constexpr core::duration kSeriesLength = std::chrono::seconds(6);
constexpr std::uint32_t kLeastSeriesReports = 4;
/// Longest pause within a series: one missing report.
constexpr core::duration kMaximumSeriesPause = std::chrono::seconds(3);
/// Time for which a deregistration without a start time also keeps out a next
/// process with the same id.
constexpr core::duration kDepartureLifetime = std::chrono::seconds(6);
/// Limits for what other writers can make the daemon keep.
constexpr std::size_t kMaximumPendingProcesses = 8;
constexpr std::size_t kMaximumDepartures = 16;

/// Returns whether two start times of processes with the same id may belong to
/// the same process.
bool
CanBeSameStart(std::uint64_t aLeft, std::uint64_t aRight)
{
  return aLeft == 0 || aRight == 0 || aLeft == aRight;
}

bool
CanBeSameProcess(upstream_report const& aLeft, upstream_report const& aRight)
{
  return aLeft.mId == aRight.mId &&
         CanBeSameStart(aLeft.mStartMilliseconds, aRight.mStartMilliseconds);
}

}

std::string_view
ReportOutcomeName(report_outcome aOutcome)
{
  switch (aOutcome) {
    case report_outcome::kAccepted:
      return "accepted";
    case report_outcome::kOutdated:
      return "outdated";
    case report_outcome::kForeign:
      return "foreign";
    case report_outcome::kUnconfirmed:
      return "unconfirmed";
    case report_outcome::kContradicted:
      return "contradicted";
  }
  return "foreign";
}

upstream_tracker::upstream_tracker(core::address aAddress,
                                   core::service_id aService,
                                   report_confirmation aConfirmation)
  : mAddress(std::move(aAddress))
  , mService(std::move(aService))
  , mConfirmation(aConfirmation)
{
}

bool
upstream_tracker::IsOutdated(upstream_report const& aReport) const
{
  if (mStatus.mId.IsEmpty()) {
    return false;
  }
  if (HasOtherStart(aReport)) {
    return aReport.mStartMilliseconds < mStartMilliseconds;
  }
  if (aReport.mId != mStatus.mId) {
    // Two processes cannot be ordered without start times; the one that
    // reported last is considered current.
    return false;
  }
  // A deregistration has no sequence number and is the last report of a
  // process.
  if (mStatus.mLifecycle == lifecycle_state::kLeft) {
    return true;
  }
  return aReport.mLifecycle != lifecycle_state::kLeft &&
         aReport.mSequence <= mSequence;
}

bool
upstream_tracker::IsOfPresentProcess(upstream_report const& aReport) const
{
  return aReport.mId == mStatus.mId && !HasOtherStart(aReport);
}

bool
upstream_tracker::HasOtherStart(upstream_report const& aReport) const
{
  return aReport.mStartMilliseconds != 0 && mStartMilliseconds != 0 &&
         aReport.mStartMilliseconds != mStartMilliseconds;
}

bool
upstream_tracker::HasDeparted(upstream_report const& aReport) const
{
  return std::any_of(
    mDepartures.begin(), mDepartures.end(), [&](departure const& aDeparture) {
      return aDeparture.mId == aReport.mId &&
             CanBeSameStart(aDeparture.mStartMilliseconds,
                            aReport.mStartMilliseconds);
    });
}

report_outcome
upstream_tracker::Handle(core::time_point aNow, upstream_report const& aReport)
{
  DropExpired(aNow);
  if (aReport.mLifecycle == lifecycle_state::kLeft) {
    return HandleDeregistration(aNow, aReport);
  }
  if (aReport.mService != mService || aReport.mAddress != mAddress) {
    return report_outcome::kForeign;
  }
  bool const hasLeft =
    mStatus.mLifecycle == lifecycle_state::kLeft && IsOfPresentProcess(aReport);
  if (hasLeft || HasDeparted(aReport)) {
    return report_outcome::kOutdated;
  }
  if (IsOutdated(aReport)) {
    return HandleOutdated(aNow, aReport);
  }
  if (mConfirmation != report_confirmation::kNone &&
      !IsOfPresentProcess(aReport)) {
    return HandlePending(aNow, aReport);
  }
  Install(aNow, aReport);
  return report_outcome::kAccepted;
}

report_outcome
upstream_tracker::HandleDeregistration(core::time_point aNow,
                                       upstream_report const& aReport)
{
  // A deregistration contains only the id of the process and, in most cases,
  // its start time.
  bool const isOfPresentId = aReport.mId == mStatus.mId;
  bool const hasReported = std::any_of(
    mPending.begin(), mPending.end(), [&](pending_process const& aPending) {
      return CanBeSameProcess(aPending.mLatest, aReport);
    });
  // A process that restarts under the same id reports before it leaves. Other
  // start times come from a former process or from another writer.
  bool const isOfPresentProcess =
    isOfPresentId && (hasReported || !HasOtherStart(aReport));
  std::erase_if(mPending, [&](pending_process const& aPending) {
    return CanBeSameProcess(aPending.mLatest, aReport);
  });
  auto const start = isOfPresentId && aReport.mStartMilliseconds == 0
                       ? mStartMilliseconds
                       : aReport.mStartMilliseconds;
  if (mDepartures.size() == kMaximumDepartures) {
    mDepartures.erase(mDepartures.begin());
  }
  mDepartures.push_back({ aReport.mId, start, aNow });
  if (!isOfPresentProcess) {
    return mStatus.mId.IsEmpty() ? report_outcome::kAccepted
                                 : report_outcome::kOutdated;
  }
  if (mStatus.mLifecycle == lifecycle_state::kLeft &&
      IsOfPresentProcess(aReport)) {
    return report_outcome::kOutdated;
  }
  auto left = aReport;
  left.mSlots = mStatus.mSlots;
  Install(aNow, left);
  return report_outcome::kAccepted;
}

report_outcome
upstream_tracker::HandleOutdated(core::time_point aNow,
                                 upstream_report const& aReport)
{
  // Another writer may have reported a start time or sequence number above the
  // true ones, so that all true reports seem to be old.
  auto const& pending = AddPending(aNow, aReport);
  if (HasContinued(aNow, pending)) {
    Install(aNow, aReport);
    return report_outcome::kAccepted;
  }
  if (aReport.mId == mStatus.mId) {
    mLastSign = aNow;
  }
  return report_outcome::kOutdated;
}

bool
upstream_tracker::HasContinued(core::time_point aNow,
                               pending_process const& aPending) const
{
  // A process that has left sends no reports. What is late of it may still
  // arrive, but not as regularly as reports are sent.
  bool const isPresentSilent =
    mStatus.mId.IsEmpty() || aNow - mLastReport >= kSeriesLength;
  return isPresentSilent && aPending.mSeriesReports >= kLeastSeriesReports &&
         aNow - aPending.mSeriesStart >= kSeriesLength;
}

bool
upstream_tracker::AgreesWith(upstream_report const& aReport) const
{
  bool const isInUse = aReport.mId == mStatus.mId &&
                       mStatus.mLifecycle == lifecycle_state::kServing;
  return isInUse == (aReport.mLifecycle == lifecycle_state::kServing);
}

upstream_tracker::pending_process&
upstream_tracker::AddPending(core::time_point aNow,
                             upstream_report const& aReport)
{
  for (auto& pending : mPending) {
    auto const& latest = pending.mLatest;
    bool const isSame = latest.mId == aReport.mId &&
                        latest.mStartMilliseconds == aReport.mStartMilliseconds;
    if (!isSame) {
      continue;
    }
    bool const continuesSeries =
      aReport.mSequence > latest.mSequence &&
      aNow - pending.mLastReport <= kMaximumSeriesPause;
    if (!continuesSeries) {
      pending.mSeriesStart = aNow;
      pending.mSeriesReports = 0;
    }
    ++pending.mSeriesReports;
    pending.mLatest = aReport;
    pending.mLastReport = aNow;
    return pending;
  }
  if (mPending.size() == kMaximumPendingProcesses) {
    mPending.erase(mPending.begin());
  }
  mPending.push_back({ aReport, aNow, aNow, 1 });
  return mPending.back();
}

upstream_tracker::pending_process const*
upstream_tracker::FindPending(upstream_id const& aId) const
{
  pending_process const* found = nullptr;
  for (auto const& pending : mPending) {
    bool const isLater =
      found == nullptr || pending.mLastReport >= found->mLastReport;
    bool const isCurrent = aId != mStatus.mId || !IsOutdated(pending.mLatest);
    if (pending.mLatest.mId == aId && isLater && isCurrent) {
      found = &pending;
    }
  }
  return found;
}

report_outcome
upstream_tracker::HandlePending(core::time_point aNow,
                                upstream_report const& aReport)
{
  auto& pending = AddPending(aNow, aReport);
  pending.mHasDrained |= aReport.mLifecycle == lifecycle_state::kDraining;
  if (HasContinued(aNow, pending)) {
    Install(aNow, aReport);
    return report_outcome::kAccepted;
  }
  return report_outcome::kUnconfirmed;
}

void
upstream_tracker::HandleHealth(core::time_point aNow,
                               upstream_health const& aHealth)
{
  DropExpired(aNow);
  if (aHealth.mId.IsEmpty()) {
    return;
  }
  auto const* const pending = FindPending(aHealth.mId);
  if (pending == nullptr) {
    upstream_report found;
    found.mId = aHealth.mId;
    found.mSlots = aHealth.mSlots;
    bool const isUsable = aHealth.mIsHealthy && !aHealth.mIsLeaving &&
                          aHealth.mSlots > 0 && !HasDeparted(found);
    if (isUsable && mStatus.mId.IsEmpty()) {
      Install(aNow, found);
    }
    return;
  }
  // The endpoint may report a wrong state, so that an unhealthy response does
  // not tell whether the process has deregistered.
  bool const isConfirmed = aHealth.mIsHealthy || aHealth.mIsLeaving ||
                           pending->mHasDrained ||
                           IsSuccessor(pending->mLatest);
  if (!isConfirmed) {
    return;
  }
  auto report = pending->mLatest;
  if (pending->mHasDrained) {
    report.mLifecycle = lifecycle_state::kDraining;
  }
  Install(aNow, report);
  if (aHealth.mIsLeaving) {
    MarkLeaving(report.mId);
  }
}

bool
upstream_tracker::IsSuccessor(upstream_report const& aReport) const
{
  return mSeenStartMilliseconds != 0 &&
         aReport.mStartMilliseconds > mSeenStartMilliseconds;
}

void
upstream_tracker::DropExpired(core::time_point aNow)
{
  std::erase_if(mPending, [aNow](pending_process const& aPending) {
    return aNow - aPending.mLastReport >= kReportTimeout;
  });
  // A departure without start time would also keep out the next process with
  // the same id.
  std::erase_if(mDepartures, [aNow](departure const& aDeparture) {
    return aDeparture.mStartMilliseconds == 0 &&
           aNow - aDeparture.mTime >= kDepartureLifetime;
  });
}

void
upstream_tracker::Install(core::time_point aNow, upstream_report const& aReport)
{
  mIsLeaving = mIsLeaving && IsOfPresentProcess(aReport);
  mStatus = {
    aReport.mId, aReport.mSlots, aReport.mLifecycle, aReport.mColdStartRemaining
  };
  if (aReport.mStartMilliseconds != 0) {
    mStartMilliseconds = aReport.mStartMilliseconds;
  }
  mSequence = aReport.mSequence;
  mLastReport = aNow;
  mLastSign = aNow;
  std::erase_if(mPending, [&](pending_process const& aPending) {
    bool const isSame = CanBeSameProcess(aPending.mLatest, aReport);
    mIsLeaving |= isSame && aPending.mHasDrained;
    return isSame;
  });
  if (aReport.mLifecycle != lifecycle_state::kLeft) {
    mSeenStartMilliseconds = mStartMilliseconds;
  }
  ApplyLeaving();
}

void
upstream_tracker::MarkLeaving(upstream_id const& aId)
{
  if (aId == mStatus.mId) {
    mIsLeaving = true;
    ApplyLeaving();
  }
}

void
upstream_tracker::ApplyLeaving()
{
  if (mIsLeaving && mStatus.mLifecycle == lifecycle_state::kServing) {
    mStatus.mLifecycle = lifecycle_state::kDraining;
  }
}

void
upstream_tracker::MarkUnavailable()
{
  if (mStatus.mLifecycle == lifecycle_state::kServing) {
    mStatus.mLifecycle = lifecycle_state::kStarting;
  }
}

bool
upstream_tracker::CheckReportTimeout(core::time_point aNow)
{
  bool const hasTimedOut = mStatus.mLifecycle == lifecycle_state::kServing &&
                           aNow - mLastSign >= kReportTimeout;
  if (hasTimedOut) {
    mStatus.mLifecycle = lifecycle_state::kStarting;
  }
  return hasTimedOut;
}

}
