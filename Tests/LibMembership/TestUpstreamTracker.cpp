#include "LibMembership/UpstreamTracker.h"

#include <boost/test/unit_test.hpp>

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
