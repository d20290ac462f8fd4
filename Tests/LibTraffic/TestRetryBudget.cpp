#include "LibTraffic/RetryBudget.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace cranberryfold;
using namespace cranberryfold::traffic;
using core::refusal_reason;
using core::retry_reason;

namespace {

constexpr core::time_point kStart{ std::chrono::seconds(100) };
constexpr core::time_point kExpiry = kStart + std::chrono::seconds(5);
core::request_id const kRequest{ "r1" };

/// Runs a call tree in which each call fails after its children have run, and
/// is retried as long as the root grants permits. Returns the number of runs.
std::uint64_t
RunTree(retry_budget& aBudget, std::uint32_t aDepth, std::uint32_t aFanOut)
{
  std::uint64_t runs = 0;
  do {
    ++runs;
    for (std::uint32_t child = 0; aDepth > 1 && child < aFanOut; ++child) {
      runs += RunTree(aBudget, aDepth - 1, aFanOut);
    }
  } while (aBudget.RequestPermit(kStart, kRequest));
  return runs;
}

retry_facts
Facts(outcome aOutcome, bool aIdempotent)
{
  retry_facts facts;
  facts.mOutcome = aOutcome;
  facts.mIdempotent = aIdempotent;
  facts.mTimeLeft = std::chrono::seconds(2);
  return facts;
}

void
CountCalls(retry_ratio& aRatio, core::time_point aNow, int aCount)
{
  for (int call = 0; call < aCount; ++call) {
    aRatio.CountCall(aNow);
  }
}

std::optional<retry_decision>
Decide(retry_facts const& aFacts)
{
  retry_ratio ratio({ 10 });
  core::random_source random(3);
  return DecideRetry(aFacts, ratio, random);
}

}

BOOST_AUTO_TEST_SUITE(RetryBudget)

// Guards against retries that multiply from hop to hop.
BOOST_AUTO_TEST_CASE(RunsOfAChainAndATreeStayWithinTheBound)
{
  for (std::uint32_t const fanOut : { 1U, 2U, 3U }) {
    std::uint64_t calls = 0;
    std::uint64_t width = 1;
    for (int depth = 0; depth < 6; ++depth) {
      calls += width;
      width *= fanOut;
    }
    retry_budget budget;
    budget.Open(kStart, kRequest, 3, kExpiry);
    auto const runs = RunTree(budget, 6, fanOut);
    BOOST_TEST(runs > calls);
    BOOST_TEST(runs <= MaximumUpstreamRuns(calls, 3));
  }
  static_assert(MaximumUpstreamRuns(6, 3) == 24);
}

// Guards against permits from a root that does not know the request.
BOOST_AUTO_TEST_CASE(UnknownClosedAndExpiredRequestsGetNoPermit)
{
  retry_budget budget;
  BOOST_TEST(!budget.RequestPermit(kStart, kRequest));
  budget.Open(kStart, kRequest, 3, kExpiry);
  budget.Close(kRequest);
  BOOST_TEST(!budget.RequestPermit(kStart, kRequest));
  budget.Open(kStart, kRequest, 1, kExpiry);
  budget.Open(kStart, kRequest, 9, kExpiry);
  BOOST_TEST(budget.RequestPermit(kStart, kRequest));
  BOOST_TEST(!budget.RequestPermit(kStart, kRequest));
  budget.Open(kStart, { "r2" }, 3, kExpiry);
  BOOST_TEST(!budget.RequestPermit(kExpiry, { "r2" }));
  BOOST_TEST(budget.Size() == 0U);
}

// Guards against a second run of a request that must run at most once.
BOOST_AUTO_TEST_CASE(OnlySafeWorkIsRetried)
{
  BOOST_TEST(!Decide(Facts(outcome::kRan, true)).has_value());
  auto const unsafe = Decide(Facts(outcome::kUnknown, false));
  BOOST_TEST((unsafe->mReason == retry_reason::kRefusedNotSafe));
  BOOST_TEST(!unsafe->mBackoff.has_value());
  auto const lost = Decide(Facts(outcome::kUnknown, true));
  BOOST_TEST((lost->mReason == retry_reason::kIdempotentLost));
  auto const refused = Decide(Facts(outcome::kNotRun, false));
  BOOST_TEST((refused->mReason == retry_reason::kNotRun));
  BOOST_TEST(refused->mBackoff.has_value());
}

