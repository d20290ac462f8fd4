#pragma once

#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTables/Tables.h"
#include "LibTraffic/AdmissionFeedback.h"
#include "LibTraffic/AdmissionLimit.h"
#include "LibTraffic/AdmissionQueue.h"
#include "LibTraffic/CallContext.h"
#include "LibTraffic/LoadStatus.h"

#include <cstdint>
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

/// Ends an admitted call. A failed one counts as work done, since it held a
/// place at the upstream.
struct call_finished
{
  call_id mCall;
  bool mSuccess = true;
  /// From dispatch to the end of the response.
  core::duration mLatency{};
};

/// Ends a waiting or admitted call that nobody waits for any longer. Ignored
/// for calls that are neither, since a refusal may cross the cancellation.
struct call_cancelled
{
  call_id mCall;
};

/// Expected every 10 ms or so; expires waiting calls.
struct admission_tick
{};

struct configuration_changed
{
  std::uint32_t mSlots = 1;
  tables::pool mPool;
};

/// The upstream process runs again, with cold caches. Calls that the earlier
/// process ran no longer count; they end later.
struct upstream_restarted
{};

/// From now on everything new is refused; admitted calls run to their end.
struct admission_drain_started
{};

using admission_event = std::variant<call_arrived,
                                     call_finished,
                                     call_cancelled,
                                     admission_tick,
                                     configuration_changed,
                                     upstream_restarted,
                                     admission_drain_started>;

struct admit_call
{
  call_id mCall;
  bool operator==(admit_call const&) const = default;
};

/// The call was not run and will not be.
struct refuse_call
{
  call_id mCall;
  core::refusal_reason mReason = core::refusal_reason::kInternal;
  core::duration mRetryAfter{};
  bool operator==(refuse_call const&) const = default;
};

using admission_action = std::variant<admit_call, refuse_call>;

/// Parts that randomised runs switch off to show what each is good for.
struct admission_mechanisms
{
  bool mAdaptiveLimit = true;
  bool mThreshold = true;
  bool mQueueDeadline = true;
  bool mFastReadmission = true;
  shed_rules mShedRules;

  bool operator==(admission_mechanisms const&) const = default;
};

/// Admission control of one upstream. Starts with one slot; the owner sends
/// configuration_changed first.
class admission_controller
{
public:
  explicit admission_controller(core::time_point aNow,
                                admission_mechanisms aMechanisms = {});

  std::vector<admission_action> Handle(core::time_point aNow,
                                       admission_event const& aEvent);

  /// Returns the stamp for a response that leaves at aNow.
  load_status LoadStatus(core::time_point aNow) const;

  /// Returns how long a call waits at most.
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

  bool HasRoom(core::time_point aNow) const;
  std::uint32_t Threshold(core::time_point aNow) const;
  /// Returns the threshold that a call has to reach.
  std::uint32_t ThresholdFor(core::time_point aNow,
                             call_context const& aContext) const;
  bool CanMeetDeadline(core::time_point aNow, queued_call const& aCall) const;
  std::size_t QueueLimit() const;
  void Enqueue(queued_call const& aCall);
  void Dispatch(core::time_point aNow);
  void Expire(core::time_point aNow);
  void Admit(core::time_point aNow, call_id aCall);
  void Refuse(call_id aCall, core::refusal_reason aReason);
  /// Whether overload is answered by the length of the queue alone.
  bool HasFixedLimit() const;
  void CountService(core::duration aLatency);

  admission_mechanisms mMechanisms;
  tables::pool mPool;
  std::uint32_t mSlots = 1;
  concurrency_limit mLimit;
  admission_feedback mFeedback;
  admission_queue mQueue;
  std::unordered_map<call_id, running_call> mRunning;
  /// Admitted calls of a process of the upstream that has ended since.
  std::unordered_set<call_id> mFormer;
  bool mDraining = false;
  /// Microseconds; 0 before the first call has ended.
  double mService = 0;
  actions mActions;
};

}
