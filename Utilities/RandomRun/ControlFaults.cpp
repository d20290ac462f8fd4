#include "ControlRun.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::random_run {

namespace {

core::duration
RandomTime(core::random_source& aRandom, core::duration aMaximum)
{
  return core::duration(static_cast<std::int64_t>(
    aRandom.Below(static_cast<std::uint64_t>(aMaximum.count()))));
}

/// Low, because such a loss may stop all edits for the rest of the run.
constexpr double kAnyLossChance = 0.03;
constexpr core::duration kLongestOutage = std::chrono::seconds(8);

}

void
control_run::InjectFault()
{
  switch (mRandom.Below(16)) {
    case 0:
    case 1:
      ChangeNetwork();
      break;
    case 2:
    case 3:
    case 4:
      CutLink();
      break;
    case 5:
    case 6:
      CutOff();
      break;
    case 7:
    case 8:
      Freeze();
      break;
    case 9:
    case 10:
      Kill();
      break;
    case 11:
      KillMany();
      break;
    case 12:
    case 13:
      LoseDisk(false);
      break;
    case 14:
      LoseDisk(true);
      break;
    default:
      FillDisk();
      break;
  }
}

void
control_run::ChangeNetwork()
{
  ++mFaults["network"];
  network_faults faults;
  if (mRandom.Chance(0.6)) {
    faults.mDrop = mRandom.Fraction() * 0.2;
    faults.mDuplicate = mRandom.Fraction() * 0.2;
    faults.mMaximumDelay = std::chrono::milliseconds(2 + mRandom.Below(300));
  }
  mNetwork.SetFaults(faults);
  mNotices.SetFaults(faults);
}

void
control_run::CutLink()
{
  auto const from = AnyNode().mInstance;
  auto const to = AnyNode().mInstance;
  ++mFaults["one_way_cut"];
  Note("cut from " + from.mValue + " to " + to.mValue);
  mNetwork.Cut(from, to);
  mTimers.Once(mNow + RandomTime(mRandom, kLongestOutage),
               [this, from, to](core::time_point) { mNetwork.Heal(from, to); });
}

void
control_run::CutOff()
{
  auto const isolated = AnyNode().mInstance;
  ++mFaults["isolation"];
  Note(isolated.mValue + " is cut off");
  auto const ends = mNow + RandomTime(mRandom, kLongestOutage);
  for (auto const& [instance, entry] : mNodes) {
    mNetwork.Cut(isolated, instance);
    mNetwork.Cut(instance, isolated);
    mTimers.Once(ends, [this, isolated, peer = instance](core::time_point) {
      mNetwork.Heal(isolated, peer);
      mNetwork.Heal(peer, isolated);
    });
  }
}

void
control_run::Freeze()
{
  auto& frozen = AnyNode();
  ++mFaults["freeze"];
  Note(frozen.mInstance.mValue + " freezes");
  frozen.mFrozenUntil = mNow + RandomTime(mRandom, std::chrono::seconds(5));
}

void
control_run::RestartLater(node& aNode)
{
  mTimers.Once(mNow + RandomTime(mRandom, kLongestOutage),
               [this, &aNode](core::time_point) {
                 if (!aNode.mReplica) {
                   Start(aNode);
                 }
               });
}

void
control_run::Kill()
{
  auto& killed = AnyNode();
  ++mFaults["kill"];
  Note(killed.mInstance.mValue + " is killed");
  Stop(killed);
  RestartLater(killed);
}

void
control_run::KillMany()
{
  // The worst moment is right after an answer, before slow disks have synced.
  if (mRandom.Chance(0.5)) {
    mPowerLossArmed = true;
    return;
  }
  LosePower();
}

void
control_run::LosePower()
{
  ++mFaults["power_loss"];
  Note("power loss");
  double const share = mPowerLossArmed ? 1.0 : 0.8;
  mPowerLossArmed = false;
  for (auto& [instance, entry] : mNodes) {
    if (mRandom.Chance(share)) {
      Stop(entry);
      RestartLater(entry);
    }
  }
}

