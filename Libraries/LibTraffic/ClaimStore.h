#pragma once

#include "LibCore/Time.h"
#include "LibTraffic/ClaimMap.h"
#include "LibTraffic/ClaimMessages.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Bounded memory for claim records, by shard and key.
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

  /// Returns the record if it has not expired, or nullptr.
  stored_claim const* Find(core::time_point aNow,
                           shard_id const& aShard,
                           std::string const& aKey) const;

  /// Adds or replaces a record. A response that does not fit is dropped.
  /// Returns false, changing nothing, when there is no room for a new record.
  bool Put(shard_id const& aShard,
           std::string const& aKey,
           stored_claim aClaim);

  /// Combines a copied record with what is known; keeps every attempt that may
  /// hold the key. Returns false when there is no room.
  bool Merge(core::time_point aNow,
             shard_id const& aShard,
             copied_record const& aCopy);

  /// Returns records with keys after aAfterKey, about aMaximumBytes of them.
  std::vector<copied_record> Page(core::time_point aNow,
                                  shard_id const& aShard,
                                  std::string const& aAfterKey,
                                  std::size_t aMaximumBytes) const;

  /// Looks at no more than aCount records, going round, and removes the expired
  /// ones.
  void Sweep(core::time_point aNow, std::size_t aCount);

  std::size_t Records() const { return mRecords; }
  /// Memory of records, keys and responses, as estimated per entry.
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
