#pragma once

#include "FakeNetwork.h"

#include "LibMembership/ConfigurationDistributor.h"
#include "LibMembership/MemberDirectory.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Many daemons with their membership and configuration objects on virtual
/// time and a fake network. Messages travel in their encoded form.
namespace cranberryfold::random_run {

struct fleet_settings
{
  std::size_t mDaemons = 36;
  std::size_t mZones = 6;
  std::size_t mRegions = 2;
  std::size_t mSeedsPerZone = 2;
  std::size_t mTableRows = 10;
  std::uint64_t mSeed = 1;
  membership::directory_mechanisms mMechanisms;
  bool mAntiEntropy = true;
  bool mPush = true;
};

enum class link_kind
{
  kZone,
  kRegion,
  kCrossRegion,
};

inline constexpr std::size_t kLinkKindCount = 3;

/// Traffic of one daemon in bytes, with the overhead of IP and UDP or TCP.
struct link_traffic
{
  std::array<std::uint64_t, kLinkKindCount> mSent{};
  std::array<std::uint64_t, kLinkKindCount> mReceived{};

  std::uint64_t Total() const;
  bool operator==(link_traffic const&) const = default;
};

struct packet
{
  std::string mBytes;
  bool mIsStream = false;
};

struct fleet_node
{
  membership::announcement mFirst;
  std::size_t mZone = 0;
  std::size_t mRegion = 0;
  std::optional<membership::member_directory> mDirectory;
  std::optional<membership::configuration_distributor> mDistributor;
  bool mFrozen = false;
  std::vector<packet> mHeld;
  core::time_point mStarted;
  /// Last start, freeze, thaw, cut or drain of this daemon.
  core::time_point mDisturbed;
  std::uint64_t mIncarnation = 0;
  core::revision mInstalled;
  core::time_point mInstalledAt;
  link_traffic mTraffic;
  std::uint64_t mProcessorMicroseconds = 0;

  bool IsUp() const { return mDirectory.has_value(); }
  bool IsRunning() const { return IsUp() && !mFrozen; }
};

class fleet
{
public:
  explicit fleet(fleet_settings const& aSettings);

  core::time_point Now() const { return mNow; }
  std::vector<fleet_node>& Nodes() { return mNodes; }
  std::vector<fleet_node> const& Nodes() const { return mNodes; }
  std::size_t ZoneCount() const { return mSettings.mZones; }
  core::random_source& Random() { return mRandom; }
  fake_network<std::size_t, packet>& Network() { return mNetwork; }
  fake_network<std::size_t, packet> const& Network() const { return mNetwork; }

  /// Advances virtual time in steps of a millisecond.
  void Run(core::duration aTime);

  void Start(std::size_t aNode);
  void Kill(std::size_t aNode);
  void Freeze(std::size_t aNode);
  void Thaw(std::size_t aNode);
  void SetLifecycle(std::size_t aNode, membership::lifecycle_state aState);
  /// Tells a daemon that another one has sent it work.
  void NoteWork(std::size_t aFrom, std::size_t aTo);

  void SetDatagramFaults(network_faults const& aFaults);
  /// Cuts one direction between two zones.
  void CutZones(std::size_t aFrom, std::size_t aTo);
  void HealZones() { mZoneCuts.clear(); }
  bool AreZonesCut(std::size_t aFrom, std::size_t aTo) const
  {
    return mZoneCuts.contains({ aFrom, aTo });
  }
  bool HasZoneCuts() const { return !mZoneCuts.empty(); }

  /// Commits a random edit; the daemon of the control leader pushes it.
  void CommitEdit();
  /// Moves the control leader to a daemon that has to be running.
  void SetLeader(std::size_t aNode);
  std::size_t Leader() const { return mLeader; }
  core::revision NewestRevision() const { return mRevision; }

  /// Calls aFunction with a sentence when an invariant is violated.
  void OnViolation(std::function<void(std::string const&)> aFunction);
  void ResetCounters();

private:
  void TickDue();
  void Deliver();
  void Receive(std::size_t aNode, packet const& aPacket);
  void HandleDirectory(std::size_t aNode,
                       membership::directory_event const& aEvent);
  void HandleDistributor(std::size_t aNode,
                         membership::distributor_event const& aEvent);
  void Send(std::size_t aNode, membership::send_message const& aAction);
  void Installed(std::size_t aNode,
                 membership::tables_installed const& aAction);
  link_kind KindOf(std::size_t aFrom, std::size_t aTo) const;
  template<class Function>
  void Measured(std::size_t aNode, Function&& aFunction);

  fleet_settings mSettings;
  core::random_source mRandom;
  fake_network<std::size_t, packet> mNetwork;
  network_faults mDatagramFaults;
  core::time_point mNow;
  std::vector<fleet_node> mNodes;
  std::vector<core::address> mSeeds;
  std::map<core::address, std::size_t> mByAddress;
  std::set<std::pair<std::size_t, std::size_t>> mZoneCuts;
  std::size_t mLeader = 0;
  core::revision mRevision;
  std::shared_ptr<tables::table_set const> mTables;
  std::map<core::revision, std::uint64_t> mContents;
  std::function<void(std::string const&)> mOnViolation;
};

}
