#include "LibDaemon/RequestBody.h"

#include <algorithm>

namespace cranberryfold::daemon {

void
request_body::Append(std::string_view aBytes)
{
  // Bytes that were taken are dropped only when they are in the way, since a
  // retry needs the body from its start.
  if (mBytes.size() + aBytes.size() > kMaximumBufferedBytes) {
    mBytes.erase(0, mTaken);
    mDiscarded += mTaken;
    mTaken = 0;
  }
  mBytes += aBytes;
}

std::size_t
request_body::Room() const
{
  auto const waiting = mBytes.size() - mTaken;
  return waiting >= kMaximumBufferedBytes ? 0 : kMaximumBufferedBytes - waiting;
}

std::string
request_body::Take(std::size_t aMaximum)
{
  auto bytes = mBytes.substr(mTaken, aMaximum);
  mTaken += bytes.size();
  return bytes;
}

bool
request_body::IsTaken() const
{
  return mIsComplete && mTaken == mBytes.size();
}

}
