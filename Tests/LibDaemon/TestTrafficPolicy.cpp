#include "LibDaemon/TrafficPolicy.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::daemon;
using namespace std::chrono_literals;
using core::refusal_reason;
using traffic::outcome;

namespace {

constexpr core::time_point kStart{ 100s };

daemon_settings
MakeSettings()
{
  daemon_settings settings;
  settings.mInstance = { "order-1" };
  settings.mZone = { "z1" };
  settings.mRegion = { "r1" };
  settings.mUpstream.mService = { "order" };
  return settings;
}

/// The policy of a daemon that sends calls to pool "stock".
struct fixture
{
  fixture() { List("stock"); }

  /// Installs tables with a pool of that name and two upstreams for it.
  void List(std::string const& aPool)
  {
    tables::pool row;
    row.mName = aPool;
    row.mService = { "stock" };
    tables::table_set tables;
    tables.mPools.emplace(aPool, row);
    Install(std::move(tables));
  }

  void Unlist() { Install({}); }

  void Install(tables::table_set aTables)
  {
    auto view = std::make_shared<routing_view>();
    view->mRoutes = std::make_shared<tables::route_index const>(
      std::make_shared<tables::table_set const>(std::move(aTables)));
    for (auto const* const instance : { "stock-1", "stock-2" }) {
      routing_member member;
      member.mInstance = { instance };
      member.mZone = { "z1" };
      member.mRegion = { "r1" };
      member.mService = { "stock" };
      member.mPeerAddress = { "10.0.0.1", 7000 };
      member.mSlots = 10;
      member.mIncarnation = mIncarnation;
      member.mIsServing = true;
      view->mMembers.push_back(member);
    }
    mPolicy.SetView(mNow, view);
  }

  std::variant<traffic::chosen_upstream, call_refusal> Choose()
  {
    return mPolicy.ChooseUpstream(mNow, {}, "stock", {});
  }

  traffic::chosen_upstream Start()
  {
    auto const choice = Choose();
    BOOST_TEST_REQUIRE(
      std::holds_alternative<traffic::chosen_upstream>(choice));
    return std::get<traffic::chosen_upstream>(choice);
  }

  void End(traffic::chosen_upstream const& aChosen,
           outcome aOutcome = outcome::kRan)
  {
    traffic::attempt_report report;
    report.mAttempt = aChosen.mAttempt;
    report.mOutcome = aOutcome;
    report.mLatency = 5ms;
    mPolicy.ReportAttempt(mNow, "stock", report);
  }

  /// Requests retries until one is refused. Returns their number.
  int TakeRetries()
  {
    traffic::retry_facts facts;
    facts.mOutcome = outcome::kUnknown;
    facts.mIdempotent = true;
    facts.mTimeLeft = 10s;
    facts.mNow = mNow;
    facts.mLevel = tables::kShedLevels - 1;
    for (int taken = 0;; ++taken) {
      auto const decision = mPolicy.DecideRetry("stock", facts);
      if (!decision || !decision->mBackoff) {
        return taken;
      }
    }
  }

  daemon_settings mSettings = MakeSettings();
  core::time_point mNow = kStart;
  core::incarnation mIncarnation{ 1 };
  traffic_policy mPolicy{ mSettings, kStart, 1 };
};

}

BOOST_FIXTURE_TEST_SUITE(TrafficPolicy, fixture)

// Guards against an abort of the daemon when an attempt ends after its pool has
// left the tables and returned.
BOOST_AUTO_TEST_CASE(AttemptEndsAfterItsPoolHasReturned)
{
  auto const chosen = Start();
  Unlist();
  List("stock");
  End(chosen);
  End(Start());
}

// Guards against an abort of the daemon when an attempt ends after its pool has
// returned with other processes of the upstreams.
BOOST_AUTO_TEST_CASE(AttemptEndsAfterItsPoolHasReturnedWithOtherProcesses)
{
  auto const first = Start();
  auto const second = Start();
  Unlist();
  mIncarnation = { 2 };
  List("stock");
  auto const third = Start();
  End(first, outcome::kUnknown);
  End(second, outcome::kUnknown);
  End(third);
}

// Guards against an abort of the daemon when an attempt ends while its pool is
// not in the tables, also long after the pool has left.
BOOST_AUTO_TEST_CASE(AttemptEndsAfterItsPoolHasLeft)
{
  auto const early = Start();
  auto const late = Start();
  Unlist();
  End(early);
  mNow += 60s;
  List("other");
  End(late);
}

