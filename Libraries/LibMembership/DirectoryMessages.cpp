#include "LibMembership/DirectoryState.h"
#include "LibMembership/DisseminationTree.h"

#include <algorithm>

namespace cranberryfold::membership::detail {

namespace {

/// An exchange with more updates than this is not forwarded: the other members
/// of the zone find the same differences in their own comparisons.
constexpr std::size_t kLargeExchangeUpdateCount = 8;

}

void
directory_state::On(member_message_received const& aEvent)
{
  auto const& from = aEvent.mMessage.mFrom;
  // A daemon that reuses an address may receive its own messages.
  if (from.mInstance == mOwn.mInstance) {
    return;
  }
  mLastMessageReceived = mNow;
  std::visit([&](auto const& aMessage) { On(from, aMessage); },
             aEvent.mMessage.mBody);
}

void
directory_state::On(contact const& aFrom, ping const& aMessage)
{
  MergeAll(aMessage.mUpdates, propagation::kPush);
  if (aMessage.mTarget != mOwn.mInstance) {
    return;
  }
  mOutbox.Send(
    aFrom.mAddress,
    ping_ack{ aMessage.mSequence, PiggybackUpdates(aFrom.mInstance) });
  if (mTable.Find(aFrom.mInstance) == nullptr) {
    SendDigest(aFrom.mAddress, true, true);
  }
}

void
directory_state::On(contact const& aFrom, ping_request const& aMessage)
{
  auto const probe = mFailureDetector.StartIndirect(mNow, aFrom, aMessage);
  mOutbox.Send(probe.mTarget.mAddress,
               ping{ probe.mSequence,
                     probe.mTarget.mInstance,
                     PiggybackUpdates(probe.mTarget.mInstance) });
}

void
directory_state::On(contact const& /*aFrom*/, ping_ack const& aMessage)
{
  mFailureDetector.HandleAck(aMessage.mSequence, mOutbox);
  MergeAll(aMessage.mUpdates, propagation::kPush);
}

void
directory_state::On(contact const& aFrom, update_batch const& aMessage)
{
  if (aMessage.mRange) {
    SendToBranches({ aMessage.mUpdates, aMessage.mReports, {} },
                   *aMessage.mRange);
  }
  MergeReports(aMessage.mReports);
  bool const isKnownInZone =
    aMessage.mRange ||
    (aMessage.mUpdates.size() > kLargeBatchUpdateCount && IsZonePeer(aFrom));
  MergeAll(aMessage.mUpdates,
           isKnownInZone || !IsSettled() ? propagation::kNone
                                         : propagation::kPush);
  if (mNow < mFullSyncDeadline && !aMessage.mUpdates.empty()) {
    mFullSyncDeadline = mNow;
    MarkJoined();
  }
}

void
directory_state::On(contact const& aFrom, digest const& aMessage)
{
  if (aMessage.mAnnouncement) {
    auto const& introduced = *aMessage.mAnnouncement;
    RejectRemoved(aFrom, introduced.mIncarnation);
    Merge({ introduced, AnnouncedState(introduced) }, propagation::kPush);
    ReportFormerProcess(aFrom, introduced);
  }
  MergeReports(aMessage.mReports);
  bool const isUnknown = mTable.Find(aFrom.mInstance) == nullptr;
  if (isUnknown && !aMessage.mAnnouncement) {
    SendDigest(aFrom.mAddress, true, true);
  }
  auto const differing = DifferingZones(aMessage);
  if (differing.empty() && !aMessage.mResponseRequested) {
    return;
  }
  digest_response response{ aMessage.mSequence, {}, {} };
  if (aMessage.mAnnouncement) {
    response.mAnnouncement = mOwn;
  }
  for (auto const& zone : differing) {
    response.mZones.push_back(mTable.Summary(zone));
  }
  mOutbox.Send(aFrom.mAddress, std::move(response));
}

void
directory_state::On(contact const& aFrom, digest_response const& aMessage)
{
  if (aMessage.mAnnouncement) {
    auto const& introduced = *aMessage.mAnnouncement;
    Merge({ introduced, AnnouncedState(introduced) },
          IsSettled() ? propagation::kPush : propagation::kNone);
  }
  RecordDigestResponse(aFrom, aMessage);
  entry_exchange exchange;
  for (auto const& summary : aMessage.mZones) {
    CompareSummary(summary, exchange);
  }
  // The full member list is large, so a joining daemon requests it once and not
  // from every seed that responds.
  if (mNow < mFullSyncDeadline) {
    exchange.mRequestedHashes.clear();
  } else if (!exchange.mRequestedHashes.empty() && !mJoinedAt) {
    mFullSyncDeadline = mNow + kJoinTimeout;
  } else {
    MarkJoined();
  }
  if (exchange != entry_exchange{}) {
    mOutbox.Send(aFrom.mAddress, std::move(exchange));
  }
}

void
directory_state::On(contact const& aFrom, entry_exchange const& aMessage)
{
  for (auto const& removed : aMessage.mRemovals) {
    if (!CheckIncarnation(removed.mInstance, removed.mIncarnation)) {
      continue;
    }
    if (removed.mInstance == mOwn.mInstance) {
      if (removed.mIncarnation >= mOwn.mIncarnation) {
        RefuteUpdateAboutSelf({ { .mInstance = mOwn.mInstance,
                                  .mIncarnation = removed.mIncarnation },
                                member_state::kDead });
      }
    } else if (mTable.Remove(mNow, removed)) {
      mOutbox.MarkMembersChanged();
    }
  }
  bool const isKnownInZone =
    IsZonePeer(aFrom) && aMessage.mUpdates.size() > kLargeExchangeUpdateCount;
  MergeAll(aMessage.mUpdates,
           isKnownInZone || !IsSettled() ? propagation::kNone
                                         : propagation::kPush);
  auto wanted = UpdatesFor(aMessage.mRequestedHashes);
  if (!wanted.empty()) {
    mOutbox.Send(aFrom.mAddress, update_batch{ std::move(wanted), {}, {} });
  }
}

void
directory_state::MergeReports(std::vector<zone_report> const& aReports)
{
  // Reports of former relays are dropped, as they would enlarge every digest.
  auto const& relays = OwnRoster().mRelays;
  for (auto const& report : aReports) {
    bool const isRelay =
      std::any_of(relays.begin(), relays.end(), [&](contact const& aRelay) {
        return aRelay.mInstance == report.mReporter;
      });
    if (!CheckIncarnation(report.mReporter, report.mIncarnation)) {
      continue;
    }
    if (isRelay && report.mReporter != mOwn.mInstance &&
        mZoneWatch.MergeReport(report)) {
      mReportsChanged = true;
    }
  }
}

}
