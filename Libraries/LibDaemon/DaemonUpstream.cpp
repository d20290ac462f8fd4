#include "LibCore/Log.h"
#include "LibDaemon/Daemon.h"

/// Tracking of the local upstream's state.
namespace cranberryfold::daemon {

namespace {

using namespace std::chrono_literals;

constexpr auto kHealthPollInterval = 250ms;
constexpr unsigned kHealthyStatus = 200;
/// Ten probes cover the time until the upstream's first report.
constexpr int kMaximumHealthProbes = 10;
constexpr auto kHealthProbeInterval = 100ms;

}

task<std::optional<membership::report_outcome>>
mesh_daemon::ReportUpstream(membership::upstream_report aReport)
{
  using membership::report_outcome;
  if (!mSettings.HasUpstream()) {
    co_return std::nullopt;
  }
  auto outcome = mUpstream.Handle(Now(), aReport);
  ApplyUpstreamStatus();
  if (outcome == report_outcome::kUnconfirmed) {
    co_await QueryHealth();
    // Other reports may have arrived during the query.
    bool const hasTakenEffect =
      mUpstream.IsOfPresentProcess(aReport) && mUpstream.AgreesWith(aReport);
    outcome =
      hasTakenEffect ? report_outcome::kAccepted : report_outcome::kUnconfirmed;
  }
  if (outcome == report_outcome::kOutdated && !mUpstream.AgreesWith(aReport)) {
    outcome = report_outcome::kContradicted;
  }
  if (outcome != report_outcome::kAccepted) {
    core::LogWarning("upstream_report_ignored")
      .Field("upstream", aReport.mId.mValue)
      .Field("sequence", static_cast<std::int64_t>(aReport.mSequence))
      .Field("reason", membership::ReportOutcomeName(outcome));
  }
  co_return outcome;
}

void
mesh_daemon::ApplyUpstreamStatus()
{
  auto const status = mUpstream.Status();
  if (status == mAppliedUpstreamStatus) {
    return;
  }
  bool const hasNewProcess = status.mId != mAppliedUpstreamStatus.mId;
  bool const hasNewSlots = status.mSlots != mAppliedUpstreamStatus.mSlots;
  bool const hasNewState =
    status.mLifecycle != mAppliedUpstreamStatus.mLifecycle;
  mAppliedUpstreamStatus = status;
  if (hasNewProcess || hasNewState) {
    core::LogInfo("upstream_changed")
      .Field("upstream", status.mId.mValue)
      .Field("state", membership::LifecycleStateName(status.mLifecycle))
      .Field("slots", status.mSlots);
  }
  if (hasNewProcess) {
    for (auto const& thread : mThreads) {
      thread->Post([&pool = thread->Upstreams()] { pool.CloseIdle(); });
    }
  }
  // The announcement follows the update of the traffic policy, so that calls
  // are refused before peers learn of a drain. Peers send calls only after they
  // have learned of a start.
  mPolicy.SetUpstream(Now(), status);
  switch (status.mLifecycle) {
    case membership::lifecycle_state::kServing:
      mLifecycle->Fire("upstream_ready");
      break;
    case membership::lifecycle_state::kDraining:
      mLifecycle->Fire("upstream_leaving");
      break;
    default:
      mLifecycle->Fire("upstream_lost");
      break;
  }
  if (hasNewSlots) {
    Announce();
  }
}

void
mesh_daemon::OnUpstreamLeaving(membership::upstream_id const& aId)
{
  if (mSettings.mUpstream.mReportsItself) {
    mUpstream.MarkLeaving(aId);
    ApplyUpstreamStatus();
  } else {
    FireLifecycle("upstream_leaving");
  }
}

void
mesh_daemon::FireLifecycle(std::string_view aEvent)
{
  auto const before = mLifecycle->State();
  mLifecycle->Fire(aEvent);
  if (mLifecycle->State() != before) {
    core::LogInfo("lifecycle_changed")
      .Field("from", before)
      .Field("to", mLifecycle->State());
  }
}

task<void>
mesh_daemon::PollUpstream()
{
  asio::steady_timer pause(mContext);
  while (!mIsStopped) {
    auto const status = co_await FetchHealthStatus(
      mSettings.mUpstream.mAddress, mSettings.mUpstream.mHealthPath);
    OnUpstreamHealth(status);
    pause.expires_after(kHealthPollInterval);
    co_await pause.async_wait(kAsTuple);
  }
}

std::string
mesh_daemon::OwnHealthPath() const
{
  auto const view = mPolicy.View();
  for (auto const& [name, row] : view->Tables().mPools) {
    if (row.mService == mSettings.mUpstream.mService) {
      return row.mHealthPath;
    }
  }
  return {};
}

task<void>
mesh_daemon::ProbeUpstream()
{
  asio::steady_timer pause(mContext);
  for (int probes = 0; probes < kMaximumHealthProbes;) {
    pause.expires_after(kHealthProbeInterval);
    co_await pause.async_wait(kAsTuple);
    if (mIsStopped || !mUpstream.Status().mId.IsEmpty()) {
      co_return;
    }
    if (co_await QueryHealth()) {
      ++probes;
    }
  }
}

task<bool>
mesh_daemon::QueryHealth()
{
  if (mIsQueryingHealth) {
    co_await mHealthQueryEnd.async_wait(kAsTuple);
    co_return false;
  }
  auto path = OwnHealthPath();
  if (path.empty()) {
    co_return false;
  }
  mIsQueryingHealth = true;
  mHealthQueryEnd.expires_at(asio::steady_timer::time_point::max());
  auto const response =
    co_await FetchHealth(mSettings.mUpstream.mAddress, std::move(path));
  if (response) {
    mUpstream.HandleHealth(Now(), mExtension.mReadHealth(*response));
    ApplyUpstreamStatus();
  }
  mIsQueryingHealth = false;
  mHealthQueryEnd.cancel();
  co_return true;
}

void
mesh_daemon::OnUpstreamHealth(unsigned aStatus)
{
  // A health endpoint may report a wrong status. A bad status keeps a new
  // upstream from getting requests, but only a failed connection takes a
  // serving one out of service, and ends the state of a leaving one.
  membership::upstream_status upstream;
  upstream.mSlots = mSettings.mUpstream.mSlots;
  if (aStatus == 0) {
    FireLifecycle("upstream_lost");
    mPolicy.SetUpstream(Now(), upstream);
  } else if (aStatus == kHealthyStatus && !mPolicy.Condition().mIsLeaving) {
    upstream.mLifecycle = membership::lifecycle_state::kServing;
    FireLifecycle("upstream_ready");
    mPolicy.SetUpstream(Now(), upstream);
  }
}

}
