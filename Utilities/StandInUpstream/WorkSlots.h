#pragma once

#include <cstdint>
#include <list>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

/// A limit on how much runs at once.
namespace cranberryfold::stand_in {

class work_slots;

/// One slot, given back at the end of its life.
class slot_lease
{
public:
  explicit slot_lease(work_slots& aOwner)
    : mOwner(&aOwner)
  {
  }
  ~slot_lease();
  slot_lease(slot_lease&& aOther) noexcept
    : mOwner(std::exchange(aOther.mOwner, nullptr))
  {
  }
  slot_lease& operator=(slot_lease&&) = delete;

private:
  work_slots* mOwner;
};

/// Slots are given out in order of arrival. Not thread-safe.
class work_slots
{
public:
  work_slots(boost::asio::any_io_executor aExecutor, std::uint32_t aSlots);

  bool HasFree() const { return mInUse < mSlots; }
  std::uint32_t InUse() const { return mInUse; }
  std::size_t Waiting() const { return mWaiters.size(); }

  /// Waits for a slot. May be cancelled.
  boost::asio::awaitable<slot_lease> Acquire();

private:
  friend class slot_lease;

  struct waiter
  {
    explicit waiter(boost::asio::any_io_executor const& aExecutor)
      : mWakeUp(aExecutor, boost::asio::steady_timer::time_point::max())
    {
    }
    boost::asio::steady_timer mWakeUp;
    bool mIsGranted = false;
  };

  void Release();

  boost::asio::any_io_executor mExecutor;
  std::uint32_t mSlots;
  std::uint32_t mInUse = 0;
  std::list<waiter*> mWaiters;
};

}
