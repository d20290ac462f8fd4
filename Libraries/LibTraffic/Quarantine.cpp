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
constexpr core::duration kBusyRetryAfter = std::chrono::milliseconds(200);

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
         mSuspects.at(aSuspect).mCrashes.size() > 1;
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
  auto const id = entry->second;
  mInFlight.erase(entry);
  mUnansweredCalls.emplace_back(aNow + kUnansweredCallRetention, id);
  if (mUnansweredCalls.size() > kMaximumUnansweredCalls) {
    mUnansweredCalls.pop_front();
  }
  if (isTrial) {
    // The call may still crash this upstream, so it counts as a crash and the
    // suspect does not reach a third upstream.
    crash_id const crash{ mSettings.mSelf, ++mLastSequence };
    AddCrash(aNow, id, crash);
    EndLocalTrial(aNow, trial_end::kCrashed, crash);
    Notify(aNow, { 0, { Describe(aNow, id) }, {} }, {}, {});
  }
  RunTrialIfIdle();
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
  // During a trial, no other call can have crashed the upstream.
  if (!mLocalTrial || !mLocalTrial->mIsRunning) {
    for (auto const& [until, id] : mUnansweredCalls) {
      suspects.insert(id);
    }
  }
  mUnansweredCalls.clear();
  mInFlight.clear();
  crash_id const crash{ mSettings.mSelf, ++mLastSequence };
  suspicion_notice message;
  for (auto const& id : suspects) {
    AddCrash(aNow, id, crash);
    message.mSuspicions.push_back(Describe(aNow, id));
  }
  if (mLocalTrial) {
    EndLocalTrial(aNow,
                  mLocalTrial->mIsRunning ? trial_end::kCrashed
                                          : trial_end::kNotRun,
                  crash);
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
    refusal.mRetryAfter = mSuspects.at(aSuspect).mExpires - aNow;
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
  // Two crashes suffice for a quarantine, and more would enlarge the notices.
  while (known.mCrashes.size() > 2) {
    known.mCrashes.erase(std::prev(known.mCrashes.end()));
  }
  if (known.mCrashes.size() > 1) {
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
