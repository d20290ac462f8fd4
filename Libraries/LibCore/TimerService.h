#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace cranberryfold::core {

using timer_id = number_id<struct timer_tag>;

/// Runs subscribed functions at points in time that the owner advances to.
/// The daemon advances it from its clock, randomised runs on virtual time.
/// Not thread-safe: each thread that needs timers owns one.
class timer_service
{
public:
  using callback = std::function<void(time_point)>;

  /// Runs aCallback once, at the first Advance() to aDue or later.
  timer_id Once(time_point aDue, callback aCallback);

  /// Runs aCallback every aInterval, first at aFirst. Runs that a late
  /// Advance() missed are skipped.
  timer_id Every(time_point aFirst, duration aInterval, callback aCallback);

  /// Stops a timer; an unknown or finished one is ignored.
  void Cancel(timer_id aTimer);

  /// Runs all that is due at aNow, in order of due time and subscription.
  void Advance(time_point aNow);

  /// Returns when the next timer is due, if there is one.
  std::optional<time_point> NextDue() const;

private:
  struct subscription
  {
    time_point mDue;
    duration mInterval{};
    callback mCallback;
  };

  timer_id Add(subscription aSubscription);

  std::map<std::pair<time_point, std::uint64_t>, timer_id> mQueue;
  std::unordered_map<timer_id, subscription> mSubscriptions;
  std::uint64_t mLastId = 0;
};

}
