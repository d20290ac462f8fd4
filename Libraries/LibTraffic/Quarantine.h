#pragma once

#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTraffic/QuarantineMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

/// Isolates requests that crash upstreams: one object on each daemon, for its
/// local upstream.
///
/// Every request that was in flight at a crash is suspect. The daemon of the
/// first crash owns the suspicion: only the owner grants trials, one at a time,
/// and during a trial the suspect is the only request at its upstream. A trial
/// that crashes is the second crash and quarantines the request everywhere.
/// If the owner is unreachable or has restarted, a suspect is refused. So at
/// most two upstreams crash, provided that the notice of the first crash
/// reaches a daemon before the request does. Therefore the failure is reported
/// to the sender only after all live daemons of the service have acknowledged
/// the notice, or after kMaximumReportDelay (report_lost_call).
namespace cranberryfold::traffic {

inline constexpr core::duration kQuarantineTime = std::chrono::minutes(10);
/// Maximum delay of the report of a crash to the sender.
inline constexpr core::duration kMaximumReportDelay = std::chrono::seconds(1);

struct quarantine_settings
{
  holder_id mSelf;
  core::duration mQuarantineTime = kQuarantineTime;
  core::duration mMaximumReportDelay = kMaximumReportDelay;
  core::duration mResendAfter = std::chrono::milliseconds(100);
  /// A trial without a result counts as a crash after this time.
  core::duration mTrialLease = std::chrono::seconds(60);
  /// A suspect that has waited for its trial for this time is refused.
  core::duration mMaximumTrialWait = std::chrono::seconds(3);
  std::size_t mMaximumSuspects = 10000;
  /// Randomised runs can disable the quarantine to show its effect.
  bool mEnabled = true;

  bool operator==(quarantine_settings const&) const = default;
};

/// A call has been admitted and is to be sent to the local upstream.
struct call_ready
{
  /// Number of the call at this daemon; unique while the call is open.
  std::uint64_t mCall = 0;
  suspect_id mSuspect;
};

/// The upstream has answered the call completely.
struct call_completed
{
  std::uint64_t mCall = 0;
};

/// The call ended without an answer and without a crash, for example by a
/// timeout. Clears no suspicion.
struct call_unanswered
{
  std::uint64_t mCall = 0;
};

/// The local upstream has crashed; all calls in flight are lost.
struct upstream_crashed
{};

/// The other live daemons of the service according to membership. A new daemon
/// or incarnation is notified of all suspects.
struct service_peers_changed
{
  std::set<holder_id> mPeers;
};

struct quarantine_message_received
{
  core::instance_id mFrom;
  quarantine_message mMessage;
};

/// Expected every 100 ms.
struct quarantine_tick
{};

using quarantine_event = std::variant<call_ready,
                                      call_completed,
                                      call_unanswered,
                                      upstream_crashed,
                                      service_peers_changed,
                                      quarantine_message_received,
                                      quarantine_tick>;

/// The call is to be sent to the upstream now.
struct run_call
{
  std::uint64_t mCall = 0;
  /// No other call is in flight, and none is run until this one ends.
  bool mExclusive = false;

  bool operator==(run_call const&) const = default;
};

/// The call is to be refused as not run.
struct refuse_suspect
{
  std::uint64_t mCall = 0;
  core::refusal_reason mReason = core::refusal_reason::kQuarantined;
  core::duration mRetryAfter{};

  bool operator==(refuse_suspect const&) const = default;
};

/// The loss of the call is to be reported to its sender now, with an unknown
/// outcome.
struct report_lost_call
{
  std::uint64_t mCall = 0;

  bool operator==(report_lost_call const&) const = default;
};

using quarantine_action = std::
  variant<send_quarantine_message, run_call, refuse_suspect, report_lost_call>;

class quarantine
{
public:
  using actions = std::vector<quarantine_action>;

  explicit quarantine(quarantine_settings aSettings);

  actions Handle(core::time_point aNow, quarantine_event const& aEvent);

  bool IsSuspect(core::time_point aNow, suspect_id aSuspect) const;
  bool IsQuarantined(core::time_point aNow, suspect_id aSuspect) const;
  std::size_t Suspects() const { return mSuspects.size(); }

private:
  struct suspect
  {
    std::set<crash_id> mCrashes;
    core::time_point mExpires;
  };

  /// A trial that this daemon, as owner, has granted.
  struct granted_trial
  {
    suspect_id mSuspect;
    holder_id mRunner;
    std::uint64_t mSequence = 0;
    core::time_point mExpires;
  };

  /// A local call that waits for a trial to be granted, or for the upstream to
  /// become idle.
  struct waiting_call
  {
    suspect_id mSuspect;
    core::instance_id mOwner;
    std::uint64_t mSequence = 0;
    core::time_point mGiveUp;
    core::time_point mNextSend;
  };

