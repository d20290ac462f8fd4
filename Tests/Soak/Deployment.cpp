#include "Soak/Deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <sstream>

namespace cranberryfold::soak {

namespace {

enum port_offset : std::size_t
{
  kCallerPort,
  kEgressPort,
  kAdminPort,
  kPeerPort,
  kUpstreamPort,
  kPortsPerMember,
};

constexpr std::array<char const*, 3> kServices{ kReadService,
                                                kOrderService,
                                                "stock" };

/// What a full disk keeps of a new file.
constexpr std::uint64_t kBytesOfNewFile = 10;

std::string
Quoted(std::string const& aText)
{
  return "\"" + aText + "\"";
}

std::string
Quoted(core::address const& aAddress)
{
  return Quoted(core::FormatAddress(aAddress));
}

/// Returns the value of a field of a journal line.
std::string
FieldOf(std::string const& aLine, std::string const& aName)
{
  auto const key = " " + aName + "=";
  auto const start = aLine.find(key);
  if (start == std::string::npos) {
    return {};
  }
  auto const value = start + key.size();
  return aLine.substr(value, aLine.find(' ', value) - value);
}

}

deployment::deployment(std::size_t aInstances)
  : mPorts(test_support::ReservePorts(aInstances * kPortsPerMember))
  , mMembers(aInstances)
{
  for (std::size_t index = 0; index < aInstances; ++index) {
    // Every zone gets every service.
    auto const service = (index / kZones + index) % kServices.size();
    mMembers[index].mService = kServices.at(service);
    StartUpstream(index);
    StartDaemon(index);
  }
}

std::string
deployment::NameOf(std::size_t aMember)
{
  return "instance-" + std::to_string(aMember);
}

core::address
deployment::AddressOf(std::size_t aMember, std::size_t aOffset) const
{
  return { "127.0.0.1",
           mPorts.Ports().at(aMember * kPortsPerMember + aOffset) };
}

core::address
deployment::Caller(std::size_t aMember) const
{
  return AddressOf(aMember, kCallerPort);
}

core::address
deployment::Admin(std::size_t aMember) const
{
  return AddressOf(aMember, kAdminPort);
}

std::string const&
deployment::ServiceOf(std::size_t aMember) const
{
  return mMembers.at(aMember).mService;
}

std::size_t
deployment::CountOf(std::string const& aService) const
{
  return static_cast<std::size_t>(
    std::count_if(mMembers.begin(), mMembers.end(), [&](auto const& aMember) {
      return aMember.mService == aService && !aMember.mIsRemoved;
    }));
}

std::string
deployment::SettingsOf(std::size_t aMember) const
{
  auto const& service = mMembers.at(aMember).mService;
  std::string seeds;
  std::string group;
  for (std::size_t replica = 0; replica < kZones; ++replica) {
    auto const separator = replica == 0 ? "" : ", ";
    auto const address = Quoted(AddressOf(replica, kPeerPort));
    seeds += separator + address;
    group += separator + ("{ \"instance\": " + Quoted(NameOf(replica)) +
                          ", \"peer_address\": " + address + " }");
  }
  std::string text = "{ \"instance\": " + Quoted(NameOf(aMember));
  text += ", \"zone\": " + Quoted("zone-" + std::to_string(aMember % kZones));
  text += ", \"region\": \"region\"";
  text += ", \"caller_address\": " + Quoted(Caller(aMember));
  text += ", \"egress_address\": " + Quoted(AddressOf(aMember, kEgressPort));
  text += ", \"admin_address\": " + Quoted(Admin(aMember));
  text += ", \"peer_address\": " + Quoted(AddressOf(aMember, kPeerPort));
  text += ", \"seeds\": [" + seeds + "]";
  text += ", \"claims\": false, \"drain_grace_ms\": 6000";
  text += ", \"upstream\": { \"address\": " +
          Quoted(AddressOf(aMember, kUpstreamPort));
  text += ", \"service\": " + Quoted(service);
  text += ", \"slots\": 20, \"connections\": 64 }";
  if (IsReplica(aMember)) {
    text +=
      ", \"control\": { \"data_folder\": " + Quoted(DataFolderOf(aMember));
    text += ", \"initial_group\": [" + group + "] }";
  }
  return text + " }";
}

std::string
deployment::JournalOf(std::size_t aMember) const
{
  auto const& service = mMembers.at(aMember).mService;
  return mFolder.File(NameOf(aMember) + "-" + service + ".journal");
}

std::string
deployment::DataFolderOf(std::size_t aMember) const
{
  return mFolder.File("data-" + std::to_string(aMember));
}

void
deployment::LeaveOnDisk(std::size_t aMember, std::uint64_t aBytes)
{
  std::error_code code;
  auto const size =
    std::filesystem::file_size(DataFolderOf(aMember) + "/journal", code);
  mMembers.at(aMember).mDaemon->LimitFileSize((code ? 0 : size) + aBytes);
}

void
deployment::SetDiskFull(std::size_t aMember, bool aIsFull)
{
  mMembers.at(aMember).mDaemon->LimitFileSize(
    aIsFull ? std::optional(kBytesOfNewFile) : std::nullopt);
}

void
deployment::StartDaemon(std::size_t aMember)
{
  auto& started = mMembers.at(aMember);
  auto const settings = mFolder.File(NameOf(aMember) + ".json");
  test_support::WriteFile(settings, SettingsOf(aMember));
  std::vector<std::string> flags{ "--settings", settings };
  if (IsReplica(aMember) && !started.mHasStarted) {
    std::filesystem::create_directory(DataFolderOf(aMember));
    flags.emplace_back("--bootstrap_control");
  }
  started.mHasStarted = true;
  started.mDaemon.reset();
  started.mLogBytes = LogBytesOf(aMember);
  started.mDaemon.emplace("cranberryfold_daemon",
                          flags,
                          mFolder.File(NameOf(aMember) + ".log"),
                          test_support::output_path::kPipe);
}

std::uintmax_t
deployment::LogBytesOf(std::size_t aMember) const
{
  std::error_code code;
  auto const size =
    std::filesystem::file_size(mFolder.File(NameOf(aMember) + ".log"), code);
  return code ? 0 : size;
}

bool
deployment::HasBegun(std::size_t aMember) const
{
  return LogBytesOf(aMember) > mMembers.at(aMember).mLogBytes;
}

void
deployment::SignalDaemon(std::size_t aMember, int aSignal)
{
  mMembers.at(aMember).mDaemon->Signal(aSignal);
}

std::optional<int>
deployment::DaemonStatus(std::size_t aMember)
{
  return mMembers.at(aMember).mDaemon->ExitStatus();
}

void
deployment::StartUpstream(std::size_t aMember)
{
  auto& started = mMembers.at(aMember);
  auto const journal = JournalOf(aMember);
  auto const [first, last] = mJournals.equal_range(started.mService);
  bool const isListed = std::any_of(
    first, last, [&](auto const& aEntry) { return aEntry.second == journal; });
  if (!isListed) {
    mJournals.emplace(started.mService, journal);
  }
  std::vector<std::string> const flags{
    "--listen=" + core::FormatAddress(AddressOf(aMember, kUpstreamPort)),
    "--instance=" + NameOf(aMember),
    "--service=" + started.mService,
    "--slots=20",
    "--journal=" + journal
  };
  started.mUpstream.reset();
  started.mUpstream.emplace("stand_in_upstream",
                            flags,
                            mFolder.File(NameOf(aMember) + ".upstream.log"));
}

void
deployment::KillUpstream(std::size_t aMember)
{
  mMembers.at(aMember).mUpstream.reset();
}

void
deployment::Remove(std::size_t aMember)
{
  auto& removed = mMembers.at(aMember);
  removed.mIsRemoved = true;
  removed.mDaemon.reset();
  removed.mUpstream.reset();
}

void
deployment::StartAs(std::size_t aMember, std::string const& aService)
{
  auto& started = mMembers.at(aMember);
  started.mService = aService;
  started.mIsRemoved = false;
  StartUpstream(aMember);
  StartDaemon(aMember);
}

std::vector<run_record>
deployment::Runs() const
{
  std::vector<run_record> runs;
  for (auto const& [service, file] : mJournals) {
    std::istringstream lines(test_support::ReadFile(file));
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with("event=start ")) {
        runs.push_back({ FieldOf(line, "path"), service });
      }
    }
  }
  return runs;
}

std::string
deployment::DaemonLog(std::size_t aMember) const
{
  return test_support::ReadFile(mFolder.File(NameOf(aMember) + ".log"));
}

}
