#include "Soak/Run.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace std::chrono_literals;

namespace {

soak::time_point const kStart{ 100s };

soak::request_record
Request(soak::request_kind aKind, std::string aService)
{
  soak::request_record request;
  request.mKind = aKind;
  request.mPath = "/path";
  request.mInstance = "instance";
  request.mSent = kStart + 20s;
  request.mEnded = kStart + 21s;
  request.mStatus = 200;
  request.mAnsweredPath = request.mPath;
  request.mService = std::move(aService);
  return request;
}

soak::observations
Observe(soak::request_record aRequest, std::vector<soak::run_record> aRuns)
{
  return { { std::move(aRequest) },
           { { "e1", "catalogue", kStart, kStart + 1s },
             { "e2", "stock", kStart + 2s, kStart + 3s } },
           std::move(aRuns),
           {},
           std::vector<std::string>{ "e1", "e2" } };
}

std::size_t
Count(soak::observations const& aSeen)
{
  return soak::FindViolations(aSeen, {}).size();
}

void
CheckRun(soak::run_settings const& aSettings)
{
  auto const report = soak::Run(aSettings);
  for (auto const& line : report.mViolations) {
    BOOST_ERROR(line);
  }
  if (!report.mViolations.empty()) {
    BOOST_TEST_MESSAGE(report.mLogs);
  }
  BOOST_TEST(report.mServed > 0U);
  BOOST_TEST(report.mAcknowledgedEdits > 1U);
}

}

BOOST_AUTO_TEST_SUITE(Soak)

// Guards against a soak that sees nothing: each promise is broken once.
BOOST_AUTO_TEST_CASE(ChecksFindBrokenPromises)
{
  using soak::request_kind;
  auto const order = Request(request_kind::kOrder, "order");
  BOOST_TEST(Count(Observe(order, { { "/path", "order" } })) == 0U);
  BOOST_TEST(Count(Observe(
               order, { { "/path", "order" }, { "/path", "order" } })) == 1U);
  BOOST_TEST(Count(Observe(order, { { "/path", "stock" } })) == 1U);
  BOOST_TEST(Count(Observe(
               order, { { "/path", "order" }, { "/other", "order" } })) == 1U);
  auto refused = order;
  refused.mStatus = 503;
  refused.mIsNotRun = true;
  BOOST_TEST(Count(Observe(refused, { { "/path", "order" } })) == 1U);
  BOOST_TEST(Count(Observe(refused, {})) == 0U);
  auto foreign = order;
  foreign.mAnsweredPath = "/other";
  BOOST_TEST(Count(Observe(foreign, { { "/path", "order" } })) == 1U);
  auto rejected = order;
  rejected.mStatus = 404;
  BOOST_TEST(Count(Observe(rejected, {})) == 1U);
}

// Guards against a soak that misses tables that are late, or that counts
// daemons that were disturbed.
BOOST_AUTO_TEST_CASE(ChecksFindLateTables)
{
  using soak::request_kind;
  auto const moved = Request(request_kind::kMove, "stock");
  auto const late = Request(request_kind::kMove, "catalogue");
  std::vector<soak::run_record> const onStock{ { "/path", "stock" } };
  std::vector<soak::run_record> const onCatalogue{ { "/path", "catalogue" } };
  BOOST_TEST(Count(Observe(moved, onStock)) == 0U);
  BOOST_TEST(Count(Observe(late, onCatalogue)) == 1U);
  auto disturbed = Observe(late, onCatalogue);
  disturbed.mDisturbances["instance"] = { { kStart + 18s, kStart + 19s } };
  BOOST_TEST(Count(disturbed) == 0U);
  disturbed.mDisturbances["instance"] = { { kStart, kStart + 5s } };
  BOOST_TEST(Count(disturbed) == 1U);
}

// Guards against a soak that misses acknowledged edits which are lost or have
// taken effect twice.
BOOST_AUTO_TEST_CASE(ChecksFindLostEdits)
{
  auto seen = Observe(Request(soak::request_kind::kMove, "stock"),
                      { { "/path", "stock" } });
  BOOST_TEST(Count(seen) == 0U);
  seen.mHistory = { { "e1" } };
  BOOST_TEST(Count(seen) == 1U);
  seen.mHistory = { { "e1", "e2", "e2" } };
  BOOST_TEST(Count(seen) == 1U);
  seen.mHistory.reset();
  BOOST_TEST(Count(seen) == 2U);
  seen.mHistory = { { "e1" } };
  seen.mEdits.back().mAcknowledged.reset();
  BOOST_TEST(Count(seen) == 0U);
}

// Guards against promises that the programs break under faults from outside:
// signals, restarts and addresses that pass to another service, overlapping.
BOOST_AUTO_TEST_CASE(PromisesHoldUnderFaults)
{
  soak::run_settings settings;
  // With this seed, calls were run by another service whose instance had taken
  // over an address.
  settings.mSeed = 3;
  CheckRun(settings);
}

// Guards against edits that are lost, or that are never accepted again, when
// the disks of control replicas are full, also when they are killed.
BOOST_AUTO_TEST_CASE(EditsSurviveFailingDisks)
{
  soak::run_settings settings;
  settings.mSeed = 1;
  settings.mDisksFail = true;
  CheckRun(settings);
}

BOOST_AUTO_TEST_SUITE_END()
