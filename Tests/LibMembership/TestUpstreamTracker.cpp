#include "LibMembership/UpstreamTracker.h"

#include <limits>

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace cranberryfold;
using namespace cranberryfold::membership;

namespace {

constexpr core::time_point kStart{ core::duration(1'000'000) };
core::address const kAddress{ "10.0.0.1", 80 };
core::service_id const kService{ "stock" };

upstream_report
Report(std::string aId, std::uint64_t aStarted, std::uint64_t aSequence)
{
  upstream_report report;
  report.mId = { std::move(aId) };
  report.mStartMilliseconds = aStarted;
  report.mSequence = aSequence;
  report.mAddress = kAddress;
  report.mService = kService;
  report.mSlots = 10;
  return report;
}

upstream_report
Deregistration(std::string aId)
{
  upstream_report report;
  report.mId = { std::move(aId) };
  report.mLifecycle = lifecycle_state::kLeft;
  return report;
}

upstream_report
Draining(std::string aId, std::uint64_t aStarted, std::uint64_t aSequence)
{
  auto report = Report(std::move(aId), aStarted, aSequence);
  report.mLifecycle = lifecycle_state::kDraining;
  return report;
}

/// A daemon that starts beside a running upstream with a health endpoint.
struct started_daemon
{
  upstream_tracker mTracker{ kAddress,
                             kService,
                             report_confirmation::kHealthEndpoint };
  core::time_point mNow = kStart;

  report_outcome Handle(upstream_report const& aReport)
  {
    return mTracker.Handle(mNow, aReport);
  }

  void Health(std::string aId, bool aIsHealthy, bool aIsLeaving = false)
  {
    mTracker.HandleHealth(mNow,
                          { { std::move(aId) }, 10, aIsHealthy, aIsLeaving });
  }

  lifecycle_state State() const { return mTracker.Status().mLifecycle; }
  std::string Id() const { return mTracker.Status().mId.mValue; }
};

struct tracker_fixture
{
  upstream_tracker mTracker{ kAddress, kService };

  report_outcome Handle(upstream_report const& aReport)
  {
    return mTracker.Handle(kStart, aReport);
  }
};

}

BOOST_FIXTURE_TEST_SUITE(UpstreamTracker, tracker_fixture)

// Guards against a report of a crashed process that is delayed by a partition
// and replaces the status of its successor.
BOOST_AUTO_TEST_CASE(ReportOfAFormerProcessIsIgnored)
{
  Handle(Report("a", 100, 7));
  Handle(Report("b", 200, 1));
  BOOST_TEST((Handle(Report("a", 100, 8)) == report_outcome::kOutdated));
  BOOST_TEST(mTracker.Status().mId.mValue == "b");
}

// Guards against ignored reports of an upstream that was first found through
// its health endpoint, which returns neither start time nor sequence number.
BOOST_AUTO_TEST_CASE(ReportsAreAcceptedAfterAHealthResponse)
{
  Handle(Report("a", 0, 0));
  auto draining = Report("a", 100, 7);
  draining.mLifecycle = lifecycle_state::kDraining;
  BOOST_TEST((Handle(draining) == report_outcome::kAccepted));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kDraining));
  BOOST_TEST((Handle(Report("a", 100, 6)) == report_outcome::kOutdated));
}

// Guards against a delayed "ready" report that reverts a drain.
BOOST_AUTO_TEST_CASE(LateReportDoesNotUndoADrain)
{
  Handle(Report("a", 100, 7));
  auto draining = Report("a", 100, 9);
  draining.mLifecycle = lifecycle_state::kDraining;
  BOOST_TEST((Handle(draining) == report_outcome::kAccepted));
  BOOST_TEST((Handle(Report("a", 100, 8)) == report_outcome::kOutdated));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kDraining));
}

// Guards against a report that was sent before the upstream stated in a
// response that it is leaving, and that reverts this.
BOOST_AUTO_TEST_CASE(ReportDoesNotUndoAStatedDeparture)
{
  Handle(Report("a", 100, 7));
  mTracker.MarkLeaving({ "b" });
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kServing));
  mTracker.MarkLeaving({ "a" });
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kDraining));
  Handle(Report("a", 100, 8));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kDraining));
}

