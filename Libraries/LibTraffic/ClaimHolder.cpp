#include "LibTraffic/ClaimHolder.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::traffic {

namespace {

/// Time for which a released attempt is remembered. Longer than the delay of
/// any message: a request of a released attempt that arrived later would block
/// the key for the retention time.
constexpr core::duration kReleaseRetention = std::chrono::seconds(30);
constexpr std::size_t kMaximumReleasedAttempts = 4;
constexpr std::size_t kRecordsPerSweep = 2000;

/// Returns whether aRecord allows a grant to aAttempt.
bool
CanGrantTo(claim_record const& aRecord, attempt_id const& aAttempt)
{
  if (std::ranges::find(aRecord.mReleased, aAttempt) !=
      aRecord.mReleased.end()) {
    return false;
  }
  if (aRecord.mState == claim_state::kReleased) {
    return true;
  }
  return aRecord.mState == claim_state::kClaimed &&
         aRecord.mAttempts == std::vector<attempt_id>{ aAttempt };
}

}

claim_holder::claim_holder(claim_holder_settings aSettings,
                           core::time_point aStart)
  : mSettings(std::move(aSettings))
  , mStart(aStart)
  , mStore(mSettings.mMaximumRecords, mSettings.mMaximumBytes)
{
}

claim_holder::actions
claim_holder::Handle(core::time_point aNow, claim_holder_event const& aEvent)
{
  std::visit([&](auto const& aActual) { On(aNow, aActual); }, aEvent);
  return std::exchange(mActions, {});
}

bool
claim_holder::Votes(shard_id const& aShard) const
{
  auto const* shard = mMap.Find(aShard);
  auto const status = mShards.find(aShard);
  if (shard == nullptr || status == mShards.end() || !IsHolderOf(*shard)) {
    return false;
  }
  auto const epoch = shard->mGroup.mEpoch;
  return status->second.mActiveEpoch == epoch && status->second.mFence <= epoch;
}

bool
claim_holder::IsHolderOf(claim_shard const& aShard) const
{
  return aShard.mGroup.Contains(mSettings.mSelf.mInstance);
}

void
claim_holder::On(core::time_point aNow, claim_map_installed const& aEvent)
{
  if (aEvent.mMap.mEpoch <= mMap.mEpoch) {
    return;
  }
  auto const old = std::exchange(mMap, aEvent.mMap);
  for (auto& [zone, shards] : mMap.mZones) {
    for (std::uint32_t index = 0; index < shards.size(); ++index) {
      shard_id const id{ zone, index };
      auto const* before = old.Find(id);
      if (before != nullptr &&
          before->mGroup.mEpoch > shards[index].mGroup.mEpoch) {
        // Adopted from another holder before this map arrived.
        shards[index] = *before;
      }
      auto const moved = before == nullptr ||
                         before->mGroup.mEpoch != shards[index].mGroup.mEpoch;
      if (moved && IsHolderOf(shards[index])) {
        mShards[id].mSources.clear();
        RequestCopies(aNow, id, shards[index]);
        TryActivate(aNow, id, shards[index]);
      }
    }
  }
}

void
claim_holder::On(core::time_point aNow, claim_message_received const& aEvent)
{
  std::visit([&](auto const& aActual) { Receive(aNow, aActual); },
             aEvent.mMessage);
}

void
claim_holder::On(core::time_point aNow, claim_tick const&)
{
  mStore.Sweep(aNow, kRecordsPerSweep);
  for (auto& [id, status] : mShards) {
    auto const* shard = mMap.Find(id);
    if (shard == nullptr || !IsHolderOf(*shard) ||
        status.mActiveEpoch == shard->mGroup.mEpoch) {
      continue;
    }
    if (aNow >= status.mNextRequest) {
      RequestCopies(aNow, id, *shard);
    }
    TryActivate(aNow, id, *shard);
  }
}

claim_verdict
claim_holder::Check(claim_request const& aRequest) const
{
  auto const* shard = mMap.Find(aRequest.mShard);
  if (shard == nullptr || !IsHolderOf(*shard)) {
    return shard != nullptr && shard->mGroup.mEpoch > aRequest.mEpoch
             ? claim_verdict::kStaleEpoch
             : claim_verdict::kNotHolder;
  }
  auto const& status = mShards.at(aRequest.mShard);
  if (mSettings.mMechanisms.mEpochFence) {
    if (aRequest.mEpoch < shard->mGroup.mEpoch ||
        aRequest.mEpoch < status.mFence) {
      return claim_verdict::kStaleEpoch;
    }
    if (aRequest.mEpoch > shard->mGroup.mEpoch) {
      return claim_verdict::kNotHolder;
    }
  }
  return status.mActiveEpoch == shard->mGroup.mEpoch
           ? claim_verdict::kGranted
           : claim_verdict::kRecovering;
}

