#include "LibDaemon/IdleConnections.h"

#include <utility>

namespace cranberryfold::daemon {

idle_connections::idle_connections(asio::any_io_executor const& aExecutor,
                                   std::function<core::duration()> aTimeout)
  : mTimeout(std::move(aTimeout))
  , mTimer(aExecutor)
{
}

std::uint64_t
idle_connections::Add(std::function<void()> aClose)
{
  auto const id = ++mLastId;
  mEntries.emplace(id, entry{ Now(), std::move(aClose) });
  if (mEntries.size() == 1) {
    StartTimer();
  }
  return id;
}

void
idle_connections::Remove(std::uint64_t aConnection)
{
  mEntries.erase(aConnection);
}

void
idle_connections::OnTimeoutChanged()
{
  CloseExpired();
}

void
idle_connections::CloseExpired()
{
  auto const latest = Now() - mTimeout();
  while (!mEntries.empty() && mEntries.begin()->second.mIdleSince <= latest) {
    auto const expired = mEntries.extract(mEntries.begin());
    expired.mapped().mClose();
  }
  StartTimer();
}

void
idle_connections::StartTimer()
{
  if (mEntries.empty()) {
    mTimer.cancel();
    return;
  }
  mTimer.expires_at(
    ToSteadyClock(mEntries.begin()->second.mIdleSince + mTimeout()));
  mTimer.async_wait([this](boost::system::error_code aCode) {
    if (!aCode) {
      CloseExpired();
    }
  });
}

}