// Guards against calls to a pool that is not in the tables but whose state is
// still kept.
BOOST_AUTO_TEST_CASE(PoolThatHasLeftGetsNoCalls)
{
  auto const chosen = Start();
  Unlist();
  auto const choice = Choose();
  auto const* const refused = std::get_if<call_refusal>(&choice);
  BOOST_TEST_REQUIRE(refused);
  BOOST_TEST((refused->mOutcome == outcome::kNotRun));
  BOOST_TEST((refused->mReason == refusal_reason::kNoUpstream));
  End(chosen);
}

// Guards against more retries than the tables allow when a pool leaves the
// tables and returns, which gave it a new allowance.
BOOST_AUTO_TEST_CASE(RetriesAreCountedAcrossAnAbsenceOfThePool)
{
  for (int call = 0; call < 20; ++call) {
    End(Start());
  }
  BOOST_TEST(TakeRetries() > 0);
  Unlist();
  List("stock");
  BOOST_TEST(TakeRetries() == 0);
}

// Guards against an abort of the daemon in any order of changes of the tables,
// new processes of upstreams, and ends of attempts.
BOOST_AUTO_TEST_CASE(AttemptsEndInAnyOrderOfChanges)
{
  core::random_source random(1);
  std::vector<traffic::chosen_upstream> started;
  for (int step = 0; step < 20'000; ++step) {
    mNow += std::chrono::milliseconds(random.Below(1'000));
    auto const action = random.Below(10);
    if (action == 0) {
      Unlist();
    } else if (action == 1) {
      List("stock");
    } else if (action == 2) {
      ++mIncarnation.mValue;
      List("stock");
    } else if (action < 6 || started.empty()) {
      auto const choice = Choose();
      if (auto const* const chosen =
            std::get_if<traffic::chosen_upstream>(&choice)) {
        started.push_back(*chosen);
      }
    } else {
      auto const index = random.Below(started.size());
      End(started.at(index));
      started.erase(started.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
  for (auto const& chosen : started) {
    End(chosen);
  }
}

// Guards against calls that run at the service which had the pool before,
// although newer tables give the pool to another service.
BOOST_AUTO_TEST_CASE(PoolOfAnotherServiceIsNotTakenForAFormerOne)
{
  auto const install = [&](std::string const& aPool, std::string aService) {
    tables::pool row;
    row.mName = aPool;
    row.mService = { std::move(aService) };
    tables::table_set tables;
    tables.mPools.emplace(aPool, row);
    Install(std::move(tables));
  };
  install("orders", "order");
  BOOST_TEST((mPolicy.MatchPool(mNow, "orders") == pool_match::kOwnService));
  Unlist();
  BOOST_TEST((mPolicy.MatchPool(mNow, "orders") == pool_match::kOwnService));
  install("orders", "stock");
  BOOST_TEST((mPolicy.MatchPool(mNow, "orders") == pool_match::kOtherService));
}

// Guards against uploads that a stop ends although most of its grace period is
// left, and against late ones that it cuts.
BOOST_AUTO_TEST_CASE(LateBodiesNeedADeadlineBeforeTheStop)
{
  auto settings = MakeSettings();
  settings.mDrainGraceMilliseconds = 30'000;
  traffic_policy policy(settings, kStart, 1);
  auto const later = kStart + 60s;
  BOOST_TEST(policy.CanFinishBeforeStop(kStart, later));
  policy.StartDraining(kStart);
  BOOST_TEST(policy.CanFinishBeforeStop(kStart + 14s, later));
  BOOST_TEST(!policy.CanFinishBeforeStop(kStart + 16s, later));
  BOOST_TEST(policy.CanFinishBeforeStop(kStart + 16s, kStart + 29s));
  settings.mDrainServeMilliseconds = 20'000;
  traffic_policy serving(settings, kStart, 1);
  serving.StartDraining(kStart);
  BOOST_TEST(serving.CanFinishBeforeStop(kStart + 19s, later));
  BOOST_TEST(!serving.CanFinishBeforeStop(kStart + 21s, later));
}

// Guards against requests that are refused although the tables arrive a moment
// later, when a hundred daemons start at once.
BOOST_AUTO_TEST_CASE(StartLastsUntilTheLastOfManyDaemonsHasTables)
{
  BOOST_TEST(mPolicy.IsStarting(kStart + 1'400ms));
  BOOST_TEST(!mPolicy.IsStarting(kStart + 2s));
}

BOOST_AUTO_TEST_SUITE_END()
