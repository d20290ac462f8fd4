#include "Commands.h"

#include <cstdio>
#include <map>

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "Seed of the random run.");
DEFINE_uint64(steps, 10000, "Number of random steps.");
DEFINE_string(without, "", "Mechanism to switch off.");

namespace cranberryfold::random_run {

namespace {

struct command
{
  std::string mHelp;
  command_function mRun;
};

std::map<std::string, command, std::less<>>&
Commands()
{
  static std::map<std::string, command, std::less<>> commands;
  return commands;
}

int
PrintUsage()
{
  std::fprintf(stderr, "usage: random_run COMMAND [options]; commands:\n");
  for (auto const& [name, entry] : Commands()) {
    std::fprintf(stderr, "  %-12s %s\n", name.c_str(), entry.mHelp.c_str());
  }
  return 2;
}

}

command_registration::command_registration(std::string_view aName,
                                           std::string_view aHelp,
                                           command_function aRun)
{
  Commands()[std::string(aName)] = { std::string(aHelp), std::move(aRun) };
}

int
RunMain(int aArgumentCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  if (aArgumentCount != 2) {
    return PrintUsage();
  }
  auto const found = Commands().find(std::string_view(aArguments[1]));
  if (found == Commands().end()) {
    return PrintUsage();
  }
  return found->second.mRun({ FLAGS_seed, FLAGS_steps, FLAGS_without });
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return cranberryfold::random_run::RunMain(aArgumentCount, aArguments);
}