  /// The call that has been granted a trial at the local upstream.
  struct local_trial
  {
    std::uint64_t mCall = 0;
    waiting_call mWaiting;
    bool mIsRunning = false;
  };

  struct notice
  {
    suspicion_notice mMessage;
    std::set<core::instance_id> mUnacknowledged;
    std::vector<std::uint64_t> mDelayedCalls;
    core::time_point mReportAt;
    core::time_point mGiveUp;
    core::time_point mNextSend;
  };

  struct pending_result
  {
    trial_result mMessage;
    core::instance_id mOwner;
    core::time_point mGiveUp;
    core::time_point mNextSend;
  };

  using trial_key = std::pair<holder_id, std::uint64_t>;

  void On(core::time_point aNow, call_ready const& aEvent);
  void On(core::time_point aNow, call_completed const& aEvent);
  void On(core::time_point aNow, call_unanswered const& aEvent);
  void On(core::time_point aNow, upstream_crashed const& aEvent);
  void On(core::time_point aNow, service_peers_changed const& aEvent);
  void On(core::time_point aNow, quarantine_message_received const& aEvent);
  void On(core::time_point aNow, quarantine_tick const& aEvent);

  void Receive(core::time_point aNow,
               core::instance_id const& aFrom,
               suspicion_notice const& aNotice);
  void Receive(core::time_point aNow,
               core::instance_id const& aFrom,
               suspicion_ack const& aAck);
  void Receive(core::time_point aNow,
               core::instance_id const& aFrom,
               trial_request const& aRequest);
  void Receive(core::time_point aNow,
               core::instance_id const& aFrom,
               trial_reply const& aReply);
  void Receive(core::time_point aNow,
               core::instance_id const& aFrom,
               trial_result const& aResult);
  void Receive(core::time_point aNow,
               core::instance_id const& aFrom,
               trial_result_ack const& aAck);

  void Send(core::instance_id const& aTo, quarantine_message aMessage);
  void Run(std::uint64_t aCall, suspect_id aSuspect, bool aIsExclusive);
  void Refuse(core::time_point aNow, std::uint64_t aCall, suspect_id aSuspect);
  void RefuseBusy(std::uint64_t aCall);
  void RequestTrial(core::time_point aNow, waiting_call& aWaiting);
  void RunTrialIfIdle();
  void EndLocalTrial(core::time_point aNow,
                     trial_end aEnd,
                     crash_id const& aCrash);
  void SendResult(core::time_point aNow,
                  waiting_call const& aWaiting,
                  trial_end aEnd,
                  crash_id const& aCrash);
  void AddCrash(core::time_point aNow,
                suspect_id aSuspect,
                crash_id const& aCrash);
  void Merge(core::time_point aNow, suspicion const& aSuspicion);
  void Clear(core::time_point aNow, suspicion const& aSuspicion);
  void ClearEverywhere(core::time_point aNow, suspect_id aSuspect);
  void MakeRoom();
  suspicion Describe(core::time_point aNow, suspect_id aSuspect) const;
  void Notify(core::time_point aNow,
              suspicion_notice aNotice,
              std::set<core::instance_id> aPeers,
              std::vector<std::uint64_t> aDelayedCalls);
  void ReportDelayedCalls(notice& aNotice);
  trial_verdict Decide(core::time_point aNow, trial_request const& aRequest);
  void RefuseWaiting(core::time_point aNow, suspect_id aSuspect);
  void TickTrial(core::time_point aNow);
  void TickWaiting(core::time_point aNow);
  void TickNotices(core::time_point aNow);
  void TickResults(core::time_point aNow);
  void TickExpiry(core::time_point aNow);

  quarantine_settings mSettings;
  std::set<holder_id> mPeers;
  std::map<std::uint64_t, suspect_id> mInFlight;
  /// Calls that ended without an answer, which the upstream may still be
  /// running, and until when they are kept.
  std::deque<std::pair<core::time_point, suspect_id>> mUnansweredCalls;
  std::map<suspect_id, suspect> mSuspects;
  std::map<std::pair<suspect_id, crash_id>, core::time_point> mCleared;
  std::map<std::uint64_t, waiting_call> mWaiting;
  std::optional<local_trial> mLocalTrial;
  std::optional<granted_trial> mGranted;
  std::deque<trial_key> mEndedTrials;
  std::map<std::uint64_t, notice> mNotices;
  std::map<std::uint64_t, pending_result> mResults;
  /// Messages from this daemon to itself, as owner or runner of a trial.
  std::deque<quarantine_message> mLocal;
  std::uint64_t mLastSequence = 0;
  actions mActions;
};

}
