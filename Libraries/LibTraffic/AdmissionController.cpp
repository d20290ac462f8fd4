#include "LibTraffic/AdmissionController.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::traffic {

using core::refusal_reason;

namespace {

/// Part of the longest wait that the admission threshold aims at.
constexpr int kTargetWaitPart = 2;
/// With this objective the queue is this much shorter.
constexpr std::uint32_t kRecoveryQueuePart = 2;
/// Positions by which an upstream with room lowers its threshold, so that a
/// free place is not left empty until the feedback has moved. More than half a
/// class would let lower classes take the places of higher ones.
constexpr std::uint32_t kRelaxedPositions = 32;
constexpr core::duration kOverloadRetryAfter{ 1'000'000 };
constexpr double kMicrosecondsPerSecond = 1e6;
/// Weight of one call in the mean service time.
constexpr double kServiceWeight = 0.02;

/// With a limit that is known, the deadlines of the calls bound their wait.
constexpr core::duration kLongestFixedWait{ 60'000'000 };

/// Calls of one class wait in order, but those of work in progress come first:
/// what they belong to holds places at other upstreams meanwhile.
std::uint32_t
QueueLevel(std::uint32_t aPosition, call_context const& aContext)
{
  return 2 * ShedLevel(aPosition) + (IsWorkInProgress(aContext) ? 1 : 0);
}

/// Where another upstream can run the call, there is no reason to wait.
core::duration
RetryAfter(refusal_reason aReason)
{
  return aReason == refusal_reason::kDraining ? core::duration{}
                                              : kOverloadRetryAfter;
}

}

admission_controller::admission_controller(core::time_point aNow,
                                           admission_mechanisms aMechanisms)
  : mMechanisms(aMechanisms)
  , mLimit(aMechanisms.mAdaptiveLimit)
  , mFeedback(aNow)
{
}

std::vector<admission_action>
admission_controller::Handle(core::time_point aNow,
                             admission_event const& aEvent)
{
  mFeedback.Advance(aNow);
  std::visit([&](auto const& aTyped) { On(aNow, aTyped); }, aEvent);
  Dispatch(aNow);
  if (HasRoom(aNow)) {
    mFeedback.CountRoom();
  }
  return std::exchange(mActions, {});
}

load_status
admission_controller::LoadStatus(core::time_point aNow) const
{
  return { static_cast<std::uint32_t>(mRunning.size() + mQueue.Size()),
           mLimit.Limit(aNow),
           Threshold(aNow),
           mDraining,
           static_cast<std::uint32_t>(mService) };
}

bool
admission_controller::HasFixedLimit() const
{
  return mPool.mConcurrency == tables::concurrency_policy::kSlots;
}

void
admission_controller::CountService(core::duration aLatency)
{
  auto const latency = static_cast<double>(aLatency.count());
  mService =
    mService == 0 ? latency : mService + kServiceWeight * (latency - mService);
}

void
admission_controller::On(core::time_point aNow, call_arrived const& aEvent)
{
  CF_ASSERT(!mRunning.contains(aEvent.mCall), "a call arrived twice");
  if (mDraining) {
    Refuse(aEvent.mCall, refusal_reason::kDraining);
    return;
  }
  auto const position = ShedPosition(aEvent.mContext, mMechanisms.mShedRules);
  mFeedback.CountArrival(position);
  if (position < ThresholdFor(aNow, aEvent.mContext)) {
    Refuse(aEvent.mCall, refusal_reason::kCutOff);
    return;
  }
  queued_call const call{ aEvent.mCall,
                          QueueLevel(position, aEvent.mContext),
                          aNow,
                          aEvent.mContext.mDeadline };
  if (mMechanisms.mQueueDeadline && !CanMeetDeadline(aNow, call)) {
    Refuse(aEvent.mCall, refusal_reason::kDeadlineExceeded);
    return;
  }
  if (HasRoom(aNow)) {
    mFeedback.CountWait({});
    Admit(aNow, aEvent.mCall);
    return;
  }
  Enqueue(call);
}

void
admission_controller::On(core::time_point aNow, call_finished const& aEvent)
{
  if (mFormer.erase(aEvent.mCall) > 0) {
    return;
  }
  auto const found = mRunning.find(aEvent.mCall);
  CF_ASSERT(found != mRunning.end(), "a call finished that was not running");
  mLimit.Record(
    aNow, aEvent.mLatency, static_cast<std::uint32_t>(mRunning.size()));
  mFeedback.CountCompletion();
  CountService(aEvent.mLatency);
  mRunning.erase(found);
}

void
admission_controller::On(core::time_point aNow, call_cancelled const& aEvent)
{
  if (mQueue.Remove(aEvent.mCall) || mFormer.erase(aEvent.mCall) > 0) {
    return;
  }
  auto const found = mRunning.find(aEvent.mCall);
  if (found == mRunning.end()) {
    return;
  }
  // A call that is abandoned after its deadline took at least this long;
  // without these samples, a slow upstream looks fast.
  mLimit.Record(aNow,
                aNow - found->second.mAdmitted,
                static_cast<std::uint32_t>(mRunning.size()));
  mRunning.erase(found);
}

void
admission_controller::On(core::time_point aNow, admission_tick const&)
{
  Expire(aNow);
}

