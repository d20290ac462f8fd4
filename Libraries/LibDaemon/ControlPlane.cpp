#include "LibDaemon/ControlPlane.h"

#include "LibControl/Codec.h"
#include "LibControl/GroupChangePolicy.h"
#include "LibCore/Assert.h"
#include "LibCore/Hash.h"
#include "LibCore/Log.h"
#include "LibMembership/Codec.h"
#include "LibTraffic/ClaimCodec.h"

#include <algorithm>

namespace cranberryfold::daemon {

namespace {

using namespace std::chrono_literals;

constexpr core::duration kGaugeInterval = 1s;
constexpr core::duration kClaimMapCheckInterval = 1s;
/// A new leader waits for announcements, so that its first claim map does not
/// omit most members.
constexpr core::duration kFirstClaimMapDelay = 3s;
constexpr core::duration kGroupCheckInterval = 250ms;
/// Timers that are due within this time run in one wake-up, since each wake-up
/// costs processor time.
constexpr core::duration kTimerResolution = 5ms;

membership::announcement
OwnAnnouncement(daemon_settings const& aSettings)
{
  membership::announcement own;
  own.mInstance = aSettings.mInstance;
  own.mIncarnation = ProcessIncarnation();
  own.mProcessStart = ProcessIncarnation();
  own.mZone = aSettings.mZone;
  own.mRegion = aSettings.mRegion;
  own.mPeerAddress = aSettings.mPeerAddress;
  own.mAdminAddress = aSettings.mAdminAddress;
  own.mService = aSettings.mUpstream.mService;
  own.mSlots = aSettings.mUpstream.mSlots;
  own.mConnections = aSettings.mUpstream.mConnections;
  own.mControlReplica = aSettings.mControl.has_value();
  return own;
}

membership::directory_settings
DirectorySettings(daemon_settings const& aSettings)
{
  membership::directory_settings settings;
  settings.mOwn = OwnAnnouncement(aSettings);
  settings.mSeeds = aSettings.mSeeds;
  return settings;
}

membership::distributor_settings
DistributorSettings(daemon_settings const& aSettings)
{
  membership::distributor_settings settings;
  settings.mOwn = { aSettings.mInstance, aSettings.mPeerAddress };
  return settings;
}

hello
ControlHello(daemon_settings const& aSettings)
{
  return { kProtocolVersion,
           connection_kind::kControl,
           aSettings.mInstance,
           aSettings.mRegion,
           aSettings.mPeerAddress };
}

core::random_source
MakeRandomSource(daemon_settings const& aSettings, std::uint64_t aSalt)
{
  return core::random_source(core::Hash64(aSettings.mInstance.mValue,
                                          ProcessIncarnation().mValue + aSalt));
}

routing_member
ToRoutingMember(membership::member const& aMember)
{
  auto const& announcement = aMember.mAnnouncement;
  bool const isGone = aMember.mState == membership::member_state::kDead ||
                      aMember.mState == membership::member_state::kLeft;
  routing_member member;
  member.mInstance = announcement.mInstance;
  member.mZone = announcement.mZone;
  member.mRegion = announcement.mRegion;
  member.mService = announcement.mService;
  member.mPeerAddress = announcement.mPeerAddress;
  member.mSlots = announcement.mSlots;
  member.mIncarnation = announcement.mProcessStart;
  member.mIsServing =
    !isGone && announcement.mLifecycle == membership::lifecycle_state::kServing;
  member.mIsDraining = !isGone && announcement.mLifecycle ==
                                    membership::lifecycle_state::kDraining;
  member.mIsNotAlive = aMember.mState != membership::member_state::kAlive;
  return member;
}

}

core::incarnation
ProcessIncarnation()
{
  static auto const start = std::chrono::system_clock::now();
  return { static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      start.time_since_epoch())
      .count()) };
}

