#include "LibDaemon/RequestBody.h"

#include <algorithm>

namespace cranberryfold::daemon {

void
request_body::Append(std::string_view aBytes)
{
  // Consumed bytes are dropped only if the buffer is full, since a retry needs
  // the body from its start.
  if (mBytes.size() + aBytes.size() > kMaximumBufferedBytes) {
    mBytes.erase(0, mConsumedBytes);
    mDiscardedBytes += mConsumedBytes;
    mConsumedBytes = 0;
  }
  mBytes += aBytes;
}

std::size_t
request_body::FreeBytes() const
{
  auto const unconsumed = mBytes.size() - mConsumedBytes;
  return unconsumed >= kMaximumBufferedBytes
           ? 0
           : kMaximumBufferedBytes - unconsumed;
}

std::string
request_body::Take(std::size_t aMaximum)
{
  auto bytes = mBytes.substr(mConsumedBytes, aMaximum);
  mConsumedBytes += bytes.size();
  return bytes;
}

bool
request_body::IsFullyConsumed() const
{
  return mIsComplete && mConsumedBytes == mBytes.size();
}

}
