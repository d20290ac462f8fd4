#include "LibTraffic/ClaimCodec.h"

#include "LibWire/Codec.h"

#include <cereal/types/set.hpp>

namespace cranberryfold::traffic {

template<class Archive>
void
serialize(Archive& aArchive, holder_id& aHolder)
{
  aArchive(aHolder.mInstance, aHolder.mIncarnation);
}

template<class Archive>
void
serialize(Archive& aArchive, claim_group& aGroup)
{
  aArchive(aGroup.mEpoch, aGroup.mHolders);
}

template<class Archive>
void
serialize(Archive& aArchive, shard_id& aShard)
{
  aArchive(aShard.mZone, aShard.mIndex);
}

template<class Archive>
void
serialize(Archive& aArchive, claim_shard& aShard)
{
  aArchive(aShard.mGroup, aShard.mEarlier);
}

template<class Archive>
void
serialize(Archive& aArchive, claim_map& aMap)
{
  aArchive(aMap.mEpoch, aMap.mZones);
}

template<class Archive>
void
serialize(Archive& aArchive, attempt_id& aAttempt)
{
  aArchive(aAttempt.mCoordinator, aAttempt.mSequence);
}

template<class Archive>
void
serialize(Archive& aArchive, claim_record& aRecord)
{
  aArchive(aRecord.mAttempts, aRecord.mReleased);
  wire::SerializeEnumeration(aArchive, aRecord.mState, claim_state::kReleased);
  aArchive(aRecord.mResponse);
}

template<class Archive>
void
serialize(Archive& aArchive, claim_request& aMessage)
{
  aArchive(aMessage.mAttempt, aMessage.mShard, aMessage.mEpoch, aMessage.mKey);
}

template<class Archive>
void
serialize(Archive& aArchive, claim_reply& aMessage)
{
  aArchive(aMessage.mAttempt, aMessage.mHolder, aMessage.mEpoch);
  wire::SerializeEnumeration(aArchive, aMessage.mVerdict, claim_verdict::kFull);
  wire::SerializeEnumeration(aArchive, aMessage.mState, claim_state::kReleased);
  aArchive(
    aMessage.mResponse, aMessage.mKnownIncarnations, aMessage.mNewerGroup);
}

template<class Archive>
void
serialize(Archive& aArchive, claim_update& aMessage)
{
  aArchive(aMessage.mAttempt, aMessage.mShard, aMessage.mKey);
  wire::SerializeEnumeration(aArchive, aMessage.mState, claim_state::kReleased);
  aArchive(aMessage.mResponse);
}

template<class Archive>
void
serialize(Archive& aArchive, claim_update_ack& aMessage)
{
  aArchive(aMessage.mAttempt, aMessage.mHolder);
}

template<class Archive>
void
serialize(Archive& aArchive, copy_request& aMessage)
{
  aArchive(
    aMessage.mShard, aMessage.mRequester, aMessage.mEpoch, aMessage.mAfterKey);
}

template<class Archive>
void
serialize(Archive& aArchive, copied_record& aRecord)
{
  aArchive(aRecord.mKey, aRecord.mRecord, aRecord.mRemaining);
}

template<class Archive>
void
serialize(Archive& aArchive, copy_reply& aMessage)
{
  aArchive(aMessage.mShard,
           aMessage.mSource,
           aMessage.mRequester,
           aMessage.mRequestEpoch,
           aMessage.mAfterKey,
           aMessage.mActiveEpoch,
           aMessage.mFence,
           aMessage.mLossRemaining,
           aMessage.mKnownIncarnations,
           aMessage.mRecords,
           aMessage.mLast);
}

template<class Archive>
void
serialize(Archive& aArchive, crash_id& aCrash)
{
  aArchive(aCrash.mDaemon, aCrash.mSequence);
}

template<class Archive>
void
serialize(Archive& aArchive, suspicion& aSuspicion)
{
  aArchive(aSuspicion.mSuspect, aSuspicion.mCrashes, aSuspicion.mRemaining);
}

template<class Archive>
void
serialize(Archive& aArchive, suspicion_notice& aMessage)
{
  aArchive(aMessage.mSequence, aMessage.mSuspicions, aMessage.mCleared);
}

template<class Archive>
void
serialize(Archive& aArchive, suspicion_ack& aMessage)
{
  aArchive(aMessage.mSequence);
}

template<class Archive>
void
serialize(Archive& aArchive, trial_request& aMessage)
{
  aArchive(
    aMessage.mSuspect, aMessage.mCrash, aMessage.mRunner, aMessage.mSequence);
}

template<class Archive>
void
serialize(Archive& aArchive, trial_reply& aMessage)
{
  aArchive(aMessage.mSuspect, aMessage.mSequence);
  wire::SerializeEnumeration(
    aArchive, aMessage.mVerdict, trial_verdict::kNotSuspect);
  aArchive(aMessage.mSuspicion);
}

template<class Archive>
void
serialize(Archive& aArchive, trial_result& aMessage)
{
  aArchive(aMessage.mSuspect, aMessage.mRunner, aMessage.mSequence);
  wire::SerializeEnumeration(aArchive, aMessage.mEnd, trial_end::kCrashed);
  aArchive(aMessage.mCrash);
}

template<class Archive>
void
serialize(Archive& aArchive, trial_result_ack& aMessage)
{
  aArchive(aMessage.mSuspect, aMessage.mSequence);
}

std::string
EncodeClaimMap(claim_map const& aMap)
{
  return wire::Encode(aMap);
}

core::result<claim_map>
DecodeClaimMap(std::string_view aBytes)
{
  return wire::Decode<claim_map>(aBytes, "decode_claim_map");
}

std::string
EncodeClaimMessage(claim_message const& aMessage)
{
  return wire::Encode(aMessage);
}

core::result<claim_message>
DecodeClaimMessage(std::string_view aBytes)
{
  return wire::Decode<claim_message>(aBytes, "decode_claim_message");
}

std::string
EncodeQuarantineMessage(quarantine_message const& aMessage)
{
  return wire::Encode(aMessage);
}

core::result<quarantine_message>
DecodeQuarantineMessage(std::string_view aBytes)
{
  return wire::Decode<quarantine_message>(aBytes, "decode_quarantine_message");
}

}
