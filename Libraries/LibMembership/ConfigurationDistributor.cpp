#include "LibMembership/ConfigurationDistributor.h"

#include "LibCore/Assert.h"
#include "LibMembership/Codec.h"
#include "LibMembership/DisseminationTree.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/UpdateQueue.h"
#include "LibTables/TableRules.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::membership {

namespace {

constexpr core::duration kDigestInterval = std::chrono::seconds(1);
/// Used until the first tables arrive: the daemon rejects every caller until
/// then, and after a power loss of all instances, no peer may have tables at
/// first.
constexpr core::duration kInitialDigestInterval =
  std::chrono::milliseconds(100);
/// Time after which an unanswered request goes to another peer; longer than a
/// round trip between regions, 40 ms at the users' sites.
constexpr core::duration kRequestTimeout = std::chrono::milliseconds(300);
/// A peer that holds a newer revision shows it in each comparison, about once a
/// second. What was heard longer ago may come from a peer that is gone.
constexpr core::duration kPeerAheadLifetime = std::chrono::seconds(10);
constexpr std::size_t kMaximumPeersAhead = 16;
/// Deltas kept for peers that are behind: at 5,000 edits a day, they cover a
/// partition of more than two hours.
constexpr std::size_t kMaximumHistoryDeltas = 512;
/// Peers that are asked in parallel until the first tables arrive, so that a
/// lost datagram or a peer without tables causes no delay.
constexpr std::size_t kInitialPeerCount = 3;

/// Covers all members of a zone, whatever the sender knows of them.
tree_range
RangeOfAllInstances(bool aReversed)
{
  return { {}, { "\xff" }, aReversed };
}

core::revision
HighestRevision(configuration_message const& aMessage)
{
  auto const* const deltas = std::get_if<configuration_deltas>(&aMessage);
  if (deltas == nullptr) {
    return std::visit(
      [](auto const& aTyped) -> core::revision {
        if constexpr (requires { aTyped.mRevision; }) {
          return aTyped.mRevision;
        }
        return {};
      },
      aMessage);
  }
  core::revision highest;
  for (auto const& delta : deltas->mDeltas) {
    highest = std::max(highest, delta.mRevision);
  }
  return highest;
}

void
SetRange(configuration_message& aMessage,
         std::optional<tree_range> const& aRange)
{
  std::visit(
    [&aRange](auto& aTyped) {
      if constexpr (requires { aTyped.mRange; }) {
        aTyped.mRange = aRange;
      }
    },
    aMessage);
}

}

std::string_view
TableSourceName(table_source aSource)
{
  switch (aSource) {
    case table_source::kPush:
      return "push";
    case table_source::kRequest:
      return "request";
    case table_source::kReplica:
      return "replica";
  }
  return "";
}

configuration_distributor::configuration_distributor(
  distributor_settings aSettings,
  core::random_source aRandom)
  : mSettings(std::move(aSettings))
  , mRandom(aRandom)
  , mTables(std::make_shared<tables::table_set const>())
{
  mHash = tables::ContentHash(*mTables);
}

std::vector<distributor_action>
configuration_distributor::Handle(core::time_point aNow,
                                  distributor_event const& aEvent)
{
  mNow = aNow;
  std::visit([this](auto const& aTyped) { On(aTyped); }, aEvent);
  return std::exchange(mActions, {});
}

bool
configuration_distributor::IsCaughtUp() const
{
  return mHasPeerDigest && mPeersAhead.empty();
}

core::duration
configuration_distributor::BehindFor(core::time_point aNow) const
{
  return mBehindSince ? aNow - *mBehindSince : core::duration{};
}

core::duration
configuration_distributor::DigestInterval() const
{
  return HasNoTables() ? kInitialDigestInterval : kDigestInterval;
}

void
configuration_distributor::On(tick const& /*aEvent*/)
{
  CheckPushes();
  if (!mSettings.mAntiEntropy) {
    return;
  }
  RepeatRequest();
  if (!mNextDigest) {
    auto const phase =
      mRandom.Below(static_cast<std::uint64_t>(DigestInterval().count()));
    mNextDigest = mNow + core::duration(static_cast<std::int64_t>(phase));
  }
  if (mNow >= *mNextDigest) {
    mNextDigest = std::max(*mNextDigest + DigestInterval(), mNow);
    SendDigests();
  }
}

