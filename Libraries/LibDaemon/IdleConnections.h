#pragma once

#include "LibDaemon/Asio.h"

#include <cstdint>
#include <functional>
#include <map>

namespace cranberryfold::daemon {

/// Connections that wait for a request, and the timer that closes those that
/// have been idle for too long. Used by one thread only.
class idle_connections
{
public:
  /// aTimeout returns the time for which a connection may be idle at present.
  idle_connections(asio::any_io_executor const& aExecutor,
                   std::function<core::duration()> aTimeout);

  /// Registers a connection that is idle from now on and returns its id. aClose
  /// is called at most once, if the connection was idle for too long.
  std::uint64_t Add(std::function<void()> aClose);
  /// Removes a connection that is no longer idle.
  void Remove(std::uint64_t aConnection);
  /// Applies a new timeout to the connections that are idle already.
  void OnTimeoutChanged();

private:
  struct entry
  {
    core::time_point mIdleSince;
    std::function<void()> mClose;
  };

  void CloseExpired();
  void StartTimer();

  std::function<core::duration()> mTimeout;
  asio::steady_timer mTimer;
  /// Ids increase, so that the first entry has been idle for the longest time.
  std::map<std::uint64_t, entry> mEntries;
  std::uint64_t mLastId = 0;
};

}