// Guards against retries that cannot complete in time or would be refused
// again.
BOOST_AUTO_TEST_CASE(RetriesThatCannotSucceedAreNotMade)
{
  auto facts = Facts(outcome::kNotRun, true);
  facts.mUsualLatency = facts.mTimeLeft;
  BOOST_TEST((Decide(facts)->mReason == retry_reason::kRefusedDeadline));
  facts.mUsualLatency = {};
  facts.mRefusal = refusal_reason::kSenderCutOff;
  BOOST_TEST(!Decide(facts).has_value());
}

// Guards against a daemon that increases an overload by retrying all failures.
BOOST_AUTO_TEST_CASE(RatioBoundsTheRetriesOfADaemon)
{
  constexpr std::uint32_t kHighest = tables::kShedLevels - 1;
  retry_ratio ratio({ 10 });
  BOOST_TEST(ratio.Take(kStart, kHighest));
  BOOST_TEST(!ratio.Take(kStart, kHighest));
  CountCalls(ratio, kStart, 100);
  int taken = 0;
  while (ratio.Take(kStart, kHighest)) {
    ++taken;
  }
  BOOST_TEST(taken == 10);
  retry_ratio none({ 0 });
  none.CountCall(kStart);
  BOOST_TEST(!none.Take(kStart, kHighest));
}

// Guards against retries that accumulate under low load and are used in a
// burst.
BOOST_AUTO_TEST_CASE(CallsBeforeTheWindowNoLongerCount)
{
  constexpr std::uint32_t kHighest = tables::kShedLevels - 1;
  retry_ratio ratio({ 10 });
  CountCalls(ratio, kStart, 1000);
  auto const later = kStart + 3 * retry_allowance{}.mWindow;
  BOOST_TEST(ratio.Take(later, kHighest));
  BOOST_TEST(!ratio.Take(later, kHighest));
}

// Guards against an outage that reduces the calls from which the allowance is
// computed: chains of five calls whose first calls fail make a third of the
// calls that they made before.
BOOST_AUTO_TEST_CASE(AFaultThatCutsCallChainsShortDoesNotShrinkTheAllowance)
{
  constexpr std::uint32_t kHighest = tables::kShedLevels - 1;
  auto const window = retry_allowance{}.mWindow;
  retry_ratio ratio({ 10 });
  CountCalls(ratio, kStart, 300);
  auto const outage = kStart + window;
  CountCalls(ratio, outage, 100);
  int taken = 0;
  while (ratio.Take(outage, kHighest)) {
    ++taken;
  }
  BOOST_TEST(taken == 31);
  // Retries that lie within a later window still count there.
  BOOST_TEST(!ratio.Take(outage + window / 2, kHighest));
}

// Guards against catalogue reads that use up the retries of orders.
BOOST_AUTO_TEST_CASE(LowerLevelsLeaveAPartOfTheRetries)
{
  constexpr std::uint32_t kHighest = tables::kShedLevels - 1;
  retry_ratio ratio({ 10 });
  CountCalls(ratio, kStart, 100);
  int taken = 0;
  while (ratio.Take(kStart, 0)) {
    ++taken;
  }
  BOOST_TEST(taken == 6);
  BOOST_TEST(ratio.Take(kStart, kHighest));
}

// Guards against an outage in which calls of lower levels, which are more
// numerous, take the retries that bookings request at the same time.
BOOST_AUTO_TEST_CASE(LowerLevelsGetWhatHigherOnesHaveNotRequested)
{
  constexpr std::uint32_t kHighest = tables::kShedLevels - 1;
  retry_ratio ratio({ 10 });
  CountCalls(ratio, kStart, 100);
  for (int requested = 0; requested < 9; ++requested) {
    BOOST_TEST(ratio.Take(kStart, kHighest));
  }
  // Two of eleven retries are left; the higher level requested 9. They are kept
  // for it while it goes on requesting.
  BOOST_TEST(!ratio.Take(kStart, 0));
  auto const calm = kStart + std::chrono::seconds(1);
  BOOST_TEST(ratio.Take(calm, 0));
  BOOST_TEST(ratio.Take(calm, 0));
  BOOST_TEST(!ratio.Take(calm, 0));
  auto const later = kStart + retry_allowance{}.mWindow / 2;
  CountCalls(ratio, later, 100);
  for (int requested = 0; requested < 12; ++requested) {
    ratio.Take(later, kHighest);
  }
  BOOST_TEST(!ratio.Take(later, 0));
}

