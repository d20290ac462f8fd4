#include "LibTraffic/ClaimCoordinator.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::traffic {

namespace {

/// Without any sign of another attempt, the caller is answered after this time
/// that the claim group is unavailable.
constexpr core::duration kMaximumClaimTime = std::chrono::seconds(2);
constexpr core::duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr core::duration kMaximumBackoff = std::chrono::milliseconds(250);
constexpr std::uint32_t kMaximumDoublings = 5;

bool
IsFinal(claim_reply const& aReply)
{
  return aReply.mVerdict == claim_verdict::kHeld &&
         (aReply.mState == claim_state::kCompleted ||
          aReply.mState == claim_state::kUnknown);
}

/// An earlier refusal by the same incarnation that arrives late does not
/// replace a grant.
bool
Replaces(claim_reply const& aNew, claim_reply const& aOld)
{
  if (aNew.mHolder.mIncarnation != aOld.mHolder.mIncarnation) {
    return aNew.mHolder.mIncarnation > aOld.mHolder.mIncarnation;
  }
  return aOld.mVerdict != claim_verdict::kGranted;
}

}

claim_coordinator::claim_coordinator(claim_coordinator_settings aSettings,
                                     core::random_source& aRandom)
  : mSettings(std::move(aSettings))
  , mRandom(aRandom)
{
}

claim_coordinator::actions
claim_coordinator::Handle(core::time_point aNow,
                          claim_coordinator_event const& aEvent)
{
  std::visit([&](auto const& aActual) { On(aNow, aActual); }, aEvent);
  return std::exchange(mActions, {});
}

void
claim_coordinator::On(core::time_point aNow, claim_wanted const& aEvent)
{
  if (aEvent.mKey.empty() || aEvent.mKey.size() > kMaximumKeyBytes) {
    mActions.emplace_back(claim_answered{ aEvent.mRequest,
                                          claim_answer::kNotRun,
                                          core::refusal_reason::kBadRequest,
                                          "" });
    return;
  }
  auto const [entry, isNew] = mClaims.try_emplace(aEvent.mRequest);
  CF_ASSERT(isNew, "two open claims with one request number");
  entry->second.mKey = aEvent.mKey;
  entry->second.mDeadline = aEvent.mDeadline;
  entry->second.mRequestedAt = aNow;
  StartRound(aNow, entry);
}

void
claim_coordinator::On(core::time_point aNow, claim_abandoned const& aEvent)
{
  auto const entry = mClaims.find(aEvent.mRequest);
  if (entry == mClaims.end()) {
    return;
  }
  if (entry->second.mPhase != phase::kWaiting) {
    SendUpdate(aNow, entry->second, claim_state::kReleased, "");
  }
  Forget(entry);
}

void
claim_coordinator::On(core::time_point aNow, dispatch_finished const& aEvent)
{
  auto const entry = mClaims.find(aEvent.mRequest);
  if (entry == mClaims.end()) {
    return;
  }
  CF_ASSERT(entry->second.mPhase == phase::kGranted,
            "a request was dispatched without its claim");
  switch (aEvent.mOutcome) {
    case dispatch_outcome::kNotRun:
      SendUpdate(aNow, entry->second, claim_state::kReleased, "");
      break;
    case dispatch_outcome::kRan:
      SendUpdate(
        aNow, entry->second, claim_state::kCompleted, aEvent.mResponse);
      break;
    case dispatch_outcome::kUnknown:
      SendUpdate(aNow, entry->second, claim_state::kUnknown, "");
      break;
  }
  Forget(entry);
}

void
claim_coordinator::On(core::time_point aNow, claim_map_installed const& aEvent)
{
  if (aEvent.mMap.mEpoch <= mMap.mEpoch) {
    return;
  }
  mMap = aEvent.mMap;
  for (auto& [request, open] : mClaims) {
    auto const* shard = mMap.Find(ShardOfKey(mMap, open.mKey));
    auto const moved =
      shard != nullptr && shard->mGroup.mEpoch != open.mGroup.mEpoch;
    if (open.mPhase == phase::kAsking && moved) {
      EndRound(aNow, open);
    }
  }
  // The new holders may have copied a shard before the outcome was recorded.
  for (auto& [attempt, pending] : mUpdates) {
    AddPresentHolders(pending);
  }
}

void
claim_coordinator::On(core::time_point aNow,
                      claim_message_received const& aEvent)
{
  std::visit([&](auto const& aActual) { Receive(aNow, aActual); },
             aEvent.mMessage);
}

