#pragma once

#include "AdminClient.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

/// The commands of the operators' client.
namespace cranberryfold::client {

enum class exit_code
{
  kSuccess = 0,
  kInvalidInput = 2,
  kConflict = 3,
  kNoMajority = 4,
  kUnreachable = 5,
};

struct options
{
  std::vector<core::address> mAdmin;
  admin_limits mLimits;
  bool mJson = false;
  bool mCurrent = false;
  std::optional<std::uint64_t> mBaseRevision;
  std::string mEditId;
  std::string mRoute;
  /// Shows progress on a terminal when an answer takes longer than 2 s.
  bool mShowsProgress = false;
};

/// Runs the command in aWords, such as { "tables", "get" }. Results go to aOut,
/// errors and notes to aNotes.
exit_code
RunCommand(std::vector<std::string> const& aWords,
           options const& aOptions,
           std::ostream& aOut,
           std::ostream& aNotes);

/// Lines on all commands, for --help and wrong usage.
std::string
UsageText();

}