void
configuration_distributor::On(configuration_message_received const& aEvent)
{
  auto const& from = aEvent.mMessage.mFrom;
  if (from.mInstance == mSettings.mOwn.mInstance) {
    return;
  }
  auto const revision = HighestRevision(aEvent.mMessage.mBody);
  if (revision > kMaximumRevision) {
    mActions.emplace_back(revision_refused{ from.mInstance, revision });
    return;
  }
  std::visit([&](auto const& aMessage) { On(from, aMessage); },
             aEvent.mMessage.mBody);
}

void
configuration_distributor::On(tables_committed const& aEvent)
{
  auto const hash = tables::ContentHash(*aEvent.mTables);
  auto const before = mRevision;
  // What the control group has committed replaces other content of the same
  // revision, which can only be a peer's mistake.
  bool const isCorrection = aEvent.mRevision == before && hash != mHash;
  if (aEvent.mRevision <= before && !isCorrection) {
    return;
  }
  table_delta delta{ aEvent.mRevision,
                     hash,
                     tables::CompareTables(*mTables, *aEvent.mTables) };
  bool const isNext = aEvent.mRevision.mValue == before.mValue + 1;
  Install(
    { aEvent.mRevision, hash, aEvent.mTables, table_source::kReplica, {} });
  if (isNext) {
    AppendToHistory(std::move(delta));
  } else {
    mHistory.clear();
  }
  if (!mSettings.mPush) {
    return;
  }
  if (aEvent.mIsLeader) {
    PushToRelays(before);
    PushToZone(before);
  } else if (before != core::revision{}) {
    // The relays may have failed: this replica is the first of its zone to
    // know the tables. After a start it only reads its journal.
    PushToZone(before);
  }
}

void
configuration_distributor::On(peers_changed const& aEvent)
{
  bool const hadNoPeers = mPeers.mZonePeers.empty();
  mPeers = aEvent.mPeers;
  if (!hadNoPeers || mHasPeerDigest || !mSettings.mAntiEntropy) {
    return;
  }
  for (auto const& peer :
       detail::PickRandom(mPeers.mZonePeers, kInitialPeerCount, mRandom)) {
    Send(peer.mAddress, OwnDigest(true));
  }
}

void
configuration_distributor::On(contact const& aFrom,
                              configuration_deltas const& aMessage)
{
  mRequestExpires = mNow;
  auto const before = mRevision;
  for (auto const& delta : aMessage.mDeltas) {
    if (IsConflicting(aFrom, delta.mRevision, delta.mHash)) {
      return;
    }
    bool const isNext = delta.mRevision.mValue == mRevision.mValue + 1;
    if (isNext && !ApplyDelta(aFrom, delta)) {
      // The same deltas would fail again, so the next request asks for a
      // snapshot.
      mNeedsSnapshot = true;
      break;
    }
  }
  if (!aMessage.mDeltas.empty()) {
    RecordRevision(aFrom, aMessage.mDeltas.back().mRevision);
  }
  if (!mPeersAhead.empty()) {
    RequestFrom(aFrom);
  }
  if (aMessage.mRange && !aMessage.mDeltas.empty()) {
    core::revision const base{ aMessage.mDeltas.front().mRevision.mValue - 1 };
    SendToBranches(
      base, aMessage.mDeltas.back().mRevision, aMessage, *aMessage.mRange);
  } else if (mRevision > before && IsRelay()) {
    PushToZone(before);
  }
}

void
configuration_distributor::On(contact const& aFrom,
                              configuration_digest const& aMessage)
{
  mHasPeerDigest = true;
  if (IsConflicting(aFrom, aMessage.mRevision, aMessage.mHash)) {
    return;
  }
  RecordRevision(aFrom, aMessage.mRevision);
  if (aMessage.mRevision > mRevision) {
    RequestFrom(aFrom);
  }
  if (aMessage.mRevision < mRevision || aMessage.mResponseRequested) {
    Send(aFrom.mAddress, OwnDigest(false));
  }
  if (auto const duty =
        mPushes.HandleRevision(aFrom.mInstance, aMessage.mRevision)) {
    TakeOver(*duty);
  }
}

