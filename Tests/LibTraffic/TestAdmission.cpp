#include "LibTraffic/AdmissionController.h"
#include "LibTraffic/DownstreamDependency.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cranberryfold;
using namespace cranberryfold::traffic;
using core::refusal_reason;
using tables::work_class;

namespace {

constexpr core::time_point kStart{ std::chrono::seconds(100) };
constexpr std::chrono::milliseconds kMillisecond{ 1 };
constexpr std::chrono::milliseconds kServiceTime{ 10 };

/// One controller whose upstream takes kServiceTime for each call.
struct fixture
{
  explicit fixture(std::uint32_t aSlots = 2)
    : mController(kStart)
  {
    tables::pool pool;
    pool.mQueueLimit = 4;
    mController.Handle(kStart, configuration_changed{ aSlots, pool });
  }

  void Apply(std::vector<admission_action> const& aActions)
  {
    for (auto const& action : aActions) {
      if (auto const* const admit = std::get_if<admit_call>(&action)) {
        mAdmitted.push_back(admit->mCall);
      } else {
        mRefused.push_back(std::get<refuse_call>(action));
      }
    }
  }

  call_id Arrive(work_class aClass,
                 std::uint64_t aCaller = 0,
                 core::duration aTimeLeft = std::chrono::seconds(2))
  {
    call_context context;
    context.mClass = aClass;
    context.mCallerHash = aCaller;
    context.mDeadline = mNow + aTimeLeft;
    return Arrive(context);
  }

  call_id Arrive(call_context const& aContext)
  {
    call_id const id{ ++mLastId };
    Apply(mController.Handle(mNow, call_arrived{ id, aContext }));
    return id;
  }

  /// A call of work in progress.
  call_id ArriveNested(work_class aClass)
  {
    call_context context;
    context.mClass = aClass;
    context.mDepth = 1;
    context.mDeadline = mNow + std::chrono::seconds(2);
    return Arrive(context);
  }

  void FinishOldest()
  {
    auto const id = mAdmitted.front();
    mAdmitted.erase(mAdmitted.begin());
    Apply(mController.Handle(mNow, call_finished{ id, true, kServiceTime }));
  }

  bool WasAdmitted(call_id aCall) const
  {
    return std::find(mAdmitted.begin(), mAdmitted.end(), aCall) !=
           mAdmitted.end();
  }

  std::optional<refusal_reason> Refusal(call_id aCall) const
  {
    for (auto const& refusal : mRefused) {
      if (refusal.mCall == aCall) {
        return refusal.mReason;
      }
    }
    return std::nullopt;
  }

  /// Offers twice the capacity for aDuration; half of the calls are orders, the
  /// other half catalogue reads.
  void Overload(core::duration aDuration)
  {
    auto const end = mNow + aDuration;
    for (std::uint64_t step = 0; mNow < end; ++step) {
      Arrive(work_class::kCatalogue, step % kCallerGroups);
      Arrive(work_class::kOrder, step % kCallerGroups);
      // Two slots complete one call in half the service time.
      mNow += kServiceTime / 2;
      Apply(mController.Handle(mNow, admission_tick{}));
      FinishOldest();
    }
  }

  admission_controller mController;
  core::time_point mNow = kStart;
  std::uint64_t mLastId = 0;
  std::vector<call_id> mAdmitted;
  std::vector<refuse_call> mRefused;
};

}

BOOST_AUTO_TEST_SUITE(Admission)

// Guards against dispatching more calls than the upstream has announced slots.
BOOST_AUTO_TEST_CASE(CallsBeyondTheSlotsWait)
{
  fixture run;
  run.Arrive(work_class::kOrder);
  run.Arrive(work_class::kOrder);
  auto const third = run.Arrive(work_class::kOrder);
  BOOST_TEST(!run.WasAdmitted(third));
  BOOST_TEST(run.mController.LoadStatus(run.mNow).mInFlight == 3U);
  run.FinishOldest();
  BOOST_TEST(run.WasAdmitted(third));
}

// Guards against a queue full of low-class calls that refuses calls of higher
// classes.
BOOST_AUTO_TEST_CASE(FullQueueDropsTheNewestOfTheLowestClass)
{
  fixture run;
  for (int count = 0; count < 5; ++count) {
    run.Arrive(work_class::kStatus);
  }
  auto const newest = run.Arrive(work_class::kStatus);
  auto const order = run.Arrive(work_class::kOrder);
  BOOST_TEST((run.Refusal(newest) == refusal_reason::kQueueFull));
  BOOST_TEST(!run.Refusal(order).has_value());
  run.FinishOldest();
  BOOST_TEST(run.WasAdmitted(order));
}

