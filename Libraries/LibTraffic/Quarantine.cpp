#include "LibTraffic/Quarantine.h"

#include "LibCore/Assert.h"

#include <algorithm>

namespace cranberryfold::traffic {

namespace {

/// Maximum number of calls that wait for a trial at one daemon; further ones
/// are refused.
constexpr std::size_t kMaximumWaiting = 100;
/// Time for which an upstream that ignores a cancellation may still run the
/// call.
constexpr core::duration kUnansweredCallRetention = std::chrono::seconds(10);
/// Bits for the sequence numbers of one incarnation. Those of different
/// incarnations do not overlap, so that a late acknowledgement to an earlier
/// incarnation is not mistaken for one to this incarnation.
constexpr unsigned kIncarnationShift = 20;
constexpr std::size_t kMaximumUnansweredCalls = 1000;
/// Crashes of trials after which a suspect does not run again.
constexpr std::size_t kMaximumTrialCrashes = 2;
/// Other crashes that are kept of a suspect. More would enlarge the notices.
constexpr std::size_t kMaximumOtherCrashes = 2;
constexpr core::duration kBusyRetryAfter = std::chrono::milliseconds(200);

void
LimitCrashes(std::set<crash_id>& aCrashes)
{
  std::size_t ofTrials = 0;
  std::size_t others = 0;
  std::erase_if(aCrashes, [&](crash_id const& aCrash) {
    return aCrash.IsOfTrial() ? ++ofTrials > kMaximumTrialCrashes
                              : ++others > kMaximumOtherCrashes;
  });
}

}

std::size_t
quarantine::suspect::TrialCrashes() const
{
  auto const count = std::ranges::count_if(
    mCrashes, [](crash_id const& aCrash) { return aCrash.IsOfTrial(); });
  return static_cast<std::size_t>(count);
}

quarantine::quarantine(quarantine_settings aSettings)
  : mSettings(std::move(aSettings))
  , mLastSequence(mSettings.mSelf.mIncarnation.mValue << kIncarnationShift)
{
}

quarantine::actions
quarantine::Handle(core::time_point aNow, quarantine_event const& aEvent)
{
  std::visit([&](auto const& aActual) { On(aNow, aActual); }, aEvent);
  while (!mLocal.empty()) {
    auto const message = std::move(mLocal.front());
    mLocal.pop_front();
    On(aNow, quarantine_message_received{ mSettings.mSelf.mInstance, message });
  }
  return std::exchange(mActions, {});
}

bool
quarantine::IsSuspect(core::time_point aNow, suspect_id aSuspect) const
{
  auto const found = mSuspects.find(aSuspect);
  return found != mSuspects.end() && found->second.mExpires > aNow;
}

bool
quarantine::IsQuarantined(core::time_point aNow, suspect_id aSuspect) const
{
  return IsSuspect(aNow, aSuspect) &&
         QuarantineEnd(mSuspects.at(aSuspect)) > aNow;
}

core::time_point
quarantine::QuarantineEnd(suspect const& aSuspect) const
{
  auto const crashes = aSuspect.TrialCrashes();
  if (crashes == 0) {
    return {};
  }
  if (crashes >= kMaximumTrialCrashes) {
    return aSuspect.mExpires;
  }
  return aSuspect.mExpires - mSettings.mQuarantineTime + mSettings.mTrialPause;
}

bool
quarantine::MayStillRun(std::uint64_t aCall) const
{
  return std::ranges::find(mUnansweredCalls, aCall, &unanswered_call::mCall) !=
         mUnansweredCalls.end();
}

void
quarantine::On(core::time_point aNow, call_ready const& aEvent)
{
  if (mSettings.mEnabled && IsQuarantined(aNow, aEvent.mSuspect)) {
    Refuse(aNow, aEvent.mCall, aEvent.mSuspect);
    return;
  }
  if (mSettings.mEnabled && IsSuspect(aNow, aEvent.mSuspect)) {
    if (mWaiting.size() >= kMaximumWaiting) {
      Refuse(aNow, aEvent.mCall, aEvent.mSuspect);
      return;
    }
    waiting_call waiting{ aEvent.mSuspect, {}, ++mLastSequence };
    waiting.mGiveUp = aNow + mSettings.mMaximumTrialWait;
    auto& entry = mWaiting[aEvent.mCall] = waiting;
    RequestTrial(aNow, entry);
    return;
  }
  if (mLocalTrial) {
    RefuseBusy(aEvent.mCall);
    return;
  }
  Run(aEvent.mCall, aEvent.mSuspect, false);
}

void
quarantine::On(core::time_point aNow, call_completed const& aEvent)
{
  auto const entry = mInFlight.find(aEvent.mCall);
  if (entry == mInFlight.end()) {
    return;
  }
  auto const id = entry->second;
  mInFlight.erase(entry);
  if (IsSuspect(aNow, id)) {
    ClearEverywhere(aNow, id);
  }
  if (mLocalTrial && mLocalTrial->mCall == aEvent.mCall) {
    EndLocalTrial(aNow, trial_end::kCompleted, {});
  }
  RunTrialIfIdle();
}

void
quarantine::On(core::time_point aNow, call_unanswered const& aEvent)
{
  if (mWaiting.erase(aEvent.mCall) > 0) {
    return;
  }
  auto const isTrial = mLocalTrial && mLocalTrial->mCall == aEvent.mCall;
  if (isTrial && !mLocalTrial->mIsRunning) {
    EndLocalTrial(aNow, trial_end::kNotRun, {});
    return;
  }
  auto const entry = mInFlight.find(aEvent.mCall);
  if (entry == mInFlight.end()) {
    return;
  }
  unanswered_call unanswered{
    aNow + kUnansweredCallRetention, aEvent.mCall, entry->second, std::nullopt
  };
  mInFlight.erase(entry);
  if (isTrial) {
    // The call may still crash this upstream, so it counts as a crash and the
    // suspect does not reach another upstream before it is known.
    auto const crash = crash_id::OfTrial(mSettings.mSelf, ++mLastSequence);
    unanswered.mAssumedCrash = crash;
    AddCrash(aNow, unanswered.mSuspect, crash);
    EndLocalTrial(aNow, trial_end::kCrashed, crash);
    Notify(aNow, { 0, { Describe(aNow, unanswered.mSuspect) }, {} }, {}, {});
  }
  mUnansweredCalls.push_back(unanswered);
  if (mUnansweredCalls.size() > kMaximumUnansweredCalls) {
    ForgetUnansweredCall(aNow);
  }
  RunTrialIfIdle();
}

void
quarantine::On(core::time_point aNow, call_not_run const& aEvent)
{
  mWaiting.erase(aEvent.mCall);
  mInFlight.erase(aEvent.mCall);
  if (mLocalTrial && mLocalTrial->mCall == aEvent.mCall) {
    EndLocalTrial(aNow, trial_end::kNotRun, {});
  }
  RunTrialIfIdle();
}

void
quarantine::ForgetUnansweredCall(core::time_point aNow)
{
  auto const call = mUnansweredCalls.front();
  mUnansweredCalls.pop_front();
  if (!call.mAssumedCrash) {
    return;
  }
  auto cleared = Describe(aNow, call.mSuspect);
  cleared.mCrashes = { *call.mAssumedCrash };
  Clear(aNow, cleared);
  Notify(aNow, { 0, {}, { cleared } }, {}, {});
}

void
quarantine::On(core::time_point aNow, upstream_crashed const&)
{
  std::set<suspect_id> suspects;
  std::vector<std::uint64_t> lost;
  for (auto const& [call, id] : mInFlight) {
    suspects.insert(id);
    lost.push_back(call);
  }
  bool const isOfTrial = mLocalTrial && mLocalTrial->mIsRunning;
  // During a trial, no other call can have crashed the upstream.
  if (!isOfTrial) {
    for (auto const& call : mUnansweredCalls) {
      suspects.insert(call.mSuspect);
    }
  }
  mUnansweredCalls.clear();
  mInFlight.clear();
  mLastCrash = aNow;
  ++mLastSequence;
  auto const crash = isOfTrial
                       ? crash_id::OfTrial(mSettings.mSelf, mLastSequence)
                       : crash_id{ mSettings.mSelf, mLastSequence };
  suspicion_notice message;
  for (auto const& id : suspects) {
    AddCrash(aNow, id, crash);
    message.mSuspicions.push_back(Describe(aNow, id));
  }
  if (mLocalTrial) {
    EndLocalTrial(
      aNow, isOfTrial ? trial_end::kCrashed : trial_end::kNotRun, crash);
  }
  Notify(aNow, std::move(message), {}, std::move(lost));
}

void
quarantine::On(core::time_point aNow, service_peers_changed const& aEvent)
{
  auto const old = std::exchange(mPeers, aEvent.mPeers);
  std::set<core::instance_id> fresh;
  std::set<core::instance_id> alive;
  for (auto const& peer : mPeers) {
    alive.insert(peer.mInstance);
    if (!old.contains(peer)) {
      fresh.insert(peer.mInstance);
    }
  }
  for (auto& [sequence, pending] : mNotices) {
    std::erase_if(pending.mUnacknowledged, [&](core::instance_id const& aPeer) {
      return !alive.contains(aPeer);
    });
  }
  bool const hasDeparture = std::ranges::any_of(
    old, [&](holder_id const& aPeer) { return !mPeers.contains(aPeer); });
  if (hasDeparture || !mLastDeparture) {
    mLastDeparture = aNow;
  }
  if (mGranted && !IsAlive(mGranted->mRunner)) {
    // The result of the trial will not be known. That its daemon is gone says
    // nothing about the suspect.
    mEndedTrials.emplace_back(mGranted->mRunner, mGranted->mSequence);
    mGranted.reset();
  }
  if (fresh.empty() || mSuspects.empty()) {
    return;
  }
  suspicion_notice message;
  for (auto const& [id, unused] : mSuspects) {
    message.mSuspicions.push_back(Describe(aNow, id));
  }
  Notify(aNow, std::move(message), std::move(fresh), {});
}

void
quarantine::On(core::time_point aNow, quarantine_message_received const& aEvent)
{
  std::visit([&](auto const& aActual) { Receive(aNow, aEvent.mFrom, aActual); },
             aEvent.mMessage);
}

void
quarantine::On(core::time_point aNow, quarantine_tick const&)
{
  TickTrial(aNow);
  TickWaiting(aNow);
  TickNotices(aNow);
  TickResults(aNow);
  TickExpiry(aNow);
  RunTrialIfIdle();
}

void
quarantine::Send(core::instance_id const& aTo, quarantine_message aMessage)
{
  if (aTo == mSettings.mSelf.mInstance) {
    mLocal.push_back(std::move(aMessage));
    return;
  }
  mActions.emplace_back(send_quarantine_message{ aTo, std::move(aMessage) });
}

void
quarantine::Run(std::uint64_t aCall, suspect_id aSuspect, bool aIsExclusive)
{
  CF_ASSERT(!aIsExclusive || mInFlight.empty(), "a suspect does not run alone");
  mInFlight[aCall] = aSuspect;
  mActions.emplace_back(run_call{ aCall, aIsExclusive });
}

void
quarantine::Refuse(core::time_point aNow,
                   std::uint64_t aCall,
                   suspect_id aSuspect)
{
  refuse_suspect refusal{ aCall, core::refusal_reason::kQuarantined };
  refusal.mRetryAfter = kBusyRetryAfter;
  if (IsQuarantined(aNow, aSuspect)) {
    refusal.mRetryAfter = QuarantineEnd(mSuspects.at(aSuspect)) - aNow;
  }
  mActions.emplace_back(refusal);
}

void
quarantine::RefuseBusy(std::uint64_t aCall)
{
  mActions.emplace_back(
    refuse_suspect{ aCall, core::refusal_reason::kNotReady, kBusyRetryAfter });
}

suspicion
quarantine::Describe(core::time_point aNow, suspect_id aSuspect) const
{
  auto const found = mSuspects.find(aSuspect);
  if (found == mSuspects.end()) {
    return { aSuspect, {}, {} };
  }
  return { aSuspect, found->second.mCrashes, found->second.mExpires - aNow };
}

void
quarantine::AddCrash(core::time_point aNow,
                     suspect_id aSuspect,
                     crash_id const& aCrash)
{
  Merge(aNow, { aSuspect, { aCrash }, mSettings.mQuarantineTime });
}

void
quarantine::Merge(core::time_point aNow, suspicion const& aSuspicion)
{
  auto crashes = aSuspicion.mCrashes;
  std::erase_if(crashes, [&](crash_id const& aCrash) {
    return mCleared.contains({ aSuspicion.mSuspect, aCrash });
  });
  if (crashes.empty()) {
    return;
  }
  if (!mSuspects.contains(aSuspicion.mSuspect)) {
    MakeRoom();
  }
  auto& known = mSuspects[aSuspicion.mSuspect];
  known.mCrashes.insert(crashes.begin(), crashes.end());
  auto const remaining =
    std::min(aSuspicion.mRemaining, mSettings.mQuarantineTime);
  known.mExpires = std::max(known.mExpires, aNow + remaining);
  LimitCrashes(known.mCrashes);
  mLastCrash =
    std::max(mLastCrash, aNow + remaining - mSettings.mQuarantineTime);
  if (IsQuarantined(aNow, aSuspicion.mSuspect)) {
    RefuseWaiting(aNow, aSuspicion.mSuspect);
  }
}

void
quarantine::MakeRoom()
{
  if (mSuspects.size() < mSettings.mMaximumSuspects) {
    return;
  }
  auto const first = std::ranges::min_element(
    mSuspects, {}, [](auto const& aEntry) { return aEntry.second.mExpires; });
  mSuspects.erase(first);
}

void
quarantine::Clear(core::time_point aNow, suspicion const& aSuspicion)
{
  // A late notice of the crash must not make the request suspect again.
  for (auto const& crash : aSuspicion.mCrashes) {
    if (mCleared.size() < mSettings.mMaximumSuspects) {
      mCleared[{ aSuspicion.mSuspect, crash }] =
        aNow + mSettings.mQuarantineTime;
    }
  }
  auto const found = mSuspects.find(aSuspicion.mSuspect);
  if (found == mSuspects.end()) {
    return;
  }
  for (auto const& crash : aSuspicion.mCrashes) {
    found->second.mCrashes.erase(crash);
  }
  if (found->second.mCrashes.empty()) {
    mSuspects.erase(found);
  }
}

void
quarantine::ClearEverywhere(core::time_point aNow, suspect_id aSuspect)
{
  auto const cleared = Describe(aNow, aSuspect);
  Clear(aNow, cleared);
  Notify(aNow, { 0, {}, { cleared } }, {}, {});
}

}
