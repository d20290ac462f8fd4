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
/// Every request that was in flight at a crash is suspect. Any number of such
/// crashes proves nothing: a page that many callers read is in flight at every
/// upstream, also if they all crash for another reason. The daemon of the first
/// crash owns the suspicion: only the owner grants trials, one at a time, and
/// during a trial the suspect is the only request at its upstream. A suspect
/// that completes is cleared. The crash of a trial may still have another
/// reason, so the suspect is refused everywhere for a pause and then gets a
/// second trial, while no upstream of the service crashes. A second crash
/// quarantines the request everywhere. So at most three upstreams crash,
/// provided that the notice of the first crash reaches a daemon before the
/// request does. Therefore the failure is reported to the sender only after all
/// live daemons of the service have acknowledged the notice, or after
/// kMaximumReportDelay (report_lost_call).
///
/// If the owner is unreachable, a suspect is refused. Once all daemons that
/// could own it have left or restarted, the first live daemon succeeds them,
/// after a delay in which a trial that they granted can end.
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
  /// Time for which a suspect is refused after the crash of its first trial,
  /// and for which no upstream of the service may crash before the second.
  core::duration mTrialPause = std::chrono::seconds(5);
  /// Time from the last departure of a daemon of the service until another one
  /// grants trials in place of an owner that has left.
  core::duration mSuccessionDelay = std::chrono::seconds(5);
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
/// timeout. Clears no suspicion, as the upstream may still run the call.
struct call_unanswered
{
  std::uint64_t mCall = 0;
};

/// The call ended and the upstream has not run it, for example because it
/// accepted no connection. Proves nothing.
struct call_not_run
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
                                      call_not_run,
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
  /// Returns whether the request is refused everywhere at present, in the pause
  /// after its first trial or for good.
  bool IsQuarantined(core::time_point aNow, suspect_id aSuspect) const;
  /// Returns whether the call ended without an answer and may still crash the
  /// local upstream.
  bool MayStillRun(std::uint64_t aCall) const;
  std::size_t Suspects() const { return mSuspects.size(); }

private:
  struct suspect
  {
    std::set<crash_id> mCrashes;
    /// The quarantine time after the last crash.
    core::time_point mExpires;

    std::size_t TrialCrashes() const;
  };

  /// A call that ended without an answer, which the upstream may still be
  /// running.
  struct unanswered_call
  {
    core::time_point mExpires;
    std::uint64_t mCall = 0;
    suspect_id mSuspect;
    /// The crash that a trial without an answer counts as. It is withdrawn if
    /// the upstream does not crash until mExpires.
    std::optional<crash_id> mAssumedCrash;
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
  void On(core::time_point aNow, call_not_run const& aEvent);
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
  /// Returns when a quarantined suspect may run again, or its suspicion ends.
  core::time_point QuarantineEnd(suspect const& aSuspect) const;
  /// Forgets the oldest unanswered call and withdraws the crash that it counted
  /// as.
  void ForgetUnansweredCall(core::time_point aNow);
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
  bool IsAlive(holder_id const& aDaemon) const;
  /// Returns the daemon that grants trials of a suspect with these crashes.
  holder_id OwnerOf(std::set<crash_id> const& aCrashes) const;
  /// Returns whether this daemon grants the trials that a request names another
  /// owner for.
  bool HasSucceeded(core::time_point aNow, suspect const& aSuspect) const;
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
  std::deque<unanswered_call> mUnansweredCalls;
  /// The last crash of an upstream of the service that is known.
  core::time_point mLastCrash;
  /// When a daemon of the service was last seen to leave or restart, or the
  /// start of this one.
  std::optional<core::time_point> mLastDeparture;
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