// Guards against running calls that cannot complete before their callers'
// deadlines.
BOOST_AUTO_TEST_CASE(CallsThatCannotMeetTheirDeadlineAreRefused)
{
  fixture run;
  auto const late = run.Arrive(work_class::kOrder, 0, core::duration{});
  BOOST_TEST((run.Refusal(late) == refusal_reason::kDeadlineExceeded));
  run.Arrive(work_class::kOrder);
  run.Arrive(work_class::kOrder);
  auto const hasty = run.Arrive(work_class::kOrder, 0, 5 * kMillisecond);
  auto const patient = run.Arrive(work_class::kOrder);
  run.mNow += 6 * kMillisecond;
  run.Apply(run.mController.Handle(run.mNow, admission_tick{}));
  BOOST_TEST((run.Refusal(hasty) == refusal_reason::kDeadlineExceeded));
  run.mNow += std::chrono::seconds(1);
  run.Apply(run.mController.Handle(run.mNow, admission_tick{}));
  BOOST_TEST((run.Refusal(patient) == refusal_reason::kQueueTimeout));
}

// Guards against counters that are not decremented on cancellation, which would
// reduce the capacity.
BOOST_AUTO_TEST_CASE(CountersReturnToZero)
{
  fixture run;
  auto const running = run.Arrive(work_class::kOrder);
  run.Arrive(work_class::kOrder);
  auto const waiting = run.Arrive(work_class::kOrder);
  run.Apply(run.mController.Handle(run.mNow, call_cancelled{ waiting }));
  run.Apply(run.mController.Handle(run.mNow, call_cancelled{ running }));
  run.Apply(run.mController.Handle(run.mNow, call_cancelled{ running }));
  run.mAdmitted.erase(run.mAdmitted.begin());
  run.FinishOldest();
  BOOST_TEST(run.mController.Running() == 0U);
  BOOST_TEST(run.mController.Waiting() == 0U);
}

// Guards against new calls at a draining upstream.
BOOST_AUTO_TEST_CASE(DrainRefusesNewAndWaitingWork)
{
  fixture run;
  run.Arrive(work_class::kOrder);
  run.Arrive(work_class::kOrder);
  auto const waiting = run.Arrive(work_class::kOrder);
  run.Apply(run.mController.Handle(run.mNow, admission_drain_started{}));
  auto const later = run.Arrive(work_class::kOrder);
  BOOST_TEST((run.Refusal(waiting) == refusal_reason::kDraining));
  BOOST_TEST((run.Refusal(later) == refusal_reason::kDraining));
  BOOST_TEST(run.mController.LoadStatus(run.mNow).mDraining);
  BOOST_TEST(run.mController.Running() == 2U);
}

// Guards against shedding high classes while lower ones are served, and against
// lower classes that stay refused after the overload.
BOOST_AUTO_TEST_CASE(OverloadShedsTheLowestClassAndReadmitsIt)
{
  fixture run;
  run.Overload(std::chrono::seconds(5));
  auto const threshold =
    run.mController.LoadStatus(run.mNow).mAdmissionThreshold;
  BOOST_TEST(threshold > 0U);
  BOOST_TEST(threshold <= 2 * kCallerGroups);
  auto const wrong = std::count_if(
    run.mRefused.begin(), run.mRefused.end(), [](auto const& aRefusal) {
      // Every second call of the overload is an order.
      return aRefusal.mCall.mValue % 2 == 0;
    });
  BOOST_TEST(wrong < static_cast<std::ptrdiff_t>(run.mRefused.size() / 20));
  while (!run.mAdmitted.empty()) {
    run.FinishOldest();
  }
  for (int step = 0; step < 500; ++step) {
    run.Arrive(work_class::kCatalogue, static_cast<std::uint64_t>(step));
    run.mNow += kServiceTime;
    while (!run.mAdmitted.empty()) {
      run.FinishOldest();
    }
  }
  BOOST_TEST(run.mController.LoadStatus(run.mNow).mAdmissionThreshold == 0U);
}

// Guards against refusing waiting calls that could still be served, and against
// a long queue that keeps calls from idle upstreams.
BOOST_AUTO_TEST_CASE(FixedLimitQueuesAtMostOneCallPerSlot)
{
  fixture run;
  tables::pool pool;
  pool.mConcurrency = tables::concurrency_policy::kSlots;
  pool.mQueueLimit = 100;
  run.mController.Handle(kStart, configuration_changed{ 2, pool });
  for (int call = 0; call < 4; ++call) {
    run.Arrive(work_class::kCatalogue);
  }
  BOOST_TEST(run.mRefused.empty());
  auto const fifth = run.Arrive(work_class::kCatalogue);
  BOOST_TEST((run.Refusal(fifth) == refusal_reason::kQueueFull));
  // A fixed maximum wait would refuse calls that can still meet their deadline.
  run.mNow += std::chrono::seconds(1);
  run.Apply(run.mController.Handle(run.mNow, admission_tick{}));
  BOOST_TEST(run.mController.Waiting() == 2U);
}