// Guards against a departure that keeps the next process from serving.
BOOST_AUTO_TEST_CASE(StatedDepartureEndsWithItsProcess)
{
  Handle(Report("a", 100, 7));
  mTracker.MarkLeaving({ "a" });
  Handle(Report("a", 200, 1));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kServing));
  mTracker.MarkLeaving({ "a" });
  Handle(Report("b", 0, 1));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kServing));
}

// Guards against a deregistration that is acknowledged but ignored because it
// has neither start time nor sequence number; the upstream still received
// requests.
BOOST_AUTO_TEST_CASE(DeregistrationWithoutStartTimeIsAccepted)
{
  Handle(Report("a", 100, 7));
  BOOST_TEST((Handle(Deregistration("a")) == report_outcome::kAccepted));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kLeft));
  BOOST_TEST((Handle(Report("a", 100, 8)) == report_outcome::kOutdated));
  BOOST_TEST((Handle(Report("a", 300, 1)) == report_outcome::kAccepted));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kServing));
}

// Guards against a deregistration of a former process that ends the current
// one.
BOOST_AUTO_TEST_CASE(DeregistrationOfAnotherProcessIsIgnored)
{
  Handle(Report("b", 200, 1));
  BOOST_TEST((Handle(Deregistration("a")) == report_outcome::kOutdated));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kServing));
}

// Guards against ignored reports of a restarted process that keeps its id and
// starts again at sequence number 1.
BOOST_AUTO_TEST_CASE(RestartUnderTheSameIdIsANewProcess)
{
  Handle(Report("a", 100, 50));
  BOOST_TEST((Handle(Report("a", 150, 1)) == report_outcome::kAccepted));
  BOOST_TEST((Handle(Report("a", 100, 51)) == report_outcome::kOutdated));
}

