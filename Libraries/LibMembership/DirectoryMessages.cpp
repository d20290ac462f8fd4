#include "LibMembership/DirectoryState.h"
#include "LibMembership/DisseminationTree.h"

#include <algorithm>

namespace cranberryfold::membership::detail {

namespace {

/// Updates from one comparison beyond which all zone peers find the same
/// differences by themselves.
constexpr std::size_t kLargeComparison = 8;

}

void
directory_state::On(member_message_received const& aEvent)
{
  auto const& from = aEvent.mMessage.mFrom;
  // A daemon that took over an address may receive its own messages.
  if (from.mInstance == mOwn.mInstance) {
    return;
  }
  mLastHeard = mNow;
  std::visit([&](auto const& aMessage) { On(from, aMessage); },
             aEvent.mMessage.mBody);
}

void
directory_state::On(contact const& aFrom, ping const& aMessage)
{
  MergeAll(aMessage.mUpdates, spread::kPush);
  if (aMessage.mTarget != mOwn.mInstance) {
    return;
  }
  mOutbox.Send(aFrom.mAddress,
               ping_answer{ aMessage.mSequence, Piggyback(aFrom.mInstance) });
  if (mTable.Find(aFrom.mInstance) == nullptr) {
    SendDigest(aFrom.mAddress, true, true);
  }
}

void
directory_state::On(contact const& aFrom, ping_request const& aMessage)
{
  auto const probe = mDetector.StartRelayed(mNow, aFrom, aMessage);
  mOutbox.Send(probe.mTarget.mAddress,
               ping{ probe.mSequence,
                     probe.mTarget.mInstance,
                     Piggyback(probe.mTarget.mInstance) });
}

void
directory_state::On(contact const& /*aFrom*/, ping_answer const& aMessage)
{
  mDetector.Answered(aMessage.mSequence, mOutbox);
  MergeAll(aMessage.mUpdates, spread::kPush);
}

void
directory_state::On(contact const& aFrom, update_batch const& aMessage)
{
  if (aMessage.mRange) {
    SendDown({ aMessage.mUpdates, aMessage.mReports, {} }, *aMessage.mRange);
  }
  MergeReports(aMessage.mReports);
  bool const isKnownInZone =
    aMessage.mRange ||
    (aMessage.mUpdates.size() > kLargeBatch && IsZonePeer(aFrom));
  MergeAll(aMessage.mUpdates,
           isKnownInZone || !IsSettled() ? spread::kNone : spread::kPush);
  if (mNow < mMembersExpected && !aMessage.mUpdates.empty()) {
    mMembersExpected = mNow;
    NoteJoined();
  }
}

void
directory_state::On(contact const& aFrom, digest const& aMessage)
{
  if (aMessage.mAnnouncement) {
    auto const& introduced = *aMessage.mAnnouncement;
    RefuseRemoved(aFrom, introduced.mIncarnation);
    Merge({ introduced, AnnouncedState(introduced) }, spread::kPush);
  }
  MergeReports(aMessage.mReports);
  bool const isUnknown = mTable.Find(aFrom.mInstance) == nullptr;
  if (isUnknown && !aMessage.mAnnouncement) {
    SendDigest(aFrom.mAddress, true, true);
  }
  auto const differing = DifferingZones(aMessage);
  if (differing.empty() && !aMessage.mWantsAnswer) {
    return;
  }
  digest_answer answer{ aMessage.mSequence, {}, {} };
  if (aMessage.mAnnouncement) {
    answer.mAnnouncement = mOwn;
  }
  for (auto const& zone : differing) {
    answer.mZones.push_back(mTable.Summary(zone));
  }
  mOutbox.Send(aFrom.mAddress, std::move(answer));
}

void
directory_state::On(contact const& aFrom, digest_answer const& aMessage)
{
  if (aMessage.mAnnouncement) {
    auto const& introduced = *aMessage.mAnnouncement;
    Merge({ introduced, AnnouncedState(introduced) },
          IsSettled() ? spread::kPush : spread::kNone);
  }
  NoteAnswer(aFrom, aMessage);
  entry_exchange exchange;
  for (auto const& summary : aMessage.mZones) {
    CompareSummary(summary, exchange);
  }
  // All members together are large; a joining daemon fetches them once, not
  // from each seed that answers.
  if (mNow < mMembersExpected) {
    exchange.mWanted.clear();
  } else if (!exchange.mWanted.empty() && !mJoinedAt) {
    mMembersExpected = mNow + kJoinTimeout;
  } else {
    NoteJoined();
  }
  if (exchange != entry_exchange{}) {
    mOutbox.Send(aFrom.mAddress, std::move(exchange));
  }
}

void
directory_state::On(contact const& aFrom, entry_exchange const& aMessage)
{
  for (auto const& removed : aMessage.mRemovals) {
    if (removed.mInstance == mOwn.mInstance) {
      if (removed.mIncarnation >= mOwn.mIncarnation) {
        HearAboutSelf({ { .mInstance = mOwn.mInstance,
                          .mIncarnation = removed.mIncarnation },
                        member_state::kDead });
      }
    } else if (mTable.Remove(mNow, removed)) {
      mOutbox.NoteChange();
    }
  }
  bool const isKnownInZone =
    IsZonePeer(aFrom) && aMessage.mUpdates.size() > kLargeComparison;
  MergeAll(aMessage.mUpdates,
           isKnownInZone || !IsSettled() ? spread::kNone : spread::kPush);
  auto wanted = UpdatesFor(aMessage.mWanted);
  if (!wanted.empty()) {
    mOutbox.Send(aFrom.mAddress, update_batch{ std::move(wanted), {}, {} });
  }
}

void
directory_state::MergeReports(std::vector<zone_report> const& aReports)
{
  // Reports of former relays would make every digest larger.
  auto const& relays = OwnRoster().mRelays;
  for (auto const& report : aReports) {
    bool const isRelay =
      std::any_of(relays.begin(), relays.end(), [&](contact const& aRelay) {
        return aRelay.mInstance == report.mReporter;
      });
    if (isRelay && report.mReporter != mOwn.mInstance &&
        mWatch.MergeReport(report)) {
      mReportsChanged = true;
    }
  }
}

}
