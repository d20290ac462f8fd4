#include "LibTraffic/ClaimStore.h"

#include <algorithm>

namespace cranberryfold::traffic {

namespace {

/// A tree node with the fixed parts of its key and record, on a 64-bit machine.
constexpr std::size_t kEntryBytes =
  4 * sizeof(void*) + sizeof(std::string) + sizeof(stored_claim);

std::size_t
FixedBytes(std::string const& aKey, claim_record const& aRecord)
{
  auto const attempts = aRecord.mAttempts.size() + aRecord.mReleased.size();
  return kEntryBytes + aKey.capacity() + attempts * sizeof(attempt_id);
}

void
AppendMissing(std::vector<attempt_id>& aTo,
              std::vector<attempt_id> const& aFrom)
{
  for (auto const& attempt : aFrom) {
    if (std::ranges::find(aTo, attempt) == aTo.end()) {
      aTo.push_back(attempt);
    }
  }
}

/// Returns the precedence of a state in a merge: a known outcome overrides a
/// claim, and a claim overrides a release.
int
Precedence(claim_state aState)
{
  switch (aState) {
    case claim_state::kReleased:
      return 0;
    case claim_state::kClaimed:
      return 1;
    case claim_state::kUnknown:
      return 2;
    case claim_state::kCompleted:
      return 3;
  }
  return 1;
}

}

claim_store::claim_store(std::size_t aMaximumRecords, std::size_t aMaximumBytes)
  : mMaximumRecords(aMaximumRecords)
  , mMaximumBytes(aMaximumBytes)
{
}

stored_claim const*
claim_store::Find(core::time_point aNow,
                  shard_id const& aShard,
                  std::string const& aKey) const
{
  auto const shard = mShards.find(aShard);
  if (shard == mShards.end()) {
    return nullptr;
  }
  auto const found = shard->second.find(aKey);
  if (found == shard->second.end() || found->second.mExpires <= aNow) {
    return nullptr;
  }
  return &found->second;
}

bool
claim_store::Put(shard_id const& aShard,
                 std::string const& aKey,
                 stored_claim aClaim)
{
  auto& shard = mShards[aShard];
  auto found = shard.find(aKey);
  auto const before =
    found == shard.end() ? 0 : FixedBytes(aKey, found->second.mRecord);
  auto const after = FixedBytes(aKey, aClaim.mRecord);
  if (found == shard.end()) {
    if (mRecords >= mMaximumRecords || mBytes + after > mMaximumBytes) {
      return false;
    }
    found = shard.emplace(aKey, stored_claim{}).first;
    ++mRecords;
  }
  mBytes -= before + found->second.mRecord.mResponse.size();
  mBytes += after;
  auto response = std::move(aClaim.mRecord.mResponse);
  aClaim.mRecord.mResponse.clear();
  found->second = std::move(aClaim);
  if (response.size() <= kMaximumStoredResponseBytes &&
      mBytes + response.size() <= mMaximumBytes) {
    mBytes += response.size();
    found->second.mRecord.mResponse = std::move(response);
  }
  return true;
}

bool
claim_store::Merge(core::time_point aNow,
                   shard_id const& aShard,
                   copied_record const& aCopy)
{
  stored_claim claim{ aCopy.mRecord, aNow + aCopy.mRemaining };
  auto const* known = Find(aNow, aShard, aCopy.mKey);
  if (known == nullptr) {
    return Put(aShard, aCopy.mKey, std::move(claim));
  }
  auto merged = *known;
  AppendMissing(merged.mRecord.mAttempts, claim.mRecord.mAttempts);
  AppendMissing(merged.mRecord.mReleased, claim.mRecord.mReleased);
  // A release is final, whichever holder recorded it.
  std::erase_if(merged.mRecord.mAttempts, [&](attempt_id const& aAttempt) {
    return std::ranges::find(merged.mRecord.mReleased, aAttempt) !=
           merged.mRecord.mReleased.end();
  });
  auto const knownPrecedence = Precedence(merged.mRecord.mState);
  auto const copyPrecedence = Precedence(claim.mRecord.mState);
  if (copyPrecedence > knownPrecedence) {
    merged.mRecord.mState = claim.mRecord.mState;
  }
  if (merged.mRecord.mState == claim_state::kClaimed &&
      merged.mRecord.mAttempts.empty()) {
    merged.mRecord.mState = claim_state::kReleased;
  }
  if (copyPrecedence >= knownPrecedence && !claim.mRecord.mResponse.empty()) {
    merged.mRecord.mResponse = claim.mRecord.mResponse;
  }
  merged.mExpires = std::max(merged.mExpires, claim.mExpires);
  return Put(aShard, aCopy.mKey, std::move(merged));
}

std::vector<copied_record>
claim_store::Page(core::time_point aNow,
                  shard_id const& aShard,
                  std::string const& aAfterKey,
                  std::size_t aMaximumBytes) const
{
  std::vector<copied_record> page;
  auto const shard = mShards.find(aShard);
  if (shard == mShards.end()) {
    return page;
  }
  std::size_t bytes = 0;
  for (auto entry = shard->second.upper_bound(aAfterKey);
       entry != shard->second.end() && bytes < aMaximumBytes;
       ++entry) {
    auto const& [key, claim] = *entry;
    if (claim.mExpires > aNow) {
      page.push_back({ key, claim.mRecord, claim.mExpires - aNow });
      bytes += FixedBytes(key, claim.mRecord) + claim.mRecord.mResponse.size();
    }
  }
  return page;
}

void
claim_store::Sweep(core::time_point aNow, std::size_t aCount)
{
  auto shard = mShards.lower_bound(mSweepShard);
  if (shard == mShards.end()) {
    mSweepShard = {};
    mSweepKey.clear();
    return;
  }
  if (shard->first != mSweepShard) {
    mSweepShard = shard->first;
    mSweepKey.clear();
  }
  auto entry = shard->second.upper_bound(mSweepKey);
  for (; entry != shard->second.end() && aCount > 0; --aCount) {
    mSweepKey = entry->first;
    if (entry->second.mExpires <= aNow) {
      auto const& record = entry->second.mRecord;
      mBytes -= FixedBytes(entry->first, record) + record.mResponse.size();
      --mRecords;
      entry = shard->second.erase(entry);
    } else {
      ++entry;
    }
  }
  if (entry == shard->second.end()) {
    auto const next = std::next(shard);
    mSweepShard = next == mShards.end() ? shard_id{} : next->first;
    mSweepKey.clear();
  }
}

}
