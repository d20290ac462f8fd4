#pragma once

#include "LibTables/Tables.h"
#include "LibWire/Codec.h"

#include <cereal/types/set.hpp>

/// Serialization of tables and edits with cereal. Include this only in
/// Codec.cpp files, since it includes cereal headers.
namespace cranberryfold::tables {

template<class Archive>
void
serialize(Archive& aArchive, pool& aPool)
{
  aArchive(aPool.mName, aPool.mService);
  wire::SerializeEnumeration(
    aArchive, aPool.mObjective, pool_objective::kRecoveryTime);
  aArchive(aPool.mMaxConcurrency);
  wire::SerializeEnumeration(
    aArchive, aPool.mConcurrency, concurrency_policy::kSlots);
  aArchive(
    aPool.mQueueLimit, aPool.mQueueWaitMilliseconds, aPool.mRetryPercent);
  wire::SerializeEnumeration(aArchive, aPool.mSpill, spill_scope::kAll);
  aArchive(aPool.mColdStartMilliseconds,
           aPool.mHealthPath,
           aPool.mUpstreamConnections,
           aPool.mUpstreamProtocol,
           aPool.mUpstreamTls);
}

template<class Archive>
void
serialize(Archive& aArchive, weighted_pool& aPart)
{
  aArchive(aPart.mPool, aPart.mWeight);
}

template<class Archive>
void
serialize(Archive& aArchive, route& aRoute)
{
  aArchive(aRoute.mName,
           aRoute.mMethods,
           aRoute.mHost,
           aRoute.mPathPrefix,
           aRoute.mPool,
           aRoute.mSplit);
  wire::SerializeEnumeration(aArchive, aRoute.mClass, work_class::kUpload);
  aArchive(aRoute.mRank,
           aRoute.mIdempotent,
           aRoute.mLargeBodies,
           aRoute.mTimeoutMilliseconds,
           aRoute.mObjectiveMilliseconds,
           aRoute.mExtraTries);
}

template<class Archive>
void
serialize(Archive& aArchive, caller_limits& aLimits)
{
  aArchive(aLimits.mHeaderBytes,
           aLimits.mBodyBytes,
           aLimits.mHeaderTimeoutMilliseconds,
           aLimits.mIdleTimeoutMilliseconds);
}

template<class Archive>
void
serialize(Archive& aArchive, table_set& aTables)
{
  aArchive(aTables.mPools,
           aTables.mRoutes,
           aTables.mLimits,
           aTables.mLabel,
           aTables.mClaimMap);
}

template<class Archive>
void
serialize(Archive& aArchive, put_pool& aChange)
{
  aArchive(aChange.mPool);
}

template<class Archive>
void
serialize(Archive& aArchive, remove_pool& aChange)
{
  aArchive(aChange.mName);
}

template<class Archive>
void
serialize(Archive& aArchive, put_route& aChange)
{
  aArchive(aChange.mRoute);
}

template<class Archive>
void
serialize(Archive& aArchive, remove_route& aChange)
{
  aArchive(aChange.mName);
}

template<class Archive>
void
serialize(Archive& aArchive, add_replica& aChange)
{
  aArchive(aChange.mInstance, aChange.mPeerAddress);
}

template<class Archive>
void
serialize(Archive& aArchive, remove_replica& aChange)
{
  aArchive(aChange.mInstance);
}

template<class Archive>
void
serialize(Archive& aArchive, put_claim_map& aChange)
{
  aArchive(aChange.mEncoded);
}

template<class Archive>
void
serialize(Archive& aArchive, put_limits& aChange)
{
  aArchive(aChange.mLimits);
}

template<class Archive>
void
serialize(Archive& aArchive, put_label& aChange)
{
  aArchive(aChange.mLabel);
}

template<class Archive>
void
serialize(Archive& aArchive, edit& aEdit)
{
  aArchive(aEdit.mId, aEdit.mBase, aEdit.mChanges);
}

}