control_plane::control_plane(asio::io_context& aContext,
                             daemon_settings const& aSettings,
                             metrics& aMetrics,
                             view_function aOnView)
  : mContext(aContext)
  , mSettings(aSettings)
  , mMetrics(aMetrics)
  , mOnView(std::move(aOnView))
  , mTimer(aContext)
  , mTransport(
      aContext.get_executor(),
      ControlHello(aSettings),
      aMetrics,
      [this](control_envelope aEnvelope) { OnEnvelope(std::move(aEnvelope)); })
  , mDirectory(DirectorySettings(aSettings), MakeRandomSource(aSettings, 1))
  , mDistributor(DistributorSettings(aSettings), MakeRandomSource(aSettings, 2))
{
}

core::result<void>
control_plane::Start(bool aBootstrap)
{
  BOOST_LEAF_CHECK(mTransport.Open(mSettings.mPeerAddress));
  if (mSettings.mControl) {
    replica_host::hooks hooks{
      [this](core::instance_id const& aTo, control::message const& aMessage) {
        SendToReplica(aTo, aMessage);
      },
      [this](control::tables_committed const& aCommitted, bool aIsLeader) {
        HandleDistributor(membership::tables_committed{
          aCommitted.mRevision,
          std::make_shared<tables::table_set const>(aCommitted.mTables),
          aIsLeader });
      }
    };
    mReplica =
      std::make_unique<replica_host>(mContext, mSettings, std::move(hooks));
    BOOST_LEAF_CHECK(mReplica->Start(aBootstrap));
    mTimers.Every(Now(), control::kTickInterval, [this](core::time_point) {
      mReplica->Tick();
    });
  }
  mTimers.Every(Now(), membership::kTickInterval, [this](core::time_point) {
    HandleDirectory(membership::tick{});
    HandleDistributor(membership::tick{});
  });
  if (mReplica && mSettings.mClaims) {
    mTimers.Every(Now(), kClaimMapCheckInterval, [this](core::time_point) {
      MaintainClaimMap();
    });
  }
  if (mReplica) {
    mTimers.Every(Now(), kGroupCheckInterval, [this](core::time_point) {
      MaintainGroup();
    });
  }
  mTimers.Every(Now(), kGaugeInterval, [this](core::time_point) {
    mMetrics.SetGauge("revision",
                      static_cast<double>(mDistributor.Revision().mValue));
    mMetrics.SetGauge(
      "tables_behind_seconds",
      static_cast<double>(core::Milliseconds(mDistributor.BehindFor(Now()))) /
        1000);
    mMetrics.SetGauge("members",
                      static_cast<double>(mDirectory.Members().size()));
    if (mReplica) {
      mMetrics.SetGauge("control_journal_failures",
                        static_cast<double>(mReplica->FailureCount()));
      mMetrics.SetGauge("control_replica_recovering",
                        mReplica->IsRecovering() ? 1 : 0);
    }
  });
  asio::co_spawn(
    mContext, [this] { return RunTimers(); }, asio::detached);
  return {};
}

void
control_plane::Stop()
{
  mIsStopped = true;
  mTimer.cancel();
  mTransport.Close();
}

task<void>
control_plane::RunTimers()
{
  while (!mIsStopped) {
    mTimers.Advance(Now());
    auto const due = mTimers.NextDue().value_or(Now() + kGaugeInterval);
    mTimer.expires_at(ToSteadyClock(std::max(due, Now() + kTimerResolution)));
    co_await mTimer.async_wait(kAsTuple);
  }
}

void
control_plane::OnStreamEnvelope(std::string_view aBytes)
{
  mTransport.OnStreamBytes(aBytes);
}

