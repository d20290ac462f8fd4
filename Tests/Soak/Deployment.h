#pragma once

#include "Soak/Checks.h"
#include "Support/Process.h"

#include <map>

/// The processes of a soak: daemons in three zones, each beside a stand-in
/// upstream, the first daemon of each zone being a control replica.
namespace cranberryfold::soak {

inline constexpr std::size_t kZones = 3;

class deployment
{
public:
  /// Starts aInstances daemons and upstreams. Throws std::runtime_error if no
  /// ports are free.
  explicit deployment(std::size_t aInstances);

  std::size_t Size() const { return mMembers.size(); }
  static std::string NameOf(std::size_t aMember);
  bool IsReplica(std::size_t aMember) const { return aMember < kZones; }
  core::address Caller(std::size_t aMember) const;
  core::address Admin(std::size_t aMember) const;
  std::string const& ServiceOf(std::size_t aMember) const;
  /// Returns the number of members of a service that are not taken away.
  std::size_t CountOf(std::string const& aService) const;

  void StartDaemon(std::size_t aMember);
  void SignalDaemon(std::size_t aMember, int aSignal);
  /// Returns whether a daemon has written a line since it was started. Before,
  /// its program may not have begun, and a signal ends any process.
  bool HasBegun(std::size_t aMember) const;
  /// Returns the exit status of a daemon that has ended.
  std::optional<int> DaemonStatus(std::size_t aMember);

  void StartUpstream(std::size_t aMember);
  void KillUpstream(std::size_t aMember);

  /// Makes the disk of a replica take aBytes more in its journal.
  void LeaveOnDisk(std::size_t aMember, std::uint64_t aBytes);
  /// Makes the disk of a replica full, so that also a new file keeps only some
  /// bytes, or ends that.
  void SetDiskFull(std::size_t aMember, bool aIsFull);

  /// Kills the daemon and the upstream of a member.
  void Remove(std::size_t aMember);
  /// Starts the member's daemon and upstream again, as another service.
  void StartAs(std::size_t aMember, std::string const& aService);

  /// Returns the runs in the journals of all upstreams.
  std::vector<run_record> Runs() const;
  /// Returns the log of a daemon.
  std::string DaemonLog(std::size_t aMember) const;

private:
  struct member
  {
    std::string mService;
    std::optional<test_support::child_process> mDaemon;
    std::optional<test_support::child_process> mUpstream;
    bool mIsRemoved = false;
    bool mHasStarted = false;
    /// Size of the log at the last start of the daemon.
    std::uintmax_t mLogBytes = 0;
  };

  core::address AddressOf(std::size_t aMember, std::size_t aOffset) const;
  std::string SettingsOf(std::size_t aMember) const;
  std::string JournalOf(std::size_t aMember) const;
  std::string DataFolderOf(std::size_t aMember) const;
  std::uintmax_t LogBytesOf(std::size_t aMember) const;

  test_support::temporary_folder mFolder;
  stand_in::port_reservation mPorts;
  std::vector<member> mMembers;
  /// Journal files by the service that wrote them.
  std::multimap<std::string, std::string> mJournals;
};

}
