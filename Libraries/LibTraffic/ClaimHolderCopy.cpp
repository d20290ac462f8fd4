#include "LibTraffic/ClaimHolder.h"

#include <algorithm>
#include <set>

/// Copies shards between holders, after a restart and for a new group.
namespace cranberryfold::traffic {

namespace {

constexpr std::size_t kPageBytes = 32UL * 1024UL;
/// Bounds the state that requests for unknown shards can create.
constexpr std::size_t kMaximumShards = 10000;
constexpr core::duration kCopyInterval = std::chrono::milliseconds(200);

/// Returns the present group and the earlier ones, newest first.
std::vector<claim_group const*>
GroupsNewestFirst(claim_shard const& aShard)
{
  std::vector<claim_group const*> chain{ &aShard.mGroup };
  for (auto const& group : aShard.mEarlier) {
    chain.push_back(&group);
  }
  return chain;
}

}

void
claim_holder::Receive(core::time_point aNow, copy_request const& aRequest)
{
  if (aRequest.mShard.mIndex >= kShardsPerZone ||
      (mShards.size() >= kMaximumShards &&
       !mShards.contains(aRequest.mShard))) {
    return;
  }
  auto& status = mShards[aRequest.mShard];
  // From here on this holder joins no majority that the copy does not show: it
  // makes no grant in an older group, and none that counts together with a
  // grant of an earlier incarnation of the requester.
  RecordIncarnation(aRequest.mRequester);
  status.mFence = std::max(status.mFence, aRequest.mEpoch);
  AdoptGroups(aNow, aRequest);
  auto const* shard = mMap.Find(aRequest.mShard);
  copy_reply reply;
  reply.mShard = aRequest.mShard;
  reply.mSource = mSettings.mSelf;
  reply.mRequester = aRequest.mRequester;
  reply.mRequestEpoch = aRequest.mEpoch;
  reply.mAfterKey = aRequest.mAfterKey;
  reply.mActiveEpoch = status.mActiveEpoch;
  reply.mFence = status.mFence;
  if (shard != nullptr) {
    reply.mFence = std::max(reply.mFence, shard->mGroup.mEpoch);
  }
  reply.mLossRemaining =
    std::max(core::duration{}, mStart + mSettings.mRetention - aNow);
  if (mSettings.mMechanisms.mIncarnationFence) {
    for (auto const& [instance, incarnation] : mNewestIncarnations) {
      reply.mKnownIncarnations.push_back({ instance, incarnation });
    }
  }
  reply.mRecords =
    mStore.Page(aNow, aRequest.mShard, aRequest.mAfterKey, kPageBytes);
  reply.mLast =
    reply.mRecords.empty() ||
    mStore.Page(aNow, aRequest.mShard, reply.mRecords.back().mKey, 1).empty();
  mActions.emplace_back(
    send_claim_message{ aRequest.mRequester.mInstance, std::move(reply) });
}

/// Adopts newer groups of a shard before the map with them arrives.
void
claim_holder::AdoptGroups(core::time_point aNow, copy_request const& aRequest)
{
  auto const* known = mMap.Find(aRequest.mShard);
  if (known == nullptr || aRequest.mGroups.mGroup.mEpoch != aRequest.mEpoch ||
      aRequest.mEpoch <= known->mGroup.mEpoch) {
    return;
  }
  auto& shard = mMap.mZones[aRequest.mShard.mZone][aRequest.mShard.mIndex];
  shard = aRequest.mGroups;
  if (IsHolderOf(shard)) {
    mShards[aRequest.mShard].mSources.clear();
    RequestCopies(aNow, aRequest.mShard, shard);
    TryActivate(aNow, aRequest.mShard, shard);
  }
}

void
claim_holder::RequestCopies(core::time_point aNow,
                            shard_id const& aShard,
                            claim_shard const& aGroups)
{
  auto& status = mShards[aShard];
  status.mNextRequest = aNow + kCopyInterval;
  std::set<core::instance_id> others;
  for (auto const* group : GroupsNewestFirst(aGroups)) {
    for (auto const& holder : group->mHolders) {
      others.insert(holder.mInstance);
    }
  }
  others.erase(mSettings.mSelf.mInstance);
  for (auto const& other : others) {
    auto& known = status.mSources[other];
    if (IsEarlierIncarnation(known.mHolder)) {
      known = {};
    }
    if (!known.mComplete) {
      RequestPage(aShard, aGroups, other, known.mAfterKey);
    }
  }
}

void
claim_holder::RequestPage(shard_id const& aShard,
                          claim_shard const& aGroups,
                          core::instance_id const& aFrom,
                          std::string const& aAfterKey)
{
  mActions.emplace_back(send_claim_message{
    aFrom,
    copy_request{
      aShard, mSettings.mSelf, aGroups.mGroup.mEpoch, aGroups, aAfterKey } });
}

void
claim_holder::Receive(core::time_point aNow, copy_reply const& aReply)
{
  auto const* shard = mMap.Find(aReply.mShard);
  if (shard == nullptr || !IsHolderOf(*shard) ||
      aReply.mRequester != mSettings.mSelf ||
      aReply.mRequestEpoch != shard->mGroup.mEpoch) {
    return;
  }
  auto& status = mShards[aReply.mShard];
  auto const found = status.mSources.find(aReply.mSource.mInstance);
  if (found == status.mSources.end() || found->second.mComplete ||
      found->second.mAfterKey != aReply.mAfterKey ||
      status.mActiveEpoch == shard->mGroup.mEpoch) {
    return;
  }
  auto& known = found->second;
  RecordIncarnation(aReply.mSource);
  for (auto const& holder : aReply.mKnownIncarnations) {
    RecordIncarnation(holder);
  }
  status.mFence = std::max(status.mFence, aReply.mFence);
  if (aReply.mAfterKey.empty()) {
    known.mHolder = aReply.mSource;
    known.mActiveEpoch = aReply.mActiveEpoch;
    known.mLossUntil = aNow + aReply.mLossRemaining;
  } else if (known.mHolder != aReply.mSource) {
    // The source restarted between two pages.
    known = {};
    return;
  }
  for (auto const& record : aReply.mRecords) {
    if (!mStore.Merge(aNow, aReply.mShard, record)) {
      return;
    }
  }
  known.mComplete = aReply.mLast;
  if (aReply.mLast) {
    TryActivate(aNow, aReply.mShard, *shard);
    return;
  }
  known.mAfterKey = aReply.mRecords.back().mKey;
  RequestPage(aReply.mShard, *shard, aReply.mSource.mInstance, known.mAfterKey);
}

void
claim_holder::TryActivate(core::time_point aNow,
                          shard_id const& aShard,
                          claim_shard const& aGroups)
{
  auto& status = mShards[aShard];
  auto const chain = GroupsNewestFirst(aGroups);
  auto const* self = aGroups.mGroup.Find(mSettings.mSelf.mInstance);
  auto const isSameIncarnation =
    self->mIncarnation == mSettings.mSelf.mIncarnation;
  auto const covered =
    !mSettings.mMechanisms.mHolderRecovery ||
    CoversFrom(aNow, status, chain, 0) ||
    (isSameIncarnation && CoversFrom(aNow, status, chain, 1));
  if (!covered) {
    return;
  }
  status.mActiveEpoch = aGroups.mGroup.mEpoch;
  status.mSources.clear();
  mActions.emplace_back(shard_activated{ aShard, status.mActiveEpoch });
}

claim_holder::source const*
claim_holder::FindSource(shard_status const& aStatus,
                         source const& aSelf,
                         core::instance_id const& aInstance) const
{
  if (aInstance == mSettings.mSelf.mInstance) {
    return &aSelf;
  }
  auto const found = aStatus.mSources.find(aInstance);
  if (found == aStatus.mSources.end() || !found->second.mComplete ||
      IsEarlierIncarnation(found->second.mHolder)) {
    return nullptr;
  }
  return &found->second;
}

/// Returns whether the sources show every grant of the groups from aFirst on. A
/// source counts for a group if it has lost no grant in it: it has been allowed
/// to grant in it or a newer group since its last restart, or it has not
/// restarted since the group was formed, or what it lost has expired. A source
/// that was allowed to grant in a group has copied the grants of the groups
/// before it, which ends the search.
bool
claim_holder::CoversFrom(core::time_point aNow,
                         shard_status const& aStatus,
                         std::vector<claim_group const*> const& aChain,
                         std::size_t aFirst) const
{
  source const self{ mSettings.mSelf,
                     aStatus.mActiveEpoch,
                     mStart + mSettings.mRetention,
                     "",
                     true };
  for (auto index = aFirst; index < aChain.size(); ++index) {
    auto const& group = *aChain[index];
    std::size_t completeCount = 0;
    bool anyActive = false;
    for (auto const& holder : group.mHolders) {
      auto const* known = FindSource(aStatus, self, holder.mInstance);
      if (known == nullptr) {
        continue;
      }
      auto const isActive = known->mActiveEpoch >= group.mEpoch;
      auto const lostNothing =
        isActive || known->mHolder.mIncarnation == holder.mIncarnation ||
        (known->mHolder.mIncarnation > holder.mIncarnation &&
         aNow >= known->mLossUntil);
      completeCount += lostNothing ? 1 : 0;
      anyActive = anyActive || isActive;
    }
    if (completeCount < group.IntersectingQuorum()) {
      return false;
    }
    if (anyActive) {
      return true;
    }
  }
  return true;
}

}
