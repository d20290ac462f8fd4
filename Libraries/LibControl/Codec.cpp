#include "LibControl/Codec.h"

#include "LibTables/Serialize.h"

#include <cereal/types/deque.hpp>

namespace cranberryfold::control {

template<class Archive>
void
serialize(Archive& aArchive, group_member& aMember)
{
  aArchive(aMember.mPeerAddress, aMember.mIncarnation, aMember.mVoter);
}

template<class Archive>
void
serialize(Archive& aArchive, term_start& aPayload)
{
  static_cast<void>(aArchive);
  static_cast<void>(aPayload);
}

template<class Archive>
void
serialize(Archive& aArchive, edit_entry& aPayload)
{
  aArchive(aPayload.mEdit);
}

template<class Archive>
void
serialize(Archive& aArchive, admit_entry& aPayload)
{
  aArchive(aPayload.mInstance, aPayload.mIncarnation);
}

template<class Archive>
void
serialize(Archive& aArchive, log_entry& aEntry)
{
  aArchive(aEntry.mIndex, aEntry.mTerm, aEntry.mLogTime, aEntry.mPayload);
}

template<class Archive>
void
serialize(Archive& aArchive, edit_record& aRecord)
{
  aArchive(aRecord.mRevision,
           aRecord.mId,
           aRecord.mLogTime,
           aRecord.mChangeCount,
           aRecord.mIsSystem);
}

template<class Archive>
void
serialize(Archive& aArchive, snapshot& aSnapshot)
{
  aArchive(aSnapshot.mIndex,
           aSnapshot.mTerm,
           aSnapshot.mLogTime,
           aSnapshot.mRevision,
           aSnapshot.mOperatorRevision,
           aSnapshot.mTables,
           aSnapshot.mGroup,
           aSnapshot.mHistory);
}

template<class Archive>
void
serialize(Archive& aArchive, hard_state& aState)
{
  aArchive(aState.mTerm, aState.mVote);
}

template<class Archive>
void
serialize(Archive& aArchive, commit_mark& aMark)
{
  aArchive(aMark.mIndex);
}

template<class Archive>
void
serialize(Archive& aArchive, replica_identity& aIdentity)
{
  aArchive(aIdentity.mInstance, aIdentity.mIncarnation);
}

template<class Archive>
void
serialize(Archive& aArchive, stored_snapshot& aSnapshot)
{
  aArchive(aSnapshot.mGeneration,
           aSnapshot.mHardState,
           aSnapshot.mSnapshot,
           aSnapshot.mEntries);
}

template<class Archive>
void
serialize(Archive& aArchive, pre_vote_request& aBody)
{
  aArchive(aBody.mLastIndex, aBody.mLastTerm);
}

template<class Archive>
void
serialize(Archive& aArchive, pre_vote_response& aBody)
{
  aArchive(aBody.mProposedTerm, aBody.mGranted);
}

template<class Archive>
void
serialize(Archive& aArchive, vote_request& aBody)
{
  aArchive(aBody.mLastIndex, aBody.mLastTerm);
}

template<class Archive>
void
serialize(Archive& aArchive, vote_response& aBody)
{
  aArchive(aBody.mGranted);
}

template<class Archive>
void
serialize(Archive& aArchive, append_request& aBody)
{
  aArchive(aBody.mPreviousIndex,
           aBody.mPreviousTerm,
           aBody.mCommitted,
           aBody.mSentAtMicroseconds,
           aBody.mEntries);
}

template<class Archive>
void
serialize(Archive& aArchive, append_response& aBody)
{
  aArchive(aBody.mSuccess, aBody.mIndex, aBody.mSentAtMicroseconds);
}

template<class Archive>
void
serialize(Archive& aArchive, snapshot_transfer& aBody)
{
  aArchive(aBody.mSentAtMicroseconds, aBody.mSnapshot);
}

template<class Archive>
void
serialize(Archive& aArchive, join_request& aBody)
{
  static_cast<void>(aArchive);
  static_cast<void>(aBody);
}

template<class Archive>
void
serialize(Archive& aArchive, message& aMessage)
{
  aArchive(
    aMessage.mFrom, aMessage.mIncarnation, aMessage.mTerm, aMessage.mBody);
}

std::string
EncodeMessage(message const& aMessage)
{
  return wire::Encode(aMessage);
}

core::result<message>
DecodeMessage(std::string_view aBytes)
{
  return wire::Decode<message>(aBytes, "decode_control_message");
}

std::string
EncodeRecord(journal_record const& aRecord)
{
  return wire::Encode(aRecord);
}

core::result<journal_record>
DecodeRecord(std::string_view aBytes)
{
  return wire::Decode<journal_record>(aBytes, "decode_journal_record");
}

std::string
EncodeIdentity(replica_identity const& aIdentity)
{
  return wire::Encode(aIdentity);
}

core::result<replica_identity>
DecodeIdentity(std::string_view aBytes)
{
  return wire::Decode<replica_identity>(aBytes, "decode_identity");
}

std::string
EncodeSnapshot(stored_snapshot const& aSnapshot)
{
  return wire::Encode(aSnapshot);
}

core::result<stored_snapshot>
DecodeSnapshot(std::string_view aBytes)
{
  return wire::Decode<stored_snapshot>(aBytes, "decode_snapshot");
}

}
