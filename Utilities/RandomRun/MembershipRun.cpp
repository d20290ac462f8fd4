#include "MembershipRun.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace cranberryfold::random_run {

namespace {

constexpr core::duration kStepTime = std::chrono::milliseconds(100);
constexpr core::duration kConvergenceTime = std::chrono::seconds(9);
constexpr std::uint64_t kStepsPerRound = 300;
constexpr std::size_t kTraceLength = 25;

std::deque<std::string> const* gTrace = nullptr;

void
PrintTrace()
{
  std::printf("last events:\n");
  for (auto const& line : *gTrace) {
    std::printf("  %s\n", line.c_str());
  }
  std::fflush(stdout);
}

/// Others neither probe nor inform a daemon that has left.
bool
IsPresent(fleet_node const& aNode)
{
  return aNode.IsUp() && aNode.mDirectory->OwnAnnouncement().mLifecycle !=
                           membership::lifecycle_state::kLeft;
}

/// An invariant inside a decision object aborts; the trace is printed first.
extern "C" void
PrintTraceOnAbort(int /*aSignal*/)
{
  PrintTrace();
  std::_Exit(1);
}

}

membership_run::membership_run(run_options aOptions,
                               fleet_settings const& aSettings)
  : mOptions(std::move(aOptions))
  , mFleet(aSettings)
  , mRandom(aSettings.mSeed + 1)
  , mZoneDisturbed(aSettings.mZones)
{
  mFleet.OnViolation(
    [](std::string const& aText) { throw violation{ aText }; });
}

int
membership_run::Execute()
{
  gTrace = &mTrace;
  std::signal(SIGABRT, PrintTraceOnAbort);
  try {
    StartAll();
    RunSteps();
    Settle();
  } catch (violation const& broken) {
    return Report(broken);
  }
  PrintSummary();
  return 0;
}

void
membership_run::StartAll()
{
  // Half of the runs start while the regions cannot reach each other.
  if (mRandom.Chance(0.5)) {
    CutRegion();
  }
  constexpr std::uint64_t kSpreadMilliseconds = 50;
  for (std::size_t node = 0; node < mFleet.Nodes().size(); ++node) {
    mFleet.Start(node);
    mFleet.Run(
      std::chrono::milliseconds(mRandom.Below(kSpreadMilliseconds) + 1));
  }
  EnsureLeader();
  mFleet.Run(kConvergenceTime);
  Settle();
}

void
membership_run::RunSteps()
{
  for (std::uint64_t step = 1; step <= mOptions.mSteps; ++step) {
    Step();
    if (step % kStepsPerRound == 0) {
      Settle();
      mCalm = mRandom.Chance(0.3);
      if (mCalm) {
        ChangeDatagramFaults();
      }
    }
  }
}

void
membership_run::Step()
{
  EnsureLeader();
  SendWork();
  if (mRandom.Chance(0.2)) {
    auto const before = mFleet.NewestRevision();
    mFleet.CommitEdit();
    mEdits += mFleet.NewestRevision() > before ? 1 : 0;
  }
  if (mRandom.Chance(0.02)) {
    DrainOne();
  }
  if (!mCalm) {
    RandomFault();
  }
  mFleet.Run(kStepTime);
  CheckDrains();
  FinishDrains();
  CheckOwnZones();
}

void
membership_run::Settle()
{
  mFleet.Network().HealAll();
  mFleet.HealZones();
  mFleet.SetDatagramFaults({});
  for (auto const node : mIsolated) {
    mFleet.Nodes()[node].mDisturbed = mFleet.Now();
  }
  mIsolated.clear();
  for (std::size_t node = 0; node < mFleet.Nodes().size(); ++node) {
    if (mFleet.Nodes()[node].mFrozen) {
      mFleet.Thaw(node);
    }
  }
  Note("", "all faults stop");
  EnsureLeader();
  mFleet.Run(kConvergenceTime);
  CheckRevisions();
  CheckViews();
  ++mSettles;
}

void
membership_run::CheckRevisions() const
{
  for (auto const& node : mFleet.Nodes()) {
    if (!IsPresent(node)) {
      continue;
    }
    auto const revision = node.mDistributor->Revision();
    if (revision != mFleet.NewestRevision()) {
      throw violation{ node.mFirst.mInstance.mValue + " holds revision " +
                       std::to_string(revision.mValue) + " instead of " +
                       std::to_string(mFleet.NewestRevision().mValue) +
                       " 9 s after the faults stopped" };
    }
  }
}

void
membership_run::CheckViews() const
{
  std::optional<std::vector<membership::member>> first;
  for (auto const& node : mFleet.Nodes()) {
    if (!IsPresent(node)) {
      continue;
    }
    auto const view = node.mDirectory->Members();
    if (!first) {
      first = view;
      CheckTruth(view);
    }
    if (view == *first) {
      continue;
    }
    auto const differing =
      std::mismatch(view.begin(), view.end(), first->begin(), first->end());
    std::string what = " has another count of members";
    if (differing.first != view.end()) {
      what =
        " sees " + differing.first->mAnnouncement.mInstance.mValue + " as " +
        std::string(membership::MemberStateName(differing.first->mState)) +
        " " +
        std::to_string(differing.first->mAnnouncement.mIncarnation.mValue) +
        ", others differ";
    }
    throw violation{ node.mFirst.mInstance.mValue + what +
                     " 9 s after the faults stopped" };
  }
}

