#include "Commands.h"

#include <cstdlib>
#include <iostream>

#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_string(admin, "", "Admin addresses of daemons, separated by commas.");
DEFINE_bool(json, false, "Print JSON.");
DEFINE_bool(current, false, "tables get: only what a majority confirms.");
DEFINE_int64(base_revision, -1, "tables apply: revision that was edited.");
DEFINE_string(edit_id, "", "Id of the edit; send it again to be sure.");
DEFINE_string(route, "", "explain: name of the route.");
DEFINE_uint32(timeout_ms, 5000, "Longest wait for one daemon.");
DEFINE_uint32(total_timeout_ms, 20000, "Longest wait for an answer.");

namespace cranberryfold::client {

namespace {

core::result<std::vector<core::address>>
ParseAddresses(std::string_view aText)
{
  std::vector<core::address> addresses;
  while (!aText.empty()) {
    auto const end = std::min(aText.find(','), aText.size());
    BOOST_LEAF_AUTO(address, core::ParseAddress(aText.substr(0, end)));
    addresses.push_back(std::move(address));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return addresses;
}

core::result<options>
ReadFlags()
{
  auto const* const fromEnvironment = std::getenv("CRANBERRYFOLD_ADMIN");
  std::string admin = FLAGS_admin;
  if (admin.empty() && fromEnvironment != nullptr) {
    admin = fromEnvironment;
  }
  options read;
  BOOST_LEAF_ASSIGN(read.mAdmin, ParseAddresses(admin));
  read.mLimits.mRequest = std::chrono::milliseconds(FLAGS_timeout_ms);
  read.mLimits.mTotal = std::chrono::milliseconds(FLAGS_total_timeout_ms);
  read.mJson = FLAGS_json;
  read.mCurrent = FLAGS_current;
  if (FLAGS_base_revision >= 0) {
    read.mBaseRevision = FLAGS_base_revision;
  }
  read.mEditId = FLAGS_edit_id;
  read.mRoute = FLAGS_route;
  read.mShowsProgress = isatty(STDERR_FILENO) == 1;
  return read;
}

}

int
RunMain(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage(UsageText());
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  auto const read = core::Attempt([] { return ReadFlags(); });
  if (!read) {
    std::cerr << core::FormatError(read.mError) << "\n";
    return static_cast<int>(exit_code::kInvalidInput);
  }
  std::vector<std::string> const words(aArguments + 1,
                                       aArguments + aArgumentCount);
  return static_cast<int>(RunCommand(words, *read, std::cout, std::cerr));
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return cranberryfold::client::RunMain(aArgumentCount, aArguments);
}
