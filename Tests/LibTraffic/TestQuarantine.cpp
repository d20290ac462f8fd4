#include "LibTraffic/Quarantine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

using namespace cranberryfold;
using namespace cranberryfold::traffic;

namespace {

suspect_id const kPoison{ 7 };
suspect_id const kBystander{ 8 };
/// A request that many callers send.
suspect_id const kPage{ 9 };

core::time_point
At(int aMilliseconds)
{
  return core::time_point(std::chrono::hours(1)) +
         std::chrono::milliseconds(aMilliseconds);
}

/// Three daemons of one service. Messages arrive immediately, except from and
/// to the daemons named in mDisconnected.
struct service
{
  std::map<std::string, std::unique_ptr<quarantine>> mDaemons;
  std::map<std::string, std::vector<run_call>> mRuns;
  std::map<std::string, std::vector<refuse_suspect>> mRefusals;
  std::map<std::string, std::vector<report_lost_call>> mReportedLosses;
  std::string mDisconnected;
  std::uint64_t mLastCall = 100;

  service()
  {
    for (auto const* name : { "a", "b", "c" }) {
      Start(name, 1);
    }
    for (auto const* name : { "a", "b", "c" }) {
      Do(0, name, Peers(name, 1));
    }
  }

  void Start(std::string const& aName, std::uint64_t aIncarnation)
  {
    quarantine_settings settings;
    settings.mSelf = { { aName }, { aIncarnation } };
    mDaemons[aName] = std::make_unique<quarantine>(settings);
  }

  service_peers_changed Peers(std::string const& aSelf,
                              std::uint64_t aIncarnationOfA)
  {
    service_peers_changed event;
    for (std::string const name : { "a", "b", "c" }) {
      if (name != aSelf) {
        event.mPeers.insert(
          { { name }, { name == "a" ? aIncarnationOfA : 1 } });
      }
    }
    return event;
  }

  void Do(int aTime, std::string const& aName, quarantine_event const& aEvent)
  {
    for (auto const& action : mDaemons[aName]->Handle(At(aTime), aEvent)) {
      if (auto const* run = std::get_if<run_call>(&action)) {
        mRuns[aName].push_back(*run);
      } else if (auto const* refusal = std::get_if<refuse_suspect>(&action)) {
        mRefusals[aName].push_back(*refusal);
      } else if (auto const* report = std::get_if<report_lost_call>(&action)) {
        mReportedLosses[aName].push_back(*report);
      } else if (auto const& send = std::get<send_quarantine_message>(action);
                 mDisconnected.find(send.mTo.mValue) == std::string::npos &&
                 mDisconnected.find(aName) == std::string::npos) {
        Do(aTime,
           send.mTo.mValue,
           quarantine_message_received{ { aName }, send.mMessage });
      }
    }
  }

  /// Expects that all daemons refuse kPoison and name a wait in this range.
  void ExpectRefusedEverywhere(int aTime,
                               core::duration aShortestWait,
                               core::duration aLongestWait)
  {
    for (auto const* name : { "a", "b", "c" }) {
      auto const runsBefore = mRuns[name].size();
      auto const refusalsBefore = mRefusals[name].size();
      Do(aTime, name, call_ready{ ++mLastCall, kPoison });
      BOOST_TEST(mRuns[name].size() == runsBefore);
      BOOST_REQUIRE(mRefusals[name].size() == refusalsBefore + 1);
      auto const& refusal = mRefusals[name].back();
      BOOST_TEST((refusal.mReason == core::refusal_reason::kQuarantined));
      BOOST_TEST((refusal.mRetryAfter >= aShortestWait));
      BOOST_TEST((refusal.mRetryAfter <= aLongestWait));
    }
  }

  void TickAll(int aTime)
  {
    for (auto const* name : { "a", "b", "c" }) {
      Do(aTime, name, quarantine_tick{});
    }
  }

  /// All upstreams crash while they run the request kPage. Their daemons tell
  /// each other of it only after that.
  void CrashAllOnPage(int aTime)
  {
    mDisconnected = "abc";
    for (auto const* name : { "a", "b", "c" }) {
      Do(aTime, name, call_ready{ ++mLastCall, kPage });
      Do(aTime, name, call_ready{ ++mLastCall, kPage });
    }
    for (auto const* name : { "a", "b", "c" }) {
      Do(aTime + 1, name, upstream_crashed{});
    }
    mDisconnected = "";
    TickAll(aTime + 200);
  }