void
control_plane::OnEnvelope(control_envelope aEnvelope)
{
  if (mIsStopped) {
    return;
  }
  if (aEnvelope.mTopic == control_topic::kClaimActivation) {
    auto const report =
      core::Attempt([&] { return DecodeActivationReport(aEnvelope.mPayload); });
    if (report) {
      mClaimMapPlanner.OnReport(*report);
    }
    return;
  }
  if (aEnvelope.mTopic == control_topic::kReplica) {
    auto message =
      core::Attempt([&] { return control::DecodeMessage(aEnvelope.mPayload); });
    if (message && mReplica) {
      mReplica->OnMessage(std::move(*message));
    }
    return;
  }
  auto const message = core::Attempt(
    [&] { return membership::DecodeMessage(aEnvelope.mPayload); });
  if (!message) {
    mMetrics.CountRefusal(refusal_place::kListener,
                          core::refusal_reason::kMalformed);
    return;
  }
  using received_member_message =
    membership::message_with_sender<membership::member_message>;
  using received_table_message =
    membership::message_with_sender<membership::configuration_message>;
  if (auto const* const received =
        std::get_if<received_member_message>(&*message)) {
    HandleDirectory(membership::member_message_received{ *received });
  } else {
    HandleDistributor(membership::configuration_message_received{
      std::get<received_table_message>(*message) });
  }
}

void
control_plane::HandleDirectory(membership::directory_event const& aEvent)
{
  for (auto const& action : mDirectory.Handle(Now(), aEvent)) {
    if (auto const* const send =
          std::get_if<membership::send_message>(&action)) {
      Send(*send);
    } else if (auto const* const refused =
                 std::get_if<membership::update_refused>(&action)) {
      core::LogWarning("member_update_refused")
        .Field("member", refused->mInstance.mValue)
        .Field("incarnation", std::to_string(refused->mIncarnation.mValue));
    } else {
      OnMembersChanged();
    }
  }
}

void
control_plane::LogMemberChanges()
{
  auto const format = [](logged_state const& aState) {
    return std::string(membership::MemberStateName(aState.mState)) + "/" +
           std::string(membership::LifecycleStateName(aState.mLifecycle));
  };
  std::map<core::instance_id, logged_state> states;
  for (auto const& member : mDirectory.Members()) {
    auto const& announcement = member.mAnnouncement;
    logged_state const state{ member.mState, announcement.mLifecycle };
    auto const before = mLoggedStates.find(announcement.mInstance);
    bool const isKnown = before != mLoggedStates.end();
    if (!isKnown || before->second != state) {
      core::LogInfo("member_changed")
        .Field("member", announcement.mInstance.mValue)
        .Field("zone", announcement.mZone.mValue)
        .Field("service", announcement.mService.mValue)
        .Field("from", isKnown ? format(before->second) : "unknown")
        .Field("to", format(state))
        .Field("incarnation",
               static_cast<std::int64_t>(announcement.mIncarnation.mValue));
    }
    states.emplace(announcement.mInstance, state);
  }
  mLoggedStates = std::move(states);
}

void
control_plane::OnMembersChanged()
{
  LogMemberChanges();
  PublishView();
  HandleDistributor(membership::peers_changed{ mDirectory.Peers() });
  if (mReplica) {
    mReplica->SetContacts(LiveReplicas());
  }
}

std::map<core::instance_id, core::address>
control_plane::LiveReplicas() const
{
  std::map<core::instance_id, core::address> live;
  for (auto const& member : mDirectory.Members()) {
    auto const& announcement = member.mAnnouncement;
    bool const isLive =
      member.mState == membership::member_state::kAlive &&
      announcement.mLifecycle != membership::lifecycle_state::kLeft;
    if (announcement.mControlReplica && isLive) {
      live.emplace(announcement.mInstance, announcement.mPeerAddress);
    }
  }
  return live;
}

std::optional<core::address>
control_plane::LeaderAdminAddress() const
{
  auto const leader =
    mReplica ? mReplica->Status().mLeader : std::optional<core::instance_id>{};
  if (!leader || *leader == mSettings.mInstance) {
    return std::nullopt;
  }
  for (auto const& member : mDirectory.Members()) {
    if (member.mAnnouncement.mInstance == *leader) {
      return member.mAnnouncement.mAdminAddress;
    }
  }
  return std::nullopt;
}

