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

/// Start time of this process in milliseconds since 1970; later lives have
/// higher incarnations.
core::incarnation
StartIncarnation();

/// Everything that runs on the control thread: membership, dissemination of
/// the tables and, on a control replica, consensus. All calls come from the
/// control thread.
class control_plane
{
public:
  /// Called with each new view of tables and members.
  using view_function =
    std::function<void(std::shared_ptr<routing_view const>)>;

  control_plane(asio::io_context& aContext,
                daemon_settings const& aSettings,
                metrics& aMetrics,
                view_function aOnView);

  /// Opens sockets and journal. Fails with kUnreachable, kStorage or
  /// kInvalidInput.
  core::result<void> Start(bool aBootstrap);
  void Stop();

  /// Takes an envelope that came by TCP.
  void OnStreamEnvelope(std::string_view aBytes);
  /// Announces the state of the own instance and the slots of its upstream.
  void SetOwnState(membership::lifecycle_state aState,
                   std::optional<std::uint32_t> aSlots);
  void SetSeeds(std::vector<core::address> aSeeds);
  /// Peers that sent work lately; a drain is pushed to them.
  void NoteSenders(std::vector<core::address> aSenders);
  /// Tells the control replicas in which shards the own holder votes although
  /// the claim map still has earlier groups for them.
  void ReportActivations(std::vector<traffic::shard_activated> aShards);

  std::vector<membership::member> Members() const;
  membership::configuration_distributor const& Configuration() const
  {
    return mDistributor;
  }
  bool HasJoined() const { return mDirectory.HasJoined(); }
  /// Operators' listener of the control leader, when it is another instance and
  /// known here.
  std::optional<core::address> LeaderAdminAddress() const;
  /// Null unless the daemon is a control replica.
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
  /// Writes a line for each member whose state is another than before.
  void LogMemberChanges();
  /// Live instances that can be control replicas, by their peer addresses.
  std::map<core::instance_id, core::address> LiveReplicas() const;
  /// On the leader: keeps the control group at full strength.
  void MaintainGroup();
  /// Proposes an edit of the system itself; one at a time.
  void ProposeSystemEdit(std::string const& aName, tables::change aChange);
  /// On the leader: proposes a claim map that fits the members.
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
  /// Made from the tables of mIndexRevision.
  std::shared_ptr<tables::route_index const> mIndex;
  core::revision mIndexRevision;
  /// Since when this replica has led without a break.
  std::optional<core::time_point> mLeadsSince;
  bool mIsStopped = false;
};

}
