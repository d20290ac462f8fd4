#include "LibCore/Log.h"
#include "PortReservation.h"
#include "Service.h"

#include <cstdio>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

DEFINE_uint32(reserve_ports,
              0,
              "Print this many free ports, and reserve them until the standard "
              "input ends.");
DEFINE_string(listen, "127.0.0.1:0", "Address to listen on.");
DEFINE_string(instance, "stand-in", "Name in responses and in the journal.");
DEFINE_string(service, "stand-in", "Service name in responses.");
DEFINE_uint32(slots, 10, "Requests that run at once.");
DEFINE_string(when_full, "wait", "wait, or refuse with 503 as not run.");
DEFINE_double(service_time_ms, 5, "Median service time.");
DEFINE_double(service_time_spread, 0, "Sigma of the lognormal service time.");
DEFINE_uint64(seed, 1, "Seed of the service times.");
DEFINE_uint32(start_delay_ms, 0, "Not ready for this long after the start.");
DEFINE_uint32(cold_start_ms, 0, "Slower for this long after the start.");
DEFINE_double(cold_start_factor, 5, "Factor on the first service times.");
DEFINE_string(health_path, "/health", "Path of the health endpoint.");
DEFINE_uint32(load_lag_ms, 0, "The load endpoint lags by this much.");
DEFINE_int32(false_load, -1, "Reported instead of the true number in flight.");
DEFINE_string(false_health, "", "up or down: reported instead of the truth.");
DEFINE_double(requests_per_second, -1, "Limit that responses state, if any.");
DEFINE_bool(allow_crash, false, "Abort on the header x-stand-in-crash: yes.");
DEFINE_string(egress, "", "Egress address of the daemon, for --calls.");
DEFINE_string(calls, "", "Calls by path: \"/orders=GET /stock/item,...\".");
DEFINE_uint32(call_tries, 1, "Tries of each of these calls.");
DEFINE_uint32(call_timeout_ms, 5000, "Longest wait for each of these calls.");
DEFINE_string(journal, "", "Execution journal file.");
DEFINE_uint32(grace_ms, 30000, "Longest drain after SIGTERM.");

namespace cranberryfold::stand_in {

namespace {

namespace asio = boost::asio;

constexpr int kExitInvalidInput = 2;
constexpr int kExitUnreachable = 5;
constexpr std::chrono::milliseconds kIdleCheckInterval{ 20 };

core::result<void>
CheckFlags()
{
  auto const problem = [](char const* aFlag, char const* aExpected) {
    return core::Fail(
      { core::error_code::kInvalidInput, "read_flags", aFlag, aExpected });
  };
  if (FLAGS_slots == 0) {
    return problem("--slots", "expected at least 1");
  }
  if (FLAGS_service_time_ms < 0 || FLAGS_service_time_spread < 0) {
    return problem("--service_time_ms", "expected no negative number");
  }
  if (!FLAGS_calls.empty() && FLAGS_egress.empty()) {
    return problem("--calls", "expected --egress with it");
  }
  if (!FLAGS_false_health.empty() && FLAGS_false_health != "up" &&
      FLAGS_false_health != "down") {
    return problem("--false_health", "expected up or down");
  }
  return {};
}

core::result<settings>
ReadFlags()
{
  BOOST_LEAF_CHECK(CheckFlags());
  settings read;
  BOOST_LEAF_ASSIGN(read.mListen, core::ParseAddress(FLAGS_listen));
  BOOST_LEAF_ASSIGN(read.mCalls, ParseCalls(FLAGS_calls));
  BOOST_LEAF_ASSIGN(read.mWhenFull, ParseFullBehaviour(FLAGS_when_full));
  if (!FLAGS_egress.empty()) {
    BOOST_LEAF_ASSIGN(read.mEgress, core::ParseAddress(FLAGS_egress));
  }
  if (FLAGS_false_load >= 0) {
    read.mFalseLoad = FLAGS_false_load;
  }
  if (FLAGS_requests_per_second >= 0) {
    read.mRequestsPerSecond = FLAGS_requests_per_second;
  }
  read.mInstance = FLAGS_instance;
  read.mService = FLAGS_service;
  read.mSlots = FLAGS_slots;
  read.mServiceTimeMilliseconds = FLAGS_service_time_ms;
  read.mServiceTimeSpread = FLAGS_service_time_spread;
  read.mSeed = FLAGS_seed;
  read.mStartDelayMilliseconds = FLAGS_start_delay_ms;
  read.mColdStartMilliseconds = FLAGS_cold_start_ms;
  read.mColdStartFactor = FLAGS_cold_start_factor;
  read.mHealthPath = FLAGS_health_path;
  read.mLoadLagMilliseconds = FLAGS_load_lag_ms;
  read.mFalseHealth = FLAGS_false_health;
  read.mAllowCrash = FLAGS_allow_crash;
  read.mCallTries = FLAGS_call_tries;
  read.mCallTimeoutMilliseconds = FLAGS_call_timeout_ms;
  read.mJournalFile = FLAGS_journal;
  return read;
}

int
ReservePorts()
{
  auto const reservation =
    core::Attempt([] { return port_reservation::Make(FLAGS_reserve_ports); });
  if (!reservation) {
    std::fprintf(stderr, "%s\n", core::FormatError(reservation.mError).c_str());
    return kExitUnreachable;
  }
  for (auto const port : reservation->Ports()) {
    std::printf("%u\n", port);
  }
  std::fflush(stdout);
  while (std::getchar() != EOF) {
  }
  return 0;
}

/// Waits for a signal, then for the running work.
asio::awaitable<void>
StopOnSignal(asio::io_context& aContext,
             service& aService,
             http::server& aServer)
{
  asio::signal_set signals(aContext, SIGINT, SIGTERM);
  co_await signals.async_wait(asio::use_awaitable);
  aService.Drain();
  auto const graceEnd = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(FLAGS_grace_ms);
  asio::steady_timer timer(aContext);
  while (!aService.IsIdle() && std::chrono::steady_clock::now() < graceEnd) {
    timer.expires_after(kIdleCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  aServer.Stop();
  // One more interval lets the last responses be written.
  timer.expires_after(kIdleCheckInterval);
  co_await timer.async_wait(asio::use_awaitable);
  aContext.stop();
}

int
Run(settings const& aSettings)
{
  asio::io_context context(1);
  service worker(context, aSettings);
  http::server server(
    context.get_executor(),
    [&worker](http::server_exchange& aExchange) -> asio::awaitable<void> {
      return worker.Handle(aExchange);
    });
  auto const listening =
    core::Attempt([&] { return server.Listen(aSettings.mListen); });
  if (!listening) {
    std::fprintf(stderr, "%s\n", core::FormatError(listening.mError).c_str());
    return kExitUnreachable;
  }
  // Scripts read the address here when the kernel chose the port.
  std::printf("listening=%s\n",
              core::FormatAddress(server.LocalAddress()).c_str());
  std::fflush(stdout);
  asio::co_spawn(
    context, StopOnSignal(context, worker, server), asio::detached);
  context.run();
  return 0;
}

}

int
RunMain(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("stands in for a back end of cranberryfold");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  core::InitializeLog(core::log_level::kInfo);
  if (FLAGS_reserve_ports > 0) {
    return ReservePorts();
  }
  auto const settings = core::Attempt([] { return ReadFlags(); });
  if (!settings) {
    std::fprintf(stderr, "%s\n", core::FormatError(settings.mError).c_str());
    return kExitInvalidInput;
  }
  return Run(*settings);
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return cranberryfold::stand_in::RunMain(aArgumentCount, aArguments);
}
