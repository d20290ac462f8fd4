#include "LibCore/Random.h"
#include "LibCore/TimerService.h"
#include "LibTraffic/AdmissionController.h"
#include "VirtualTime.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>

using namespace cranberryfold;
using namespace cranberryfold::traffic;

namespace {

constexpr core::time_point kStart{ std::chrono::seconds(100) };
constexpr std::chrono::milliseconds kMillisecond{ 1 };
constexpr std::uint32_t kSlots = 19;
constexpr auto kServiceTime = 25 * kMillisecond;
/// Number of running calls above which the upstream is slower.
constexpr std::size_t kNearlyFull = 18;
/// Consecutive calls of one chain to the deep upstream.
constexpr std::uint32_t kCallsPerChain = 5;
constexpr auto kTick = 10 * kMillisecond;
/// Ticks after which a threshold reaches the daemons at which chains begin.
constexpr std::size_t kThresholdDelayTicks = 30;
constexpr auto kChainTimeout = 800 * kMillisecond;
/// Calls per second that the upstream completes while it is not slowed down.
constexpr double kCapacity = kNearlyFull * 1e6 / 25'000;

/// A deep upstream that slows down when it is nearly full, and call chains that
/// are admitted by thresholds that it reported some time earlier.
class deep_world
{
public:
  /// aOfferedLoad is the offered load as a share of the upstream's capacity.
  deep_world(double aOfferedLoad, double aFullSlowdown, std::uint64_t aSeed)
    : mRate(aOfferedLoad * kCapacity / kCallsPerChain)
    , mFullSlowdown(aFullSlowdown)
    , mRandom(aSeed)
    , mController(kStart)
  {
    tables::pool pool;
    pool.mConcurrency = tables::concurrency_policy::kSlots;
    pool.mQueueLimit = 500;
    pool.mQueueWaitMilliseconds = 100;
    mController.Handle(kStart, configuration_changed{ kSlots, pool });
    mTimers.Every(
      kStart, kTick, [this](core::time_point aNow) { OnTick(aNow); });
    mTimers.Once(kStart, [this](core::time_point aNow) { BeginChain(aNow); });
  }

  void Run(core::duration aDuration) { RunTimers(mTimers, mNow, aDuration); }

  std::uint32_t CompletedCalls() const { return mCompletedCalls; }

private:
  struct chain
  {
    call_context mContext;
    std::uint32_t mCallsLeft = kCallsPerChain;
  };

  void OnTick(core::time_point aNow)
  {
    mReportedThresholds.push_back(
      mController.LoadStatus(aNow).mAdmissionThreshold);
    if (mReportedThresholds.size() > kThresholdDelayTicks) {
      mReportedThresholds.pop_front();
    }
    Apply(aNow, mController.Handle(aNow, admission_tick{}));
  }

  void BeginChain(core::time_point aNow)
  {
    auto const pause = std::chrono::microseconds(
      mRandom.Below(static_cast<std::uint64_t>(2e6 / mRate)) + 1);
    mTimers.Once(aNow + pause,
                 [this](core::time_point aLater) { BeginChain(aLater); });
    chain next;
    next.mContext.mCallerHash = mRandom.Below(1'000'000);
    next.mContext.mDeadline = aNow + kChainTimeout;
    auto const reported =
      mReportedThresholds.empty() ? 0 : mReportedThresholds.front();
    if (ShedPosition(next.mContext) < reported) {
      return;
    }
    next.mContext.mDepth = 1;
    Call(aNow, next);
  }

  void Call(core::time_point aNow, chain const& aChain)
  {
    call_id const id{ ++mLastCall };
    mChains[id] = aChain;
    Apply(aNow, mController.Handle(aNow, call_arrived{ id, aChain.mContext }));
  }

  void Apply(core::time_point aNow,
             std::vector<admission_action> const& aActions)
  {
    for (auto const& action : aActions) {
      if (auto const* const admitted = std::get_if<admit_call>(&action)) {
        Start(aNow, admitted->mCall);
      } else {
        mChains.erase(std::get<refuse_call>(action).mCall);
      }
    }
  }

  void Start(core::time_point aNow, call_id aCall)
  {
    bool const isNearlyFull = mController.Running() > kNearlyFull;
    auto const factor = isNearlyFull ? mFullSlowdown : 1;
    auto const latency = core::duration(static_cast<std::int64_t>(
      factor * static_cast<double>(core::duration(kServiceTime).count())));
    mTimers.Once(aNow + latency, [=, this](core::time_point aEnd) {
      Finish(aEnd, aCall, latency);
    });
  }

  void Finish(core::time_point aNow, call_id aCall, core::duration aLatency)
  {
    ++mCompletedCalls;
    auto ended = mChains.extract(aCall).mapped();
    Apply(aNow,
          mController.Handle(aNow, call_finished{ aCall, true, aLatency }));
    if (--ended.mCallsLeft > 0) {
      Call(aNow, ended);
    }
  }

  double mRate;
  double mFullSlowdown;
  core::random_source mRandom;
  core::timer_service mTimers;
  admission_controller mController;
  core::time_point mNow = kStart;
  std::uint64_t mLastCall = 0;
  std::uint32_t mCompletedCalls = 0;
  std::map<call_id, chain> mChains;
  std::deque<std::uint32_t> mReportedThresholds;
};

}

BOOST_AUTO_TEST_SUITE(DeepOverload)

// Guards against using the last slots of an upstream that slows down when it is
// nearly full, which lowers its throughput.
BOOST_AUTO_TEST_CASE(NearlyFullUpstreamKeepsItsThroughput)
{
  deep_world world(2, 1.3, 1);
  world.Run(std::chrono::seconds(5));
  auto const before = world.CompletedCalls();
  world.Run(std::chrono::seconds(10));
  BOOST_TEST(world.CompletedCalls() - before >= 0.95 * 10 * kCapacity);
}

BOOST_AUTO_TEST_SUITE_END()
