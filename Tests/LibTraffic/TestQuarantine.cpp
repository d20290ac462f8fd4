#include "LibTraffic/Quarantine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

using namespace cranberryfold;
using namespace cranberryfold::traffic;

namespace {

suspect_id const kPoison{ 7 };
suspect_id const kBystander{ 8 };

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

// Guards against a third crash by the same request, and against a quarantine
// that never ends.
BOOST_AUTO_TEST_CASE(SecondCrashQuarantinesEverywhere)
{
  CrashAtA();
  Do(10, "b", call_ready{ 3, kPoison });
  BOOST_REQUIRE(mRuns["b"].size() == 1U);
  BOOST_TEST(mRuns["b"][0].mExclusive);
  Do(20, "b", upstream_crashed{});
  for (auto const* name : { "a", "b", "c" }) {
    Do(30, name, call_ready{ 4, kPoison });
    BOOST_REQUIRE(mRefusals[name].size() == 1U);
    BOOST_TEST(
      (mRefusals[name][0].mReason == core::refusal_reason::kQuarantined));
    BOOST_TEST((mRefusals[name][0].mRetryAfter > std::chrono::minutes(9)));
  }
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
// run a third upstream crashed: the daemon of the first crash restarted during
// a partition, so the owner of the second crash was never notified of the first
// and granted a trial.
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
  BOOST_TEST(mDaemons["b"]->IsQuarantined(At(201), kPoison));
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

BOOST_AUTO_TEST_SUITE_END()