void
control_plane::HandleDistributor(membership::distributor_event const& aEvent)
{
  for (auto const& action : mDistributor.Handle(Now(), aEvent)) {
    if (auto const* const send =
          std::get_if<membership::send_message>(&action)) {
      Send(*send);
      continue;
    }
    if (auto const* const outdated =
          std::get_if<membership::tables_outdated>(&action)) {
      core::LogInfo("tables_outdated")
        .Field("revision",
               static_cast<std::int64_t>(outdated->mRevision.mValue))
        .Field("newest", static_cast<std::int64_t>(outdated->mNewest.mValue))
        .Field("peer", outdated->mPeer.mValue);
      continue;
    }
    if (auto const* const refused =
          std::get_if<membership::revision_refused>(&action)) {
      core::LogWarning("revision_refused")
        .Field("peer", refused->mPeer.mValue)
        .Field("revision", std::to_string(refused->mRevision.mValue));
      continue;
    }
    if (auto const* const conflict =
          std::get_if<membership::content_conflict>(&action)) {
      core::LogError("tables_conflict")
        .Field("peer", conflict->mPeer.mValue)
        .Field("revision",
               static_cast<std::int64_t>(conflict->mRevision.mValue));
      continue;
    }
    auto const& installed = std::get<membership::tables_installed>(action);
    core::LogInfo("tables_installed")
      .Field("revision", static_cast<std::int64_t>(installed.mRevision.mValue))
      .Field("source", membership::TableSourceName(installed.mSource))
      .Field("from", installed.mFrom.mValue)
      .Field("snapshot", installed.mIsSnapshot ? "yes" : "no")
      .Field("behind_ms", core::Milliseconds(installed.mBehindFor));
    PublishView();
  }
}

void
control_plane::Send(membership::send_message const& aAction)
{
  control_envelope const envelope{
    control_topic::kMembership, membership::EncodeMessage(aAction.mMessage)
  };
  if (aAction.mPreference == membership::transport_preference::kDatagram) {
    mTransport.SendDatagram(aAction.mTo, envelope);
  } else {
    mTransport.SendStream(aAction.mTo, envelope);
  }
}

void
control_plane::SendToReplica(core::instance_id const& aTo,
                             control::message const& aMessage)
{
  auto const address = mReplica->AddressOf(aTo);
  if (address) {
    mTransport.SendStream(
      *address, { control_topic::kReplica, control::EncodeMessage(aMessage) });
  }
}

void
control_plane::SetOwnState(membership::lifecycle_state aState,
                           std::optional<std::uint32_t> aSlots)
{
  HandleDirectory(membership::own_state_changed{ aState, aSlots });
}

void
control_plane::RenewLink(core::address const& aPeer)
{
  mTransport.RenewLink(aPeer);
}

void
control_plane::SetSeeds(std::vector<core::address> aSeeds)
{
  HandleDirectory(membership::seeds_changed{ std::move(aSeeds) });
}

void
control_plane::RecordSenders(std::vector<core::address> aSenders)
{
  HandleDirectory(membership::requests_received{ std::move(aSenders) });
}

void
control_plane::ReportActivations(std::vector<traffic::shard_activated> aShards)
{
  if (aShards.empty()) {
    return;
  }
  activation_report const report{ mSettings.mInstance, std::move(aShards) };
  if (mReplica) {
    mClaimMapPlanner.OnReport(report);
  }
  control_envelope const envelope{ control_topic::kClaimActivation,
                                   EncodeActivationReport(report) };
  for (auto const& member : mDirectory.Members()) {
    auto const& announcement = member.mAnnouncement;
    if (announcement.mControlReplica &&
        announcement.mInstance != mSettings.mInstance) {
      mTransport.SendStream(announcement.mPeerAddress, envelope);
    }
  }
}

