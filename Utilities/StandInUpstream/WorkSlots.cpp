#include "WorkSlots.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cranberryfold::stand_in {

namespace asio = boost::asio;

slot_lease::~slot_lease()
{
  if (mOwner != nullptr) {
    mOwner->Release();
  }
}

work_slots::work_slots(asio::any_io_executor aExecutor, std::uint32_t aSlots)
  : mExecutor(std::move(aExecutor))
  , mSlots(aSlots)
{
}

asio::awaitable<slot_lease>
work_slots::Acquire()
{
  if (HasFree()) {
    ++mInUse;
    co_return slot_lease(*this);
  }
  waiter own(mExecutor);
  mWaiters.push_back(&own);
  // A cancelled wait resumes as well, whether or not a slot was granted.
  co_await own.mWakeUp.async_wait(asio::as_tuple(asio::use_awaitable));
  if (!own.mIsGranted) {
    mWaiters.remove(&own);
    throw boost::system::system_error(asio::error::operation_aborted);
  }
  co_return slot_lease(*this);
}

void
work_slots::Release()
{
  if (mWaiters.empty()) {
    --mInUse;
    return;
  }
  auto* const next = mWaiters.front();
  mWaiters.pop_front();
  next->mIsGranted = true;
  next->mWakeUp.cancel();
}

}
