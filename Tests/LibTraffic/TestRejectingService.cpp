#include "LibCore/TimerService.h"
#include "LibTraffic/RetryBudget.h"
#include "VirtualTime.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <vector>

using namespace cranberryfold;
using namespace cranberryfold::traffic;

namespace {

constexpr core::time_point kStart{ std::chrono::seconds(100) };
constexpr std::chrono::milliseconds kMillisecond{ 1 };
/// Daemons beside the upstreams that call the deep service.
constexpr std::size_t kSenders = 9;
/// Calls of the deep service that one chain makes, one after the other.
constexpr std::uint32_t kCallsPerChain = 4;
constexpr auto kServiceTime = 30 * kMillisecond;
constexpr auto kRejectionTime = 3 * kMillisecond;
constexpr auto kCallTimeout = 700 * kMillisecond;
constexpr auto kChainTimeout = 1'200 * kMillisecond;
/// Chains a second over all senders, at the usual demand.
constexpr double kOrders = 170;
constexpr double kCatalogueReads = 500;
/// Demand of a burst, as a multiple of the usual one.
constexpr double kBurst = 1.6;
constexpr std::uint32_t kOrderLevel = tables::kShedLevels - 1;
constexpr std::uint32_t kCatalogueLevel = 0;
/// Upstreams that one call may be sent to.
constexpr std::uint32_t kUpstreamsPerCall = 2;
/// Retries that the operators of the deep service accept, per hundred calls.
constexpr std::uint32_t kAcceptedPercent = 20;
constexpr std::uint32_t kAllowancePercent = 16;
constexpr auto kWindow = std::chrono::seconds(10);

struct level_result
{
  std::uint32_t mBegun = 0;
  std::uint32_t mCompleted = 0;

