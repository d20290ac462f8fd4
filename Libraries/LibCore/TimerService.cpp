#include "LibCore/TimerService.h"

#include <utility>

namespace cranberryfold::core {

timer_id
timer_service::Once(time_point aDue, callback aCallback)
{
  return Add({ aDue, duration::zero(), std::move(aCallback) });
}

timer_id
timer_service::Every(time_point aFirst, duration aInterval, callback aCallback)
{
  return Add({ aFirst, aInterval, std::move(aCallback) });
}

timer_id
timer_service::Add(subscription aSubscription)
{
  timer_id const id{ ++mLastId };
  mQueue.emplace(std::pair(aSubscription.mDue, id.mValue), id);
  mSubscriptions.emplace(id, std::move(aSubscription));
  return id;
}

void
timer_service::Cancel(timer_id aTimer)
{
  auto const found = mSubscriptions.find(aTimer);
  if (found == mSubscriptions.end()) {
    return;
  }
  mQueue.erase(std::pair(found->second.mDue, aTimer.mValue));
  mSubscriptions.erase(found);
}

void
timer_service::Advance(time_point aNow)
{
  while (!mQueue.empty() && mQueue.begin()->first.first <= aNow) {
    timer_id const id = mQueue.begin()->second;
    mQueue.erase(mQueue.begin());
    auto const found = mSubscriptions.find(id);
    // The callback may cancel its own timer, so it runs from a copy.
    callback const run = found->second.mCallback;
    if (found->second.mInterval > duration::zero()) {
      auto const missed = (aNow - found->second.mDue) / found->second.mInterval;
      found->second.mDue += found->second.mInterval * (missed + 1);
      mQueue.emplace(std::pair(found->second.mDue, id.mValue), id);
    } else {
      mSubscriptions.erase(found);
    }
    run(aNow);
  }
}

std::optional<time_point>
timer_service::NextDue() const
{
  if (mQueue.empty()) {
    return std::nullopt;
  }
  return mQueue.begin()->first.first;
}

}
