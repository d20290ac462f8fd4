#pragma once

#include "LibDaemon/CallFrames.h"
#include "LibWire/Codec.h"

/// Serialization of call frames. Include in .cpp files only, since it includes
/// cereal.
namespace cranberryfold::traffic {

template<class Archive>
void
serialize(Archive& aArchive, call_context& aContext)
{
  aArchive(aContext.mRequest, aContext.mRootDaemon);
  wire::SerializeEnumeration(
    aArchive, aContext.mClass, tables::work_class::kUpload);
  aArchive(aContext.mCallerHash,
           aContext.mDepth,
           aContext.mKey,
           aContext.mLevel,
           aContext.mOrigin,
           aContext.mIsRepeat,
           aContext.mRoute);
}

template<class Archive>
void
serialize(Archive& aArchive, load_status& aStamp)
{
  aArchive(aStamp.mInFlight,
           aStamp.mLimit,
           aStamp.mAdmissionThreshold,
           aStamp.mDraining,
           aStamp.mServiceMicroseconds,
           aStamp.mDownstreamThreshold);
}

}

namespace cranberryfold::daemon {

template<class Archive>
void
serialize(Archive& aArchive, header_field& aField)
{
  aArchive(aField.mName, aField.mValue);
}

template<class Archive>
void
serialize(Archive& aArchive, hello& aFrame)
{
  aArchive(aFrame.mProtocol);
  wire::SerializeEnumeration(aArchive, aFrame.mKind, connection_kind::kControl);
  aArchive(aFrame.mInstance, aFrame.mRegion, aFrame.mPeerAddress);
}

template<class Archive>
void
serialize(Archive& aArchive, call_head& aFrame)
{
  aArchive(aFrame.mStream,
           aFrame.mAttempt,
           aFrame.mContext,
           aFrame.mTimeLeft,
           aFrame.mPool,
           aFrame.mMethod,
           aFrame.mTarget,
           aFrame.mHeaders,
           aFrame.mContentLength,
           aFrame.mHasBody,
           aFrame.mIsIdempotent);
}

template<class Archive>
void
serialize(Archive& aArchive, body_chunk& aFrame)
{
  aArchive(aFrame.mStream, aFrame.mAttempt, aFrame.mBytes, aFrame.mLast);
}

template<class Archive>
void
serialize(Archive& aArchive, window_update& aFrame)
{
  aArchive(aFrame.mStream, aFrame.mBytes);
}

template<class Archive>
void
serialize(Archive& aArchive, call_response_head& aFrame)
{
  aArchive(aFrame.mStream,
           aFrame.mAttempt,
           aFrame.mStatus,
           aFrame.mHeaders,
           aFrame.mContentLength,
           aFrame.mHasBody,
           aFrame.mLoadStatus);
}

template<class Archive>
void
serialize(Archive& aArchive, call_response_chunk& aFrame)
{
  aArchive(aFrame.mStream, aFrame.mAttempt, aFrame.mBytes, aFrame.mLast);
}

template<class Archive>
void
serialize(Archive& aArchive, cancel& aFrame)
{
  aArchive(aFrame.mStream);
}

template<class Archive>
void
serialize(Archive& aArchive, refusal& aFrame)
{
  aArchive(aFrame.mStream, aFrame.mAttempt);
  wire::SerializeEnumeration(
    aArchive, aFrame.mOutcome, traffic::outcome::kUnknown);
  wire::SerializeEnumeration(
    aArchive, aFrame.mReason, core::refusal_reason::kInternal);
  aArchive(aFrame.mRetryAfter, aFrame.mLoadStatus);
}

template<class Archive>
void
serialize(Archive& aArchive, traffic_message& aFrame)
{
  wire::SerializeEnumeration(
    aArchive, aFrame.mTopic, traffic_topic::kQuarantine);
  aArchive(aFrame.mPayload);
}

template<class Archive>
void
serialize(Archive& aArchive, control_frame& aFrame)
{
  aArchive(aFrame.mEnvelope);
}

template<class Archive>
void
serialize(Archive& /*aArchive*/, link_probe& /*aFrame*/)
{
}

}
