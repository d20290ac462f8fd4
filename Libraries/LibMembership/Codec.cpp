#include "LibMembership/Codec.h"

#include "LibTables/Serialize.h"
#include "LibWire/Codec.h"

namespace cranberryfold::membership {

template<class Archive>
void
serialize(Archive& aArchive, announcement& aValue)
{
  aArchive(aValue.mInstance,
           aValue.mIncarnation,
           aValue.mProcessStart,
           aValue.mZone,
           aValue.mRegion,
           aValue.mPeerAddress,
           aValue.mAdminAddress,
           aValue.mService,
           aValue.mSlots,
           aValue.mConnections);
  wire::SerializeEnumeration(
    aArchive, aValue.mLifecycle, lifecycle_state::kLeft);
  aArchive(aValue.mFeatures, aValue.mControlReplica);
}

template<class Archive>
void
serialize(Archive& aArchive, member_update& aValue)
{
  aArchive(aValue.mAnnouncement);
  wire::SerializeEnumeration(aArchive, aValue.mState, member_state::kLeft);
}

template<class Archive>
void
serialize(Archive& aArchive, contact& aValue)
{
  aArchive(aValue.mInstance, aValue.mAddress);
}

template<class Archive>
void
serialize(Archive& aArchive, ping& aValue)
{
  aArchive(aValue.mSequence, aValue.mTarget, aValue.mUpdates);
}

template<class Archive>
void
serialize(Archive& aArchive, ping_request& aValue)
{
  aArchive(aValue.mSequence, aValue.mTarget);
}

template<class Archive>
void
serialize(Archive& aArchive, ping_ack& aValue)
{
  aArchive(aValue.mSequence, aValue.mUpdates);
}

template<class Archive>
void
serialize(Archive& aArchive, tree_range& aValue)
{
  aArchive(aValue.mFirst, aValue.mLast, aValue.mReversed);
}

template<class Archive>
void
serialize(Archive& aArchive, zone_report& aValue)
{
  aArchive(aValue.mReporter,
           aValue.mIncarnation,
           aValue.mSequence,
           aValue.mUnreachable);
}

template<class Archive>
void
serialize(Archive& aArchive, update_batch& aValue)
{
  aArchive(aValue.mUpdates, aValue.mReports, aValue.mRange);
}

template<class Archive>
void
serialize(Archive& aArchive, zone_digest& aValue)
{
  aArchive(aValue.mZone, aValue.mCount, aValue.mHash);
}

template<class Archive>
void
serialize(Archive& aArchive, digest& aValue)
{
  aArchive(aValue.mSequence,
           aValue.mResponseRequested,
           aValue.mAnnouncement,
           aValue.mZones,
           aValue.mReports);
}

template<class Archive>
void
serialize(Archive& aArchive, entry_version& aValue)
{
  aArchive(aValue.mInstanceHash, aValue.mIncarnation);
  wire::SerializeEnumeration(aArchive, aValue.mState, member_state::kLeft);
}

template<class Archive>
void
serialize(Archive& aArchive, zone_summary& aValue)
{
  aArchive(aValue.mZone, aValue.mEntries);
}

template<class Archive>
void
serialize(Archive& aArchive, digest_response& aValue)
{
  aArchive(aValue.mSequence, aValue.mAnnouncement, aValue.mZones);
}

template<class Archive>
void
serialize(Archive& aArchive, removal& aValue)
{
  aArchive(aValue.mInstance, aValue.mIncarnation);
}

template<class Archive>
void
serialize(Archive& aArchive, entry_exchange& aValue)
{
  aArchive(aValue.mUpdates, aValue.mRequestedHashes, aValue.mRemovals);
}

template<class Archive>
void
serialize(Archive& aArchive, table_delta& aValue)
{
  aArchive(aValue.mRevision, aValue.mHash, aValue.mChanges);
}

template<class Archive>
void
serialize(Archive& aArchive, configuration_deltas& aValue)
{
  aArchive(aValue.mDeltas, aValue.mRange);
}

template<class Archive>
void
serialize(Archive& aArchive, configuration_digest& aValue)
{
  aArchive(aValue.mRevision, aValue.mHash, aValue.mResponseRequested);
}

template<class Archive>
void
serialize(Archive& aArchive, configuration_request& aValue)
{
  aArchive(aValue.mRevision, aValue.mSnapshotRequested);
}

template<class Archive>
void
serialize(Archive& aArchive, configuration_snapshot& aValue)
{
  aArchive(aValue.mRevision, aValue.mHash, aValue.mTables, aValue.mRange);
}

template<class Archive, class Body>
void
serialize(Archive& aArchive, message_with_sender<Body>& aValue)
{
  aArchive(aValue.mFrom, aValue.mBody);
}

std::string
EncodeMessage(message const& aMessage)
{
  return wire::Encode(aMessage);
}

core::result<message>
DecodeMessage(std::string_view aBytes)
{
  return wire::Decode<message>(aBytes, "decode_membership_message");
}

send_message
MakeSend(core::address const& aTo, message aMessage)
{
  bool const fits = EncodeMessage(aMessage).size() <= kMaximumDatagramBytes;
  return { aTo,
           std::move(aMessage),
           fits ? transport_preference::kDatagram
                : transport_preference::kStream };
}

}
