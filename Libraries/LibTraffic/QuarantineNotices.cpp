#include "LibTraffic/Quarantine.h"

#include <algorithm>

/// Notifies the other daemons of the service about suspects.
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

/// Sends aNotice to aPeers, or to all peers if aPeers is empty. The loss of
/// aDelayedCalls is reported once all of them have acknowledged, or after the
/// maximum delay.
void
quarantine::Notify(core::time_point aNow,
                   suspicion_notice aNotice,
                   std::set<core::instance_id> aPeers,
                   std::vector<std::uint64_t> aDelayedCalls)
{
  notice pending;
  aNotice.mSequence = ++mLastSequence;
  pending.mMessage = std::move(aNotice);
  pending.mUnacknowledged =
    aPeers.empty() ? InstancesOf(mPeers) : std::move(aPeers);
  pending.mDelayedCalls = std::move(aDelayedCalls);
  pending.mReportAt = aNow + mSettings.mMaximumReportDelay;
  pending.mGiveUp = aNow + mSettings.mQuarantineTime;
  pending.mNextSend = aNow + mSettings.mResendAfter;
  if (!mSettings.mEnabled || pending.mUnacknowledged.empty()) {
    ReportDelayedCalls(pending);
    return;
  }
  for (auto const& peer : pending.mUnacknowledged) {
    Send(peer, pending.mMessage);
  }
  if (mNotices.size() >= kMaximumNotices) {
    ReportDelayedCalls(mNotices.begin()->second);
    mNotices.erase(mNotices.begin());
  }
  mNotices.emplace(pending.mMessage.mSequence, std::move(pending));
}

void
quarantine::ReportDelayedCalls(notice& aNotice)
{
  for (auto const call : aNotice.mDelayedCalls) {
    mActions.emplace_back(report_lost_call{ call });
  }
  aNotice.mDelayedCalls.clear();
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
  // The sender may own a suspicion without knowing the other crash. If the
  // daemon of that crash has restarted, only its peers can report it.
  suspicion_notice missing;
  for (auto const& received : aNotice.mSuspicions) {
    if (received.mRemaining > core::duration{} && !received.mCrashes.empty()) {
      Merge(aNow, received);
    }
    auto const known = Describe(aNow, received.mSuspect);
    // Two daemons that have each cleared the only crash that the other one
    // knows would answer each other forever.
    if (known.mCrashes.size() > 1 &&
        !std::ranges::includes(received.mCrashes, known.mCrashes)) {
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
  found->second.mUnacknowledged.erase(aFrom);
  if (found->second.mUnacknowledged.empty()) {
    ReportDelayedCalls(found->second);
    mNotices.erase(found);
  }
}

void
quarantine::TickNotices(core::time_point aNow)
{
  for (auto entry = mNotices.begin(); entry != mNotices.end();) {
    auto& pending = entry->second;
    if (pending.mUnacknowledged.empty() || aNow >= pending.mReportAt) {
      ReportDelayedCalls(pending);
    }
    if (pending.mUnacknowledged.empty() || aNow >= pending.mGiveUp) {
      entry = mNotices.erase(entry);
      continue;
    }
    if (aNow >= pending.mNextSend) {
      pending.mNextSend = aNow + mSettings.mResendAfter;
      for (auto const& peer : pending.mUnacknowledged) {
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
  while (!mUnansweredCalls.empty() &&
         mUnansweredCalls.front().mExpires <= aNow) {
    ForgetUnansweredCall(aNow);
  }
}

}