std::vector<traffic::claim_member>
control_plane::ClaimMembers() const
{
  std::vector<traffic::claim_member> members;
  for (auto const& member : mDirectory.Members()) {
    auto const& announcement = member.mAnnouncement;
    bool const isLeaving =
      announcement.mLifecycle == membership::lifecycle_state::kDraining ||
      announcement.mLifecycle == membership::lifecycle_state::kLeft;
    bool const isGone = member.mState == membership::member_state::kDead ||
                        member.mState == membership::member_state::kLeft;
    if (!isLeaving && !isGone) {
      members.push_back(
        { announcement.mZone,
          { announcement.mInstance, announcement.mProcessStart } });
    }
  }
  return members;
}

void
control_plane::MaintainClaimMap()
{
  auto const status = mReplica->Status();
  if (status.mRole != control::replica_role::kLeader || !status.mLeaseValid) {
    mLeaderSince.reset();
    return;
  }
  mLeaderSince = mLeaderSince.value_or(Now());
  bool const isOutdated = mDistributor.Revision() != status.mRevision;
  if (Now() < *mLeaderSince + kFirstClaimMapDelay || isOutdated) {
    return;
  }
  auto const tables = mDistributor.Tables();
  auto const encoded = tables ? tables->mClaimMap : std::string();
  traffic::claim_map current;
  if (!encoded.empty()) {
    auto const decoded =
      core::Attempt([&] { return traffic::DecodeClaimMap(encoded); });
    CF_ASSERT(decoded, "the installed claim map cannot be decoded");
    current = *decoded;
  }
  auto const proposed = mClaimMapPlanner.Propose(current, ClaimMembers());
  if (!proposed) {
    return;
  }
  ProposeSystemEdit(
    "claim-map/" + std::to_string(proposed->mEpoch.mValue),
    tables::put_claim_map{ traffic::EncodeClaimMap(*proposed) });
}

void
control_plane::MaintainGroup()
{
  auto const status = mReplica->Status();
  if (status.mRole != control::replica_role::kLeader || !status.mLeaseValid) {
    return;
  }
  auto change = control::ProposeGroupChange(status, LiveReplicas());
  if (change) {
    ProposeSystemEdit("group/" + std::to_string(status.mLastIndex),
                      std::move(*change));
  }
}

void
control_plane::ProposeSystemEdit(std::string const& aName,
                                 tables::change aChange)
{
  if (mIsSystemEditPending) {
    return;
  }
  auto const status = mReplica->Status();
  tables::edit edit;
  edit.mId = { "system/" + aName + "/" + std::to_string(status.mTerm) };
  edit.mBase = status.mRevision;
  edit.mChanges.push_back(std::move(aChange));
  core::LogInfo("system_edit_proposed")
    .Field("edit", edit.mId.mValue)
    .Field("revision", static_cast<std::int64_t>(edit.mBase.mValue));
  mIsSystemEditPending = true;
  mReplica->SubmitEdit(std::move(edit), [this](control::edit_answer const&) {
    mIsSystemEditPending = false;
  });
}

std::vector<membership::member>
control_plane::Members() const
{
  return mDirectory.Members();
}

void
control_plane::PublishView()
{
  auto const tables = mDistributor.Tables();
  if (tables &&
      (!mRouteIndex || mRouteIndexRevision != mDistributor.Revision())) {
    mRouteIndex = std::make_shared<tables::route_index const>(tables);
    mRouteIndexRevision = mDistributor.Revision();
  }
  auto view = std::make_shared<routing_view>();
  view->mRevision = mDistributor.Revision();
  view->mRoutes = mRouteIndex;
  for (auto const& member : mDirectory.Members()) {
    view->mMembers.push_back(ToRoutingMember(member));
  }
  mOnView(std::move(view));
}

}
