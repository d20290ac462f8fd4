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
Farewell(std::string aId)
{
  upstream_report report;
  report.mId = { std::move(aId) };
  report.mLifecycle = lifecycle_state::kLeft;
  return report;
}

struct tracker_fixture
{
  upstream_tracker mTracker{ kAddress, kService };

  report_outcome Take(upstream_report const& aReport)
  {
    return mTracker.Handle(kStart, aReport);
  }
};

}

BOOST_FIXTURE_TEST_SUITE(UpstreamTracker, tracker_fixture)

// Guards against a report of a former life that was held up by a partition and
// brings back what has crashed.
BOOST_AUTO_TEST_CASE(ReportOfAFormerLifeChangesNothing)
{
  Take(Report("a", 100, 7));
  Take(Report("b", 200, 1));
  BOOST_TEST((Take(Report("a", 100, 8)) == report_outcome::kOutdated));
  BOOST_TEST(mTracker.Status().mId.mValue == "b");
}

// Guards against an upstream whose reports are ignored after the daemon has
// learned of it by its health endpoint, which tells neither start nor sequence.
BOOST_AUTO_TEST_CASE(ReportsFollowAnAnswerOfTheHealthEndpoint)
{
  Take(Report("a", 0, 0));
  auto draining = Report("a", 100, 7);
  draining.mLifecycle = lifecycle_state::kDraining;
  BOOST_TEST((Take(draining) == report_outcome::kAccepted));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kDraining));
  BOOST_TEST((Take(Report("a", 100, 6)) == report_outcome::kOutdated));
}

// Guards against a late "ready" that undoes a drain.
BOOST_AUTO_TEST_CASE(LateReportDoesNotUndoADrain)
{
  Take(Report("a", 100, 7));
  auto draining = Report("a", 100, 9);
  draining.mLifecycle = lifecycle_state::kDraining;
  BOOST_TEST((Take(draining) == report_outcome::kAccepted));
  BOOST_TEST((Take(Report("a", 100, 8)) == report_outcome::kOutdated));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kDraining));
}

// Guards against a farewell that is acknowledged and ignored, since it carries
// neither start time nor sequence: work then went on to the upstream.
BOOST_AUTO_TEST_CASE(FarewellWithoutStartTimeEndsTheLife)
{
  Take(Report("a", 100, 7));
  BOOST_TEST((Take(Farewell("a")) == report_outcome::kAccepted));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kLeft));
  BOOST_TEST((Take(Report("a", 100, 8)) == report_outcome::kOutdated));
  BOOST_TEST((Take(Report("a", 300, 1)) == report_outcome::kAccepted));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kServing));
}

// Guards against a farewell of the former process that ends the present one.
BOOST_AUTO_TEST_CASE(FarewellOfAnotherProcessChangesNothing)
{
  Take(Report("b", 200, 1));
  BOOST_TEST((Take(Farewell("a")) == report_outcome::kOutdated));
  BOOST_TEST((mTracker.Status().mLifecycle == lifecycle_state::kServing));
}

// Guards against counts that start anew under the same id.
BOOST_AUTO_TEST_CASE(RestartUnderTheSameIdIsANewLife)
{
  Take(Report("a", 100, 50));
  BOOST_TEST((Take(Report("a", 150, 1)) == report_outcome::kAccepted));
  BOOST_TEST((Take(Report("a", 100, 51)) == report_outcome::kOutdated));
}

// Guards against work for a service that another daemon's upstream runs.
BOOST_AUTO_TEST_CASE(OtherServiceOrAddressIsForeign)
{
  auto other = Report("a", 100, 1);
  other.mService = { "orders" };
  BOOST_TEST((Take(other) == report_outcome::kForeign));
  auto elsewhere = Report("a", 100, 1);
  elsewhere.mAddress.mPort = 81;
  BOOST_TEST((Take(elsewhere) == report_outcome::kForeign));
  BOOST_TEST(mTracker.Status().mId.IsEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
