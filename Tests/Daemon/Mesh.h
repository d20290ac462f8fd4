#pragma once

#include "LibTables/Tables.h"
#include "Support/Process.h"

#include <map>

/// Three daemons in zone z1 with stand-in upstreams: "order", which is the only
/// control replica and whose upstream calls stock for /orders; "stock"; and
/// "spare", which the zone needs to form a claim group.
namespace cranberryfold::test_support {

class mesh
{
public:
  /// Starts all processes, applies the tables and waits until the order and
  /// stock daemons have installed them. aStandInFlags are appended to the flags
  /// of the stock upstream. Throws std::runtime_error with the ends of the
  /// processes' outputs after the timeout of WaitUntil().
  explicit mesh(std::vector<std::string> const& aStandInFlags = {});

  core::address Caller(std::string const& aInstance) const;
  core::address Egress(std::string const& aInstance) const;
  core::address Admin(std::string const& aInstance) const;
  core::address Peer(std::string const& aInstance) const;
  core::address UpstreamAddress(std::string const& aInstance) const;

  /// Starts the daemon of an instance again. It must have ended.
  void RestartDaemon(std::string const& aInstance);

  child_process& Daemon(std::string const& aInstance);
  child_process& Upstream(std::string const& aInstance);

  /// Returns the execution journal of an upstream.
  std::string Journal(std::string const& aInstance) const;

  /// Returns whether the tables of an instance's daemon have this pool. The
  /// daemons' own edits take revisions too, which therefore tell less.
  bool HasPool(std::string const& aInstance, std::string const& aPool) const;

  /// Changes the limits for callers and waits until the daemon of aInstance
  /// has them. Returns false after the timeout of WaitUntil().
  bool SetLimits(std::string const& aInstance,
                 tables::caller_limits const& aLimits) const;

  /// Waits until order sees stock as serving and stock has installed the
  /// tables. Returns false after the timeout of WaitUntil().
  bool WaitForStock() const;

private:
  struct member
  {
    std::size_t mFirstPort = 0;
    std::optional<child_process> mUpstream;
    std::optional<child_process> mDaemon;
  };

  core::address AddressOf(std::string const& aInstance,
                          std::size_t aOffset) const;
  void StartMember(std::string const& aInstance,
                   std::vector<std::string> aStandInFlags);
  std::string SettingsOf(std::string const& aInstance) const;
  void ApplyTables() const;
  /// The end of what each process has printed.
  std::string Outputs() const;

  temporary_folder mFolder;
  stand_in::port_reservation mPorts;
  std::map<std::string, member> mMembers;
};

}
