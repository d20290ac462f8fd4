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
  mWaiting.emplace(id, std::move(aCallback));
  return id;
}

void
pending_permits::OnPermitResponse(permit_response const& aAnswer)
{
  callback waiting;
  {
    std::scoped_lock const lock(mMutex);
    auto entry = mWaiting.extract(aAnswer.mId);
    if (!entry) {
      return;
    }
    waiting = std::move(entry.mapped());
  }
  waiting(aAnswer.mIsGranted);
}

void
pending_permits::Forget(permit_id aId)
{
  std::scoped_lock const lock(mMutex);
  mWaiting.erase(aId);
}

}