void
claim_coordinator::On(core::time_point aNow, claim_tick const&)
{
  for (auto entry = mClaims.begin(); entry != mClaims.end();) {
    // TickClaim() may erase the entry.
    auto const current = entry++;
    TickClaim(aNow, current);
  }
  TickUpdates(aNow);
}

void
claim_coordinator::StartRound(core::time_point aNow, claim_iterator aEntry)
{
  auto& open = aEntry->second;
  open.mShard = ShardOfKey(mMap, open.mKey);
  auto const* shard = mMap.Find(open.mShard);
  open.mGroup = shard == nullptr ? claim_group{} : shard->mGroup;
  open.mAttempt = { mSettings.mSelf, ++mLastSequence };
  open.mReplies.clear();
  open.mRoundStart = aNow;
  open.mPhase = phase::kAsking;
  mRequestOfAttempt[open.mAttempt] = aEntry->first;
  if (open.mGroup.mHolders.empty()) {
    EndRound(aNow, open);
    return;
  }
  SendRequests(aNow, open);
}

void
claim_coordinator::SendRequests(core::time_point aNow, claim& aClaim)
{
  aClaim.mNextSend = aNow + mSettings.mResendAfter;
  for (auto const& holder : aClaim.mGroup.mHolders) {
    if (aClaim.mReplies.contains(holder.mInstance)) {
      continue;
    }
    mActions.emplace_back(send_claim_message{
      holder.mInstance,
      claim_request{
        aClaim.mAttempt, aClaim.mShard, aClaim.mGroup.mEpoch, aClaim.mKey } });
  }
}

void
claim_coordinator::EndRound(core::time_point aNow, claim& aClaim)
{
  SendUpdate(aNow, aClaim, claim_state::kReleased, "");
  mRequestOfAttempt.erase(aClaim.mAttempt);
  aClaim.mPhase = phase::kWaiting;
  auto const doublings = std::min(aClaim.mRounds++, kMaximumDoublings);
  auto const maximum = std::min<core::duration>(
    kFirstBackoff * (1U << doublings), kMaximumBackoff);
  auto const jitterRange = static_cast<std::uint64_t>(maximum.count());
  aClaim.mNextSend =
    aNow + maximum / 2 +
    core::duration(static_cast<std::int64_t>(mRandom.Below(jitterRange)));
}

void
claim_coordinator::Receive(core::time_point aNow, claim_reply const& aReply)
{
  auto const found = mRequestOfAttempt.find(aReply.mAttempt);
  if (found == mRequestOfAttempt.end()) {
    return;
  }
  auto const entry = mClaims.find(found->second);
  auto& open = entry->second;
  if (open.mPhase != phase::kAsking || aReply.mEpoch != open.mGroup.mEpoch ||
      !open.mGroup.Contains(aReply.mHolder.mInstance)) {
    return;
  }
  auto const [known, isNew] =
    open.mReplies.try_emplace(aReply.mHolder.mInstance, aReply);
  if (!isNew && Replaces(aReply, known->second)) {
    known->second = aReply;
  }
  if (aReply.mNewerGroup && AdoptGroup(open.mShard, *aReply.mNewerGroup)) {
    open.mRounds = 0;
    EndRound(aNow, open);
    return;
  }
  open.mHasCompetingAttempt =
    open.mHasCompetingAttempt || (aReply.mVerdict == claim_verdict::kHeld &&
                                  aReply.mState != claim_state::kReleased);
  Evaluate(aNow, entry);
}

/// Adopts a group that is newer than the one in the map. Groups originate in
/// the replicated state, so a group received from a holder is as valid as one
/// from a new map.
bool
claim_coordinator::AdoptGroup(shard_id const& aShard, claim_group const& aGroup)
{
  auto const zone = mMap.mZones.find(aShard.mZone);
  if (zone == mMap.mZones.end() || aShard.mIndex >= zone->second.size()) {
    return false;
  }
  auto& known = zone->second[aShard.mIndex].mGroup;
  if (known.mEpoch >= aGroup.mEpoch) {
    return false;
  }
  known = aGroup;
  return true;
}

/// Counts the grants except those whose holder, according to another reply, has
/// restarted since.
std::size_t
claim_coordinator::ValidGrants(claim const& aClaim) const
{
  std::map<core::instance_id, core::incarnation> newestIncarnations;
  for (auto const& [unused, reply] : aClaim.mReplies) {
    for (auto const& holder : reply.mKnownIncarnations) {
      auto& newest = newestIncarnations[holder.mInstance];
      newest = std::max(newest, holder.mIncarnation);
    }
  }
  return static_cast<std::size_t>(
    std::ranges::count_if(aClaim.mReplies, [&](auto const& aEntry) {
      auto const& reply = aEntry.second;
      auto const known = newestIncarnations.find(reply.mHolder.mInstance);
      return reply.mVerdict == claim_verdict::kGranted &&
             (known == newestIncarnations.end() ||
              known->second <= reply.mHolder.mIncarnation);
    }));
}

