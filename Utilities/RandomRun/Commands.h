#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

/// The subcommands of random_run. Each lives in a file of its own and registers
/// itself with a static command_registration.
namespace cranberryfold::random_run {

/// Options that all subcommands share.
struct run_options
{
  std::uint64_t mSeed = 1;
  std::uint64_t mSteps = 10000;
  /// Name of the mechanism that is switched off; empty for none.
  std::string mWithout;

  bool operator==(run_options const&) const = default;
};

/// Runs one subcommand and returns the exit code: 0 when all invariants held,
/// 1 when one was violated, 2 on bad options.
using command_function = std::function<int(run_options const&)>;

struct command_registration
{
  command_registration(std::string_view aName,
                       std::string_view aHelp,
                       command_function aRun);
};

}
