#include "LibCore/Random.h"
#include "LibCore/TimerService.h"
#include "LibTraffic/AdmissionController.h"
#include "VirtualTime.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace cranberryfold;
using namespace cranberryfold::traffic;
using tables::work_class;

namespace {

constexpr core::time_point kStart{ std::chrono::seconds(100) };
constexpr std::uint32_t kSlots = 62;
constexpr auto kServiceTime = std::chrono::milliseconds(90);
constexpr auto kTick = std::chrono::milliseconds(100);
constexpr core::duration kRuleWindow = std::chrono::seconds(4);

/// One upstream that states a limit of requests per second in its responses,
/// and senders that keep to the threshold that it reports.
class limited_world
{
public:
  explicit limited_world(std::uint64_t aSeed = 1)
    : mRandom(aSeed)
    , mController(kStart)
  {
    Configure();
    mTimers.Every(kStart, kTick, [this](core::time_point aNow) {
      Apply(aNow, mController.Handle(aNow, admission_tick{}));
    });
  }

  /// Offers calls of aClass at random times.
  void Offer(work_class aClass, double aCallsPerSecond)
  {
    auto const steps = static_cast<std::uint64_t>(2e6 / aCallsPerSecond);
    auto const pause = std::chrono::microseconds(mRandom.Below(steps) + 1);
    mTimers.Once(mNow + pause, [=, this](core::time_point aNow) {
      mNow = aNow;
      Arrive(aNow, aClass);
      Offer(aClass, aCallsPerSecond);
    });
  }

  /// Offers aCalls calls of aClass at once.
  void Burst(work_class aClass, int aCalls)
  {
    for (int call = 0; call < aCalls; ++call) {
      Arrive(mNow, aClass);
    }
  }

  void Run(core::duration aDuration) { RunTimers(mTimers, mNow, aDuration); }

  void State(std::optional<double> aLimit)
  {
    mLimit = aLimit;
    Apply(mNow, mController.Handle(mNow, request_limit_stated{ aLimit }));
  }

  /// The daemon starts again and knows nothing; its calls have ended.
  void RestartDaemon()
  {
    mController = admission_controller(mNow);
    mFirstCall = mLastCall + 1;
    Configure();
    Handle(upstream_restarted{});
  }

  void Handle(admission_event const& aEvent)
  {
    Apply(mNow, mController.Handle(mNow, aEvent));
  }

  admission_controller const& Controller() const { return mController; }
  core::time_point CurrentTime() const { return mNow; }

  std::size_t Served(work_class aClass) const
  {
    auto const found = mServed.find(aClass);
    return found == mServed.end() ? 0 : found->second;
  }
  std::size_t Offered(work_class aClass) const { return mOffered.at(aClass); }
  std::size_t Refused() const { return mRefused; }

