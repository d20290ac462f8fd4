#include "Compare.h"
#include "LibCore/JsonReader.h"
#include "Output.h"
#include "Runner.h"

#include <fstream>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "JSON file with the load; replaces the flags.");
DEFINE_string(targets, "", "Caller addresses of daemons, with commas.");
DEFINE_string(load, "", "\"order=10 POST /orders,...\": rate by class.");
DEFINE_uint32(seconds, 10, "Length of the run.");
DEFINE_uint64(seed, 1, "Seed of arrival times and choices.");
DEFINE_uint32(retries, 0, "Tries of a caller after a failure.");
DEFINE_uint32(backoff_ms, 100, "Before the first retry; doubles each time.");
DEFINE_uint32(timeout_ms, 10000, "Longest wait for one try.");
DEFINE_string(key_prefix, "", "Prefix of idempotency keys, such as zone-1/.");
DEFINE_uint64(body_bytes, 0, "Body size of POST and PUT requests.");
DEFINE_uint32(surge_start_s, 0, "Start of the surge.");
DEFINE_uint32(surge_length_s, 0, "Length of the surge; 0 for none.");
DEFINE_uint32(surge_factor, 1, "Factor on all rates in the surge.");
DEFINE_string(journals, "", "Execution journals of stand-ins, with commas.");
DEFINE_string(json_out, "", "File for the report as JSON.");
DEFINE_string(csv_out, "", "File for the counts by second.");
DEFINE_string(plot_out, "", "File for a gnuplot script; needs --csv_out.");
DEFINE_bool(json, false, "Print the report as JSON.");
DEFINE_string(compare_direct, "", "Compare latency with this upstream.");
DEFINE_uint64(requests, 2000, "Requests each way with --compare_direct.");

namespace cranberryfold::load_tool {

namespace {

namespace asio = boost::asio;

constexpr int kExitInvalidInput = 2;
constexpr int kExitFailed = 1;

core::result<load_settings>
ReadInput()
{
  if (!FLAGS_settings.empty()) {
    BOOST_LEAF_AUTO(text, core::ReadTextFile(FLAGS_settings));
    return ReadSettings(text, FLAGS_settings);
  }
  load_settings read;
  BOOST_LEAF_ASSIGN(read.mTargets, ParseTargets(FLAGS_targets));
  BOOST_LEAF_ASSIGN(read.mClasses, ParseClasses(FLAGS_load));
  for (auto& row : read.mClasses) {
    row.mBodyBytes = row.mMethod == "GET" ? 0 : FLAGS_body_bytes;
  }
  read.mSeconds = std::max(FLAGS_seconds, 1U);
  read.mSeed = FLAGS_seed;
  read.mRetries = FLAGS_retries;
  read.mBackoffMilliseconds = FLAGS_backoff_ms;
  read.mTimeoutMilliseconds = FLAGS_timeout_ms;
  read.mKeyPrefix = FLAGS_key_prefix;
  read.mSurge = { FLAGS_surge_start_s,
                  FLAGS_surge_length_s,
                  FLAGS_surge_factor };
  BOOST_LEAF_CHECK(CheckSettings(read));
  return read;
}

std::vector<std::string>
JournalFiles()
{
  std::vector<std::string> files;
  std::string_view rest = FLAGS_journals;
  while (!rest.empty()) {
    auto const end = std::min(rest.find(','), rest.size());
    files.emplace_back(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return files;
}

int
Report(core::error const& aError)
{
  std::cerr << core::FormatError(aError) << "\n";
  return aError.mCode == core::error_code::kInvalidInput ? kExitInvalidInput
                                                         : kExitFailed;
}

bool
WriteFiles(load_settings const& aSettings,
           load_report const& aReport,
           boost::json::value const& aJson)
{
  bool isWritten = true;
  auto const write = [&isWritten](std::string const& aFile, auto aWrite) {
    if (!aFile.empty()) {
      std::ofstream file(aFile);
      aWrite(file);
      isWritten = file.good() && isWritten;
    }
  };
  write(FLAGS_json_out, [&](std::ostream& aOut) {
    aOut << boost::json::serialize(aJson) << "\n";
  });
  write(FLAGS_csv_out,
        [&](std::ostream& aOut) { WriteCsv(aOut, aSettings, aReport); });
  write(FLAGS_plot_out,
        [&](std::ostream& aOut) { WritePlot(aOut, aSettings, FLAGS_csv_out); });
  return isWritten;
}

int
RunLoad(load_settings const& aSettings)
{
  asio::io_context context(1);
  load_runner runner(context, aSettings);
  asio::co_spawn(context, runner.Run(), asio::detached);
  context.run();
  std::optional<journal_totals> journals;
  if (auto const files = JournalFiles(); !files.empty()) {
    auto read = core::Attempt([&] { return ReadJournals(files); });
    if (!read) {
      return Report(read.mError);
    }
    journals = *read;
  }
  auto const json = ReportJson(aSettings, runner.Report(), journals);
  if (FLAGS_json) {
    std::cout << boost::json::serialize(json) << "\n";
  } else {
    PrintReport(std::cout, json);
  }
  if (!WriteFiles(aSettings, runner.Report(), json)) {
    return Report({ core::error_code::kStorage,
                    "write_report",
                    "",
                    "an output file could not be written" });
  }
  return 0;
}

asio::awaitable<void>
StoreComparison(asio::awaitable<latency_comparison> aComparison,
                latency_comparison& aOut)
{
  aOut = co_await std::move(aComparison);
}

int
RunComparison(load_settings const& aSettings)
{
  auto const direct =
    core::Attempt([] { return core::ParseAddress(FLAGS_compare_direct); });
  if (!direct) {
    return Report(direct.mError);
  }
  asio::io_context context(1);
  latency_comparison found;
  asio::co_spawn(context,
                 StoreComparison(CompareWithDirect(context.get_executor(),
                                                   aSettings,
                                                   *direct,
                                                   FLAGS_requests),
                                 found),
                 asio::detached);
  context.run();
  std::cout << "requests=" << found.mRequests << " failed=" << found.mFailed
            << "\nmesh   median_ms=" << found.mMeshMedian
            << " p99_ms=" << found.mMeshP99
            << "\ndirect median_ms=" << found.mDirectMedian
            << " p99_ms=" << found.mDirectP99
            << "\nadded  median_ms=" << found.mMeshMedian - found.mDirectMedian
            << " p99_ms=" << found.mMeshP99 - found.mDirectP99 << "\n";
  return found.mFailed == 0 ? 0 : kExitFailed;
}

}

int
RunMain(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("sends load through daemons and reports outcomes");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  auto const settings = core::Attempt([] { return ReadInput(); });
  if (!settings) {
    return Report(settings.mError);
  }
  return FLAGS_compare_direct.empty() ? RunLoad(*settings)
                                      : RunComparison(*settings);
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return cranberryfold::load_tool::RunMain(aArgumentCount, aArguments);
}