  double Share() const
  {
    return static_cast<double>(mCompleted) / std::max(mBegun, 1U);
  }
};

/// A deep service whose upstreams, all of them sound, reject a share of their
/// calls at random, and chains of calls that need it several times.
class rejecting_service
{
public:
  explicit rejecting_service(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mRatios(kSenders, retry_ratio({ kAllowancePercent, 1, kWindow }))
  {
    mTimers.Once(kStart, [this](core::time_point aNow) {
      BeginChains(aNow, kOrderLevel, kOrders);
      BeginChains(aNow, kCatalogueLevel, kCatalogueReads);
    });
  }

  void SetRejectedShare(double aShare)
  {
    mRejectedShare = aShare;
    mResults = {};
  }

  void SetDemand(double aFactor) { mDemand = aFactor; }

  void Run(core::duration aDuration) { RunTimers(mTimers, mNow, aDuration); }

  level_result const& ResultOf(std::uint32_t aLevel)
  {
    return mResults[aLevel];
  }

  /// Returns the largest number of retries in one window, beyond what the
  /// operators accept for the calls of it, of the window before it or of the
  /// one between.
  double LargestExcess() const
  {
    double excess = 0;
    auto const half = kWindow / 2;
    for (auto end = kStart + kWindow; end <= mNow; end += 500 * kMillisecond) {
      double calls = 0;
      for (auto const shift : { 0 * half, half, 2 * half }) {
        calls = std::max(calls, CountIn(mCalls, end - shift));
      }
      excess = std::max(
        excess, CountIn(mRetries, end) - calls * kAcceptedPercent / 100);
    }
    return excess;
  }

private:
  struct call
  {
    std::size_t mSender = 0;
    std::uint32_t mLevel = 0;
    std::uint32_t mCallsLeft = kCallsPerChain;
    core::time_point mChainEnd;
    core::time_point mDeadline;
    std::uint32_t mAttempts = 0;
    std::uint32_t mUpstreams = 0;
  };

  static double CountIn(std::deque<core::time_point> const& aTimes,
                        core::time_point aEnd)
  {
    return static_cast<double>(
      std::count_if(aTimes.begin(), aTimes.end(), [aEnd](auto aTime) {
        return aTime > aEnd - kWindow && aTime <= aEnd;
      }));
  }

  void BeginChains(core::time_point aNow, std::uint32_t aLevel, double aRate)
  {
    core::duration const pause{ static_cast<std::int64_t>(
      mRandom.Below(static_cast<std::uint64_t>(2e6 / (aRate * mDemand))) + 1) };
    mTimers.Once(aNow + pause, [this, aLevel, aRate](core::time_point aLater) {
      BeginChains(aLater, aLevel, aRate);
    });
    call first;
    first.mSender = mRandom.Below(kSenders);
    first.mLevel = aLevel;
    first.mChainEnd = aNow + kChainTimeout;
    ++mResults[aLevel].mBegun;
    BeginCall(aNow, first);
  }

  void BeginCall(core::time_point aNow, call aCall)
  {
    mRatios.at(aCall.mSender).CountCall(aNow);
    mCalls.push_back(aNow);
    aCall.mDeadline = std::min(aCall.mChainEnd, aNow + kCallTimeout);
    aCall.mAttempts = 0;
    aCall.mUpstreams = 1;
    Attempt(aNow, aCall);
  }

  void Attempt(core::time_point aNow, call aCall)
  {
    ++aCall.mAttempts;
    bool const isRejected = mRandom.Chance(mRejectedShare);
    auto const end = aNow + (isRejected ? kRejectionTime : kServiceTime);
    mTimers.Once(end, [=, this](core::time_point aEnd) {
      if (isRejected) {
        Retry(aEnd, aCall);
      } else {
        Complete(aEnd, aCall);
      }
    });
  }

  void Complete(core::time_point aNow, call aCall)
  {
    if (aNow > aCall.mDeadline) {
      return;
    }
    if (--aCall.mCallsLeft > 0) {
      BeginCall(aNow, aCall);
    } else {
      ++mResults[aCall.mLevel].mCompleted;
    }
  }

  void Retry(core::time_point aNow, call aCall)
  {
    retry_facts facts;
    facts.mOutcome = outcome::kNotRun;
    facts.mRefusal = core::refusal_reason::kUpstreamRefused;
    facts.mIdempotent = true;
    facts.mAttempts = aCall.mAttempts;
    facts.mTimeLeft = aCall.mDeadline - aNow;
    facts.mUsualLatency = kServiceTime;
    facts.mNow = aNow;
    facts.mLevel = aCall.mLevel;
    auto const decision =
      DecideRetry(facts, mRatios.at(aCall.mSender), mRandom);
    if (!decision || !decision->mBackoff) {
      return;
    }
    if (aCall.mUpstreams < kUpstreamsPerCall) {
      ++aCall.mUpstreams;
    } else if (!CanOfferAgain(facts)) {
      return;
    }
    mTimers.Once(aNow + *decision->mBackoff,
                 [=, this](core::time_point aLater) {
                   mRetries.push_back(aLater);
                   Attempt(aLater, aCall);
                 });
  }

  core::random_source mRandom;
  core::timer_service mTimers;
  std::vector<retry_ratio> mRatios;
  core::time_point mNow = kStart;
  double mDemand = 1;
  double mRejectedShare = 0;
  std::map<std::uint32_t, level_result> mResults;
  std::deque<core::time_point> mCalls;
  std::deque<core::time_point> mRetries;
};

}

BOOST_AUTO_TEST_SUITE(RejectingService)

// Guards against orders that fail in the deep service although the accepted
// retries would complete most of them: they go to catalogue reads, or calls
// that no upstream has run are given up after their second one.
BOOST_AUTO_TEST_CASE(AcceptedRetriesCompleteOrders)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    rejecting_service world(seed);
    world.Run(kWindow);
    world.SetDemand(kBurst);
    world.Run(std::chrono::seconds(12));
    world.SetRejectedShare(0.55);
    world.Run(std::chrono::milliseconds(3'500));
    world.SetDemand(1);
    world.Run(std::chrono::seconds(5));
    auto const orders = world.ResultOf(kOrderLevel).Share();
    BOOST_TEST_MESSAGE("seed " << seed << ": orders " << orders
                               << ", catalogue "
                               << world.ResultOf(kCatalogueLevel).Share());
    BOOST_TEST(orders >= 0.55);
    BOOST_TEST(world.LargestExcess() <= 0);
  }
}

// Guards against an allowance that stays reserved for orders that complete
// without it.
BOOST_AUTO_TEST_CASE(LightFaultsAreRetriedForAllLevels)
{
  rejecting_service world(1);
  world.Run(kWindow);
  world.SetRejectedShare(0.05);
  world.Run(std::chrono::milliseconds(8'500));
  BOOST_TEST(world.ResultOf(kOrderLevel).Share() >= 0.95);
  BOOST_TEST(world.ResultOf(kCatalogueLevel).Share() >= 0.95);
  BOOST_TEST(world.LargestExcess() <= 0);
}

BOOST_AUTO_TEST_SUITE_END()
