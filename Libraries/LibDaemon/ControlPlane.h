#pragma once

#include "LibCore/TimerService.h"
#include "LibDaemon/ClaimMapPlanner.h"
#include "LibDaemon/ControlTransport.h"
#include "LibDaemon/ReplicaHost.h"
#include "LibDaemon/RoutingView.h"
#include "LibMembership/ConfigurationDistributor.h"
#include "LibMembership/MemberDirectory.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace cranberryfold::daemon {

/// Returns the start time of this process in milliseconds since 1970. A restart
/// has a higher incarnation.
core::incarnation
ProcessIncarnation();

/// Membership, dissemination of the tables and, on a control replica,
/// consensus. Must be called on the control thread only.
class control_plane
{
public:
  /// Called with each new snapshot of tables and members.
  using view_function =
    std::function<void(std::shared_ptr<routing_view const>)>;

  control_plane(asio::io_context& aContext,
                daemon_settings const& aSettings,
                metrics& aMetrics,
                view_function aOnView);

  /// Opens the sockets and the journal. aBootstrap starts a new control group
  /// on an empty data folder. Fails with kUnreachable, kStorage or
  /// kInvalidInput.
  core::result<void> Start(bool aBootstrap);
  void Stop();

  /// Handles an encoded envelope that was received over TCP.
  void OnStreamEnvelope(std::string_view aBytes);
  /// Announces the state of this instance and the slots of its upstream.
  /// Without aSlots, the announced slots stay the same.
  void SetOwnState(membership::lifecycle_state aState,
                   std::optional<std::uint32_t> aSlots);
  /// Makes messages to aPeer use a new connection; see link_pool::Renew().
  void RenewLink(core::address const& aPeer);
  void SetSeeds(std::vector<core::address> aSeeds);
  /// Records the peers that sent requests recently. A drain is pushed to them.
  void RecordSenders(std::vector<core::address> aSenders);
  /// Reports to the control replicas in which shards this daemon's holder votes
  /// while the claim map still lists earlier groups for them.
  void ReportActivations(std::vector<traffic::shard_activated> aShards);

  std::vector<membership::member> Members() const;
  membership::configuration_distributor const& Configuration() const
  {
    return mDistributor;
  }
  bool HasJoined() const { return mDirectory.HasJoined(); }
  /// Returns the operators' listener of the control leader, or std::nullopt if
  /// the leader or its address is unknown or if this instance leads.
  std::optional<core::address> LeaderAdminAddress() const;
  /// Returns null unless the daemon is a control replica.
  replica_host* Replica() const { return mReplica.get(); }
  core::timer_service& Timers() { return mTimers; }

private:
  task<void> RunTimers();
  void OnEnvelope(control_envelope aEnvelope);
  void HandleDirectory(membership::directory_event const& aEvent);
  void HandleDistributor(membership::distributor_event const& aEvent);
  void Send(membership::send_message const& aAction);
  void SendToReplica(core::instance_id const& aTo,
                     control::message const& aMessage);
  void PublishView();
  void OnMembersChanged();
  /// Writes a log line for each member whose state has changed.
  void LogMemberChanges();
  /// Returns the live instances that can be control replicas, with their peer
  /// addresses.
  std::map<core::instance_id, core::address> LiveReplicas() const;
  /// On the leader, proposes the next change that the control group needs.
  void MaintainGroup();
  /// Proposes an edit that no operator requested. Does nothing while an earlier
  /// one is pending.
  void ProposeSystemEdit(std::string const& aName, tables::change aChange);
  /// On the leader, proposes a claim map that matches the current members.
  void MaintainClaimMap();
  std::vector<traffic::claim_member> ClaimMembers() const;

  asio::io_context& mContext;
  daemon_settings const& mSettings;
  metrics& mMetrics;
  view_function mOnView;
  core::timer_service mTimers;
  asio::steady_timer mTimer;
  control_transport mTransport;
  membership::member_directory mDirectory;
  struct logged_state
  {
    membership::member_state mState;
    membership::lifecycle_state mLifecycle;

    bool operator==(logged_state const&) const = default;
  };

  std::map<core::instance_id, logged_state> mLoggedStates;
  membership::configuration_distributor mDistributor;
  std::unique_ptr<replica_host> mReplica;
  claim_map_planner mClaimMapPlanner;
  bool mIsSystemEditPending = false;
  /// Built from the tables of revision mRouteIndexRevision.
  std::shared_ptr<tables::route_index const> mRouteIndex;
  core::revision mRouteIndexRevision;
  /// Start of this replica's current uninterrupted leadership.
  std::optional<core::time_point> mLeaderSince;
  bool mIsStopped = false;
};

}