// Guards against requests for a service that another daemon's upstream runs.
BOOST_AUTO_TEST_CASE(OtherServiceOrAddressIsForeign)
{
  auto other = Report("a", 100, 1);
  other.mService = { "orders" };
  BOOST_TEST((Handle(other) == report_outcome::kForeign));
  auto elsewhere = Report("a", 100, 1);
  elsewhere.mAddress.mPort = 81;
  BOOST_TEST((Handle(elsewhere) == report_outcome::kForeign));
  BOOST_TEST(mTracker.Status().mId.IsEmpty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(UpstreamConfirmation, started_daemon)

// Guards against requests to an upstream that has deregistered at the former
// process of the daemon, and of which a late report arrives after the restart.
BOOST_AUTO_TEST_CASE(LateReportAfterARestartOfTheDaemonIsNotEnough)
{
  Health("a", false);
  BOOST_TEST((Handle(Report("a", 100, 8)) == report_outcome::kUnconfirmed));
  Health("a", false);
  BOOST_TEST((State() == lifecycle_state::kStarting));
  mNow += 4s;
  BOOST_TEST((Handle(Report("a", 100, 9)) == report_outcome::kUnconfirmed));
  Health("a", false);
  BOOST_TEST((State() == lifecycle_state::kStarting));
}

// Guards against one report, however late, of an upstream that has deregistered
// at the former process of the daemon.
BOOST_AUTO_TEST_CASE(ReportThatIsVeryLateDoesNotConfirmItsProcess)
{
  for (auto const delay : { 5s, 6s, 7s, 9s, 30s, 600s }) {
    started_daemon daemon;
    daemon.Health("a", false);
    daemon.mNow += delay;
    BOOST_TEST(
      (daemon.Handle(Report("a", 100, 8)) == report_outcome::kUnconfirmed));
    daemon.Health("a", false);
    BOOST_TEST((daemon.State() == lifecycle_state::kStarting));
  }
}

// Guards against several late reports that are taken for a process which still
// reports.
BOOST_AUTO_TEST_CASE(LateReportsWithPausesDoNotConfirmTheirProcess)
{
  for (auto const& pauses : { std::vector{ 6000ms },
                              std::vector{ 3500ms, 3500ms, 3500ms, 3500ms },
                              std::vector{ 10ms, 10ms, 10ms, 7000ms },
                              std::vector{ 3000ms, 3000ms } }) {
    started_daemon daemon;
    std::uint64_t sequence = 8;
    daemon.Handle(Report("a", 100, sequence));
    for (auto const pause : pauses) {
      daemon.mNow += pause;
      daemon.Health("a", false);
      BOOST_TEST((daemon.Handle(Report("a", 100, ++sequence)) ==
                  report_outcome::kUnconfirmed));
    }
    daemon.Health("a", false);
    BOOST_TEST((daemon.State() == lifecycle_state::kStarting));
  }
}

// Guards against a process that deregistered before the daemon has started and
// is taken for the successor of one that the daemon only knows to have left.
BOOST_AUTO_TEST_CASE(SuccessorOfAProcessThatWasNotSeenIsConfirmedFirst)
{
  auto former = Deregistration("a");
  former.mStartMilliseconds = 50;
  Handle(former);
  mNow += 60s;
  BOOST_TEST((Handle(Report("a", 100, 8)) == report_outcome::kUnconfirmed));
  Health("a", false);
  BOOST_TEST((State() == lifecycle_state::kStarting));
}

// Guards against a sound upstream that waits after a restart of its daemon.
BOOST_AUTO_TEST_CASE(HealthEndpointConfirmsTheProcess)
{
  Handle(Report("a", 100, 8));
  Health("a", true);
  BOOST_TEST((State() == lifecycle_state::kServing));
  BOOST_TEST((Handle(Report("a", 100, 9)) == report_outcome::kAccepted));
}

BOOST_AUTO_TEST_CASE(HealthEndpointIsFasterThanTheFirstReport)
{
  Health("a", true);
  BOOST_TEST((State() == lifecycle_state::kServing));
  BOOST_TEST(mTracker.Status().mSlots == 10U);
  BOOST_TEST((Handle(Report("a", 100, 9)) == report_outcome::kAccepted));
}

// Guards against requests to an upstream whose health endpoint responds with
// the status of a healthy one, but states that it is leaving.
BOOST_AUTO_TEST_CASE(LeavingUpstreamIsNotConfirmedAsServing)
{
  Health("a", true, true);
  BOOST_TEST((State() == lifecycle_state::kStarting));
  Handle(Report("a", 100, 8));
  Health("a", true, true);
  BOOST_TEST((State() == lifecycle_state::kDraining));
  Handle(Report("a", 100, 9));
  BOOST_TEST((State() == lifecycle_state::kDraining));
}

// Guards against a wrong response of the health endpoint that keeps a sound
// upstream out of use for good.
BOOST_AUTO_TEST_CASE(ContinuedReportsConfirmAProcessWithoutItsHealth)
{
  for (std::uint64_t sequence = 8; sequence < 12; ++sequence) {
    BOOST_TEST(
      (Handle(Report("a", 100, sequence)) == report_outcome::kUnconfirmed));
    Health("a", false);
    BOOST_TEST((State() == lifecycle_state::kStarting));
    mNow += 1500ms;
  }
  BOOST_TEST((Handle(Report("a", 100, 12)) == report_outcome::kAccepted));
  BOOST_TEST((State() == lifecycle_state::kServing));
}

// Guards against a wrong response of the health endpoint that keeps a new
// process waiting at a daemon that has received all of its reports.
BOOST_AUTO_TEST_CASE(UnhealthyResponseIdentifiesANewProcess)
{
  Health("a", true);
  mNow += 60s;
  Handle(Report("a", 100, 50));
  BOOST_TEST((Handle(Report("b", 200, 1)) == report_outcome::kUnconfirmed));
  BOOST_TEST(Id() == "a");
  Health("b", false);
  BOOST_TEST(Id() == "b");
  BOOST_TEST((State() == lifecycle_state::kServing));
}

// Guards against a report in the name of a process that does not exist, after
// which the upstream refuses all requests as misdirected.
BOOST_AUTO_TEST_CASE(ReportOfAnUnknownProcessDoesNotReplaceThePresentOne)
{
  Health("a", true);
  for (std::uint64_t sequence = 1; sequence < 20; ++sequence) {
    mNow += 1500ms;
    BOOST_TEST(
      (Handle(Report("a", 100, sequence)) == report_outcome::kAccepted));
    BOOST_TEST(
      (Handle(Draining("x", 200, sequence)) == report_outcome::kUnconfirmed));
    Health("a", false);
    BOOST_TEST(Id() == "a");
    BOOST_TEST((State() == lifecycle_state::kServing));
  }
}

// Guards against reports in the names of many processes that displace the true
// one while it waits for its confirmation.
BOOST_AUTO_TEST_CASE(HealthEndpointFindsTheProcessAmongUnknownOnes)
{
  Handle(Report("a", 100, 8));
  for (int number = 0; number < 100; ++number) {
    Handle(Report("x" + std::to_string(number), 200, 1));
  }
  Health("a", true);
  BOOST_TEST(Id() == "a");
  BOOST_TEST((State() == lifecycle_state::kServing));
}

// Guards against a delayed report that undoes a drain before the process is
// confirmed.
BOOST_AUTO_TEST_CASE(LateReportDoesNotUndoAnUnconfirmedDrain)
{
  Handle(Draining("a", 100, 9));
  Handle(Report("a", 100, 8));
  Health("a", true);
  BOOST_TEST((State() == lifecycle_state::kDraining));
}

// Guards against an acknowledged deregistration that is forgotten, because the
// daemon did not know the process yet.
BOOST_AUTO_TEST_CASE(DeregistrationOfAnUnknownProcessIsKept)
{
  Handle(Report("a", 100, 8));
  BOOST_TEST((Handle(Deregistration("a")) == report_outcome::kAccepted));
  BOOST_TEST((Handle(Report("a", 100, 7)) == report_outcome::kOutdated));
  Health("a", true);
  BOOST_TEST((State() == lifecycle_state::kStarting));
  Handle(Report("b", 200, 1));
  Health("b", true);
  BOOST_TEST((State() == lifecycle_state::kServing));
  auto ofNext = Deregistration("c");
  ofNext.mStartMilliseconds = 300;
  Handle(ofNext);
  BOOST_TEST((Handle(Report("c", 300, 1)) == report_outcome::kOutdated));
  BOOST_TEST((Handle(Report("c", 400, 1)) == report_outcome::kUnconfirmed));
}

// Guards against a drain that is forgotten when the process is confirmed: its
// reports with and without a start time are kept apart until then.
BOOST_AUTO_TEST_CASE(DrainWithoutStartTimeIsKeptAtTheConfirmation)
{
  Handle(Draining("a", 0, 3));
  Handle(Report("a", 100, 4));
  Health("a", true);
  BOOST_TEST(Id() == "a");
  BOOST_TEST((State() == lifecycle_state::kDraining));
}

// Guards against an upstream that is taken into use from a health response
// which does not tell its slots, or does not name the process.
BOOST_AUTO_TEST_CASE(HealthWithoutSlotsOrIdMakesNoUpstreamServe)
{
  mTracker.HandleHealth(mNow, { { "a" }, 0, true, false });
  BOOST_TEST(Id().empty());
  Health("", true);
  BOOST_TEST((State() != lifecycle_state::kServing));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OddReports, started_daemon)

namespace {

constexpr auto kHighest = std::numeric_limits<std::uint64_t>::max();
constexpr auto kInterval = 1500ms;

}

// Guards against one report with numbers above the true ones, after which all
// reports of the sound upstream are ignored for good.
BOOST_AUTO_TEST_CASE(HighNumbersDoNotSilenceTheUpstream)
{
  for (auto const& odd :
       { Report("a", 100, kHighest), Report("a", kHighest, 1) }) {
    started_daemon daemon;
    daemon.Health("a", true);
    daemon.Handle(Report("a", 100, 9));
    daemon.Handle(odd);
    daemon.Health("a", true);
    for (std::uint64_t sequence = 10; sequence < 20; ++sequence) {
      daemon.mNow += kInterval;
      auto const outcome = daemon.Handle(Report("a", 100, sequence));
      daemon.mTracker.CheckReportTimeout(daemon.mNow);
      BOOST_TEST((daemon.State() == lifecycle_state::kServing));
      if (sequence >= 15) {
        BOOST_TEST((outcome == report_outcome::kAccepted));
      }
    }
  }
}

// Guards against a drain in the name of the upstream that lasts for good,
// because all later reports of the upstream seem to be older.
BOOST_AUTO_TEST_CASE(ContinuedReportsEndADrainOfAnotherWriter)
{
  Health("a", true);
  Handle(Report("a", 100, 9));
  Handle(Draining("a", 100, kHighest));
  BOOST_TEST((State() == lifecycle_state::kDraining));
  for (std::uint64_t sequence = 10; sequence < 14; ++sequence) {
    mNow += kInterval;
    Handle(Report("a", 100, sequence));
    BOOST_TEST((State() == lifecycle_state::kDraining));
    BOOST_TEST(!mTracker.AgreesWith(Report("a", 100, sequence)));
  }
  mNow += kInterval;
  Handle(Report("a", 100, 14));
  mNow += kInterval;
  Handle(Report("a", 100, 15));
  BOOST_TEST((State() == lifecycle_state::kServing));
}

// Guards against late reports that undo a drain while the upstream goes on to
// report it.
BOOST_AUTO_TEST_CASE(LateReportsDoNotUndoAContinuedDrain)
{
  Health("a", true);
  Handle(Draining("a", 100, 100));
  for (std::uint64_t sequence = 1; sequence < 20; ++sequence) {
    mNow += kInterval;
    Handle(Draining("a", 100, 100 + sequence));
    Handle(Report("a", 100, sequence));
    BOOST_TEST((State() == lifecycle_state::kDraining));
  }
}

// Guards against an acknowledged drain of the upstream that has no effect,
// because another writer has reported a higher number.
BOOST_AUTO_TEST_CASE(OutdatedDrainOfAServingUpstreamIsNotAgreedTo)
{
  Health("a", true);
  Handle(Report("a", 100, kHighest));
  BOOST_TEST((Handle(Draining("a", 100, 10)) == report_outcome::kOutdated));
  BOOST_TEST(!mTracker.AgreesWith(Draining("a", 100, 10)));
  BOOST_TEST(mTracker.AgreesWith(Report("a", 100, 10)));
}

// Guards against a deregistration with another start time that ends a sound
// upstream, and is followed by no accepted report.
BOOST_AUTO_TEST_CASE(DeregistrationWithAnotherStartDoesNotEndTheProcess)
{
  Health("a", true);
  Handle(Report("a", 100, 9));
  auto odd = Deregistration("a");
  for (auto const start : { std::uint64_t{ 50 }, kHighest }) {
    odd.mStartMilliseconds = start;
    BOOST_TEST((Handle(odd) == report_outcome::kOutdated));
    BOOST_TEST(!mTracker.AgreesWith(odd));
    BOOST_TEST((State() == lifecycle_state::kServing));
  }
  BOOST_TEST((Handle(Report("a", 100, 10)) == report_outcome::kAccepted));
}

// Guards against requests to a process that has deregistered while another
// writer had reported a later start.
BOOST_AUTO_TEST_CASE(DeregistrationOfTheTrueProcessCounts)
{
  Health("a", true);
  Handle(Report("a", 100, 9));
  Handle(Report("a", kHighest, 1));
  Health("a", true);
  Handle(Report("a", 100, 10));
  auto deregistration = Deregistration("a");
  deregistration.mStartMilliseconds = 100;
  BOOST_TEST((Handle(deregistration) == report_outcome::kAccepted));
  BOOST_TEST((State() == lifecycle_state::kLeft));
}

// Guards against reports that return a process to use which has deregistered.
BOOST_AUTO_TEST_CASE(ContinuedReportsDoNotUndoADeregistration)
{
  Health("a", true);
  Handle(Report("a", 100, 9));
  Handle(Deregistration("a"));
  for (std::uint64_t sequence = 1; sequence < 20; ++sequence) {
    mNow += kInterval;
    Handle(Report("a", 100, sequence));
    Health("a", true);
    BOOST_TEST((State() == lifecycle_state::kLeft));
  }
}

BOOST_AUTO_TEST_SUITE_END()
