#include "LibTraffic/Quarantine.h"

#include <algorithm>

/// Telling the other daemons of the service about suspects.
namespace cranberryfold::traffic {

namespace {

constexpr std::size_t kMaximumNotices = 1000;

std::set<core::instance_id>
InstancesOf(std::set<holder_id> const& aPeers)
{
  std::set<core::instance_id> instances;
  for (auto const& peer : aPeers) {
    instances.insert(peer.mInstance);
  }
  return instances;
}

}

/// Sends aNotice to aPeers, or to all peers when aPeers is empty.
void
quarantine::Notify(core::time_point aNow,
                   suspicion_notice aNotice,
                   std::set<core::instance_id> aPeers,
                   std::vector<std::uint64_t> aHeldCalls)
{
  notice pending;
  aNotice.mSequence = ++mLastSequence;
  pending.mMessage = std::move(aNotice);
  pending.mMissing = aPeers.empty() ? InstancesOf(mPeers) : std::move(aPeers);
  pending.mHeldCalls = std::move(aHeldCalls);
  pending.mHoldUntil = aNow + mSettings.mMaximumHold;
  pending.mGiveUp = aNow + mSettings.mQuarantineTime;
  pending.mNextSend = aNow + mSettings.mResendAfter;
  if (!mSettings.mEnabled || pending.mMissing.empty()) {
    ReleaseHeld(pending);
    return;
  }
  for (auto const& peer : pending.mMissing) {
    Send(peer, pending.mMessage);
  }
  if (mNotices.size() >= kMaximumNotices) {
    ReleaseHeld(mNotices.begin()->second);
    mNotices.erase(mNotices.begin());
  }
  mNotices.emplace(pending.mMessage.mSequence, std::move(pending));
}

void
quarantine::ReleaseHeld(notice& aNotice)
{
  for (auto const call : aNotice.mHeldCalls) {
    mActions.emplace_back(report_lost_call{ call });
  }
  aNotice.mHeldCalls.clear();
}

void
quarantine::Receive(core::time_point aNow,
                    core::instance_id const& aFrom,
                    suspicion_notice const& aNotice)
{
  Send(aFrom, suspicion_ack{ aNotice.mSequence });
  if (!mSettings.mEnabled) {
    return;
  }
  for (auto const& cleared : aNotice.mCleared) {
    Clear(aNow, cleared);
  }
  // The sender may own a suspicion whose other crash it cannot hear of any
  // more, when the daemon of that crash has restarted.
  suspicion_notice missing;
  for (auto const& told : aNotice.mSuspicions) {
    if (told.mRemaining > core::duration{} && !told.mCrashes.empty()) {
      Merge(aNow, told);
    }
    auto const known = Describe(aNow, told.mSuspect);
    // Two daemons that have each cleared the only crash that the other knows
    // would answer each other without end.
    if (known.mCrashes.size() > 1 &&
        !std::ranges::includes(told.mCrashes, known.mCrashes)) {
      missing.mSuspicions.push_back(known);
    }
  }
  if (!missing.mSuspicions.empty()) {
    Notify(aNow, std::move(missing), { aFrom }, {});
  }
}

void
quarantine::Receive(core::time_point,
                    core::instance_id const& aFrom,
                    suspicion_ack const& aAck)
{
  auto const found = mNotices.find(aAck.mSequence);
  if (found == mNotices.end()) {
    return;
  }
  found->second.mMissing.erase(aFrom);
  if (found->second.mMissing.empty()) {
    ReleaseHeld(found->second);
    mNotices.erase(found);
  }
}

void
quarantine::TickNotices(core::time_point aNow)
{
  for (auto entry = mNotices.begin(); entry != mNotices.end();) {
    auto& pending = entry->second;
    if (pending.mMissing.empty() || aNow >= pending.mHoldUntil) {
      ReleaseHeld(pending);
    }
    if (pending.mMissing.empty() || aNow >= pending.mGiveUp) {
      entry = mNotices.erase(entry);
      continue;
    }
    if (aNow >= pending.mNextSend) {
      pending.mNextSend = aNow + mSettings.mResendAfter;
      for (auto const& peer : pending.mMissing) {
        Send(peer, pending.mMessage);
      }
    }
    ++entry;
  }
}

void
quarantine::TickExpiry(core::time_point aNow)
{
  std::erase_if(mSuspects, [&](auto const& aEntry) {
    return aEntry.second.mExpires <= aNow;
  });
  std::erase_if(mCleared,
                [&](auto const& aEntry) { return aEntry.second <= aNow; });
  while (!mLingering.empty() && mLingering.front().first <= aNow) {
    mLingering.pop_front();
  }
}

}