void
configuration_distributor::On(contact const& aFrom,
                              configuration_request const& aMessage)
{
  if (aMessage.mRevision >= mRevision) {
    return;
  }
  if (aMessage.mSnapshotRequested) {
    Send(aFrom.mAddress, Snapshot());
  } else {
    Send(aFrom.mAddress, ChangesSince(aMessage.mRevision));
  }
}

void
configuration_distributor::On(contact const& aFrom,
                              configuration_snapshot const& aMessage)
{
  if (aMessage.mRange) {
    SendToBranches({}, aMessage.mRevision, aMessage, *aMessage.mRange);
  }
  mRequestExpires = mNow;
  bool const isIntact = tables::ContentHash(aMessage.mTables) == aMessage.mHash;
  if (!isIntact || IsConflicting(aFrom, aMessage.mRevision, aMessage.mHash)) {
    return;
  }
  auto const before = mRevision;
  if (aMessage.mRevision <= before) {
    return;
  }
  Install({ aMessage.mRevision,
            aMessage.mHash,
            std::make_shared<tables::table_set const>(aMessage.mTables),
            SourceOf(aFrom),
            aFrom.mInstance,
            true });
  // The delta to this revision is unknown, and peers cannot apply a history
  // with a gap.
  mHistory.clear();
  if (!aMessage.mRange && IsRelay()) {
    PushToZone(before);
  }
}

void
configuration_distributor::Install(tables_installed aInstalled)
{
  bool const isOfGroup = aInstalled.mSource == table_source::kReplica;
  CF_ASSERT(aInstalled.mRevision > mRevision ||
              (isOfGroup && aInstalled.mRevision == mRevision),
            "the active revision must not decrease");
  mRevision = aInstalled.mRevision;
  mHash = aInstalled.mHash;
  mTables = aInstalled.mTables;
  mNeedsSnapshot = false;
  aInstalled.mBehindFor = BehindFor(mNow);
  std::erase_if(mPeersAhead, [this](auto const& aEntry) {
    return aEntry.second.mRevision <= mRevision;
  });
  mAskedPeers.clear();
  if (mPeersAhead.empty()) {
    mBehindSince.reset();
  }
  mActions.emplace_back(std::move(aInstalled));
}

table_source
configuration_distributor::SourceOf(contact const& aFrom) const
{
  return aFrom.mInstance == mRequestedFrom ? table_source::kRequest
                                           : table_source::kPush;
}

void
configuration_distributor::RecordRevision(contact const& aPeer,
                                          core::revision aRevision)
{
  if (aRevision <= mRevision) {
    mPeersAhead.erase(aPeer.mInstance);
    return;
  }
  if (mPeersAhead.size() < kMaximumPeersAhead ||
      mPeersAhead.contains(aPeer.mInstance)) {
    mPeersAhead[aPeer.mInstance] = { aPeer, aRevision, mNow };
  }
  if (!mBehindSince) {
    mBehindSince = mNow;
    mActions.emplace_back(
      tables_outdated{ mRevision, aRevision, aPeer.mInstance });
  }
}

void
configuration_distributor::RepeatRequest()
{
  std::erase_if(mPeersAhead, [this](auto const& aEntry) {
    return mNow - aEntry.second.mHeard > kPeerAheadLifetime;
  });
  if (mPeersAhead.empty()) {
    mBehindSince.reset();
    return;
  }
  RequestFrom(NextPeerToAsk());
}

contact
configuration_distributor::NextPeerToAsk()
{
  for (auto const& [instance, ahead] : mPeersAhead) {
    if (!mAskedPeers.contains(instance)) {
      return ahead.mPeer;
    }
  }
  // Others may have received the tables meanwhile; a peer that has not ignores
  // the request.
  auto others = mPeers.mZonePeers;
  std::erase_if(others, [this](contact const& aPeer) {
    return mAskedPeers.contains(aPeer.mInstance);
  });
  if (others.empty()) {
    mAskedPeers.clear();
    return mPeersAhead.begin()->second.mPeer;
  }
  return detail::PickRandom(others, 1, mRandom).front();
}

