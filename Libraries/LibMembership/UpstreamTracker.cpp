#include "LibMembership/UpstreamTracker.h"

namespace cranberryfold::membership {

namespace {

/// Reports arrive every 1.5 s and may be seconds late; the upstream is
/// considered unavailable after four missing reports.
constexpr core::duration kReportTimeout = std::chrono::seconds(6);

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
  }
  return "foreign";
}

upstream_tracker::upstream_tracker(core::address aAddress,
                                   core::service_id aService)
  : mAddress(std::move(aAddress))
  , mService(std::move(aService))
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

report_outcome
upstream_tracker::Handle(core::time_point aNow, upstream_report const& aReport)
{
  bool const isDeregistration = aReport.mLifecycle == lifecycle_state::kLeft;
  bool const isForeign =
    aReport.mService != mService || aReport.mAddress != mAddress;
  // A deregistration contains only the id of the process.
  if (!isDeregistration && isForeign) {
    return report_outcome::kForeign;
  }
  if (isDeregistration && !mStatus.mId.IsEmpty() &&
      aReport.mId != mStatus.mId) {
    return report_outcome::kOutdated;
  }
  if (IsOutdated(aReport)) {
    return report_outcome::kOutdated;
  }
  mIsLeaving = mIsLeaving && IsOfPresentProcess(aReport);
  auto const slots = isDeregistration ? mStatus.mSlots : aReport.mSlots;
  mStatus = {
    aReport.mId, slots, aReport.mLifecycle, aReport.mColdStartRemaining
  };
  mStartMilliseconds = std::max(mStartMilliseconds, aReport.mStartMilliseconds);
  mSequence = aReport.mSequence;
  mLastReport = aNow;
  ApplyLeaving();
  return report_outcome::kAccepted;
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
                           aNow - mLastReport >= kReportTimeout;
  if (hasTimedOut) {
    mStatus.mLifecycle = lifecycle_state::kStarting;
  }
  return hasTimedOut;
}

}
