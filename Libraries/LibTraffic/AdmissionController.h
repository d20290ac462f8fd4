#pragma once

#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTables/Tables.h"
#include "LibTraffic/AdmissionFeedback.h"
#include "LibTraffic/AdmissionLimit.h"
#include "LibTraffic/AdmissionQueue.h"
#include "LibTraffic/CallContext.h"
#include "LibTraffic/LoadStatus.h"
#include "LibTraffic/TokenBucket.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

/// Decides which calls the local upstream runs, and when.
namespace cranberryfold::traffic {

struct call_arrived
{
  call_id mCall;
  call_context mContext;
};

/// Ends an admitted call. A failed call counts as completed work, since it
/// occupied a slot of the upstream.
struct call_finished
{
  call_id mCall;
  bool mSuccess = true;
  /// From dispatch to the end of the response.
  core::duration mLatency{};
};

/// Ends a waiting or admitted call whose caller no longer waits for it. Ignored
/// for all other calls, since a refusal may cross the cancellation.
struct call_cancelled
{
  call_id mCall;
};

/// Expires waiting calls. Expected about every 10 ms.
struct admission_tick
{};

struct configuration_changed
{
  std::uint32_t mSlots = 1;
  tables::pool mPool;
};

/// The upstream process has restarted, with cold caches. Calls of the earlier
/// process no longer count as running; their ends arrive later.
struct upstream_restarted
{};

/// From now on new and waiting calls are refused; admitted calls run to
/// completion.
struct admission_drain_started
{};

/// The upstream takes no further calls: waiting ones are refused. The owner
/// refuses new calls itself until another process of the upstream serves.
struct upstream_leaving
{};

/// What a response of the upstream states about the requests per second that it
/// accepts; empty if it states no limit.
struct request_limit_stated
{
  std::optional<double> mRequestsPerSecond;
};

using admission_event = std::variant<call_arrived,
                                     call_finished,
                                     call_cancelled,
                                     admission_tick,
                                     configuration_changed,
                                     upstream_restarted,
                                     admission_drain_started,
                                     upstream_leaving,
                                     request_limit_stated>;

struct admit_call
{
  call_id mCall;
  bool operator==(admit_call const&) const = default;
};

/// The call has not been run and will not be.
struct refuse_call
{
  call_id mCall;
  core::refusal_reason mReason = core::refusal_reason::kInternal;
  core::duration mRetryAfter{};
  bool operator==(refuse_call const&) const = default;
};

using admission_action = std::variant<admit_call, refuse_call>;

/// Mechanisms that randomised runs can disable to show the effect of each.
struct admission_mechanisms
{
  bool mAdaptiveLimit = true;
  bool mThreshold = true;
  bool mQueueDeadline = true;
  bool mFastReadmission = true;
  shed_rules mShedRules;

  bool operator==(admission_mechanisms const&) const = default;
};

/// Admission control of one upstream. Starts with one slot; the first event has
/// to be configuration_changed.
class admission_controller
{
public:
  explicit admission_controller(core::time_point aNow,
                                admission_mechanisms aMechanisms = {});

  std::vector<admission_action> Handle(core::time_point aNow,
                                       admission_event const& aEvent);

  /// Returns when a waiting call may be admitted without another event; empty
  /// if none may. The owner then sends an admission_tick.
  std::optional<core::time_point> NextDispatch(core::time_point aNow) const;

  /// Returns the load status to send with a response at aNow.
  load_status LoadStatus(core::time_point aNow) const;

  /// Returns the maximum time that a call waits in the queue.
  core::duration MaximumWait() const;
  std::size_t Running() const { return mRunning.size(); }
  std::size_t Waiting() const { return mQueue.Size(); }

private:
  using actions = std::vector<admission_action>;

  struct running_call
  {
    core::time_point mAdmitted;
  };

  void On(core::time_point aNow, call_arrived const& aEvent);
  void On(core::time_point aNow, call_finished const& aEvent);
  void On(core::time_point aNow, call_cancelled const& aEvent);
  void On(core::time_point aNow, admission_tick const& aEvent);
  void On(core::time_point aNow, configuration_changed const& aEvent);
  void On(core::time_point aNow, upstream_restarted const& aEvent);
  void On(core::time_point aNow, admission_drain_started const& aEvent);
  void On(core::time_point aNow, upstream_leaving const& aEvent);
  void On(core::time_point aNow, request_limit_stated const& aEvent);

  bool HasCapacity(core::time_point aNow) const;
  bool HasFreeSlot(core::time_point aNow) const;
  /// Returns whether the stated limit lets a call of this level start only
  /// after the maximum wait.
  bool IsBeyondStatedLimit(core::time_point aNow, std::uint32_t aLevel) const;
  void SetStatedLimit(core::time_point aNow, std::optional<double> aLimit);
  void ConfigureFeedback();
  void RefuseWaiting();
  std::uint32_t Threshold(core::time_point aNow) const;
  /// Returns the lowest shed position at which this call is admitted.
  std::uint32_t ThresholdFor(core::time_point aNow,
                             call_context const& aContext) const;
  bool CanMeetDeadline(core::time_point aNow, queued_call const& aCall) const;
  std::size_t QueueLimit() const;
  void Enqueue(queued_call const& aCall);
  void Dispatch(core::time_point aNow);
  void Expire(core::time_point aNow);
  void Admit(core::time_point aNow, call_id aCall);
  void Refuse(call_id aCall, core::refusal_reason aReason);
  /// Returns whether the concurrency limit is fixed
  /// (concurrency_policy::kSlots). Overload is then handled by the queue length
  /// alone.
  bool HasFixedLimit() const;
  void RecordServiceTime(core::duration aLatency);

  admission_mechanisms mMechanisms;
  tables::pool mPool;
  std::uint32_t mSlots = 1;
  concurrency_limit mLimit;
  admission_feedback mFeedback;
  admission_queue mQueue;
  std::unordered_map<call_id, running_call> mRunning;
  /// Admitted calls of upstream processes that have ended since.
  std::unordered_set<call_id> mCallsOfEarlierProcesses;
  bool mDraining = false;
  token_bucket mBucket;
  /// Requests per second; empty if the upstream has stated no limit.
  std::optional<double> mStatedLimit;
  /// The present process of the upstream has not responded yet, so that it is
  /// unknown whether it states a limit.
  bool mIsLimitUnknown = false;
  /// Moving average; 0 before the first call has ended.
  double mMeanServiceMicroseconds = 0;
  actions mActions;
};

}