bool
configuration_distributor::ApplyDelta(contact const& aFrom,
                                      table_delta const& aDelta)
{
  auto changed = core::Attempt(
    [&] { return tables::ApplyChanges(*mTables, aDelta.mChanges); });
  // A build with different rules may compute different tables; it then requests
  // a snapshot instead.
  if (!changed || tables::ContentHash(*changed) != aDelta.mHash) {
    return false;
  }
  Install({ aDelta.mRevision,
            aDelta.mHash,
            std::make_shared<tables::table_set const>(std::move(*changed)),
            SourceOf(aFrom),
            aFrom.mInstance });
  AppendToHistory(aDelta);
  return true;
}

void
configuration_distributor::AppendToHistory(table_delta aDelta)
{
  mHistory.push_back(std::move(aDelta));
  if (mHistory.size() > kMaximumHistoryDeltas) {
    mHistory.pop_front();
  }
}

bool
configuration_distributor::HasDeltasAfter(core::revision aRevision) const
{
  return !mHistory.empty() &&
         mHistory.front().mRevision.mValue <= aRevision.mValue + 1;
}

std::vector<table_delta>
configuration_distributor::DeltasAfter(core::revision aRevision) const
{
  std::vector<table_delta> deltas;
  for (auto const& delta : mHistory) {
    if (delta.mRevision > aRevision) {
      deltas.push_back(delta);
    }
  }
  return deltas;
}

configuration_message
configuration_distributor::ChangesSince(core::revision aAfter) const
{
  if (HasDeltasAfter(aAfter)) {
    return configuration_deltas{ DeltasAfter(aAfter), {} };
  }
  return Snapshot();
}

configuration_snapshot
configuration_distributor::Snapshot() const
{
  return { mRevision, mHash, *mTables, {} };
}

bool
configuration_distributor::IsConflicting(contact const& aFrom,
                                         core::revision aRevision,
                                         std::uint64_t aHash)
{
  bool const isConflict = aRevision == mRevision && aHash != mHash;
  if (isConflict) {
    mActions.emplace_back(content_conflict{ aFrom.mInstance, aRevision });
  }
  return isConflict;
}

void
configuration_distributor::SendDigests()
{
  auto targets = detail::PickRandom(
    mPeers.mZonePeers, HasNoTables() ? kInitialPeerCount : 1, mRandom);
  if (IsRelay() || mPeers.mZonePeers.empty()) {
    auto const remote = detail::PickRandom(mPeers.mRemoteRelays, 1, mRandom);
    targets.insert(targets.end(), remote.begin(), remote.end());
  }
  for (auto const& target : targets) {
    Send(target.mAddress, OwnDigest(!mHasPeerDigest));
  }
}

void
configuration_distributor::RequestFrom(contact const& aPeer)
{
  if (mNow < mRequestExpires) {
    return;
  }
  // A peer that has not answered may be one whose connection is silent, though
  // its digests arrive.
  auto const peer =
    mAskedPeers.contains(aPeer.mInstance) ? NextPeerToAsk() : aPeer;
  mRequestExpires = mNow + kRequestTimeout;
  mRequestedFrom = peer.mInstance;
  mAskedPeers.insert(peer.mInstance);
  Send(peer.mAddress, configuration_request{ mRevision, mNeedsSnapshot });
}

void
configuration_distributor::PushToRelays(core::revision aBefore)
{
  for (auto const& candidates : mPeers.mRemoteCandidates) {
    // The two relays of a zone begin with different members and have different
    // replacements, so that one failure does not affect both trees.
    for (std::size_t relay = 0;
         relay < std::min(candidates.size(), kRelayCountPerZone);
         ++relay) {
      std::vector<contact> own;
      for (std::size_t index = relay; index < candidates.size();
           index += kRelayCountPerZone) {
        own.push_back(candidates[index]);
      }
      PushToOtherZone(aBefore, own, relay > 0);
    }
  }
  auto const changes = ChangesSince(aBefore);
  for (auto const& relay : mPeers.mOwnRelays) {
    if (relay.mInstance != mSettings.mOwn.mInstance) {
      Send(relay.mAddress, changes);
    }
  }
}

