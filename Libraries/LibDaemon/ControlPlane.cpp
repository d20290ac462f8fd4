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

constexpr core::duration kViewCheckInterval = 1s;
constexpr core::duration kClaimMapInterval = 1s;
/// A new leader waits for announcements, so that the first claim map does not
/// leave most members out.
constexpr core::duration kClaimMapDelay = 3s;
constexpr core::duration kGroupCheckInterval = 250ms;
/// Timers that are due within this time run together, since each wake-up costs
/// processor time.
constexpr core::duration kTimerGrain = 5ms;

membership::announcement
OwnAnnouncement(daemon_settings const& aSettings)
{
  membership::announcement own;
  own.mInstance = aSettings.mInstance;
  own.mIncarnation = StartIncarnation();
  own.mProcessStart = StartIncarnation();
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
Seeded(daemon_settings const& aSettings, std::uint64_t aSalt)
{
  return core::random_source(core::Hash64(aSettings.mInstance.mValue,
                                          StartIncarnation().mValue + aSalt));
}

routing_member
ToRoutingMember(membership::member const& aMember)
{
  auto const& told = aMember.mAnnouncement;
  bool const isGone = aMember.mState == membership::member_state::kDead ||
                      aMember.mState == membership::member_state::kLeft;
  routing_member member;
  member.mInstance = told.mInstance;
  member.mZone = told.mZone;
  member.mRegion = told.mRegion;
  member.mService = told.mService;
  member.mPeerAddress = told.mPeerAddress;
  member.mSlots = told.mSlots;
  member.mIncarnation = told.mProcessStart;
  member.mIsServing =
    !isGone && told.mLifecycle == membership::lifecycle_state::kServing;
  member.mIsDraining =
    !isGone && told.mLifecycle == membership::lifecycle_state::kDraining;
  member.mIsDoubtful = aMember.mState != membership::member_state::kAlive;
  return member;
}

}

core::incarnation
StartIncarnation()
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
  , mDirectory(DirectorySettings(aSettings), Seeded(aSettings, 1))
  , mDistributor(DistributorSettings(aSettings), Seeded(aSettings, 2))
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
    mTimers.Every(Now(), kClaimMapInterval, [this](core::time_point) {
      MaintainClaimMap();
    });
  }
  if (mReplica) {
    mTimers.Every(Now(), kGroupCheckInterval, [this](core::time_point) {
      MaintainGroup();
    });
  }
  mTimers.Every(Now(), kViewCheckInterval, [this](core::time_point) {
    mMetrics.SetGauge("revision",
                      static_cast<double>(mDistributor.Revision().mValue));
    mMetrics.SetGauge("members",
                      static_cast<double>(mDirectory.Members().size()));
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
    auto const due = mTimers.NextDue().value_or(Now() + kViewCheckInterval);
    mTimer.expires_at(ToSteadyClock(std::max(due, Now() + kTimerGrain)));
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
  using member_news =
    membership::message_with_sender<membership::member_message>;
  using table_news =
    membership::message_with_sender<membership::configuration_message>;
  if (auto const* const news = std::get_if<member_news>(&*message)) {
    HandleDirectory(membership::member_message_received{ *news });
  } else {
    HandleDistributor(membership::configuration_message_received{
      std::get<table_news>(*message) });
  }
}

void
control_plane::HandleDirectory(membership::directory_event const& aEvent)
{
  for (auto const& action : mDirectory.Handle(Now(), aEvent)) {
    if (auto const* const send =
          std::get_if<membership::send_message>(&action)) {
      Send(*send);
      continue;
    }
    OnMembersChanged();
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
    auto const& told = member.mAnnouncement;
    logged_state const state{ member.mState, told.mLifecycle };
    auto const before = mLoggedStates.find(told.mInstance);
    bool const isKnown = before != mLoggedStates.end();
    if (!isKnown || before->second != state) {
      core::LogInfo("member_changed")
        .Field("member", told.mInstance.mValue)
        .Field("zone", told.mZone.mValue)
        .Field("service", told.mService.mValue)
        .Field("from", isKnown ? format(before->second) : "unknown")
        .Field("to", format(state))
        .Field("incarnation",
               static_cast<std::int64_t>(told.mIncarnation.mValue));
    }
    states.emplace(told.mInstance, state);
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
    auto const& told = member.mAnnouncement;
    bool const isLive = member.mState == membership::member_state::kAlive &&
                        told.mLifecycle != membership::lifecycle_state::kLeft;
    if (told.mControlReplica && isLive) {
      live.emplace(told.mInstance, told.mPeerAddress);
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
    auto const& installed = std::get<membership::tables_installed>(action);
    core::LogInfo("tables_installed")
      .Field("revision", static_cast<std::int64_t>(installed.mRevision.mValue));
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
control_plane::SetSeeds(std::vector<core::address> aSeeds)
{
  HandleDirectory(membership::seeds_changed{ std::move(aSeeds) });
}

void
control_plane::NoteSenders(std::vector<core::address> aSenders)
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
    auto const& told = member.mAnnouncement;
    if (told.mControlReplica && told.mInstance != mSettings.mInstance) {
      mTransport.SendStream(told.mPeerAddress, envelope);
    }
  }
}

std::vector<traffic::claim_member>
control_plane::ClaimMembers() const
{
  std::vector<traffic::claim_member> members;
  for (auto const& member : mDirectory.Members()) {
    auto const& told = member.mAnnouncement;
    bool const isLeaving =
      told.mLifecycle == membership::lifecycle_state::kDraining ||
      told.mLifecycle == membership::lifecycle_state::kLeft;
    bool const isGone = member.mState == membership::member_state::kDead ||
                        member.mState == membership::member_state::kLeft;
    if (!isLeaving && !isGone) {
      members.push_back({ told.mZone, { told.mInstance, told.mProcessStart } });
    }
  }
  return members;
}

void
control_plane::MaintainClaimMap()
{
  auto const status = mReplica->Status();
  if (status.mRole != control::replica_role::kLeader || !status.mLeaseValid) {
    mLeadsSince.reset();
    return;
  }
  mLeadsSince = mLeadsSince.value_or(Now());
  bool const isOutdated = mDistributor.Revision() != status.mRevision;
  if (Now() < *mLeadsSince + kClaimMapDelay || isOutdated) {
    return;
  }
  auto const tables = mDistributor.Tables();
  auto const encoded = tables ? tables->mClaimMap : std::string();
  traffic::claim_map current;
  if (!encoded.empty()) {
    auto const decoded =
      core::Attempt([&] { return traffic::DecodeClaimMap(encoded); });
    CF_ASSERT(decoded, "the claim map in force cannot be decoded");
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
  if (tables && (!mIndex || mIndexRevision != mDistributor.Revision())) {
    mIndex = std::make_shared<tables::route_index const>(tables);
    mIndexRevision = mDistributor.Revision();
  }
  auto view = std::make_shared<routing_view>();
  view->mRevision = mDistributor.Revision();
  view->mRoutes = mIndex;
  for (auto const& member : mDirectory.Members()) {
    view->mMembers.push_back(ToRoutingMember(member));
  }
  mOnView(std::move(view));
}

}
