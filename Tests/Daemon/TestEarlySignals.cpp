#include "Support/Process.h"

#include <csignal>
#include <fstream>

#include <boost/test/unit_test.hpp>
#include <sys/stat.h>

using namespace cranberryfold;
using namespace cranberryfold::test_support;

namespace {

std::string
Settings(std::vector<std::uint16_t> const& aPorts)
{
  auto const address = [&](std::size_t aIndex) {
    return "\"127.0.0.1:" + std::to_string(aPorts.at(aIndex)) + "\"";
  };
  return R"({ "instance": "a", "zone": "z", "region": "r", "caller_address": )" +
         address(0) + R"(, "egress_address": )" + address(1) +
         R"(, "admin_address": )" + address(2) + R"(, "peer_address": )" +
         address(3) + R"(, "seeds": [)" + address(3) +
         R"(], "upstream": { "address": )" + address(4) +
         R"(, "service": "s", "slots": 1, "connections": 1 } })";
}

}

BOOST_AUTO_TEST_SUITE(EarlySignals)

// Guards against a daemon that is ended by a hangup which arrives while it
// reads its settings, as after a restart beside a change of the settings.
BOOST_AUTO_TEST_CASE(HangupDuringTheStartDoesNotEndTheDaemon)
{
  temporary_folder const folder;
  auto const ports = ReservePorts(5);
  auto const settings = folder.File("settings.json");
  WriteFile(settings, Settings(ports.Ports()));
  auto const flags = folder.File("flags");
  BOOST_REQUIRE(mkfifo(flags.c_str(), S_IRUSR | S_IWUSR) == 0);
  child_process daemon(
    "cranberryfold_daemon", { "--flagfile", flags }, folder.File("log"));
  // Opening the pipe waits until the daemon reads its flags from it.
  std::ofstream pipe(flags);
  daemon.Signal(SIGHUP);
  pipe << "--settings=" + settings + "\n";
  pipe.close();
  core::address const admin{ "127.0.0.1", ports.Ports().at(2) };
  BOOST_TEST(WaitUntil(
    [&] { return daemon.ExitStatus().has_value() || CanConnect(admin); }));
  BOOST_TEST(!daemon.ExitStatus().has_value(), daemon.Output());
}

BOOST_AUTO_TEST_SUITE_END()
