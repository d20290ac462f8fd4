#include "LibTraffic/UpstreamSelection.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <set>

using namespace cranberryfold;
using namespace cranberryfold::traffic;
using core::refusal_reason;

namespace {

constexpr core::time_point kStart{ std::chrono::seconds(100) };

struct fixture
{
  fixture()
    : mRandom(7)
    , mSelector({ { "z0" }, { "r0" } }, mRandom)
  {
    mCandidates = { Candidate("near", "z0", "r0"),
                    Candidate("middle", "z1", "r0"),
                    Candidate("far", "z2", "r1") };
    mSelector.Configure(mPool, mCandidates);
  }

  static candidate Candidate(std::string aName,
                             std::string aZone,
                             std::string aRegion)
  {
    return { { std::move(aName) },
             { 1 },
             { std::move(aZone) },
             { std::move(aRegion) },
             { "10.0.0.1", 7000 },
             10,
             false };
  }

  std::string Select(std::vector<core::instance_id> const& aTried = {})
  {
    auto const selected = mSelector.Select(mNow, mContext, aTried);
    if (auto const* const refusal = std::get_if<local_refusal>(&selected)) {
      return std::string(core::ReasonName(refusal->mReason));
    }
    auto const& chosen = std::get<chosen_upstream>(selected);
    mAttempts[chosen.mInstance.mValue].push_back(chosen.mAttempt);
    return chosen.mInstance.mValue;
  }

  /// Returns the oldest attempt at aName that has not been reported.
  upstream_attempt_id TakeAttempt(std::string const& aName)
  {
    auto& attempts = mAttempts.at(aName);
    auto const oldest = attempts.front();
    attempts.pop_front();
    return oldest;
  }

  void Report(std::string const& aName,
              outcome aOutcome,
              std::optional<refusal_reason> aReason = {},
              std::optional<load_status> aLoadStatus = {})
  {
    mSelector.Report(mNow,
                     { TakeAttempt(aName),
                       aOutcome,
                       aReason,
                       std::chrono::milliseconds(5),
                       aLoadStatus,
                       mBytes });
  }

  /// Selects aName, with all others excluded, and reports the end of the
  /// attempt.
  void Try(std::string const& aName,
           outcome aOutcome,
           std::optional<refusal_reason> aReason = {},
           std::optional<load_status> aLoadStatus = {})
  {
    std::vector<core::instance_id> others;
    for (auto const& entry : mCandidates) {
      if (entry.mInstance.mValue != aName) {
        others.push_back(entry.mInstance);
      }
    }
    BOOST_TEST_REQUIRE(Select(others) == aName);
    Report(aName, aOutcome, aReason, aLoadStatus);
  }

  core::random_source mRandom;
  upstream_selector mSelector;
  tables::pool mPool;
  std::vector<candidate> mCandidates;
  /// Attempts that have not been reported, by instance.
  std::map<std::string, std::deque<upstream_attempt_id>> mAttempts;
  call_context mContext;
  core::time_point mNow = kStart;
  /// Bytes of each attempt.
  std::uint64_t mBytes = 1000;
};

load_status
StatusThatRefusesAll()
{
  return { 1, 10, kShedPositions, false };
}

}

BOOST_AUTO_TEST_SUITE(UpstreamSelection)

// Guards against offering a call again to an upstream beyond those that it may
// be sent to.
BOOST_AUTO_TEST_CASE(OffersAgainStayWithinTheTriedUpstreams)
{
  fixture run;
  auto const select = [&](std::vector<core::instance_id> const& aTried) {
    return run.mSelector.Select(
      run.mNow, run.mContext, aTried, attempt_scope::kTried);
  };
  for (int count = 0; count < 20; ++count) {
    auto const selected = select({ { "far" }, { "middle" } });
    auto const* const chosen = std::get_if<chosen_upstream>(&selected);
    BOOST_TEST_REQUIRE(chosen != nullptr);
    BOOST_TEST(chosen->mInstance.mValue != "near");
  }
  BOOST_TEST(std::holds_alternative<local_refusal>(select({ { "gone" } })));
}

// Guards against a further upstream in place of an offer again: a daemon that
// refused the call has kept it from its upstream.
BOOST_AUTO_TEST_CASE(OnlyUpstreamsThatRefusedAreOfferedTheCallAgain)
{
  attempt_history history;
  history.RecordStart({ "near" });
  history.RecordEnd(outcome::kNotRun, refusal_reason::kQueueFull);
  history.RecordStart({ "middle" });
  history.RecordEnd(outcome::kNotRun, refusal_reason::kUpstreamRefused);
  history.RecordStart({ "far" });
  history.RecordEnd(outcome::kUnknown, refusal_reason::kUpstreamLost);
  std::vector<core::instance_id> const refusing{ { "middle" } };
  std::vector<core::instance_id> const tried{ { "near" },
                                              { "middle" },
                                              { "far" } };
  BOOST_TEST((history.Instances(attempt_scope::kTried) == refusing));
  BOOST_TEST((history.Instances(attempt_scope::kUntried) == tried));
}