void
configuration_distributor::PushToOtherZone(
  core::revision aBefore,
  std::vector<contact> const& aCandidates,
  bool aReversed)
{
  if (aCandidates.empty()) {
    return;
  }
  auto const& receiver = aCandidates.front();
  auto const range = RangeOfAllInstances(aReversed);
  auto changes = ChangesSince(aBefore);
  SetRange(changes, range);
  Send(receiver.mAddress, std::move(changes));
  mPushes.Track(mNow,
                receiver,
                { aBefore,
                  mRevision,
                  range,
                  { aCandidates.begin() + 1, aCandidates.end() },
                  true });
}

void
configuration_distributor::PushToZone(core::revision aBefore)
{
  if (!mSettings.mPush) {
    return;
  }
  bool const isFirstRelay =
    !mPeers.mOwnRelays.empty() &&
    mPeers.mOwnRelays.front().mInstance == mSettings.mOwn.mInstance;
  auto const range = WholeRange(mPeers.mZonePeers, !isFirstRelay);
  if (range) {
    SendToBranches(aBefore, mRevision, ChangesSince(aBefore), *range);
  }
}

void
configuration_distributor::SendToBranches(core::revision aBefore,
                                          core::revision aRevision,
                                          configuration_message aMessage,
                                          tree_range const& aRange)
{
  for (auto const& branch : SplitRange(mPeers.mZonePeers, aRange)) {
    SetRange(aMessage, branch.mRange);
    Send(branch.mHead.mAddress, aMessage);
    mPushes.Track(
      mNow, branch.mHead, { aBefore, aRevision, branch.mRange, {}, false });
  }
}

void
configuration_distributor::CheckPushes()
{
  auto const due = mPushes.TakeDue(mNow);
  for (auto const& receiver : due.mReceivers) {
    Send(receiver.mAddress, OwnDigest(true));
  }
  for (auto const& duty : due.mDuties) {
    TakeOver(duty);
  }
}

void
configuration_distributor::TakeOver(detail::push_duty const& aDuty)
{
  if (!aDuty.mRange || mRevision < aDuty.mRevision) {
    return;
  }
  if (aDuty.mIsOtherZone) {
    PushToOtherZone(aDuty.mBase, aDuty.mReplacements, aDuty.mRange->mReversed);
  } else {
    SendToBranches(
      aDuty.mBase, mRevision, ChangesSince(aDuty.mBase), *aDuty.mRange);
  }
}

void
configuration_distributor::Send(core::address const& aTo,
                                configuration_message aMessage)
{
  mActions.emplace_back(MakeSend(aTo,
                                 message_with_sender<configuration_message>{
                                   mSettings.mOwn, std::move(aMessage) }));
}

configuration_digest
configuration_distributor::OwnDigest(bool aRequestResponse) const
{
  return { mRevision, mHash, aRequestResponse };
}

bool
configuration_distributor::IsRelay() const
{
  return std::any_of(mPeers.mOwnRelays.begin(),
                     mPeers.mOwnRelays.end(),
                     [this](contact const& aRelay) {
                       return aRelay.mInstance == mSettings.mOwn.mInstance;
                     });
}

std::size_t
configuration_distributor::MemoryBytes() const
{
  constexpr std::size_t kNodeBytes = 64;
  // A row and its strings; an upper bound for names of usual length.
  constexpr std::size_t kChangeBytes = sizeof(tables::change) + 128;
  std::size_t bytes = sizeof *this;
  bytes += (mTables->mPools.size() + mTables->mRoutes.size()) *
           (sizeof(tables::route) + 2 * kNodeBytes + kChangeBytes);
  for (auto const& delta : mHistory) {
    bytes += sizeof delta + delta.mChanges.size() * kChangeBytes;
  }
  bytes += (mPeers.mZonePeers.capacity() + mPeers.mRemoteRelays.capacity()) *
           sizeof(contact);
  return bytes;
}

}