void
admission_controller::On(core::time_point, configuration_changed const& aEvent)
{
  mPool = aEvent.mPool;
  mSlots = aEvent.mSlots;
  mLimit.Configure(aEvent.mSlots, aEvent.mPool);
  core::duration const queueWait =
    std::chrono::milliseconds(mPool.mQueueWaitMilliseconds);
  mFeedback.Configure(aEvent.mPool.mObjective,
                      (HasFixedLimit() ? queueWait : MaximumWait()) /
                        kTargetWaitPart);
}

void
admission_controller::On(core::time_point aNow, upstream_restarted const&)
{
  for (auto const& [call, running] : mRunning) {
    mFormer.insert(call);
  }
  mRunning.clear();
  mLimit.Restart(aNow);
}

void
admission_controller::On(core::time_point, admission_drain_started const&)
{
  mDraining = true;
  while (auto const call = mQueue.PopFirst()) {
    Refuse(call->mCall, refusal_reason::kDraining);
  }
}

bool
admission_controller::HasRoom(core::time_point aNow) const
{
  return mQueue.IsEmpty() && mRunning.size() < mLimit.Limit(aNow);
}

std::uint32_t
admission_controller::Threshold(core::time_point aNow) const
{
  if (!mMechanisms.mThreshold) {
    return 0;
  }
  auto const threshold = mFeedback.Threshold();
  if (mMechanisms.mFastReadmission && HasRoom(aNow)) {
    return threshold - std::min(threshold, kRelaxedPositions);
  }
  return threshold;
}

std::uint32_t
admission_controller::ThresholdFor(core::time_point aNow,
                                   call_context const& aContext) const
{
  auto const threshold = Threshold(aNow);
  return IsWorkInProgress(aContext)
           ? std::min(threshold, mFeedback.ThresholdOfWorkInProgress())
           : threshold;
}

bool
admission_controller::CanMeetDeadline(core::time_point aNow,
                                      queued_call const& aCall) const
{
  core::duration wait{};
  if (!HasRoom(aNow) && mFeedback.CompletionRate() > 0) {
    auto const ahead = static_cast<double>(mQueue.AheadOf(aCall.mLevel));
    wait = core::duration(static_cast<std::int64_t>(
      kMicrosecondsPerSecond * ahead / mFeedback.CompletionRate()));
  }
  return aNow + std::min(wait, MaximumWait()) + mLimit.Baseline() <
         aCall.mDeadline;
}

std::size_t
admission_controller::QueueLimit() const
{
  if (HasFixedLimit()) {
    // One call waits for each that runs. What does not fit is better off at
    // another upstream, and nothing waits longer than a usual run.
    return std::min(mPool.mQueueLimit, mSlots);
  }
  if (mPool.mObjective == tables::pool_objective::kRecoveryTime) {
    return mPool.mQueueLimit / kRecoveryQueuePart;
  }
  return mPool.mQueueLimit;
}

core::duration
admission_controller::MaximumWait() const
{
  if (HasFixedLimit()) {
    return kLongestFixedWait;
  }
  core::duration const wait =
    std::chrono::milliseconds(mPool.mQueueWaitMilliseconds);
  if (mPool.mObjective == tables::pool_objective::kRecoveryTime) {
    return wait / kRecoveryQueuePart;
  }
  return wait;
}

void
admission_controller::Enqueue(queued_call const& aCall)
{
  if (mQueue.Size() >= QueueLimit()) {
    mFeedback.CountOverload();
    auto const dropped = mQueue.PopNewestBelow(aCall.mLevel);
    Refuse(dropped ? dropped->mCall : aCall.mCall, refusal_reason::kQueueFull);
    if (!dropped) {
      return;
    }
  }
  mQueue.Push(aCall);
}

void
admission_controller::Dispatch(core::time_point aNow)
{
  while (!mQueue.IsEmpty() && mRunning.size() < mLimit.Limit(aNow)) {
    auto const call = mQueue.PopFirst();
    mFeedback.CountWait(aNow - call->mArrived);
    if (mMechanisms.mQueueDeadline &&
        aNow + mLimit.Baseline() >= call->mDeadline) {
      Refuse(call->mCall, refusal_reason::kDeadlineExceeded);
      continue;
    }
    Admit(aNow, call->mCall);
  }
}

void
admission_controller::Expire(core::time_point aNow)
{
  for (auto const& call : mQueue.PopExpired(aNow, aNow - MaximumWait())) {
    mFeedback.CountOverload();
    mFeedback.CountWait(aNow - call.mArrived);
    Refuse(call.mCall,
           call.mDeadline <= aNow ? refusal_reason::kDeadlineExceeded
                                  : refusal_reason::kQueueTimeout);
  }
}

void
admission_controller::Admit(core::time_point aNow, call_id aCall)
{
  auto const added = mRunning.emplace(aCall, running_call{ aNow }).second;
  CF_ASSERT(added, "a call was admitted twice");
  CF_ASSERT(mRunning.size() <= mLimit.Limit(aNow),
            "more calls run than the limit allows");
  mActions.emplace_back(admit_call{ aCall });
}

void
admission_controller::Refuse(call_id aCall, refusal_reason aReason)
{
  mActions.emplace_back(refuse_call{ aCall, aReason, RetryAfter(aReason) });
}

}