bool
control_run::CanLoseDisk(node const& aNode) const
{
  control::replica_status newest;
  for (auto const& [instance, entry] : mNodes) {
    if (!entry.mReplica || entry.mJournalFailed ||
        mNow < entry.mDiskFullUntil || !entry.mDisk.IsIdle()) {
      return false;
    }
    auto const status = entry.mReplica->Status(mNow + entry.mClockOffset);
    if (status.mGroupChanging) {
      return false;
    }
    if (status.mCommitted >= newest.mCommitted) {
      newest = status;
    }
  }
  std::size_t voters = 0;
  std::size_t healthy = 0;
  for (auto const& [instance, member] : newest.mGroup) {
    auto const& entry = mNodes.at(instance);
    auto const status = entry.mReplica->Status(mNow + entry.mClockOffset);
    bool const informed = status.mGroup == newest.mGroup &&
                          entry.mIncarnation == member.mIncarnation;
    voters += member.mVoter ? 1 : 0;
    healthy += member.mVoter && informed && &entry != &aNode ? 1 : 0;
  }
  return healthy > voters / 2;
}

void
control_run::LoseDisk(bool aDamage)
{
  auto& loser = AnyNode();
  bool const repairable = CanLoseDisk(loser);
  if (!repairable && !(mAllowAnyLoss && mRandom.Chance(kAnyLossChance))) {
    return;
  }
  mTooManyLosses = mTooManyLosses || !repairable;
  Stop(loser);
  ++mFaults[aDamage ? "damage" : "wipe"];
  Note(loser.mInstance.mValue +
       (aDamage ? " has its disk damaged" : " is wiped"));
  if (aDamage) {
    auto const before = loser.mDisk.Load();
    loser.mDisk.Damage(mRandom);
    auto const after = loser.mDisk.Load();
    mChecks.Check(!after.mState || after.mState == before.mState,
                  "damage went unnoticed");
  } else {
    loser.mDisk.Wipe();
  }
  RestartLater(loser);
}

void
control_run::FillDisk()
{
  auto& full = AnyNode();
  ++mFaults["disk_full"];
  Note(full.mInstance.mValue + " has a full disk");
  full.mDiskFullUntil =
    std::max(full.mDiskFullUntil, mNow + RandomTime(mRandom, kLongestOutage));
}

void
control_run::EndFaults()
{
  Note("faults end");
  mQuiet = true;
  mPowerLossArmed = false;
  mNetwork.HealAll();
  mNetwork.SetFaults({});
  mNotices.SetFaults({});
  for (auto& [instance, entry] : mNodes) {
    entry.mFrozenUntil = {};
    entry.mDiskFullUntil = {};
    if (!entry.mReplica) {
      Start(entry);
    }
  }
}

void
control_run::CheckConverged()
{
  auto const* const leader = LeaderNode();
  if (leader == nullptr) {
    throw violation{ "no leader after the faults stopped" };
  }
  auto const status = leader->mReplica->Status(mNow + leader->mClockOffset);
  mChecks.Check(status.mRevision >= mChecks.Acknowledged(),
                "an acknowledged edit is lost");
  for (auto const& [instance, member] : status.mGroup) {
    auto const& entry = mNodes.at(instance);
    auto const other = entry.mReplica->Status(mNow + entry.mClockOffset);
    mChecks.Check(other.mRevision == status.mRevision &&
                    entry.mReplica->Tables() == leader->mReplica->Tables(),
                  instance.mValue + " has not converged");
    mChecks.Check(!member.mVoter ||
                    other.mRole != control::replica_role::kJoining,
                  instance.mValue + " is not admitted again");
  }
  for (auto const& daemon : mObservers) {
    mChecks.Check(daemon.mRevision == status.mRevision &&
                    daemon.mHash == mChecks.HashOf(status.mRevision),
                  daemon.mInstance.mValue + " has not converged");
  }
}

}