void
claim_coordinator::Evaluate(core::time_point aNow, claim_iterator aEntry)
{
  auto& open = aEntry->second;
  auto const size = open.mGroup.mHolders.size();
  auto const majority =
    mSettings.mMechanisms.mMajority ? open.mGroup.Majority() : 1;
  auto const timedOut = aNow >= open.mRoundStart + mSettings.mRoundTimeout;
  auto const isRoundOver = timedOut || open.mReplies.size() == size;
  if (AnswerFromRecord(aNow, aEntry, isRoundOver)) {
    return;
  }
  auto const sawFinal = std::ranges::any_of(
    open.mReplies, [](auto const& aReply) { return IsFinal(aReply.second); });
  auto const grants = ValidGrants(open);
  if (!sawFinal && !timedOut && grants >= majority) {
    open.mPhase = phase::kGranted;
    mActions.emplace_back(claim_granted{
      aEntry->first, open.mAttempt, open.mRoundStart + kDispatchWindow });
    return;
  }
  if (isRoundOver || open.mReplies.size() - grants > size - majority) {
    EndRound(aNow, open);
  }
}

/// Answers the caller if holders know the outcome of the request. Until a
/// majority knows it or the round ends, waits for further replies, since one of
/// them may have the response.
bool
claim_coordinator::AnswerFromRecord(core::time_point aNow,
                                    claim_iterator aEntry,
                                    bool aRoundOver)
{
  std::size_t completed = 0;
  std::size_t unknown = 0;
  for (auto const& [unused, reply] : aEntry->second.mReplies) {
    if (!IsFinal(reply)) {
      continue;
    }
    if (!reply.mResponse.empty()) {
      Answer(aNow, aEntry, claim_answer::kStoredResponse, reply.mResponse);
      return true;
    }
    ++(reply.mState == claim_state::kCompleted ? completed : unknown);
  }
  auto const isOutcomeKnown =
    completed + unknown >= aEntry->second.mGroup.Majority() ||
    (aRoundOver && completed + unknown > 0);
  if (isOutcomeKnown) {
    Answer(aNow,
           aEntry,
           completed > 0 ? claim_answer::kRanAnswerGone
                         : claim_answer::kUnknown,
           "");
  }
  return isOutcomeKnown;
}

void
claim_coordinator::Answer(core::time_point aNow,
                          claim_iterator aEntry,
                          claim_answer aAnswer,
                          std::string aResponse)
{
  auto const& open = aEntry->second;
  auto const mayHoldGrants = open.mPhase == phase::kAsking;
  auto const reason = aAnswer == claim_answer::kNotRun
                        ? core::refusal_reason::kClaimUnavailable
                        : core::refusal_reason::kClaimHeld;
  mActions.emplace_back(
    claim_answered{ aEntry->first, aAnswer, reason, std::move(aResponse) });
  if (mayHoldGrants) {
    SendUpdate(aNow, open, claim_state::kReleased, "");
  }
  Forget(aEntry);
}

void
claim_coordinator::GiveUp(core::time_point aNow, claim_iterator aEntry)
{
  Answer(aNow,
         aEntry,
         aEntry->second.mHasCompetingAttempt ? claim_answer::kUnknown
                                             : claim_answer::kNotRun,
         "");
}

void
claim_coordinator::Forget(claim_iterator aEntry)
{
  mRequestOfAttempt.erase(aEntry->second.mAttempt);
  mClaims.erase(aEntry);
}

void
claim_coordinator::TickClaim(core::time_point aNow, claim_iterator aEntry)
{
  auto& open = aEntry->second;
  if (open.mPhase == phase::kGranted) {
    return;
  }
  auto const limit =
    open.mHasCompetingAttempt
      ? open.mDeadline
      : std::min(open.mDeadline, open.mRequestedAt + kMaximumClaimTime);
  if (aNow >= limit) {
    GiveUp(aNow, aEntry);
    return;
  }
  if (open.mPhase == phase::kWaiting) {
    if (aNow >= open.mNextSend) {
      StartRound(aNow, aEntry);
    }
    return;
  }
  if (aNow >= open.mRoundStart + mSettings.mRoundTimeout) {
    Evaluate(aNow, aEntry);
  } else if (aNow >= open.mNextSend) {
    SendRequests(aNow, open);
  }
}

}
