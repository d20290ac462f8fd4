#pragma once

#include "LibCore/Time.h"
#include "LibTraffic/ClaimMap.h"
#include "LibTraffic/ClaimMessages.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Bounded in-memory store of claim records, by shard and key.
namespace cranberryfold::traffic {

struct stored_claim
{
  claim_record mRecord;
  core::time_point mExpires;

  bool operator==(stored_claim const&) const = default;
};

class claim_store
{
public:
  claim_store(std::size_t aMaximumRecords, std::size_t aMaximumBytes);

  /// Returns the record, or nullptr if there is none or it has expired.
  stored_claim const* Find(core::time_point aNow,
                           shard_id const& aShard,
                           std::string const& aKey) const;

  /// Adds or replaces a record. A response that does not fit is dropped.
  /// Returns false and changes nothing if there is no space for a new record.
  bool Put(shard_id const& aShard,
           std::string const& aKey,
           stored_claim aClaim);

  /// Merges a copied record into the stored one; keeps every attempt that may
  /// hold the key. Returns false if there is no space.
  bool Merge(core::time_point aNow,
             shard_id const& aShard,
             copied_record const& aCopy);

  /// Returns the records with the next greater keys than aAfterKey, about
  /// aMaximumBytes in total.
  std::vector<copied_record> Page(core::time_point aNow,
                                  shard_id const& aShard,
                                  std::string const& aAfterKey,
                                  std::size_t aMaximumBytes) const;

  /// Checks at most the next aCount records, cyclically over all shards, and
  /// removes the expired ones.
  void Sweep(core::time_point aNow, std::size_t aCount);

  std::size_t Records() const { return mRecords; }
  /// Estimated memory of records, keys and responses, in bytes.
  std::size_t Bytes() const { return mBytes; }

private:
  using shard_claims = std::map<std::string, stored_claim>;

  std::size_t mMaximumRecords;
  std::size_t mMaximumBytes;
  std::map<shard_id, shard_claims> mShards;
  std::size_t mRecords = 0;
  std::size_t mBytes = 0;
  shard_id mSweepShard;
  std::string mSweepKey;
};

}
