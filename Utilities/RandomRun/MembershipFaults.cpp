#include "MembershipRun.h"

#include <algorithm>

/// The random faults of the membership run.
namespace cranberryfold::random_run {

namespace {

using membership::lifecycle_state;

/// Most of the daemons that are down or frozen at a time, as a fraction.
constexpr double kMaximumDown = 0.25;

}

void
membership_run::RandomFault()
{
  struct weighted_fault
  {
    double mProbability;
    void (membership_run::*mFunction)();
  };
  constexpr std::array kFaults{
    weighted_fault{ 0.02, &membership_run::KillOne },
    weighted_fault{ 0.03, &membership_run::RestartOne },
    weighted_fault{ 0.01, &membership_run::FreezeOne },
    weighted_fault{ 0.02, &membership_run::ThawOne },
    weighted_fault{ 0.02, &membership_run::CutPair },
    weighted_fault{ 0.002, &membership_run::IsolateOne },
    weighted_fault{ 0.007, &membership_run::CutZone },
    weighted_fault{ 0.004, &membership_run::CutRegion },
    weighted_fault{ 0.006, &membership_run::CutOneWay },
    weighted_fault{ 0.01, &membership_run::HealSome },
    weighted_fault{ 0.01, &membership_run::ChangeDatagramFaults },
  };
  for (auto const& fault : kFaults) {
    if (mRandom.Chance(fault.mProbability)) {
      (this->*fault.mFunction)();
    }
  }
}

void
membership_run::KillOne()
{
  auto const node = PickNode(
    [this](std::size_t aNode) { return mFleet.Nodes()[aNode].IsUp(); });
  auto const limit = static_cast<double>(mFleet.Nodes().size()) * kMaximumDown;
  if (!node || static_cast<double>(DownCount()) >= limit) {
    return;
  }
  mFleet.Kill(*node);
  mLeaving.erase(*node);
  Note("kill", "kill " + NameOf(*node));
  EnsureLeader();
}

void
membership_run::RestartOne()
{
  auto const node = PickNode(
    [this](std::size_t aNode) { return !mFleet.Nodes()[aNode].IsUp(); });
  if (node) {
    mFleet.Start(*node);
    mWork.erase(*node);
    Note("restart", "restart " + NameOf(*node));
  }
}

void
membership_run::FreezeOne()
{
  auto const node = PickNode(
    [this](std::size_t aNode) { return mFleet.Nodes()[aNode].IsRunning(); });
  if (node && !mLeaving.contains(*node)) {
    mFleet.Freeze(*node);
    Note("freeze", "freeze " + NameOf(*node));
    EnsureLeader();
  }
}

void
membership_run::ThawOne()
{
  auto const node = PickNode(
    [this](std::size_t aNode) { return mFleet.Nodes()[aNode].mFrozen; });
  if (node) {
    mFleet.Thaw(*node);
    Note("", "thaw " + NameOf(*node));
  }
}

void
membership_run::CutPair()
{
  auto const from = mRandom.Below(mFleet.Nodes().size());
  auto const to = mRandom.Below(mFleet.Nodes().size());
  mFleet.Network().Cut(from, to);
  mFleet.Nodes()[from].mDisturbed = mFleet.Now();
  mFleet.Nodes()[to].mDisturbed = mFleet.Now();
  Note("one_way_cut", "cut " + NameOf(from) + " -> " + NameOf(to));
}

void
membership_run::IsolateOne()
{
  auto const node = mRandom.Below(mFleet.Nodes().size());
  for (std::size_t other = 0; other < mFleet.Nodes().size(); ++other) {
    mFleet.Network().Cut(node, other);
    mFleet.Network().Cut(other, node);
  }
  mIsolated.insert(node);
  mFleet.Nodes()[node].mDisturbed = mFleet.Now();
  Note("isolate", "isolate " + NameOf(node));
}

void
membership_run::CutZone()
{
  auto const zone = mRandom.Below(mFleet.ZoneCount());
  for (std::size_t other = 0; other < mFleet.ZoneCount(); ++other) {
    mFleet.CutZones(zone, other);
    mFleet.CutZones(other, zone);
    mZoneDisturbed[other] = mFleet.Now();
  }
  Note("zone_cut", "cut off zone " + std::to_string(zone));
}

void
membership_run::CutRegion()
{
  auto const& nodes = mFleet.Nodes();
  for (auto const& left : nodes) {
    for (auto const& right : nodes) {
      if (left.mRegion != right.mRegion) {
        mFleet.CutZones(left.mZone, right.mZone);
        mZoneDisturbed[left.mZone] = mFleet.Now();
      }
    }
  }
  Note("region_cut", "cut the regions from each other");
}

void
membership_run::CutOneWay()
{
  auto const from = mRandom.Below(mFleet.ZoneCount());
  auto const to = mRandom.Below(mFleet.ZoneCount());
  mFleet.CutZones(from, to);
  mZoneDisturbed[from] = mFleet.Now();
  mZoneDisturbed[to] = mFleet.Now();
  Note("one_way_zone_cut",
       "cut zone " + std::to_string(from) + " -> " + std::to_string(to));
}

void
membership_run::HealSome()
{
  mFleet.HealZones();
  std::fill(mZoneDisturbed.begin(), mZoneDisturbed.end(), mFleet.Now());
  mFleet.Network().HealAll();
  for (auto const node : mIsolated) {
    mFleet.Nodes()[node].mDisturbed = mFleet.Now();
  }
  mIsolated.clear();
  Note("", "heal all cuts");
}

void
membership_run::ChangeDatagramFaults()
{
  network_faults faults;
  faults.mDrop = mRandom.Fraction() * 0.05;
  faults.mDuplicate = mRandom.Fraction() * 0.05;
  constexpr std::uint64_t kMaximumDelayMicroseconds = 30000;
  faults.mMaximumDelay +=
    core::duration(mRandom.Below(kMaximumDelayMicroseconds));
  mFleet.SetDatagramFaults(faults);
  Note("datagram_faults",
       "drop " + std::to_string(faults.mDrop) + ", duplicate " +
         std::to_string(faults.mDuplicate) + ", delay up to " +
         std::to_string(core::Milliseconds(faults.mMaximumDelay)) + " ms");
}

void
membership_run::DrainOne()
{
  auto const since = mFleet.Now() - std::chrono::seconds(10);
  auto const node = PickNode([&](std::size_t aNode) {
    return mFleet.Nodes()[aNode].IsRunning() && !mLeaving.contains(aNode) &&
           aNode != mFleet.Leader() && IsUndisturbed(aNode, since);
  });
  if (!node || mLeaving.size() > 2) {
    return;
  }
  constexpr double kRelayLossChance = 0.2;
  if (!mCalm && mRandom.Chance(kRelayLossChance)) {
    // With the relays of two zones gone, only a direct push connects them.
    KillRelays(mFleet.Nodes()[*node].mZone, *node);
    KillRelays(mRandom.Below(mFleet.ZoneCount()), *node);
    EnsureLeader();
  }
  pending_drain drain{ *node, mFleet.Now(), {} };
  for (std::size_t other = 0; other < mFleet.Nodes().size(); ++other) {
    auto const work = mWork[*node].find(other);
    bool const isSender =
      work != mWork[*node].end() &&
      mFleet.Now() - work->second < std::chrono::seconds(50);
    bool const isTold = isSender || (mCalm && IsUndisturbed(other, since));
    if (isTold && mFleet.Nodes()[other].IsRunning() &&
        AreConnected(*node, other)) {
      drain.mMustKnow.insert(other);
    }
  }
  mFleet.SetLifecycle(*node, lifecycle_state::kDraining);
  mPendingDrains.push_back(std::move(drain));
  mLeaving[*node] = mFleet.Now();
  ++mDrains;
  Note("", "drain " + NameOf(*node));
}

void
membership_run::KillRelays(std::size_t aZone, std::size_t aSpared)
{
  for (std::size_t node = 0; node < mFleet.Nodes().size(); ++node) {
    auto const& daemon = mFleet.Nodes()[node];
    bool const isRelay = daemon.mZone == aZone && daemon.IsRunning() &&
                         daemon.mDirectory->IsRelay();
    if (isRelay && node != aSpared) {
      mFleet.Kill(node);
      mLeaving.erase(node);
      Note("relay_loss", "kill relay " + NameOf(node));
    }
  }
}

void
membership_run::FinishDrains()
{
  constexpr core::duration kGrace = std::chrono::seconds(5);
  constexpr core::duration kStopDelay = std::chrono::seconds(1);
  std::vector<std::size_t> stopped;
  for (auto const& [node, since] : mLeaving) {
    auto const& daemon = mFleet.Nodes()[node];
    if (!daemon.IsRunning()) {
      continue;
    }
    bool const hasLeft =
      daemon.mDirectory->OwnAnnouncement().mLifecycle == lifecycle_state::kLeft;
    if (!hasLeft && mFleet.Now() - since >= kGrace) {
      mFleet.SetLifecycle(node, lifecycle_state::kLeft);
    }
    if (hasLeft && mFleet.Now() - since >= kGrace + kStopDelay) {
      stopped.push_back(node);
    }
  }
  for (auto const node : stopped) {
    mFleet.Kill(node);
    mLeaving.erase(node);
    Note("", "left " + NameOf(node));
  }
}

void
membership_run::SendWork()
{
  constexpr int kCalls = 5;
  for (int call = 0; call < kCalls; ++call) {
    auto const from = mRandom.Below(mFleet.Nodes().size());
    auto const to = mRandom.Below(mFleet.Nodes().size());
    bool const isPossible = from != to && mFleet.Nodes()[from].IsRunning() &&
                            mFleet.Nodes()[to].IsRunning() &&
                            AreConnected(from, to);
    if (isPossible) {
      mFleet.NoteWork(from, to);
      mWork[to][from] = mFleet.Now();
    }
  }
}

void
membership_run::EnsureLeader()
{
  auto const isFit = [this](std::size_t aNode) {
    return mFleet.Nodes()[aNode].IsRunning() && !mLeaving.contains(aNode);
  };
  if (isFit(mFleet.Leader())) {
    return;
  }
  auto const node = PickNode(isFit);
  if (node) {
    mFleet.SetLeader(*node);
    Note("leader_change", "control leader is " + NameOf(*node));
  }
}

std::optional<std::size_t>
membership_run::PickNode(std::function<bool(std::size_t)> const& aFilter)
{
  std::vector<std::size_t> candidates;
  for (std::size_t node = 0; node < mFleet.Nodes().size(); ++node) {
    if (aFilter(node)) {
      candidates.push_back(node);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[mRandom.Below(candidates.size())];
}

bool
membership_run::AreConnected(std::size_t aLeft, std::size_t aRight) const
{
  auto const leftZone = mFleet.Nodes()[aLeft].mZone;
  auto const rightZone = mFleet.Nodes()[aRight].mZone;
  return !mFleet.Network().IsCut(aLeft, aRight) &&
         !mFleet.Network().IsCut(aRight, aLeft) &&
         !mFleet.AreZonesCut(leftZone, rightZone) &&
         !mFleet.AreZonesCut(rightZone, leftZone);
}

bool
membership_run::IsUndisturbed(std::size_t aNode, core::time_point aSince) const
{
  auto const& node = mFleet.Nodes()[aNode];
  return node.mDisturbed < aSince && mZoneDisturbed[node.mZone] < aSince;
}

std::size_t
membership_run::DownCount() const
{
  auto const& nodes = mFleet.Nodes();
  return static_cast<std::size_t>(
    std::count_if(nodes.begin(), nodes.end(), [](fleet_node const& aNode) {
      return !aNode.IsRunning();
    }));
}

std::string
membership_run::NameOf(std::size_t aNode) const
{
  return mFleet.Nodes()[aNode].mFirst.mInstance.mValue;
}

}