  /// Returns the most calls that were admitted in any time of aLength.
  std::size_t MaximumAdmitted(core::duration aLength) const
  {
    std::size_t most = 0;
    for (auto first = mAdmitted.begin(); first != mAdmitted.end(); ++first) {
      auto const last =
        std::lower_bound(first, mAdmitted.end(), *first + aLength);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

private:
  void Configure()
  {
    tables::pool pool;
    pool.mConcurrency = tables::concurrency_policy::kSlots;
    pool.mQueueLimit = 500;
    pool.mQueueWaitMilliseconds = 100;
    pool.mColdStartMilliseconds = 0;
    Handle(configuration_changed{ kSlots, pool });
  }

  void Arrive(core::time_point aNow, work_class aClass)
  {
    ++mOffered[aClass];
    call_context context;
    context.mClass = aClass;
    context.mCallerHash = mRandom.Below(1'000'000);
    context.mDeadline = aNow + std::chrono::seconds(5);
    if (ShedPosition(context) <
        mController.LoadStatus(aNow).mAdmissionThreshold) {
      return;
    }
    call_id const id{ ++mLastCall };
    mClasses[id] = aClass;
    Apply(aNow, mController.Handle(aNow, call_arrived{ id, context }));
  }

  void Apply(core::time_point aNow,
             std::vector<admission_action> const& aActions)
  {
    for (auto const& action : aActions) {
      if (auto const* const admitted = std::get_if<admit_call>(&action)) {
        Start(aNow, admitted->mCall);
      } else {
        ++mRefused;
      }
    }
    if (auto const next = mController.NextDispatch(aNow)) {
      mTimers.Once(*next, [this](core::time_point aLater) {
        Apply(aLater, mController.Handle(aLater, admission_tick{}));
      });
    }
  }

  void Start(core::time_point aNow, call_id aCall)
  {
    mAdmitted.push_back(aNow);
    mTimers.Once(aNow + kServiceTime,
                 [=, this](core::time_point aEnd) { Finish(aEnd, aCall); });
  }

  void Finish(core::time_point aNow, call_id aCall)
  {
    if (aCall.mValue < mFirstCall) {
      return;
    }
    ++mServed[mClasses.at(aCall)];
    if (mLimit) {
      Apply(aNow, mController.Handle(aNow, request_limit_stated{ mLimit }));
    }
    Apply(aNow,
          mController.Handle(aNow, call_finished{ aCall, true, kServiceTime }));
  }

  core::random_source mRandom;
  core::timer_service mTimers;
  admission_controller mController;
  core::time_point mNow = kStart;
  std::optional<double> mLimit;
  std::uint64_t mLastCall = 0;
  std::uint64_t mFirstCall = 0;
  std::map<call_id, work_class> mClasses;
  std::map<work_class, std::size_t> mOffered;
  std::map<work_class, std::size_t> mServed;
  std::vector<core::time_point> mAdmitted;
  std::size_t mRefused = 0;
};

/// The requests that an upstream may get in kRuleWindow.
double
Allowed(double aLimit)
{
  return 1.5 * aLimit * 4 + 5;
}

double
Share(limited_world const& aWorld, work_class aClass)
{
  return static_cast<double>(aWorld.Served(aClass)) /
         static_cast<double>(aWorld.Offered(aClass));
}

} // namespace

BOOST_AUTO_TEST_SUITE(StatedLimit)

// Guards against more calls than the upstream accepts, and against using less
// of its limit than there is demand for.
BOOST_AUTO_TEST_CASE(LimitIsKeptAndUsed)
{
  for (double const limit : { 0.0, 0.7, 2.0, 8.0, 32.5, 120.0 }) {
    limited_world world;
    world.State(limit);
    world.Offer(work_class::kCatalogue, 200);
    world.Run(std::chrono::seconds(20));
    BOOST_TEST(static_cast<double>(world.MaximumAdmitted(kRuleWindow)) <=
                 Allowed(limit),
               limit);
    BOOST_TEST(static_cast<double>(world.Served(work_class::kCatalogue)) >=
                 0.85 * limit * 20 - 1,
               limit);
  }
}

// Guards against an upstream that is never tried again, so that the end of its
// limit goes unnoticed.
BOOST_AUTO_TEST_CASE(UpstreamThatAcceptsNothingIsStillTried)
{
  limited_world world;
  world.State(0);
  world.Offer(work_class::kCatalogue, 200);
  world.Run(std::chrono::seconds(20));
  BOOST_TEST(world.Served(work_class::kCatalogue) >= 4U);
}

// Guards against a limit that is paid for by the highest class.
BOOST_AUTO_TEST_CASE(LimitShedsTheLowestClass)
{
  for (double const limit : { 3.0, 8.0, 32.0, 120.0 }) {
    limited_world world;
    world.State(limit);
    world.Offer(work_class::kCatalogue, limit);
    world.Offer(work_class::kOrder, 0.6 * limit);
    world.Run(std::chrono::seconds(30));
    BOOST_TEST_CONTEXT("limit " << limit)
    {
      BOOST_TEST(Share(world, work_class::kOrder) >= 0.9);
      BOOST_TEST(Share(world, work_class::kCatalogue) <= 0.5);
    }
  }
}

// Guards against calls that wait at an upstream that accepts few, while others
// have room.
BOOST_AUTO_TEST_CASE(CallsBeyondTheLimitAreRefusedAtOnce)
{
  limited_world world;
  world.State(0.5);
  world.Run(std::chrono::milliseconds(1500));
  call_context context;
  context.mDeadline = world.CurrentTime() + std::chrono::seconds(5);
  world.Handle(call_arrived{ { 1 }, context });
  BOOST_TEST(world.Refused() == 0U);
  BOOST_TEST(world.Controller().Waiting() == 1U);
  world.Handle(call_arrived{ { 2 }, context });
  BOOST_TEST(world.Refused() == 1U);
}

// Guards against a threshold that stays after a burst because few calls
// complete under a low limit.
BOOST_AUTO_TEST_CASE(CallsWithinALowLimitAreServedAfterABurst)
{
  limited_world world;
  world.State(1);
  world.Burst(work_class::kCatalogue, 20);
  world.Run(std::chrono::seconds(2));
  auto const servedBefore = world.Served(work_class::kCatalogue);
  auto const offeredBefore = world.Offered(work_class::kCatalogue);
  world.Offer(work_class::kCatalogue, 0.3);
  world.Run(std::chrono::seconds(100));
  auto const served = world.Served(work_class::kCatalogue) - servedBefore;
  auto const offered = world.Offered(work_class::kCatalogue) - offeredBefore;
  BOOST_TEST(10 * served >= 9 * offered);
}

// Guards against an overload that goes unnoticed because the stated limit is
// above what the slots complete, 644 calls a second here.
BOOST_AUTO_TEST_CASE(LimitAboveTheCapacityLeavesSheddingToTheSlots)
{
  limited_world world;
  world.State(2000);
  world.Offer(work_class::kCatalogue, 600);
  world.Offer(work_class::kOrder, 500);
  world.Run(std::chrono::seconds(10));
  BOOST_TEST(Share(world, work_class::kOrder) >= 0.95);
  auto const status = world.Controller().LoadStatus(world.CurrentTime());
  BOOST_TEST(status.mAdmissionThreshold > 0U);
}

// Guards against a limit that outlasts its statement.
BOOST_AUTO_TEST_CASE(LimitEndsWithItsStatement)
{
  limited_world world;
  world.State(2);
  world.Offer(work_class::kCatalogue, 100);
  world.Run(std::chrono::seconds(5));
  world.State(std::nullopt);
  auto const before = world.Served(work_class::kCatalogue);
  world.Run(std::chrono::seconds(6));
  BOOST_TEST(world.Served(work_class::kCatalogue) - before >= 500U);
  BOOST_TEST(
    world.Controller().LoadStatus(world.CurrentTime()).mAdmissionThreshold ==
    0U);
}

// Guards against a restarted daemon that fills all slots before a response
// tells it the limit.
BOOST_AUTO_TEST_CASE(LimitHoldsAcrossARestartOfTheDaemon)
{
  for (double const limit : { 2.0, 8.0 }) {
    limited_world world;
    world.State(limit);
    world.Offer(work_class::kCatalogue, 200);
    world.Run(std::chrono::seconds(5));
    world.RestartDaemon();
    world.Run(std::chrono::seconds(5));
    BOOST_TEST(static_cast<double>(world.MaximumAdmitted(kRuleWindow)) <=
                 Allowed(limit),
               limit);
  }
}

// Guards against a restarted daemon that stays at the rate for an unknown limit
// although responses state none.
BOOST_AUTO_TEST_CASE(FirstResponseEndsTheUnknownLimit)
{
  limited_world world;
  world.RestartDaemon();
  world.Offer(work_class::kCatalogue, 100);
  world.Run(std::chrono::seconds(5));
  BOOST_TEST(Share(world, work_class::kCatalogue) >= 0.95);
}

// Guards against senders that prefer a limited upstream to a free one.
BOOST_AUTO_TEST_CASE(LoadStatusExpressesTheLimit)
{
  limited_world world;
  world.Offer(work_class::kCatalogue, 100);
  world.Run(std::chrono::seconds(2));
  auto const free = world.Controller().LoadStatus(world.CurrentTime());
  world.State(32);
  auto const limited = world.Controller().LoadStatus(world.CurrentTime());
  BOOST_TEST(free.mLimit == 58U);
  BOOST_TEST(limited.mLimit == 2U);
  BOOST_TEST(limited.mServiceMicroseconds == free.mServiceMicroseconds);
  world.State(2);
  auto const slow = world.Controller().LoadStatus(world.CurrentTime());
  BOOST_TEST(slow.mLimit == 1U);
  BOOST_TEST(slow.mServiceMicroseconds == 500'000U);
}

// Guards against waiting calls that reach an upstream after it has stated that
// it is leaving.
BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNoWaitingCalls)
{
  limited_world world;
  world.State(20);
  world.Offer(work_class::kCatalogue, 200);
  world.Run(std::chrono::seconds(2));
  BOOST_TEST_REQUIRE(world.Controller().Waiting() > 0U);
  world.Handle(upstream_leaving{});
  BOOST_TEST(world.Controller().Waiting() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