// Guards against an outage whose first second leaves no retries for the orders
// of its later seconds.
BOOST_AUTO_TEST_CASE(LowerLevelsLeaveWhatHigherOnesWillRequest)
{
  constexpr std::uint32_t kHighest = tables::kShedLevels - 1;
  retry_ratio ratio({ 10 });
  CountCalls(ratio, kStart, 1000);
  for (int requested = 0; requested < 11; ++requested) {
    BOOST_TEST(ratio.Take(kStart, kHighest));
  }
  // Eleven a second are 110 in a window, more than the 101 retries.
  BOOST_TEST(!ratio.Take(kStart, 0));
  // A light fault leaves enough for all levels.
  retry_ratio light({ 10 });
  CountCalls(light, kStart, 1000);
  BOOST_TEST(light.Take(kStart, kHighest));
  int taken = 0;
  while (light.Take(kStart, 0)) {
    ++taken;
  }
  BOOST_TEST(taken == 51);
}

// Guards against retries of lower levels that are held back under overload,
// where thresholds keep the order of levels already.
BOOST_AUTO_TEST_CASE(RefusalsByDaemonsReserveNoRetries)
{
  constexpr std::uint32_t kHighest = tables::kShedLevels - 1;
  retry_ratio ratio({ 10 });
  CountCalls(ratio, kStart, 1000);
  for (int requested = 0; requested < 11; ++requested) {
    BOOST_TEST(ratio.Take(kStart, kHighest, retry_origin::kDaemon));
  }
  BOOST_TEST(ratio.Take(kStart, 0, retry_origin::kDaemon));
}

// Guards against retries that count although they were never made.
BOOST_AUTO_TEST_CASE(ReturnedRetriesCanBeTakenAgain)
{
  constexpr std::uint32_t kHighest = tables::kShedLevels - 1;
  retry_ratio ratio({ 10 });
  BOOST_TEST(ratio.Take(kStart, kHighest));
  BOOST_TEST(!ratio.Take(kStart, kHighest));
  ratio.Return(kStart, kHighest);
  BOOST_TEST(ratio.Take(kStart, kHighest));
  ratio.Return(kStart, 0);
  BOOST_TEST(!ratio.Take(kStart, kHighest));
}

// Guards against further upstreams, and with them further runs, for a call that
// may have run, against endless offers, and against retries that are used up at
// daemons without room.
BOOST_AUTO_TEST_CASE(OnlyCallsThatWereNotRunAreOfferedAgain)
{
  auto facts = Facts(outcome::kNotRun, false);
  facts.mRefusal = refusal_reason::kUpstreamRefused;
  BOOST_TEST(CanOfferAgain(facts));
  facts.mRefusal = refusal_reason::kQueueFull;
  BOOST_TEST(!CanOfferAgain(facts));
  facts.mRefusal = refusal_reason::kUpstreamRefused;
  facts.mAttempts = 10;
  BOOST_TEST(!CanOfferAgain(facts));
  BOOST_TEST(!CanOfferAgain(Facts(outcome::kUnknown, true)));
  BOOST_TEST(!CanOfferAgain(Facts(outcome::kRan, true)));
}

// Guards against more retries than the upstreams accept if the window of their
// allowance is shorter than the default.
BOOST_AUTO_TEST_CASE(TheWindowFollowsTheAllowance)
{
  constexpr std::uint32_t kHighest = tables::kShedLevels - 1;
  retry_ratio ratio({ 10, 1, std::chrono::seconds(2) });
  CountCalls(ratio, kStart, 1000);
  auto const later = kStart + std::chrono::seconds(5);
  BOOST_TEST(ratio.Take(later, kHighest));
  BOOST_TEST(!ratio.Take(later, kHighest));
}

// Guards against repeats of whole call trees that are counted only at their
// root.
BOOST_AUTO_TEST_CASE(RepeatsWithinARepeatedRunUseUpTheShare)
{
  constexpr std::uint32_t kHighest = tables::kShedLevels - 1;
  retry_ratio ratio({ 10 });
  CountCalls(ratio, kStart, 100);
  for (int repeat = 0; repeat < 11; ++repeat) {
    ratio.CountRepeat(kStart);
  }
  BOOST_TEST(!ratio.Take(kStart, kHighest));
}

BOOST_AUTO_TEST_SUITE_END()
