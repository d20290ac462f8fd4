#include "LibTraffic/Quarantine.h"

#include "LibCore/Assert.h"

#include <algorithm>

/// Trials of suspects: request, grant, run and result.
namespace cranberryfold::traffic {

namespace {

constexpr std::size_t kMaximumEndedTrials = 1000;

}

void
quarantine::RequestTrial(core::time_point aNow, waiting_call& aWaiting)
{
  auto const found = mSuspects.find(aWaiting.mSuspect);
  aWaiting.mNextSend = aNow + mSettings.mResendAfter;
  if (found == mSuspects.end()) {
    return;
  }
  auto const& crashes = found->second.mCrashes;
  auto const owner = OwnerOf(crashes);
  aWaiting.mOwner = owner.mInstance;
  auto const ofOwner = std::ranges::find(crashes, owner, &crash_id::mDaemon);
  auto const& crash = ofOwner == crashes.end() ? *crashes.begin() : *ofOwner;
  Send(aWaiting.mOwner,
       trial_request{
         aWaiting.mSuspect, crash, mSettings.mSelf, aWaiting.mSequence });
}

bool
quarantine::IsAlive(holder_id const& aDaemon) const
{
  return aDaemon == mSettings.mSelf || mPeers.contains(aDaemon);
}

holder_id
quarantine::OwnerOf(std::set<crash_id> const& aCrashes) const
{
  for (bool const isOfTrial : { false, true }) {
    for (auto const& crash : aCrashes) {
      if (crash.IsOfTrial() == isOfTrial && IsAlive(crash.mDaemon)) {
        return crash.mDaemon;
      }
    }
  }
  return mPeers.empty() ? mSettings.mSelf
                        : std::min(*mPeers.begin(), mSettings.mSelf);
}

bool
quarantine::HasSucceeded(core::time_point aNow, suspect const& aSuspect) const
{
  auto const& crashes = aSuspect.mCrashes;
  bool const isOwn =
    std::ranges::find(crashes, mSettings.mSelf, &crash_id::mDaemon) !=
    crashes.end();
  return !isOwn && OwnerOf(crashes) == mSettings.mSelf && mLastDeparture &&
         aNow >= *mLastDeparture + mSettings.mSuccessionDelay;
}

void
quarantine::Receive(core::time_point aNow,
                    core::instance_id const& aFrom,
                    trial_request const& aRequest)
{
  trial_reply reply{ aRequest.mSuspect, aRequest.mSequence };
  reply.mVerdict = Decide(aNow, aRequest);
  reply.mSuspicion = Describe(aNow, aRequest.mSuspect);
  Send(aFrom, std::move(reply));
}

trial_verdict
quarantine::Decide(core::time_point aNow, trial_request const& aRequest)
{
  bool const isOwner = aRequest.mCrash.mDaemon == mSettings.mSelf;
  bool const isCleared =
    mCleared.contains({ aRequest.mSuspect, aRequest.mCrash });
  if (!IsSuspect(aNow, aRequest.mSuspect)) {
    return isOwner || isCleared ? trial_verdict::kNotSuspect
                                : trial_verdict::kBusy;
  }
  auto const& known = mSuspects.at(aRequest.mSuspect);
  if (!isOwner && !HasSucceeded(aNow, known)) {
    // The daemon that owned the suspicion, or an earlier incarnation of this
    // one, may have granted a trial that still runs.
    return trial_verdict::kBusy;
  }
  if (IsQuarantined(aNow, aRequest.mSuspect)) {
    return trial_verdict::kQuarantined;
  }
  bool const isCalm = aNow >= mLastCrash + mSettings.mTrialPause;
  if (known.TrialCrashes() > 0 && !isCalm) {
    return trial_verdict::kBusy;
  }
  trial_key const key{ aRequest.mRunner, aRequest.mSequence };
  if (mGranted) {
    auto const isSame =
      key == trial_key{ mGranted->mRunner, mGranted->mSequence };
    return isSame ? trial_verdict::kGranted : trial_verdict::kBusy;
  }
  if (std::ranges::find(mEndedTrials, key) != mEndedTrials.end()) {
    return trial_verdict::kBusy;
  }
  mGranted = { aRequest.mSuspect,
               aRequest.mRunner,
               aRequest.mSequence,
               aNow + mSettings.mTrialLease };
  return trial_verdict::kGranted;
}

void
quarantine::Receive(core::time_point aNow,
                    core::instance_id const& aFrom,
                    trial_reply const& aReply)
{
  auto const entry = std::ranges::find_if(mWaiting, [&](auto const& aEntry) {
    return aEntry.second.mSequence == aReply.mSequence;
  });
  auto const isLocalTrial =
    mLocalTrial && mLocalTrial->mWaiting.mSequence == aReply.mSequence;
  if (entry == mWaiting.end()) {
    if (aReply.mVerdict == trial_verdict::kGranted && !isLocalTrial &&
        !mResults.contains(aReply.mSequence)) {
      // The call has ended; without a result the owner would count the trial as
      // a crash.
      waiting_call ended{ aReply.mSuspect, aFrom, aReply.mSequence };
      SendResult(aNow, ended, trial_end::kNotRun, {});
    }
    return;
  }
  auto const [call, waiting] = *entry;
  switch (aReply.mVerdict) {
    case trial_verdict::kBusy:
      return;
    case trial_verdict::kQuarantined:
      Merge(aNow, aReply.mSuspicion);
      return;
    case trial_verdict::kNotSuspect:
      mSuspects.erase(waiting.mSuspect);
      mWaiting.erase(entry);
      On(aNow, call_ready{ call, waiting.mSuspect });
      return;
    case trial_verdict::kGranted:
      break;
  }
  mWaiting.erase(call);
  if (mLocalTrial || IsQuarantined(aNow, waiting.mSuspect)) {
    SendResult(aNow, waiting, trial_end::kNotRun, {});
    Refuse(aNow, call, waiting.mSuspect);
    return;
  }
  mLocalTrial = { call, waiting, false };
  RunTrialIfIdle();
}

void
quarantine::RunTrialIfIdle()
{
  if (!mLocalTrial || mLocalTrial->mIsRunning || !mInFlight.empty()) {
    return;
  }
  mLocalTrial->mIsRunning = true;
  Run(mLocalTrial->mCall, mLocalTrial->mWaiting.mSuspect, true);
}

void
quarantine::EndLocalTrial(core::time_point aNow,
                          trial_end aEnd,
                          crash_id const& aCrash)
{
  CF_ASSERT(mLocalTrial.has_value(), "no trial is going on");
  auto const ended = *mLocalTrial;
  mLocalTrial.reset();
  SendResult(aNow, ended.mWaiting, aEnd, aCrash);
  if (!ended.mIsRunning) {
    Refuse(aNow, ended.mCall, ended.mWaiting.mSuspect);
  }
}

void
quarantine::SendResult(core::time_point aNow,
                       waiting_call const& aWaiting,
                       trial_end aEnd,
                       crash_id const& aCrash)
{
  pending_result pending;
  pending.mMessage = {
    aWaiting.mSuspect, mSettings.mSelf, aWaiting.mSequence, aEnd, aCrash
  };
  pending.mOwner = aWaiting.mOwner;
  pending.mGiveUp = aNow + mSettings.mQuarantineTime;
  pending.mNextSend = aNow + mSettings.mResendAfter;
  Send(pending.mOwner, pending.mMessage);
  mResults[aWaiting.mSequence] = std::move(pending);
}

void
quarantine::Receive(core::time_point aNow,
                    core::instance_id const& aFrom,
                    trial_result const& aResult)
{
  trial_key const key{ aResult.mRunner, aResult.mSequence };
  Send(aFrom, trial_result_ack{ aResult.mSuspect, aResult.mSequence });
  if (mGranted && key == trial_key{ mGranted->mRunner, mGranted->mSequence }) {
    mGranted.reset();
  }
  if (std::ranges::find(mEndedTrials, key) != mEndedTrials.end()) {
    return;
  }
  mEndedTrials.push_back(key);
  if (mEndedTrials.size() > kMaximumEndedTrials) {
    mEndedTrials.pop_front();
  }
  if (aResult.mEnd == trial_end::kCrashed) {
    AddCrash(aNow, aResult.mSuspect, aResult.mCrash);
  }
  if (aResult.mEnd == trial_end::kCompleted &&
      IsSuspect(aNow, aResult.mSuspect)) {
    ClearEverywhere(aNow, aResult.mSuspect);
  }
}

void
quarantine::Receive(core::time_point,
                    core::instance_id const&,
                    trial_result_ack const& aAck)
{
  mResults.erase(aAck.mSequence);
}

/// Refuses the local calls that wait for a trial of a suspect that is now
/// quarantined.
void
quarantine::RefuseWaiting(core::time_point aNow, suspect_id aSuspect)
{
  for (auto entry = mWaiting.begin(); entry != mWaiting.end();) {
    auto const current = entry++;
    if (current->second.mSuspect == aSuspect) {
      Refuse(aNow, current->first, aSuspect);
      mWaiting.erase(current);
    }
  }
  if (mLocalTrial && !mLocalTrial->mIsRunning &&
      mLocalTrial->mWaiting.mSuspect == aSuspect) {
    EndLocalTrial(aNow, trial_end::kNotRun, {});
  }
}

void
quarantine::TickTrial(core::time_point aNow)
{
  if (!mGranted || aNow < mGranted->mExpires) {
    return;
  }
  // The trial has no result, so it counts as a crash.
  auto const expired = *mGranted;
  mGranted.reset();
  AddCrash(aNow,
           expired.mSuspect,
           crash_id::OfTrial(expired.mRunner, expired.mSequence));
  Notify(aNow, { 0, { Describe(aNow, expired.mSuspect) }, {} }, {}, {});
}

void
quarantine::TickWaiting(core::time_point aNow)
{
  for (auto entry = mWaiting.begin(); entry != mWaiting.end();) {
    auto const current = entry++;
    auto const id = current->second.mSuspect;
    auto const call = current->first;
    if (!IsSuspect(aNow, id)) {
      mWaiting.erase(current);
      On(aNow, call_ready{ call, id });
    } else if (aNow >= current->second.mGiveUp) {
      mWaiting.erase(current);
      Refuse(aNow, call, id);
    } else if (aNow >= current->second.mNextSend) {
      RequestTrial(aNow, current->second);
    }
  }
  if (mLocalTrial && !mLocalTrial->mIsRunning &&
      aNow >= mLocalTrial->mWaiting.mGiveUp) {
    EndLocalTrial(aNow, trial_end::kNotRun, {});
  }
}

void
quarantine::TickResults(core::time_point aNow)
{
  std::erase_if(mResults, [&](auto const& aEntry) {
    return aNow >= aEntry.second.mGiveUp;
  });
  for (auto& [sequence, pending] : mResults) {
    if (aNow >= pending.mNextSend) {
      pending.mNextSend = aNow + mSettings.mResendAfter;
      Send(pending.mOwner, pending.mMessage);
    }
  }
}

}
