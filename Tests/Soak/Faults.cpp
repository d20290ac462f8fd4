#include "Soak/Faults.h"

#include <algorithm>
#include <csignal>

namespace cranberryfold::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint64_t kShortestPauseMilliseconds = 200;
constexpr std::uint64_t kLongestPauseMilliseconds = 1500;
/// Time after which an address passes to an instance of another service.
constexpr milliseconds kAddressReuseTime{ 2000 };
/// A service keeps at least this many instances.
constexpr std::size_t kLeastInstances = 2;
/// Kinds of faults that concern processes, and with those of disks.
constexpr std::uint64_t kProcessFaults = 6;
constexpr std::uint64_t kAllFaults = 8;
/// Time for which a disk that becomes full still keeps parts of writes.
constexpr milliseconds kTimeOfPartialWrites{ 500 };
/// Each record of a journal is longer.
constexpr std::uint64_t kLeastRecordBytes = 20;

}

fault_injector::fault_injector(deployment& aDeployment,
                               std::uint64_t aSeed,
                               bool aDisksFail)
  : mDeployment(aDeployment)
  , mRandom(aSeed)
  , mDisksFail(aDisksFail)
{
}

milliseconds
fault_injector::Between(std::uint64_t aLeast, std::uint64_t aMost)
{
  return milliseconds(aLeast + mRandom.Below(aMost - aLeast));
}

bool
fault_injector::IsReplicaDisturbed() const
{
  return std::any_of(
    mActive.begin(), mActive.end(), [this](auto const& aEntry) {
      return mDeployment.IsReplica(aEntry.first);
    });
}

void
fault_injector::Step()
{
  auto const now = steady_clock::now();
  std::erase_if(mActive, [&](auto const& aEntry) {
    auto const& [member, fault] = aEntry;
    if (now < fault.mDue || !fault.mEnd()) {
      return false;
    }
    mDisturbances[deployment::NameOf(member)].back().mUntil =
      steady_clock::now();
    return true;
  });
  CheckProcesses();
  if (now >= mNext) {
    mNext =
      now + Between(kShortestPauseMilliseconds, kLongestPauseMilliseconds);
    Begin();
  }
}

void
fault_injector::Finish()
{
  while (!mActive.empty()) {
    mNext = time_point::max();
    Step();
  }
}

void
fault_injector::CheckProcesses()
{
  for (std::size_t member = 0; member < mDeployment.Size(); ++member) {
    if (!mActive.contains(member) && mDeployment.DaemonStatus(member)) {
      mEnded.push_back(member);
      mDeployment.StartDaemon(member);
    }
  }
}

void
fault_injector::Begin()
{
  auto member = static_cast<std::size_t>(mRandom.Below(mDeployment.Size()));
  // The number is drawn first, so that a seed names the same faults also when
  // one of them does not fit.
  auto const kind = mRandom.Below(mDisksFail ? kAllFaults : kProcessFaults);
  if (kind >= kProcessFaults) {
    // Only replicas have disks.
    member %= kZones;
  }
  bool const isBusy = mActive.contains(member) ||
                      (mDeployment.IsReplica(member) && IsReplicaDisturbed());
  if (isBusy) {
    return;
  }
  switch (kind) {
    case 0:
      return Freeze(member);
    case 1:
      return Kill(member);
    case 2:
      return Stop(member);
    case 3:
      return Hangup(member);
    case 4:
      return RestartUpstream(member);
    case 5:
      return Replace(member);
    case 6:
      return FillDisk(member);
    default:
      return KillOnFullDisk(member);
  }
}

void
fault_injector::Add(std::size_t aMember,
                    std::string const& aKind,
                    milliseconds aTime,
                    std::function<bool()> aEnd)
{
  auto const now = steady_clock::now();
  auto const name = deployment::NameOf(aMember);
  auto const at = std::chrono::duration_cast<milliseconds>(now - mStart);
  mLog.push_back("at_ms=" + std::to_string(at.count()) + " fault=" + aKind +
                 " at=" + name + " for_ms=" + std::to_string(aTime.count()));
  mDisturbances[name].push_back({ now, std::nullopt });
  mActive[aMember] = { now + aTime, std::move(aEnd) };
}

void
fault_injector::Freeze(std::size_t aMember)
{
  auto const time = Between(300, 5000);
  mDeployment.SignalDaemon(aMember, SIGSTOP);
  Add(aMember, "freeze", time, [this, aMember] {
    mDeployment.SignalDaemon(aMember, SIGCONT);
    return true;
  });
}

void
fault_injector::Kill(std::size_t aMember)
{
  auto const time = Between(0, 1500);
  mDeployment.SignalDaemon(aMember, SIGKILL);
  Add(aMember, "kill", time, [this, aMember] {
    mDeployment.StartDaemon(aMember);
    return true;
  });
}

void
fault_injector::Stop(std::size_t aMember)
{
  mDeployment.SignalDaemon(aMember, SIGTERM);
  Add(aMember, "stop", milliseconds(0), [this, aMember] {
    if (!mDeployment.DaemonStatus(aMember)) {
      return false;
    }
    mDeployment.StartDaemon(aMember);
    return true;
  });
}

void
fault_injector::Hangup(std::size_t aMember)
{
  if (!mDeployment.HasBegun(aMember)) {
    return;
  }
  mDeployment.SignalDaemon(aMember, SIGHUP);
  Add(aMember, "hangup", milliseconds(0), [] { return true; });
}

void
fault_injector::RestartUpstream(std::size_t aMember)
{
  auto const time = Between(0, 2000);
  mDeployment.KillUpstream(aMember);
  Add(aMember, "restart_upstream", time, [this, aMember] {
    mDeployment.StartUpstream(aMember);
    return true;
  });
}

void
fault_injector::Replace(std::size_t aMember)
{
  auto const from = mDeployment.ServiceOf(aMember);
  bool const isNeeded = mDeployment.CountOf(from) <= kLeastInstances;
  if (mDeployment.IsReplica(aMember) || isNeeded) {
    return;
  }
  std::string const to = from == kReadService ? kOrderService : kReadService;
  mDeployment.Remove(aMember);
  Add(aMember, "replace_by_" + to, kAddressReuseTime, [this, aMember, to] {
    mDeployment.StartAs(aMember, to);
    return true;
  });
}

void
fault_injector::FillDisk(std::size_t aMember)
{
  // The next record of the journal is kept in part.
  auto const time = Between(300, 4000);
  mDeployment.LeaveOnDisk(aMember, mRandom.Below(kLeastRecordBytes));
  auto const full = std::chrono::steady_clock::now() + kTimeOfPartialWrites;
  Add(aMember, "disk_full", kTimeOfPartialWrites, [=, this] {
    mDeployment.SetDiskFull(aMember, steady_clock::now() < full + time);
    return steady_clock::now() >= full + time;
  });
}

void
fault_injector::KillOnFullDisk(std::size_t aMember)
{
  auto const time = Between(300, 4000);
  mDeployment.SignalDaemon(aMember, SIGKILL);
  mDeployment.StartDaemon(aMember);
  mDeployment.SetDiskFull(aMember, true);
  Add(aMember, "kill_on_full_disk", time, [this, aMember] {
    mDeployment.SetDiskFull(aMember, false);
    // It may have ended, as its files can't be opened on a full disk.
    if (mDeployment.DaemonStatus(aMember)) {
      mDeployment.StartDaemon(aMember);
    }
    return true;
  });
}

}
