#include "LibDaemon/Daemon.h"

#include "LibCore/Hash.h"
#include "LibCore/Log.h"
#include "LibTraffic/ClaimCodec.h"

#include <csignal>
#include <utility>

namespace cranberryfold::daemon {

namespace {

using namespace std::chrono_literals;

/// Lets admission control recover from an overload while no calls arrive.
/// Queued calls expire by timers of their own.
constexpr core::duration kAdmissionTickInterval = 100ms;
/// The settings file may change without a SIGHUP.
constexpr core::duration kSettingsCheckInterval = 5s;
constexpr core::duration kUpstreamCheckInterval = 1s;
/// Log lines for single refusals are rate-limited; this line counts all of
/// them.
constexpr core::duration kRefusalLogInterval = 5s;
constexpr core::duration kClaimTickInterval = 100ms;
constexpr core::duration kActivationReportInterval = 1s;
constexpr core::duration kSenderReportInterval = 1s;
/// Time for the drain announcement to reach senders before an idle daemon
/// stops.
constexpr core::duration kMinimumDrainTime = 1s;
constexpr auto kIdleCheckInterval = 20ms;
/// Time to send the last announcement and responses.
constexpr auto kShutdownDelay = 100ms;

std::uint64_t
SeedFor(daemon_settings const& aSettings)
{
  return core::Hash64(
    aSettings.mInstance.mValue,
    static_cast<std::uint64_t>(Now().time_since_epoch().count()));
}

traffic::holder_id
OwnHolderId(daemon_settings const& aSettings)
{
  return { aSettings.mInstance, ProcessIncarnation() };
}

membership::lifecycle_state
ToLifecycle(std::string const& aState)
{
  if (aState == "upstream_draining") {
    return membership::lifecycle_state::kDraining;
  }
  for (auto const state : { membership::lifecycle_state::kStarting,
                            membership::lifecycle_state::kServing,
                            membership::lifecycle_state::kDraining,
                            membership::lifecycle_state::kLeft }) {
    if (membership::LifecycleStateName(state) == aState) {
      return state;
    }
  }
  return membership::lifecycle_state::kStarting;
}

}

void
IgnoreEarlyHangups()
{
  std::signal(SIGHUP, SIG_IGN);
}

mesh_daemon::mesh_daemon(daemon_settings aSettings, daemon_extension aExtension)
  : mSettings(std::move(aSettings))
  , mExtension(std::move(aExtension))
  , mPolicy(mSettings, Now(), SeedFor(mSettings))
  , mMessenger([this](core::address const& aTo, traffic_message aMessage) {
    auto& thread = *mThreads.front();
    asio::dispatch(thread.Context(),
                   [&thread, aTo, message = std::move(aMessage)] {
                     thread.Links().LinkTo(aTo)->Send(message);
                   });
  })
  , mClaims(OwnHolderId(mSettings), Now(), SeedFor(mSettings), mMessenger)
  , mQuarantine(OwnHolderId(mSettings), mMessenger)
  , mSignals(mContext, SIGTERM, SIGINT, SIGHUP)
  , mControl(mContext,
             mSettings,
             mMetrics,
             [this](std::shared_ptr<routing_view const> aView) {
               OnView(std::move(aView));
             })
  , mUpstream(mSettings.mUpstream.mAddress,
              mSettings.mUpstream.mService,
              mExtension.mReadHealth
                ? membership::report_confirmation::kHealthEndpoint
                : membership::report_confirmation::kNone)
  , mSeeds(mSettings.mSeeds)
  , mAdmin(
      mContext,
      mSettings,
      mControl,
      mPolicy,
      mMetrics,
      [this] { return mLifecycle->State(); },
      MakeAdminHandler())
{
  auto const onUpstreamLost = [this] {
    asio::post(mContext, [this] {
      mUpstream.MarkUnavailable();
      ApplyUpstreamStatus();
    });
  };
  auto const onUpstreamLeaving = [this](membership::upstream_id const& aId) {
    asio::post(mContext, [this, aId] { OnUpstreamLeaving(aId); });
  };
  shared_services const shared{ mSettings,      mPolicy,
                                mMetrics,       mPermits,
                                mRequests,      mClaims,
                                mQuarantine,    mExtension.mDialect,
                                onUpstreamLost, onUpstreamLeaving };
  for (std::uint32_t index = 0; index < mSettings.mTrafficThreads; ++index) {
    mThreads.push_back(std::make_unique<traffic_thread>(shared));
    mThreads.back()->SetPeerHooks(MakePeerHooks(*mThreads.back()));
  }
  MakeListeners();
}

mesh_daemon::~mesh_daemon()
{
  for (auto const& thread : mThreads) {
    thread->Stop();
  }
}

void
mesh_daemon::MakeListeners()
{
  auto const add = [this](core::address const& aAddress,
                          listener::serve_function aServe) {
    mListeners.push_back(
      { aAddress,
        std::make_unique<listener>(mContext,
                                   mThreads,
                                   mMetrics,
                                   mSettings.mMaximumConnections,
                                   std::move(aServe)) });
  };
  auto const addHttp = [&add](core::address const& aAddress,
                              listener_kind aKind) {
    if (aAddress.mPort == 0) {
      return;
    }
    add(aAddress, [aKind](traffic_thread& aThread, tcp::socket aSocket) {
      return ServeHttp(aThread.Http(), aKind, std::move(aSocket));
    });
  };
  addHttp(mSettings.mCallerAddress, listener_kind::kCaller);
  addHttp(mSettings.mEgressAddress, listener_kind::kEgress);
  add(mSettings.mPeerAddress, [](traffic_thread& aThread, tcp::socket aSocket) {
    return ServePeer(
      aThread.Incoming(), aThread.PeerHooks(), std::move(aSocket));
  });
}

void
mesh_daemon::OnView(std::shared_ptr<routing_view const> aView)
{
  RenewLinks(*aView);
  mMessenger.SetView(*aView);
  std::set<traffic::holder_id> peers;
  for (auto const& member : aView->mMembers) {
    bool const isPeer = member.mService == mSettings.mUpstream.mService &&
                        member.mInstance != mSettings.mInstance &&
                        !member.mIsNotAlive;
    if (isPeer) {
      peers.insert({ member.mInstance, member.mIncarnation });
    }
  }
  mQuarantine.SetPeers(Now(), std::move(peers));
  InstallClaimMap(aView->Tables().mClaimMap);
  bool const hasFirstTables =
    aView->HasRoutes() && !mPolicy.View()->HasRoutes();
  auto const limitsBefore = mPolicy.View()->Tables().mLimits;
  bool const hasNewLimits = aView->Tables().mLimits != limitsBefore;
  mPolicy.SetView(Now(), std::move(aView));
  if (hasNewLimits) {
    for (auto const& thread : mThreads) {
      thread->Post([&idle = thread->Idle()] { idle.OnTimeoutChanged(); });
    }
  }
  if (hasFirstTables) {
    // Announcing publishes another view, so this one has to be complete.
    asio::post(mContext, [this] { Announce(); });
  }
}

void
mesh_daemon::RenewLinks(routing_view const& aView)
{
  std::map<core::instance_id, core::incarnation> processes;
  for (auto const& member : aView.mMembers) {
    processes.emplace(member.mInstance, member.mIncarnation);
    auto const before = mPeerProcesses.find(member.mInstance);
    bool const isReplaced =
      before != mPeerProcesses.end() && before->second != member.mIncarnation;
    if (!isReplaced) {
      continue;
    }
    core::LogInfo("links_renewed")
      .Field("member", member.mInstance.mValue)
      .Field("peer", core::FormatAddress(member.mPeerAddress))
      .Field("process_start_before",
             static_cast<std::int64_t>(before->second.mValue))
      .Field("process_start",
             static_cast<std::int64_t>(member.mIncarnation.mValue));
    mControl.RenewLink(member.mPeerAddress);
    for (auto const& thread : mThreads) {
      thread->Post([&links = thread->Links(), peer = member.mPeerAddress] {
        links.Renew(peer);
      });
    }
  }
  mPeerProcesses = std::move(processes);
}

void
mesh_daemon::InstallClaimMap(std::string const& aEncoded)
{
  if (aEncoded == mInstalledClaimMap || aEncoded.empty()) {
    return;
  }
  auto const map =
    core::Attempt([&] { return traffic::DecodeClaimMap(aEncoded); });
  if (!map) {
    core::LogError("claim_map_refused")
      .Field("error", core::FormatError(map.mError));
    return;
  }
  mInstalledClaimMap = aEncoded;
  mClaims.InstallMap(Now(), *map);
}

call_server_hooks
mesh_daemon::MakePeerHooks(traffic_thread& aThread)
{
  return {
    [this, &aThread](traffic_message const& aMessage, hello const& aPeer) {
      OnTrafficMessage(aThread, aMessage, aPeer);
    },
    [this](std::string aEnvelope) {
      asio::post(mContext, [this, envelope = std::move(aEnvelope)] {
        mControl.OnStreamEnvelope(envelope);
      });
    },
  };
}

void
mesh_daemon::OnTrafficMessage(traffic_thread& aThread,
                              traffic_message const& aMessage,
                              hello const& aPeer)
{
  switch (aMessage.mTopic) {
    case traffic_topic::kRetryPermits:
      HandlePermitMessage(aThread, aMessage, aPeer);
      return;
    case traffic_topic::kClaims:
      mClaims.OnMessage(Now(), aPeer.mInstance, aMessage.mPayload);
      return;
    case traffic_topic::kQuarantine:
      mQuarantine.OnMessage(Now(), aPeer.mInstance, aMessage.mPayload);
      return;
  }
}

void
mesh_daemon::HandlePermitMessage(traffic_thread& aThread,
                                 traffic_message const& aMessage,
                                 hello const& aPeer)
{
  auto const message =
    core::Attempt([&] { return DecodePermitMessage(aMessage.mPayload); });
  if (!message) {
    mMetrics.CountRefusal(refusal_place::kListener,
                          core::refusal_reason::kMalformed);
    return;
  }
  if (auto const* const response = std::get_if<permit_response>(&*message)) {
    mPermits.OnPermitResponse(*response);
    return;
  }
  auto const& request = std::get<permit_request>(*message);
  permit_response const response{ request.mId,
                                  mPolicy.TakePermit(Now(), request.mRequest) };
  aThread.Links()
    .LinkTo(aPeer.mPeerAddress)
    ->Send(traffic_message{ traffic_topic::kRetryPermits,
                            EncodePermitMessage(response) });
}

core::result<void>
mesh_daemon::BindLifecycle()
{
  BOOST_LEAF_AUTO(chart, core::state_chart::BuiltIn("instance_life_cycle"));
  core::state_machine::handlers handlers{
    { "announce", [this] { Announce(); } },
    { "start_grace", [this] { StartGrace(); } },
    { "stop", [this] { Stop(); } },
  };
  BOOST_LEAF_AUTO(
    machine,
    core::state_machine::Create(std::move(chart), std::move(handlers)));
  mLifecycle.emplace(std::move(machine));
  return {};
}

core::result<void>
mesh_daemon::Start(bool aBootstrap)
{
  BOOST_LEAF_CHECK(BindLifecycle());
  for (auto const& entry : mListeners) {
    BOOST_LEAF_CHECK(entry.mListener->Open(entry.mAddress));
  }
  BOOST_LEAF_CHECK(mAdmin.Start());
  BOOST_LEAF_CHECK(mControl.Start(aBootstrap));
  StartPeriodicWork();
  for (auto const& thread : mThreads) {
    thread->Start();
  }
  core::LogInfo("started")
    .Field("instance", mSettings.mInstance.mValue)
    .Field("zone", mSettings.mZone.mValue)
    .Field("callers", core::FormatAddress(mSettings.mCallerAddress))
    .Field("admin", core::FormatAddress(mSettings.mAdminAddress))
    .Field("peers", core::FormatAddress(mSettings.mPeerAddress));
  return {};
}

void
mesh_daemon::StartPeriodicWork()
{
  auto& timers = mControl.Timers();
  timers.Every(Now(), kAdmissionTickInterval, [this](core::time_point aNow) {
    mPolicy.Tick(aNow);
  });
  timers.Every(Now(), kClaimTickInterval, [this](core::time_point aNow) {
    mQuarantine.Tick(aNow);
  });
  if (mSettings.mClaims) {
    timers.Every(Now(), kClaimTickInterval, [this](core::time_point aNow) {
      mClaims.Tick(aNow);
    });
    timers.Every(Now(), kActivationReportInterval, [this](core::time_point) {
      mControl.ReportActivations(mClaims.ActivatedShards());
    });
  }
  if (mExtension.mLoadSettings) {
    timers.Every(Now() + kSettingsCheckInterval,
                 kSettingsCheckInterval,
                 [this](core::time_point) { ReloadSettings(); });
  }
  timers.Every(Now() + kRefusalLogInterval,
               kRefusalLogInterval,
               [this](core::time_point) { LogRefusalCounts(); });
  timers.Every(Now(), kSenderReportInterval, [this](core::time_point) {
    mControl.RecordSenders(mPolicy.TakeSenders());
    mMetrics.SetGauge("calls_in_flight",
                      static_cast<double>(mPolicy.CallsInFlight()));
  });
  if (mSettings.HasUpstream() && mSettings.mUpstream.mReportsItself) {
    timers.Every(Now(), kUpstreamCheckInterval, [this](core::time_point aNow) {
      if (mUpstream.CheckReportTimeout(aNow)) {
        ApplyUpstreamStatus();
      }
    });
    if (mExtension.mReadHealth) {
      asio::co_spawn(
        mContext, [this] { return ProbeUpstream(); }, asio::detached);
    }
  } else if (mSettings.HasUpstream()) {
    asio::co_spawn(
      mContext, [this] { return PollUpstream(); }, asio::detached);
  }
  asio::co_spawn(
    mContext, [this] { return WatchSignals(); }, asio::detached);
}

admin_handler
mesh_daemon::MakeAdminHandler()
{
  if (!mExtension.mMakeAdminHandler) {
    return {};
  }
  return mExtension.mMakeAdminHandler({
    [this](core::edit_id aId, tables::table_replacement aReplacement) {
      return mAdmin.ReplaceTables(std::move(aId), std::move(aReplacement));
    },
    [this] { return mAdmin.ReadTables(); },
    [this](membership::upstream_report aReport) {
      return ReportUpstream(std::move(aReport));
    },
    [this] { return mAdmin.NotReadyReason(); },
  });
}

void
mesh_daemon::LogRefusalCounts()
{
  auto const counts = mMetrics.TakeNewCounts();
  auto const condition = mPolicy.Condition();
  auto const admitted = mPolicy.AdmittedCalls();
  auto const newlyAdmitted = admitted - std::exchange(mLoggedCalls, admitted);
  if (counts.empty() && !condition.mRequestsPerSecond) {
    return;
  }
  auto line = core::LogInfo("refusals");
  auto const stamp = mPolicy.LoadStatus(Now(), {});
  line.Field("load", stamp.mInFlight)
    .Field("limit", stamp.mLimit)
    .Field("service_us", stamp.mServiceMicroseconds)
    .Field("threshold", stamp.mAdmissionThreshold)
    .Field("admitted", static_cast<std::int64_t>(newlyAdmitted))
    .Field("request_limit", traffic::FormatRequestLimit(condition));
  for (auto const& [name, count] : counts) {
    line.Field(name, count);
  }
}

void
mesh_daemon::ReloadSettings()
{
  auto const loaded = core::Attempt(mExtension.mLoadSettings);
  if (!loaded) {
    core::LogError("settings_not_reloaded")
      .Field("error", core::FormatError(loaded.mError));
    return;
  }
  if (loaded->mSeeds == mSeeds) {
    return;
  }
  mSeeds = loaded->mSeeds;
  core::LogInfo("settings_reloaded")
    .Field("seeds", static_cast<std::int64_t>(mSeeds.size()));
  mControl.SetSeeds(mSeeds);
}

void
mesh_daemon::Run()
{
  mContext.run();
  for (auto const& thread : mThreads) {
    thread->Stop();
  }
}

void
mesh_daemon::Announce()
{
  auto const slots = mAppliedUpstreamStatus.mSlots == 0
                       ? std::optional<std::uint32_t>{}
                       : mAppliedUpstreamStatus.mSlots;
  auto state = ToLifecycle(mLifecycle->State());
  // Without tables, the daemon cannot tell whether a call is for its service
  // and refuses it.
  bool const refusesCalls = !mPolicy.View()->HasRoutes();
  if (state == membership::lifecycle_state::kServing && refusesCalls) {
    state = membership::lifecycle_state::kStarting;
  }
  mControl.SetOwnState(state, slots);
}

task<void>
mesh_daemon::WatchSignals()
{
  for (;;) {
    auto const [code, number] = co_await mSignals.async_wait(kAsTuple);
    if (code) {
      co_return;
    }
    if (number != SIGHUP) {
      core::LogInfo("stop_requested").Field("signal", number);
      mLifecycle->Fire("stop_requested");
      co_return;
    }
    core::LogInfo("reload_requested");
    if (mExtension.mLoadSettings) {
      ReloadSettings();
    }
  }
}

void
mesh_daemon::StartGrace()
{
  mControl.RecordSenders(mPolicy.TakeSenders());
  mPolicy.StartDraining(Now());
  asio::co_spawn(
    mContext, [this] { return WaitUntilIdle(); }, asio::detached);
}

task<void>
mesh_daemon::WaitUntilIdle()
{
  auto const started = Now();
  auto const end = mPolicy.StopTime().value_or(started);
  core::duration const serveTime =
    std::chrono::milliseconds(mSettings.mDrainServeMilliseconds);
  auto const earliest = started + std::max(kMinimumDrainTime, serveTime);
  asio::steady_timer pause(mContext);
  for (;;) {
    auto const now = Now();
    bool const isIdle = mPolicy.CallsInFlight() == 0 && mRequests.load() == 0;
    if (isIdle && now >= earliest) {
      mLifecycle->Fire("idle");
      co_return;
    }
    if (now >= end) {
      core::LogWarning("drain_grace_over")
        .Field("calls", static_cast<std::int64_t>(mPolicy.CallsInFlight()))
        .Field("requests", mRequests.load());
      mLifecycle->Fire("grace_over");
      co_return;
    }
    pause.expires_after(kIdleCheckInterval);
    co_await pause.async_wait(kAsTuple);
  }
}

void
mesh_daemon::Stop()
{
  mIsStopped = true;
  auto const timer =
    std::make_shared<asio::steady_timer>(mContext, kShutdownDelay);
  timer->async_wait([this, timer](boost::system::error_code) {
    core::LogInfo("stopped");
    for (auto const& entry : mListeners) {
      entry.mListener->Close();
    }
    mAdmin.Stop();
    mControl.Stop();
    mContext.stop();
  });
}

}
