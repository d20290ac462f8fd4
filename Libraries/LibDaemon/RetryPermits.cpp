#include "LibDaemon/RetryPermits.h"

#include "LibWire/Codec.h"

namespace cranberryfold::daemon {

template<class Archive>
void
serialize(Archive& aArchive, permit_request& aMessage)
{
  aArchive(aMessage.mId, aMessage.mRequest);
}

template<class Archive>
void
serialize(Archive& aArchive, permit_response& aMessage)
{
  aArchive(aMessage.mId, aMessage.mIsGranted);
}

std::string
EncodePermitMessage(permit_message const& aMessage)
{
  return wire::Encode(aMessage);
}

core::result<permit_message>
DecodePermitMessage(std::string_view aBytes)
{
  return wire::Decode<permit_message>(aBytes, "decode_permit");
}

permit_id
pending_permits::Register(callback aCallback)
{
  std::scoped_lock const lock(mMutex);
  permit_id const id{ ++mLastId };
  mPending.emplace(id, std::move(aCallback));
  return id;
}

void
pending_permits::OnPermitResponse(permit_response const& aResponse)
{
  callback onResponse;
  {
    std::scoped_lock const lock(mMutex);
    auto entry = mPending.extract(aResponse.mId);
    if (!entry) {
      return;
    }
    onResponse = std::move(entry.mapped());
  }
  onResponse(aResponse.mIsGranted);
}

void
pending_permits::Forget(permit_id aId)
{
  std::scoped_lock const lock(mMutex);
  mPending.erase(aId);
}

}
