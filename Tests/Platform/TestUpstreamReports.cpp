#include "Platform/PlatformMesh.h"

#include <chrono>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kStart = 1'700'000'000'000;

bool
IsServed(platform_mesh& aMesh)
{
  return WaitUntil([&] { return aMesh.SendRequest() == 200; });
}

}

BOOST_AUTO_TEST_SUITE(UpstreamReports)

// Guards against requests to an upstream that has deregistered, after its
// daemon was killed and a late report has arrived.
BOOST_AUTO_TEST_CASE(LateReportAfterARestartDoesNotUndoADeregistration)
{
  platform_mesh mesh;
  mesh.Heartbeat(kStart, "ready", "1");
  BOOST_REQUIRE(IsServed(mesh));
  auto const born = R"({"born":)" + std::to_string(kStart) + "}";
  BOOST_TEST(mesh.Post("instances.deregister", born) == 200U);
  mesh.SetHealthy(false);
  mesh.RestartDaemon();
  auto const runs = mesh.Runs();
  // The daemon takes reports before it has the tables, so that the report is
  // repeated until the daemon knows the route.
  BOOST_REQUIRE(WaitUntil([&] {
    mesh.Heartbeat(kStart, "ready", "2");
    return mesh.SendRequest() != 0;
  }));
  for (int request = 0; request < 30; ++request) {
    BOOST_TEST(mesh.Heartbeat(kStart, "ready", "2") == 503U);
    BOOST_TEST(mesh.SendRequest() != 200U);
    std::this_thread::sleep_for(100ms);
  }
  BOOST_TEST(mesh.Runs() == runs);
}

// Guards against requests to an upstream that has deregistered, when a single
// report arrives long after its daemon was killed.
BOOST_AUTO_TEST_CASE(VeryLateReportDoesNotUndoADeregistration)
{
  // Longer than any series of reports that confirms a process.
  constexpr auto kDelay = 8s;
  platform_mesh mesh;
  mesh.Heartbeat(kStart, "ready", "1");
  BOOST_REQUIRE(IsServed(mesh));
  BOOST_TEST(mesh.Post("instances.deregister", "") == 200U);
  mesh.SetHealthy(false);
  mesh.RestartDaemon();
  auto const runs = mesh.Runs();
  std::this_thread::sleep_for(kDelay);
  BOOST_REQUIRE(WaitUntil([&] { return mesh.SendRequest() != 0; }));
  BOOST_TEST(mesh.Heartbeat(kStart, "ready", "2") == 503U);
  for (int request = 0; request < 20; ++request) {
    BOOST_TEST(mesh.SendRequest() != 200U);
    std::this_thread::sleep_for(100ms);
  }
  BOOST_TEST(mesh.Runs() == runs);
}

// Guards against a sound upstream that is not used after a restart of its
// daemon until its next report.
BOOST_AUTO_TEST_CASE(HealthyUpstreamIsUsedAfterARestartOfItsDaemon)
{
  platform_mesh mesh;
  mesh.Heartbeat(kStart, "ready", "1");
  BOOST_REQUIRE(IsServed(mesh));
  mesh.RestartDaemon();
  BOOST_TEST(IsServed(mesh));
  BOOST_TEST(mesh.Heartbeat(kStart, "ready", "2") == 200U);
}

// Guards against one odd report in the name of the upstream, after which its
// own reports are acknowledged, but it gets no requests.
BOOST_AUTO_TEST_CASE(HighNumbersDoNotStopRequestsToTheUpstream)
{
  // Beyond the time after which a silent upstream counts as unavailable.
  constexpr int kReports = 80;
  platform_mesh mesh;
  mesh.Heartbeat(kStart, "ready", "1");
  BOOST_REQUIRE(IsServed(mesh));
  BOOST_TEST(mesh.Heartbeat(kStart + 1, "ready", "18446744073709551615") ==
             200U);
  for (int sequence = 2; sequence < kReports; ++sequence) {
    BOOST_TEST(mesh.Heartbeat(kStart, "ready", std::to_string(sequence)) ==
               200U);
    BOOST_TEST(mesh.SendRequest() == 200U);
    std::this_thread::sleep_for(100ms);
  }
}

// Guards against reports with numbers that no upstream has.
BOOST_AUTO_TEST_CASE(UnusableReportsAreNotAcknowledged)
{
  platform_mesh mesh;
  for (auto const* const sequence :
       { "-1", "18446744073709551616", "1e400", "0.5", "\"1\"", "null" }) {
    BOOST_TEST(mesh.Heartbeat(kStart, "ready", sequence) == 400U, sequence);
  }
  BOOST_TEST(mesh.Heartbeat(kStart, "asleep", "1") == 400U);
  std::string const deep(100'000, '[');
  BOOST_TEST(mesh.Post("instances.heartbeat", deep) == 400U);
  BOOST_TEST(mesh.Post("instances.deregister", deep) == 400U);
  mesh.Heartbeat(kStart, "ready", "1");
  BOOST_TEST(IsServed(mesh));
}

BOOST_AUTO_TEST_SUITE_END()