void
claim_holder::Receive(core::time_point aNow, claim_request const& aRequest)
{
  if (aRequest.mKey.size() > kMaximumKeyBytes) {
    return;
  }
  auto const* known = mStore.Find(aNow, aRequest.mShard, aRequest.mKey);
  // The outcome of a request is valid in every group.
  if (known != nullptr && (known->mRecord.mState == claim_state::kCompleted ||
                           known->mRecord.mState == claim_state::kUnknown)) {
    Reply(aRequest, claim_verdict::kHeld, &known->mRecord);
    return;
  }
  auto const verdict = Check(aRequest);
  if (verdict != claim_verdict::kGranted) {
    Reply(aRequest, verdict, nullptr);
    return;
  }
  if (known != nullptr && !CanGrantTo(known->mRecord, aRequest.mAttempt)) {
    Reply(aRequest, claim_verdict::kHeld, &known->mRecord);
    return;
  }
  Grant(aNow, aRequest);
}

void
claim_holder::Grant(core::time_point aNow, claim_request const& aRequest)
{
  auto const* known = mStore.Find(aNow, aRequest.mShard, aRequest.mKey);
  stored_claim claim;
  if (known != nullptr) {
    claim.mRecord.mReleased = known->mRecord.mReleased;
  }
  auto const isRepeat =
    known != nullptr && known->mRecord.mState == claim_state::kClaimed;
  claim.mRecord.mAttempts = { aRequest.mAttempt };
  claim.mRecord.mState = claim_state::kClaimed;
  claim.mExpires = isRepeat ? known->mExpires : aNow + mSettings.mRetention;
  if (!mStore.Put(aRequest.mShard, aRequest.mKey, std::move(claim))) {
    Reply(aRequest, claim_verdict::kFull, nullptr);
    return;
  }
  Reply(aRequest, claim_verdict::kGranted, nullptr);
}

void
claim_holder::Reply(claim_request const& aRequest,
                    claim_verdict aVerdict,
                    claim_record const* aRecord)
{
  claim_reply reply;
  reply.mAttempt = aRequest.mAttempt;
  reply.mHolder = mSettings.mSelf;
  reply.mEpoch = aRequest.mEpoch;
  reply.mVerdict = aVerdict;
  if (aRecord != nullptr) {
    reply.mState = aRecord->mState;
    reply.mResponse = aRecord->mResponse;
  }
  auto const* shard = mMap.Find(aRequest.mShard);
  if (shard != nullptr && mSettings.mMechanisms.mIncarnationFence) {
    for (auto const& holder : shard->mGroup.mHolders) {
      auto const newest = mNewestIncarnations.find(holder.mInstance);
      if (newest != mNewestIncarnations.end() &&
          newest->second > holder.mIncarnation) {
        reply.mKnownIncarnations.push_back(
          { holder.mInstance, newest->second });
      }
    }
  }
  auto const isNewer =
    shard != nullptr && shard->mGroup.mEpoch > aRequest.mEpoch;
  if (aVerdict == claim_verdict::kStaleEpoch && isNewer) {
    reply.mNewerGroup = shard->mGroup;
  }
  mActions.emplace_back(
    send_claim_message{ aRequest.mAttempt.mCoordinator.mInstance, reply });
}

void
claim_holder::Receive(core::time_point aNow, claim_update const& aUpdate)
{
  if (aUpdate.mKey.size() > kMaximumKeyBytes) {
    return;
  }
  auto const* known = mStore.Find(aNow, aUpdate.mShard, aUpdate.mKey);
  auto claim = known == nullptr ? stored_claim{} : *known;
  auto& record = claim.mRecord;
  auto const isFinal = record.mState == claim_state::kCompleted ||
                       record.mState == claim_state::kUnknown;
  if (aUpdate.mState != claim_state::kReleased) {
    if (known == nullptr || !isFinal) {
      record.mAttempts = { aUpdate.mAttempt };
      record.mState = aUpdate.mState;
      record.mResponse = aUpdate.mResponse;
      claim.mExpires = std::max(claim.mExpires, aNow + mSettings.mRetention);
      mStore.Put(aUpdate.mShard, aUpdate.mKey, std::move(claim));
    }
  } else if (!isFinal) {
    std::erase(record.mAttempts, aUpdate.mAttempt);
    std::erase(record.mReleased, aUpdate.mAttempt);
    record.mReleased.push_back(aUpdate.mAttempt);
    if (record.mReleased.size() > kMaximumReleasedAttempts) {
      record.mReleased.erase(record.mReleased.begin());
    }
    if (record.mAttempts.empty()) {
      record.mState = claim_state::kReleased;
      claim.mExpires = aNow + kReleaseRetention;
    }
    mStore.Put(aUpdate.mShard, aUpdate.mKey, std::move(claim));
  }
  mActions.emplace_back(send_claim_message{
    aUpdate.mAttempt.mCoordinator.mInstance,
    claim_update_ack{ aUpdate.mAttempt, mSettings.mSelf.mInstance } });
}

bool
claim_holder::IsEarlierIncarnation(holder_id const& aHolder) const
{
  auto const newest = mNewestIncarnations.find(aHolder.mInstance);
  return mSettings.mMechanisms.mIncarnationFence &&
         newest != mNewestIncarnations.end() &&
         newest->second > aHolder.mIncarnation;
}

void
claim_holder::RecordIncarnation(holder_id const& aHolder)
{
  auto& newest = mNewestIncarnations[aHolder.mInstance];
  newest = std::max(newest, aHolder.mIncarnation);
}

}