// Guards against charged traffic between regions while near upstreams work.
BOOST_AUTO_TEST_CASE(NearestIsChosenAndFarBytesAreCounted)
{
  fixture run;
  for (int count = 0; count < 20; ++count) {
    BOOST_TEST(run.Select() == "near");
    run.Report("near", outcome::kRan);
  }
  BOOST_TEST(run.mSelector.InterRegionBytes() == 0U);
  run.Try("far", outcome::kRan);
  BOOST_TEST(run.mSelector.InterRegionBytes() == 1000U);
  BOOST_TEST(run.mSelector.InFlight() == 0U);
}

// Guards against uploads that cross regions for a small gain in latency, while
// small calls may still go to a faster upstream in another region.
BOOST_AUTO_TEST_CASE(LargeCallsStayInTheirRegion)
{
  constexpr std::uint32_t kSlow = 350'000;
  constexpr std::uint32_t kFast = 100'000;
  for (std::uint64_t const bytes : { 200U, 60'000U }) {
    fixture run;
    auto const learn = [&](std::string const& aName, std::uint32_t aService) {
      load_status const status{ 0, 10, 0, false, aService };
      for (int count = 0; count < 20; ++count) {
        run.mBytes = bytes;
        run.Try(aName, outcome::kRan, std::nullopt, status);
      }
    };
    learn("near", kSlow);
    learn("middle", kSlow);
    learn("far", kFast);
    auto const* const expected = bytes == 200U ? "far" : "near";
    BOOST_TEST(run.Select({ { "middle" } }) == expected);
  }
}

// Guards against calls that keep going to a failed or refusing neighbour.
BOOST_AUTO_TEST_CASE(FailuresAndRefusalsSpillOver)
{
  fixture run;
  run.Try("near", outcome::kUnknown, refusal_reason::kPeerLost);
  BOOST_TEST(run.Select() == "middle");
  run.Report("middle",
             outcome::kNotRun,
             refusal_reason::kCutOff,
             StatusThatRefusesAll());
  BOOST_TEST(run.Select() == "far");
  run.mNow += std::chrono::seconds(3);
  BOOST_TEST(run.Select() == "near");
}

// Guards against avoiding healthy upstreams because many callers disconnect
// early, so that their attempts end without an answer.
BOOST_AUTO_TEST_CASE(DisconnectedCallersDoNotCountAsFailures)
{
  fixture run;
  run.Try("near", outcome::kUnknown, refusal_reason::kCallerLeft);
  BOOST_TEST(run.Select() == "near");
  run.Report("near", outcome::kUnknown, refusal_reason::kCallerLeft);
}

// Guards against calls outside the spill scope of the pool.
BOOST_AUTO_TEST_CASE(SpillScopeIsKept)
{
  fixture run;
  run.mPool.mSpill = tables::spill_scope::kZone;
  run.mSelector.Configure(run.mPool, run.mCandidates);
  BOOST_TEST(run.Select({ { "near" } }) == "no_upstream");
}

// Guards against sending calls that will be refused, and against never noticing
// the end of the overload.
BOOST_AUTO_TEST_CASE(LoadStatusRefusesLocallyUntilItExpires)
{
  fixture run;
  for (auto const* const name : { "near", "middle", "far" }) {
    run.Try(name, outcome::kRan, {}, StatusThatRefusesAll());
  }
  BOOST_TEST(run.mSelector.WouldRefuse(run.mNow, run.mContext));
  BOOST_TEST(run.Select() == "sender_cut_off");
  run.mNow += std::chrono::seconds(3);
  BOOST_TEST(!run.mSelector.WouldRefuse(run.mNow, run.mContext));
  BOOST_TEST(run.Select() == "near");
}

// Guards against a daemon that gets no calls for good after its upstream has
// left and another process of it has taken its place.
BOOST_AUTO_TEST_CASE(ReportedDrainExpires)
{
  fixture run;
  run.Try("near",
          outcome::kNotRun,
          refusal_reason::kDraining,
          load_status{ 0, 10, 0, true });
  BOOST_TEST(run.Select() == "middle");
  run.Report("middle", outcome::kRan);
  run.mNow += kLoadStatusLifetime;
  run.Try("near", outcome::kRan);
}

// Guards against new calls at a draining upstream, also before its announcement
// has arrived, and against keeping the draining state after a restart under the
// same name.
BOOST_AUTO_TEST_CASE(DrainingUpstreamsAreNeverChosen)
{
  fixture run;
  run.Try("near", outcome::kRan, {}, load_status{ 0, 10, 0, true });
  BOOST_TEST(run.Select() == "middle");
  run.mCandidates.front().mIncarnation = { 2 };
  run.mSelector.Configure(run.mPool, run.mCandidates);
  BOOST_TEST(run.Select() == "near");
  run.mCandidates.front().mDraining = true;
  run.mSelector.Configure(run.mPool, run.mCandidates);
  BOOST_TEST(run.Select() == "middle");
}

// Guards against refusing all calls when every upstream seems to have failed.
BOOST_AUTO_TEST_CASE(PanicDistributesOverAllUpstreams)
{
  fixture run;
  for (auto const* const name : { "near", "middle", "far" }) {
    run.Try(name, outcome::kUnknown, refusal_reason::kConnectFailed);
  }
  BOOST_TEST(run.Select() == "near");
}

// Guards against herding: the busier of two upstreams gets fewer calls.
BOOST_AUTO_TEST_CASE(BusyUpstreamsGetFewerCalls)
{
  fixture run;
  run.mCandidates = { fixture::Candidate("a", "z0", "r0"),
                      fixture::Candidate("b", "z0", "r0") };
  run.mSelector.Configure(run.mPool, run.mCandidates);
  run.Try("a", outcome::kRan, {}, load_status{ 9, 10, 0, false });
  run.Try("b", outcome::kRan, {}, load_status{ 0, 10, 0, false });
  int chosen = 0;
  for (int count = 0; count < 100; ++count) {
    auto const name = run.Select();
    chosen += name == "b" ? 1 : 0;
    run.Report(name, outcome::kRan);
  }
  BOOST_TEST(chosen > 60);
}

// Guards against calls that queue at the nearest upstream while others are
// idle: a long queue outweighs the round trip to another region.
BOOST_AUTO_TEST_CASE(LongQueuesSpillOver)
{
  fixture run;
  constexpr std::uint32_t kService = 50'000;
  run.Try(
    "middle", outcome::kRan, {}, load_status{ 0, 10, 0, false, kService });
  run.Try("far", outcome::kRan, {}, load_status{ 0, 10, 0, false, kService });
  run.Try("near", outcome::kRan, {}, load_status{ 20, 10, 0, false, kService });
  BOOST_TEST(run.Select() == "middle");
  run.Report(
    "middle", outcome::kRan, {}, load_status{ 20, 10, 0, false, kService });
  run.Try("near", outcome::kRan, {}, load_status{ 60, 10, 0, false, kService });
  run.Try(
    "middle", outcome::kRan, {}, load_status{ 60, 10, 0, false, kService });
  BOOST_TEST(run.Select() == "far");
}

// Guards against a new upstream that gets no calls because its neighbour is
// faster than the mean.
BOOST_AUTO_TEST_CASE(NewUpstreamIsTried)
{
  fixture run;
  run.mCandidates = { fixture::Candidate("fast", "z0", "r0"),
                      fixture::Candidate("slow", "z1", "r0") };
  run.mSelector.Configure(run.mPool, run.mCandidates);
  run.Try("fast", outcome::kRan, {}, load_status{ 0, 10, 0, false, 50'000 });
  run.Try("slow", outcome::kRan, {}, load_status{ 0, 10, 0, false, 90'000 });
  run.mCandidates.push_back(fixture::Candidate("new", "z0", "r0"));
  run.mSelector.Configure(run.mPool, run.mCandidates);
  BOOST_TEST(run.Select() == "new");
}

// Guards against sending calls to an upstream that is too busy to answer
// because its last load status is old.
BOOST_AUTO_TEST_CASE(ReportedLoadDecaysSlowly)
{
  fixture run;
  constexpr std::uint32_t kService = 5'000;
  run.Try(
    "middle", outcome::kRan, {}, load_status{ 0, 10, 0, false, kService });
  run.Try("near", outcome::kRan, {}, load_status{ 60, 10, 0, false, kService });
  run.mNow += std::chrono::milliseconds(300);
  BOOST_TEST(run.Select() == "middle");
  run.Report("middle", outcome::kRan);
  run.mNow += std::chrono::seconds(5);
  BOOST_TEST(run.Select() == "near");
}

// Guards against an upstream that answers requests with errors while its health
// checks succeed.
BOOST_AUTO_TEST_CASE(FailingUpstreamGetsFewCalls)
{
  fixture run;
  run.mCandidates = { fixture::Candidate("a", "z0", "r0"),
                      fixture::Candidate("b", "z0", "r0") };
  run.mSelector.Configure(run.mPool, run.mCandidates);
  int errors = 0;
  for (int count = 0; count < 200; ++count) {
    auto const name = run.Select();
    attempt_report report;
    report.mAttempt = run.TakeAttempt(name);
    report.mOutcome = outcome::kRan;
    report.mServerError = name == "a";
    errors += report.mServerError ? 1 : 0;
    run.mSelector.Report(run.mNow, report);
  }
  BOOST_TEST(errors < 20);
  // It is tried again later.
  run.mNow += std::chrono::seconds(30);
  int tried = 0;
  for (int count = 0; count < 20; ++count) {
    auto const name = run.Select();
    tried += name == "a" ? 1 : 0;
    run.Report(name, outcome::kRan);
  }
  BOOST_TEST(tried > 0);
}

// Guards against starting work whose downstream calls would be refused, and
// against refusing routes that do not call the overloaded service.
BOOST_AUTO_TEST_CASE(DownstreamThresholdsApplyToTheirRoute)
{
  fixture run;
  attempt_report report;
  report.mAttempt = run.TakeAttempt(run.Select());
  report.mOutcome = outcome::kRan;
  report.mRoute = "read";
  report.mLoadStatus = load_status{ 0, 10, 0, false, 0, kShedPositions };
  run.mSelector.Report(run.mNow, report);
  run.mContext.mRoute = "read";
  BOOST_TEST(run.Select() == "sender_cut_off");
  run.mContext.mRoute = "upload";
  BOOST_TEST(run.Select() == "near");
}

// Guards against refusing work in progress at the sender because of a threshold
// that was reported before that work was admitted.
BOOST_AUTO_TEST_CASE(WorkInProgressIsSentToTheUpstreamsDaemon)
{
  fixture run;
  for (auto const* const name : { "near", "middle" }) {
    run.Try(name, outcome::kRan, {}, StatusThatRefusesAll());
  }
  run.mContext.mDepth = 1;
  BOOST_TEST(run.Select() == "far");
  run.Try("far", outcome::kRan, {}, StatusThatRefusesAll());
  BOOST_TEST(run.Select() == "near");
}

// Guards against avoiding an upstream as lost because of a refusal that does
// not prove that the call was not run.
BOOST_AUTO_TEST_CASE(RefusalWithoutProofIsNoLoss)
{
  fixture run;
  run.Try("near", outcome::kUnknown, refusal_reason::kUpstreamRefused);
  BOOST_TEST(run.Select() == "middle");
  run.mNow += std::chrono::milliseconds(100);
  BOOST_TEST(run.Select() == "near");
}

// Guards against a report that is not counted because its upstream has left the
// pool.
BOOST_AUTO_TEST_CASE(ReportsOfFormerMembersAreTaken)
{
  fixture run;
  BOOST_TEST(run.Select() == "near");
  run.mCandidates.erase(run.mCandidates.begin());
  run.mSelector.Configure(run.mPool, run.mCandidates);
  BOOST_TEST(run.mSelector.InFlight() == 1U);
  run.Report("near", outcome::kRan);
  BOOST_TEST(run.mSelector.InFlight() == 0U);
}

// Guards against a report of an attempt that was made before its upstream left
// the pool, which counts for the upstream's present stay.
BOOST_AUTO_TEST_CASE(ReportsOfFormerStaysAreIgnored)
{
  fixture run;
  auto const members = run.mCandidates;
  BOOST_TEST(run.Select() == "near");
  run.mSelector.Configure(run.mPool, { members.begin() + 1, members.end() });
  run.mSelector.Configure(run.mPool, members);
  BOOST_TEST(run.Select() == "near");
  run.Report("near", outcome::kUnknown, refusal_reason::kPeerLost);
  BOOST_TEST(run.mSelector.InFlight() == 1U);
  BOOST_TEST(run.Select() == "near");
}

// Guards against a report of an attempt at an earlier process of an upstream,
// which counts for the present one.
BOOST_AUTO_TEST_CASE(ReportsOfFormerIncarnationsAreIgnored)
{
  fixture run;
  BOOST_TEST(run.Select() == "near");
  run.mCandidates.front().mIncarnation = { 2 };
  run.mSelector.Configure(run.mPool, run.mCandidates);
  BOOST_TEST(run.Select() == "near");
  run.Report("near", outcome::kUnknown, refusal_reason::kPeerLost);
  BOOST_TEST(run.mSelector.InFlight() == 1U);
  BOOST_TEST(run.Select() == "near");
}

BOOST_AUTO_TEST_SUITE_END()
