#include "LibCore/Log.h"
#include "LibDaemon/Daemon.h"

/// What the daemon learns of its upstream, and what follows from it.
namespace cranberryfold::daemon {

namespace {

using namespace std::chrono_literals;

constexpr auto kHealthInterval = 250ms;
constexpr unsigned kHealthy = 200;
/// Ten questions cover the time until the first report of the upstream.
constexpr int kMostHealthQuestions = 10;
constexpr auto kHealthQuestionInterval = 100ms;

}

std::optional<membership::report_outcome>
mesh_daemon::ReportUpstream(membership::upstream_report const& aReport)
{
  if (!mSettings.HasUpstream()) {
    return std::nullopt;
  }
  auto const outcome = mUpstream.Handle(Now(), aReport);
  if (outcome != membership::report_outcome::kAccepted) {
    core::LogWarning("upstream_report_ignored")
      .Field("upstream", aReport.mId.mValue)
      .Field("sequence", static_cast<std::int64_t>(aReport.mSequence))
      .Field("reason", membership::ReportOutcomeName(outcome));
  }
  ApplyUpstreamFacts();
  return outcome;
}

void
mesh_daemon::ApplyUpstreamFacts()
{
  auto const facts = mUpstream.Status();
  if (facts == mAppliedUpstream) {
    return;
  }
  bool const isOtherProcess = facts.mId != mAppliedUpstream.mId;
  bool const hasOtherSlots = facts.mSlots != mAppliedUpstream.mSlots;
  bool const isOtherState = facts.mLifecycle != mAppliedUpstream.mLifecycle;
  mAppliedUpstream = facts;
  if (isOtherProcess || isOtherState) {
    core::LogInfo("upstream_changed")
      .Field("upstream", facts.mId.mValue)
      .Field("state", membership::LifecycleStateName(facts.mLifecycle))
      .Field("slots", facts.mSlots);
  }
  if (isOtherProcess) {
    for (auto const& thread : mThreads) {
      thread->Post([&pool = thread->Upstreams()] { pool.CloseIdle(); });
    }
  }
  // Work is refused before the others learn of a drain, and taken only after
  // they know of a start.
  mPolicy.SetUpstream(Now(), facts);
  switch (facts.mLifecycle) {
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
  if (hasOtherSlots) {
    Announce();
  }
}

task<void>
mesh_daemon::WatchUpstream()
{
  asio::steady_timer pause(mContext);
  while (!mIsStopped) {
    auto const status = co_await FetchHealthStatus(
      mSettings.mUpstream.mAddress, mSettings.mUpstream.mHealthPath);
    OnUpstreamHealth(status);
    pause.expires_after(kHealthInterval);
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
mesh_daemon::FindUpstream()
{
  asio::steady_timer pause(mContext);
  for (int asked = 0; asked < kMostHealthQuestions;) {
    pause.expires_after(kHealthQuestionInterval);
    co_await pause.async_wait(kAsTuple);
    if (mIsStopped || !mUpstream.Status().mId.IsEmpty()) {
      co_return;
    }
    auto const path = OwnHealthPath();
    if (path.empty()) {
      continue;
    }
    ++asked;
    auto const response =
      co_await FetchHealth(mSettings.mUpstream.mAddress, path);
    // The upstream may have reported while it was asked.
    if (!response || !mUpstream.Status().mId.IsEmpty()) {
      continue;
    }
    if (auto report = mExtension.mReadHealth(*response)) {
      report->mAddress = mSettings.mUpstream.mAddress;
      report->mService = mSettings.mUpstream.mService;
      ReportUpstream(*report);
    }
  }
}

void
mesh_daemon::OnUpstreamHealth(unsigned aStatus)
{
  auto const before = mLifecycle->State();
  // A health endpoint may mislead: a bad status keeps a new upstream from
  // getting work, but only a refused connection takes work away.
  membership::upstream_status facts;
  facts.mSlots = mSettings.mUpstream.mSlots;
  if (aStatus == kHealthy) {
    facts.mLifecycle = membership::lifecycle_state::kServing;
    mLifecycle->Fire("upstream_ready");
    mPolicy.SetUpstream(Now(), facts);
  } else if (aStatus == 0) {
    mLifecycle->Fire("upstream_lost");
    mPolicy.SetUpstream(Now(), facts);
  }
  if (mLifecycle->State() != before) {
    core::LogInfo("lifecycle_changed")
      .Field("from", before)
      .Field("to", mLifecycle->State());
  }
}

}