void
membership_run::CheckTruth(std::vector<membership::member> const& aView) const
{
  std::map<core::instance_id, membership::member> known;
  for (auto const& entry : aView) {
    known[entry.mAnnouncement.mInstance] = entry;
  }
  for (auto const& node : mFleet.Nodes()) {
    auto const found = known.find(node.mFirst.mInstance);
    bool const isAlive =
      found != known.end() &&
      found->second.mState == membership::member_state::kAlive;
    bool const isCurrent =
      !node.IsUp() ||
      (found != known.end() &&
       found->second.mAnnouncement == node.mDirectory->OwnAnnouncement());
    if (isAlive != IsPresent(node) || !isCurrent) {
      throw violation{ node.mFirst.mInstance.mValue + " is " +
                       (node.IsUp() ? "up" : "down") +
                       ", but all see something else 9 s after the faults "
                       "stopped" };
    }
  }
}

void
membership_run::CheckOwnZones() const
{
  constexpr core::duration kRecovery = std::chrono::seconds(10);
  auto const& nodes = mFleet.Nodes();
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    auto const& observer = nodes[index];
    auto since = mFleet.Now() - kRecovery;
    if (!observer.IsRunning() || observer.mDisturbed > since) {
      continue;
    }
    // An isolated daemon cannot see that another one came back meanwhile.
    if (mIsolated.contains(index)) {
      since = observer.mDisturbed - kRecovery;
    }
    std::set<core::instance_id> dead;
    for (auto const& entry : observer.mDirectory->Members()) {
      if (entry.mState == membership::member_state::kDead) {
        dead.insert(entry.mAnnouncement.mInstance);
      }
    }
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      bool const isFit =
        nodes[other].mZone == observer.mZone && nodes[other].IsRunning() &&
        nodes[other].mDisturbed <= since && !mIsolated.contains(other);
      if (isFit && dead.contains(nodes[other].mFirst.mInstance)) {
        throw violation{ observer.mFirst.mInstance.mValue + " sees " +
                         NameOf(other) +
                         " of its own zone as dead, which has run without a "
                         "fault for 10 s" };
      }
    }
  }
}

void
membership_run::CheckDrains()
{
  // Stricter than the 3 s that are promised: without pushes, news that reach
  // a zone without relays take between 2 s and 3 s.
  constexpr core::duration kDrainTime = std::chrono::seconds(2);
  std::erase_if(mPendingDrains, [&](pending_drain const& aDrain) {
    if (!IsUndisturbed(aDrain.mNode, aDrain.mSince)) {
      return true;
    }
    if (mFleet.Now() - aDrain.mSince < kDrainTime) {
      return false;
    }
    for (auto const other : aDrain.mMustKnow) {
      auto const& node = mFleet.Nodes()[other];
      if (!node.IsRunning() || !IsUndisturbed(other, aDrain.mSince)) {
        continue;
      }
      ++mDrainChecks;
      for (auto const& entry : node.mDirectory->Members()) {
        auto const lifecycle = entry.mAnnouncement.mLifecycle;
        bool const isDrainer = entry.mAnnouncement.mInstance ==
                               mFleet.Nodes()[aDrain.mNode].mFirst.mInstance;
        if (isDrainer && lifecycle == membership::lifecycle_state::kServing) {
          throw violation{ NameOf(other) + " does not know after 2 s that " +
                           NameOf(aDrain.mNode) + " drains" };
        }
      }
    }
    return true;
  });
}

void
membership_run::Note(std::string const& aKind, std::string const& aText)
{
  if (!aKind.empty()) {
    ++mFaults[aKind];
  }
  auto const time = core::Milliseconds(mFleet.Now().time_since_epoch());
  mTrace.push_back(std::to_string(time) + " ms: " + aText);
  if (mTrace.size() > kTraceLength) {
    mTrace.pop_front();
  }
}

int
membership_run::Report(violation const& aViolation) const
{
  std::printf("violated: %s\n", aViolation.mText.c_str());
  std::printf("seed %llu, without \"%s\"\n",
              static_cast<unsigned long long>(mOptions.mSeed),
              mOptions.mWithout.c_str());
  PrintTrace();
  return 1;
}

void
membership_run::PrintSummary() const
{
  auto const number = [](std::uint64_t aValue) {
    return static_cast<unsigned long long>(aValue);
  };
  std::printf("seed %llu, %llu steps: all invariants held\n",
              number(mOptions.mSeed),
              number(mOptions.mSteps));
  std::printf("faults:");
  for (auto const& [kind, count] : mFaults) {
    std::printf(" %s %llu", kind.c_str(), number(count));
  }
  auto const& network = mFleet.Network().Counters();
  std::printf("\nmessages: sent %llu, dropped %llu, duplicated %llu\n",
              number(network.mSent),
              number(network.mDropped),
              number(network.mDuplicated));
  std::printf("edits disseminated %llu, drains %llu (%llu views checked), "
              "convergence checked %llu times\n",
              number(mEdits),
              number(mDrains),
              number(mDrainChecks),
              number(mSettles));
}

}
