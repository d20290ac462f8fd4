#include "LibTraffic/AdmissionController.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::traffic {

using core::refusal_reason;

namespace {

/// The admission threshold aims at a mean wait of the maximum wait divided by
/// this.
constexpr int kTargetWaitDivisor = 2;
/// With objective kRecoveryTime, queue length and wait are divided by this.
constexpr std::uint32_t kRecoveryQueueDivisor = 2;
/// Positions by which an upstream with free capacity lowers its threshold, so
/// that a free slot is used before the feedback has adapted. More than half a
/// class would let lower classes take slots from higher ones.
constexpr std::uint32_t kRelaxedPositions = 32;
constexpr core::duration kOverloadRetryAfter{ 1'000'000 };
constexpr double kMicrosecondsPerSecond = 1e6;
/// Weight of one call in the moving average of the service time.
constexpr double kServiceTimeWeight = 0.02;

/// Maximum wait for an upstream that states a limit of requests per second. A
/// longer one is better spent at another upstream. Two calls may wait even if
/// the limit is lower, so that the higher class gets the next turn.
constexpr core::duration kPacedWait{ 250'000 };
constexpr core::duration kMaximumPacedWait{ 1'000'000 };
constexpr double kCallsInPacedWait = 2;
/// An upstream that accepts nothing still gets a request at times, since only a
/// response tells when its limit ends.
constexpr double kMinimumRequestsPerSecond = 0.25;
/// Pace after a start of the upstream or daemon, until the first response tells
/// whether there is a limit. It keeps limits from 2 on, and is not zero, since
/// the first calls may wait for calls of theirs.
constexpr double kUnknownLimitRequestsPerSecond = 10;
constexpr double kUnknownLimitTokens = 2;

/// With a fixed limit, the deadlines of the calls bound their wait instead.
constexpr core::duration kMaximumFixedLimitWait{ 60'000'000 };

/// Calls of one class leave in order of arrival, but calls of work in progress
/// come first, since their customer request occupies slots of other upstreams
/// meanwhile.
std::uint32_t
QueueLevel(std::uint32_t aPosition, call_context const& aContext)
{
  return 2 * ShedLevel(aPosition) + (IsWorkInProgress(aContext) ? 1 : 0);
}

/// When this upstream drains, another one can run the call at once.
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
  if (HasCapacity(aNow)) {
    mFeedback.CountIdleCapacity();
  }
  if (!HasFreeSlot(aNow)) {
    mFeedback.CountFullSlots();
  }
  return std::exchange(mActions, {});
}

std::optional<core::time_point>
admission_controller::NextDispatch(core::time_point aNow) const
{
  if (mQueue.IsEmpty() || mBucket.HasToken(aNow)) {
    return std::nullopt;
  }
  return aNow + mBucket.TimeUntil(aNow, 1);
}

load_status
admission_controller::LoadStatus(core::time_point aNow) const
{
  load_status status{ static_cast<std::uint32_t>(mRunning.size() +
                                                 mQueue.Size()),
                      mLimit.Limit(aNow),
                      Threshold(aNow),
                      mDraining,
                      static_cast<std::uint32_t>(mMeanServiceMicroseconds) };
  if (mStatedLimit) {
    // Little's law: senders expect a wait of load / limit * service time, which
    // is load / rate if limit / service time is the rate.
    auto const perCall = kMicrosecondsPerSecond / *mStatedLimit;
    auto const concurrency = mMeanServiceMicroseconds / perCall;
    if (concurrency < status.mLimit) {
      status.mLimit =
        std::max(static_cast<std::uint32_t>(concurrency), std::uint32_t{ 1 });
      status.mServiceMicroseconds = static_cast<std::uint32_t>(
        std::max(mMeanServiceMicroseconds, status.mLimit * perCall));
    }
  }
  return status;
}

bool
admission_controller::HasFixedLimit() const
{
  return mPool.mConcurrency == tables::concurrency_policy::kSlots;
}

void
admission_controller::RecordServiceTime(core::duration aLatency)
{
  auto const latency = static_cast<double>(aLatency.count());
  mMeanServiceMicroseconds =
    mMeanServiceMicroseconds == 0
      ? latency
      : mMeanServiceMicroseconds +
          kServiceTimeWeight * (latency - mMeanServiceMicroseconds);
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
  if (HasCapacity(aNow)) {
    mFeedback.CountWait({});
    Admit(aNow, aEvent.mCall);
    return;
  }
  if (IsBeyondStatedLimit(aNow, call.mLevel)) {
    mFeedback.CountOverload();
    Refuse(aEvent.mCall, refusal_reason::kQueueFull);
    return;
  }
  Enqueue(call);
}

void
admission_controller::On(core::time_point aNow, call_finished const& aEvent)
{
  if (mCallsOfEarlierProcesses.erase(aEvent.mCall) > 0) {
    return;
  }
  auto const found = mRunning.find(aEvent.mCall);
  CF_ASSERT(found != mRunning.end(), "a call finished that was not running");
  mLimit.Record(
    aNow, aEvent.mLatency, static_cast<std::uint32_t>(mRunning.size()));
  mFeedback.CountCompletion();
  if (mIsLimitUnknown && aEvent.mSuccess) {
    SetStatedLimit(aNow, std::nullopt);
  }
  RecordServiceTime(aEvent.mLatency);
  mRunning.erase(found);
}

void
admission_controller::On(core::time_point aNow, call_cancelled const& aEvent)
{
  if (mQueue.Remove(aEvent.mCall) ||
      mCallsOfEarlierProcesses.erase(aEvent.mCall) > 0) {
    return;
  }
  auto const found = mRunning.find(aEvent.mCall);
  if (found == mRunning.end()) {
    return;
  }
  // A call that is cancelled after its deadline took at least this long;
  // without these samples, a slow upstream would look fast.
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
  ConfigureFeedback();
}

void
admission_controller::ConfigureFeedback()
{
  core::duration const queueWait =
    std::chrono::milliseconds(mPool.mQueueWaitMilliseconds);
  bool const usesQueueWait = HasFixedLimit() && !mStatedLimit;
  mFeedback.Configure(mPool.mObjective,
                      (usesQueueWait ? queueWait : MaximumWait()) /
                        kTargetWaitDivisor);
}

void
admission_controller::On(core::time_point aNow, upstream_restarted const&)
{
  for (auto const& [call, running] : mRunning) {
    mCallsOfEarlierProcesses.insert(call);
  }
  mRunning.clear();
  mLimit.Restart(aNow);
  SetStatedLimit(aNow, std::nullopt);
  mIsLimitUnknown = true;
  mBucket.SetRate(aNow, kUnknownLimitRequestsPerSecond, kUnknownLimitTokens);
}

void
admission_controller::On(core::time_point, admission_drain_started const&)
{
  mDraining = true;
  RefuseWaiting();
}

void
admission_controller::On(core::time_point, upstream_leaving const&)
{
  RefuseWaiting();
}

void
admission_controller::On(core::time_point aNow,
                         request_limit_stated const& aEvent)
{
  SetStatedLimit(aNow, aEvent.mRequestsPerSecond);
}

void
admission_controller::SetStatedLimit(core::time_point aNow,
                                     std::optional<double> aLimit)
{
  mIsLimitUnknown = false;
  mStatedLimit = aLimit;
  if (mStatedLimit) {
    mStatedLimit = std::max(*mStatedLimit, kMinimumRequestsPerSecond);
  }
  mBucket.SetRate(aNow, mStatedLimit);
  mFeedback.SetStatedRate(mStatedLimit);
  ConfigureFeedback();
}

void
admission_controller::RefuseWaiting()
{
  while (auto const call = mQueue.PopFirst()) {
    Refuse(call->mCall, refusal_reason::kDraining);
  }
}

bool
admission_controller::HasFreeSlot(core::time_point aNow) const
{
  return mRunning.size() < mLimit.Limit(aNow);
}

bool
admission_controller::HasCapacity(core::time_point aNow) const
{
  return mQueue.IsEmpty() && HasFreeSlot(aNow) && mBucket.HasToken(aNow);
}

bool
admission_controller::IsBeyondStatedLimit(core::time_point aNow,
                                          std::uint32_t aLevel) const
{
  if (!mStatedLimit) {
    return false;
  }
  auto const ahead = static_cast<double>(mQueue.CountFromLevel(aLevel));
  return mBucket.TimeUntil(aNow, ahead + 1) > MaximumWait();
}

std::uint32_t
admission_controller::Threshold(core::time_point aNow) const
{
  if (!mMechanisms.mThreshold) {
    return 0;
  }
  auto const threshold = mFeedback.Threshold();
  if (mMechanisms.mFastReadmission && HasCapacity(aNow)) {
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
  if (!HasCapacity(aNow) && mFeedback.CompletionRate() > 0) {
    auto const ahead = static_cast<double>(mQueue.CountFromLevel(aCall.mLevel));
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
    // At most one call waits per slot. Further calls are better served by
    // another upstream, and no call waits longer than a typical run takes.
    return std::min(mPool.mQueueLimit, mSlots);
  }
  if (mPool.mObjective == tables::pool_objective::kRecoveryTime) {
    return mPool.mQueueLimit / kRecoveryQueueDivisor;
  }
  return mPool.mQueueLimit;
}

core::duration
admission_controller::MaximumWait() const
{
  core::duration wait = std::chrono::milliseconds(mPool.mQueueWaitMilliseconds);
  if (HasFixedLimit()) {
    wait = kMaximumFixedLimitWait;
  } else if (mPool.mObjective == tables::pool_objective::kRecoveryTime) {
    wait /= kRecoveryQueueDivisor;
  }
  if (!mStatedLimit) {
    return wait;
  }
  core::duration const turns(static_cast<std::int64_t>(
    kMicrosecondsPerSecond * kCallsInPacedWait / *mStatedLimit));
  return std::min(wait, std::clamp(turns, kPacedWait, kMaximumPacedWait));
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
  while (!mQueue.IsEmpty() && HasFreeSlot(aNow) && mBucket.HasToken(aNow)) {
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
  mBucket.Take(aNow);
  mActions.emplace_back(admit_call{ aCall });
}

void
admission_controller::Refuse(call_id aCall, refusal_reason aReason)
{
  mActions.emplace_back(refuse_call{ aCall, aReason, RetryAfter(aReason) });
}

}