  /// Expects that a daemon runs kPage as any other request.
  void ExpectPageIsClear(int aTime)
  {
    for (auto const* name : { "a", "b", "c" }) {
      BOOST_TEST(!mDaemons[name]->IsSuspect(At(aTime), kPage));
      auto const before = mRuns[name].size();
      Do(aTime, name, call_ready{ ++mLastCall, kPage });
      BOOST_REQUIRE(mRuns[name].size() == before + 1);
      BOOST_TEST(!mRuns[name].back().mExclusive);
      Do(aTime, name, call_completed{ mLastCall });
    }
  }

  /// The upstream of a crashes while it runs the request kPoison and a
  /// bystander.
  void CrashAtA()
  {
    Do(1, "a", call_ready{ 1, kPoison });
    Do(1, "a", call_ready{ 2, kBystander });
    Do(2, "a", upstream_crashed{});
  }
};

}

BOOST_FIXTURE_TEST_SUITE(Quarantine, service)

// Guards against a fourth crash by the same request, against a run while its
// second crash is new, and against a quarantine that never ends.
BOOST_AUTO_TEST_CASE(CrashesOfTwoTrialsQuarantineEverywhere)
{
  CrashAtA();
  Do(10, "b", call_ready{ 3, kPoison });
  BOOST_REQUIRE(mRuns["b"].size() == 1U);
  BOOST_TEST(mRuns["b"][0].mExclusive);
  Do(20, "b", upstream_crashed{});
  ExpectRefusedEverywhere(30, std::chrono::seconds(4), std::chrono::seconds(5));
  ExpectRefusedEverywhere(5019, core::duration{}, std::chrono::milliseconds(1));
  Do(5021, "c", call_ready{ 5, kPoison });
  BOOST_REQUIRE(mRuns["c"].size() == 1U);
  BOOST_TEST(mRuns["c"][0].mExclusive);
  Do(5030, "c", upstream_crashed{});
  ExpectRefusedEverywhere(
    5040, std::chrono::minutes(9), std::chrono::minutes(10));
  ExpectRefusedEverywhere(
    60'000, std::chrono::minutes(9), std::chrono::minutes(10));
  auto const end = 60 * 1000 * 11;
  Do(end, "c", quarantine_tick{});
  BOOST_TEST(mDaemons["c"]->Suspects() == 0U);
}

// Guards against requests that stay suspect only because they were in flight at
// a crash.
BOOST_AUTO_TEST_CASE(BystanderIsClearedEverywhereOnceItCompletes)
{
  CrashAtA();
  Do(10, "b", call_ready{ 3, kBystander });
  Do(20, "b", call_completed{ 3 });
  for (auto const* name : { "a", "b", "c" }) {
    BOOST_TEST(!mDaemons[name]->IsSuspect(At(21), kBystander));
    BOOST_TEST(mDaemons[name]->IsSuspect(At(21), kPoison));
  }
}

// Guards against two upstreams that run the same suspect at the same time.
BOOST_AUTO_TEST_CASE(GrantsOneTrialAtATime)
{
  CrashAtA();
  Do(10, "b", call_ready{ 3, kPoison });
  Do(11, "c", call_ready{ 4, kPoison });
  BOOST_TEST(mRuns["b"].size() == 1U);
  BOOST_TEST(mRuns["c"].empty());
  Do(20, "b", upstream_crashed{});
  BOOST_TEST(mRuns["c"].empty());
  BOOST_TEST(mRefusals["c"].size() == 1U);
}

// Guards against a trial that crashes while other calls run and makes them
// suspect.
BOOST_AUTO_TEST_CASE(TrialWaitsUntilTheUpstreamIsIdle)
{
  CrashAtA();
  Do(5, "b", call_ready{ 3, { 20 } });
  Do(10, "b", call_ready{ 4, kPoison });
  BOOST_TEST(mRuns["b"].size() == 1U);
  Do(11, "b", call_ready{ 5, { 21 } });
  BOOST_TEST((mRefusals["b"].at(0).mReason == core::refusal_reason::kNotReady));
  Do(12, "b", call_completed{ 3 });
  BOOST_TEST(mRuns["b"].size() == 2U);
  BOOST_TEST(mRuns["b"].back().mExclusive);
}

// Guards against a resend that reaches a peer before the notice of the crash
// does.
BOOST_AUTO_TEST_CASE(DelaysTheFailureReportUntilPeersAcknowledge)
{
  mDisconnected = "c";
  CrashAtA();
  BOOST_TEST(mReportedLosses["a"].empty());
  mDisconnected = "";
  Do(200, "a", quarantine_tick{});
  BOOST_TEST(mReportedLosses["a"].size() == 2U);
  BOOST_TEST(mDaemons["c"]->IsSuspect(At(201), kPoison));
}

// Guards against a sender that waits for the failure report while a peer does
// not answer.
BOOST_AUTO_TEST_CASE(ReportsTheFailureThoughAPeerIsSilent)
{
  mDisconnected = "c";
  CrashAtA();
  Do(1100, "a", quarantine_tick{});
  BOOST_TEST(mReportedLosses["a"].size() == 2U);
}

// Guards against running a suspect without a grant, and against letting its
// sender wait indefinitely.
BOOST_AUTO_TEST_CASE(RefusesASuspectWithoutItsOwner)
{
  CrashAtA();
  mDisconnected = "a";
  Do(10, "b", call_ready{ 3, kPoison });
  for (int time = 100; time < 3500; time += 100) {
    Do(time, "b", quarantine_tick{});
  }
  BOOST_TEST(mRuns["b"].empty());
  BOOST_TEST(mRefusals["b"].size() == 1U);
}

// A restarted owner does not know whether a trial is running.
BOOST_AUTO_TEST_CASE(RestartedOwnerGrantsNothing)
{
  CrashAtA();
  Start("a", 2);
  Do(10, "b", Peers("b", 2));
  BOOST_TEST(mDaemons["a"]->IsSuspect(At(11), kPoison));
  Do(12, "b", call_ready{ 3, kPoison });
  BOOST_TEST(mRuns["b"].empty());
}

// Guards against another trial when the result of the last one was lost.
BOOST_AUTO_TEST_CASE(TrialThatIsNeverReportedCountsAsACrash)
{
  CrashAtA();
  Do(10, "b", call_ready{ 3, kPoison });
  mDisconnected = "b";
  Do(61000, "a", quarantine_tick{});
  BOOST_TEST(mDaemons["c"]->IsQuarantined(At(61001), kPoison));
}

// The upstream may still run a cancelled call, and crash.
BOOST_AUTO_TEST_CASE(SuspectsACallThatTimedOutShortlyBefore)
{
  Do(1, "a", call_ready{ 1, kPoison });
  Do(2, "a", call_unanswered{ 1 });
  Do(500, "a", upstream_crashed{});
  BOOST_TEST(mDaemons["b"]->IsSuspect(At(501), kPoison));
}

// Guards against an owner that misses another crash. In seed 448 of the traffic
// run, the daemon of the first crash restarted during a partition, so the owner
// of the second crash was never notified of the first and granted a trial,
// although one of the first owner could have been running.
BOOST_AUTO_TEST_CASE(PeerReportsACrashThatTheOwnerMissed)
{
  mDisconnected = "b";
  Do(1, "a", call_ready{ 1, kPoison });
  Do(2, "a", upstream_crashed{});
  Start("a", 2);
  Do(10, "b", call_ready{ 2, kPoison });
  Do(11, "b", upstream_crashed{});
  mDisconnected = "";
  Do(200, "b", quarantine_tick{});
  BOOST_TEST(mDaemons["b"]->IsSuspect(At(201), kPoison));
  BOOST_REQUIRE(mRuns["b"].size() == 1U);
  Do(201, "a", call_ready{ 3, kPoison });
  Do(201, "b", call_ready{ 4, kPoison });
  Do(201, "c", call_ready{ 5, kPoison });
  auto const trials =
    mRuns["a"].size() - 1 + mRuns["b"].size() - 1 + mRuns["c"].size();
  BOOST_TEST(trials <= 1U);
}

// Guards against mistaking the acknowledgement of an earlier incarnation's
// notice for one of a new notice.
BOOST_AUTO_TEST_CASE(LateAcknowledgementToAnEarlierIncarnationDoesNotCount)
{
  mDisconnected = "bc";
  CrashAtA();
  Start("a", 2);
  Do(10, "a", Peers("a", 2));
  Do(11, "a", call_ready{ 1, kPoison });
  Do(12, "a", upstream_crashed{});
  for (std::uint64_t sequence = 0; sequence < 100; ++sequence) {
    suspicion_ack const ack{ (1UL << 20U) + sequence };
    Do(13, "a", quarantine_message_received{ { "b" }, ack });
    Do(13, "a", quarantine_message_received{ { "c" }, ack });
  }
  BOOST_TEST(mReportedLosses["a"].empty());
}

// Guards against an endless exchange of notices. Seed 2222 of the traffic run
// did not end: a daemon answered the notice of a crash that it had cleared with
// the only other crash that it knew, and so on.
BOOST_AUTO_TEST_CASE(DoesNotAnswerANoticeOfAClearedCrashWithASingleCrash)
{
  CrashAtA();
  Do(10, "b", call_ready{ 3, kBystander });
  Do(20, "b", call_completed{ 3 });
  Do(30, "c", call_ready{ 4, kBystander });
  Do(31, "c", upstream_crashed{});
  suspicion_notice const notice{
    99,
    { { kBystander,
        { { { { "a" }, { 1 } }, (1UL << 20U) + 1 } },
        std::chrono::minutes(5) } },
    {}
  };
  auto const actions = mDaemons["b"]->Handle(
    At(40), quarantine_message_received{ { "a" }, notice });
  BOOST_TEST(actions.size() == 1U);
}

// Guards against a late notice that makes a cleared request suspect again.
BOOST_AUTO_TEST_CASE(LateNoticeOfAClearedCrashIsIgnored)
{
  CrashAtA();
  Do(10, "b", call_ready{ 3, kBystander });
  Do(20, "b", call_completed{ 3 });
  suspicion_notice const late{ 99,
                               { { kBystander,
                                   { { { { "a" }, { 1 } }, (1UL << 20U) + 1 } },
                                   std::chrono::minutes(5) } },
                               {} };
  Do(30, "c", quarantine_message_received{ { "a" }, late });
  BOOST_TEST(!mDaemons["c"]->IsSuspect(At(31), kBystander));
}

// Guards against a quarantine of a page that many callers read because all
// upstreams crash at once for another reason.
BOOST_AUTO_TEST_CASE(CrashOfAllUpstreamsDoesNotQuarantineAPage)
{
  CrashAllOnPage(1);
  for (auto const* name : { "a", "b", "c" }) {
    BOOST_TEST(!mDaemons[name]->IsQuarantined(At(300), kPage));
  }
  Do(4000, "b", call_ready{ 1, kPage });
  BOOST_REQUIRE(mRuns["b"].size() == 3U);
  BOOST_TEST(mRuns["b"].back().mExclusive);
  Do(4360, "b", call_completed{ 1 });
  ExpectPageIsClear(4400);
}

// As above, if the upstreams crash one after another, each while it still runs
// the page from before the first notice.
BOOST_AUTO_TEST_CASE(CrashesInTurnDoNotQuarantineAPage)
{
  for (auto const* name : { "c", "a", "b" }) {
    Do(1, name, call_ready{ ++mLastCall, kPage });
  }
  Do(50, "c", upstream_crashed{});
  Do(150, "a", upstream_crashed{});
  Do(250, "b", upstream_crashed{});
  Do(4000, "c", call_ready{ 1, kPage });
  BOOST_REQUIRE(mRuns["c"].size() == 2U);
  Do(4360, "c", call_completed{ 1 });
  ExpectPageIsClear(4400);
}

// Guards against a page that stays refused because its upstreams crash again
// while its first trial runs.
BOOST_AUTO_TEST_CASE(PageRecoversThoughItsTrialCrashes)
{
  CrashAllOnPage(1);
  Do(4000, "b", call_ready{ 1, kPage });
  Do(4100, "b", upstream_crashed{});
  BOOST_TEST(mDaemons["c"]->IsQuarantined(At(4200), kPage));
  Do(9200, "c", call_ready{ 2, kPage });
  BOOST_REQUIRE(mRuns["c"].size() == 3U);
  Do(9560, "c", call_completed{ 2 });
  ExpectPageIsClear(9600);
}

// Guards against a second trial while upstreams crash for another reason, which
// would be attributed to the suspect.
BOOST_AUTO_TEST_CASE(SecondTrialWaitsUntilNoUpstreamCrashes)
{
  CrashAllOnPage(1);
  Do(4000, "b", call_ready{ 1, kPage });
  Do(4100, "b", upstream_crashed{});
  Do(8000, "c", call_ready{ 2, kBystander });
  Do(8100, "c", upstream_crashed{});
  Do(9200, "c", call_ready{ 3, kPage });
  BOOST_TEST(mRuns["c"].size() == 3U);
  Do(13'200, "a", call_ready{ 4, kPage });
  BOOST_TEST(mRuns["a"].size() == 3U);
}

// Guards against a trial that counts as a crash although the upstream was not
// reached or refused the call.
BOOST_AUTO_TEST_CASE(TrialThatIsNotRunProvesNothing)
{
  CrashAllOnPage(1);
  for (int trial = 0; trial < 5; ++trial) {
    auto const time = 300 + trial * 100;
    Do(time, "b", call_ready{ ++mLastCall, kPage });
    BOOST_REQUIRE(mRuns["b"].back().mCall == mLastCall);
    Do(time + 1, "b", call_not_run{ mLastCall });
  }
  Do(4000, "c", call_ready{ 1, kPage });
  Do(4360, "c", call_completed{ 1 });
  ExpectPageIsClear(4400);
}

// Guards against a quarantine of a page whose trials are abandoned by their
// callers or too slow, though no upstream crashes.
BOOST_AUTO_TEST_CASE(TrialsWithoutAnAnswerAreForgiven)
{
  CrashAllOnPage(1);
  for (int time = 300; time < 60'000; time += 100) {
    TickAll(time);
    for (auto const* name : { "a", "b", "c" }) {
      auto const before = mRuns[name].size();
      Do(time, name, call_ready{ ++mLastCall, kPage });
      if (mRuns[name].size() > before) {
        Do(time + 50, name, call_unanswered{ mLastCall });
      }
    }
  }
  TickAll(70'000);
  Do(70'000, "a", call_ready{ 1, kPage });
  BOOST_REQUIRE(mRuns["a"].back().mCall == 1U);
  Do(70'100, "a", call_completed{ 1 });
  ExpectPageIsClear(70'200);
}

// Guards against forgiving a trial that crashes its upstream after its caller
// has given up.
BOOST_AUTO_TEST_CASE(TrialThatCrashesLateCounts)
{
  CrashAtA();
  Do(10, "b", call_ready{ 3, kPoison });
  Do(100, "b", call_unanswered{ 3 });
  Do(2000, "b", upstream_crashed{});
  TickAll(12'000);
  Do(12'000, "c", call_ready{ 4, kPoison });
  BOOST_REQUIRE(mRuns["c"].size() == 1U);
  Do(12'100, "c", upstream_crashed{});
  ExpectRefusedEverywhere(
    12'200, std::chrono::minutes(9), std::chrono::minutes(10));
}

// Guards against a page that is refused until its suspicion expires because the
// daemon that owned it has left, or has restarted.
BOOST_AUTO_TEST_CASE(OwnerThatHasLeftIsSucceeded)
{
  CrashAllOnPage(1);
  service_peers_changed onlyC{ { { { "c" }, { 1 } } } };
  service_peers_changed onlyB{ { { { "b" }, { 1 } } } };
  mDisconnected = "a";
  Do(1000, "b", onlyC);
  Do(1000, "c", onlyB);
  Do(1100, "c", call_ready{ 1, kPage });
  BOOST_REQUIRE(mRuns["c"].back().mCall == 1U);
  Do(1200, "c", call_completed{ 1 });
  BOOST_TEST(!mDaemons["b"]->IsSuspect(At(1300), kPage));
}

// As above, if no daemon whose upstream crashed is left as it was. Guards also
// against a trial while one of the former owner may still run.
BOOST_AUTO_TEST_CASE(RestartedOwnerIsSucceededAfterADelay)
{
  Do(1, "a", call_ready{ 1, kPage });
  Do(2, "a", upstream_crashed{});
  Start("a", 2);
  for (std::string const name : { "a", "b", "c" }) {
    Do(1000, name, Peers(name, 2));
  }
  BOOST_TEST(mDaemons["a"]->IsSuspect(At(1100), kPage));
  Do(5900, "c", call_ready{ 2, kPage });
  BOOST_TEST(mRuns["c"].empty());
  for (int time = 5900; time < 6200; time += 100) {
    TickAll(time);
  }
  BOOST_REQUIRE(mRuns["c"].size() == 1U);
  BOOST_TEST(mRuns["c"][0].mExclusive);
  Do(6300, "c", call_completed{ 2 });
  ExpectPageIsClear(6400);
}

// Guards against trials that wait for the result of one whose daemon has been
// killed, and against counting that trial as a crash.
BOOST_AUTO_TEST_CASE(TrialOfADaemonThatHasLeftProvesNothing)
{
  CrashAllOnPage(1);
  Do(4000, "b", call_ready{ 1, kPage });
  mDisconnected = "b";
  Do(4500, "a", service_peers_changed{ { { { "c" }, { 1 } } } });
  Do(4500, "c", service_peers_changed{ { { { "a" }, { 1 } } } });
  Do(4600, "c", call_ready{ 2, kPage });
  BOOST_REQUIRE(mRuns["c"].back().mCall == 2U);
  BOOST_TEST(mRuns["c"].back().mExclusive);
  TickAll(64'100);
  BOOST_TEST(!mDaemons["a"]->IsQuarantined(At(64'200), kPage));
}

BOOST_AUTO_TEST_SUITE_END()