// Guards against work in progress that waits behind new work while it occupies
// slots of other upstreams.
BOOST_AUTO_TEST_CASE(CallsOfWorkInProgressComeFirst)
{
  fixture run(1);
  run.Arrive(work_class::kCatalogue);
  auto const fresh = run.Arrive(work_class::kCatalogue);
  auto const second = run.ArriveNested(work_class::kCatalogue);
  run.FinishOldest();
  BOOST_TEST(run.WasAdmitted(second));
  BOOST_TEST(!run.WasAdmitted(fresh));
}

// Guards against refusing calls of work in progress because the threshold has
// risen since that work was admitted, and against admitting them indefinitely.
BOOST_AUTO_TEST_CASE(WorkInProgressMeetsTheLowestRecentThreshold)
{
  fixture run;
  run.Overload(std::chrono::milliseconds(500));
  BOOST_TEST(run.mController.LoadStatus(run.mNow).mAdmissionThreshold > 0U);
  auto const fresh = run.Arrive(work_class::kCatalogue);
  BOOST_TEST((run.Refusal(fresh) == refusal_reason::kCutOff));
  auto const nested = run.ArriveNested(work_class::kCatalogue);
  BOOST_TEST((run.Refusal(nested) != refusal_reason::kCutOff));
  run.Overload(std::chrono::seconds(3));
  auto const later = run.ArriveNested(work_class::kCatalogue);
  BOOST_TEST((run.Refusal(later) == refusal_reason::kCutOff));
}

// Guards against calls of a crashed process that occupy slots of the restarted
// one or are counted twice when they end.
BOOST_AUTO_TEST_CASE(CallsOfAnEarlierProcessNoLongerCount)
{
  fixture run(1);
  auto const old = run.Arrive(work_class::kOrder);
  run.Apply(run.mController.Handle(run.mNow, upstream_restarted{}));
  auto const next = run.Arrive(work_class::kOrder);
  BOOST_TEST(run.WasAdmitted(next));
  run.Apply(run.mController.Handle(run.mNow, call_finished{ old, false, {} }));
  BOOST_TEST(run.mController.Running() == 1U);
}

// Guards against sending the full load to an upstream with cold caches.
BOOST_AUTO_TEST_CASE(RestartedUpstreamIsRampedUp)
{
  fixture run(10);
  run.Apply(run.mController.Handle(run.mNow, upstream_restarted{}));
  BOOST_TEST(run.mController.LoadStatus(run.mNow).mLimit == 2U);
  run.mNow += std::chrono::seconds(5);
  BOOST_TEST(run.mController.LoadStatus(run.mNow).mLimit == 6U);
  run.mNow += std::chrono::seconds(5);
  BOOST_TEST(run.mController.LoadStatus(run.mNow).mLimit == 10U);
}

// Guards against callers that are admitted at one hop and refused at the next
// because their group differs.
BOOST_AUTO_TEST_CASE(CallersAreInTheSameGroupAtEveryHop)
{
  call_context root;
  root.mClass = work_class::kStatus;
  root.mCallerHash = 12345;
  auto deep = root;
  deep.mDepth = 3;
  BOOST_TEST(ShedPosition(root) == ShedPosition(deep));
  auto important = root;
  important.mClass = work_class::kUpload;
  important.mCallerHash = 0;
  BOOST_TEST(ShedPosition(root) < ShedPosition(important));
}

// Guards against refusing calls because of a downstream pool that only some of
// their runs need.
BOOST_AUTO_TEST_CASE(OnlyPoolsThatNearlyAllRunsCallAreRequired)
{
  downstream_dependency dependency;
  callee const stock{ "stock", "sync" };
  for (int run = 0; run < 100; ++run) {
    dependency.CountRun("order", { stock, stock });
    dependency.CountRun("status",
                        run % 2 == 0 ? std::vector<callee>{ stock }
                                     : std::vector<callee>{});
  }
  BOOST_TEST(
    (dependency.RequiredCallees("order") == std::vector<callee>{ stock }));
  BOOST_TEST(dependency.RequiredCallees("status").empty());
  BOOST_TEST(dependency.RequiredCallees("upload").empty());
}

BOOST_AUTO_TEST_SUITE_END()
