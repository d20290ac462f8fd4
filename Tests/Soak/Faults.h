#pragma once

#include "LibCore/Random.h"
#include "Soak/Deployment.h"

#include <functional>
#include <map>
#include <mutex>

namespace cranberryfold::soak {

/// Draws faults for the processes of a deployment and ends them again. Faults
/// of different instances overlap; at most one control replica is concerned at
/// a time.
class fault_injector
{
public:
  /// aDisksFail adds faults of the replicas' disks.
  fault_injector(deployment& aDeployment, std::uint64_t aSeed, bool aDisksFail);

  /// Begins and ends what is due.
  void Step();
  /// Ends all faults.
  void Finish();

  std::map<std::string, std::vector<disturbance>> Disturbances() const
  {
    return mDisturbances;
  }
  std::vector<std::string> const& Log() const { return mLog; }
  /// Returns the members whose daemons ended without having been asked to.
  std::vector<std::size_t> const& Ended() const { return mEnded; }

private:
  struct active_fault
  {
    time_point mDue;
    /// Returns whether the fault is over.
    std::function<bool()> mEnd;
  };

  void Begin();
  void Add(std::size_t aMember,
           std::string const& aKind,
           std::chrono::milliseconds aTime,
           std::function<bool()> aEnd);
  bool IsReplicaDisturbed() const;
  std::chrono::milliseconds Between(std::uint64_t aLeast, std::uint64_t aMost);
  void Freeze(std::size_t aMember);
  void Kill(std::size_t aMember);
  void Stop(std::size_t aMember);
  void Hangup(std::size_t aMember);
  void RestartUpstream(std::size_t aMember);
  void Replace(std::size_t aMember);
  void FillDisk(std::size_t aMember);
  /// Kills a replica and starts it again on a full disk.
  void KillOnFullDisk(std::size_t aMember);
  void CheckProcesses();

  deployment& mDeployment;
  core::random_source mRandom;
  bool mDisksFail;
  time_point mStart = std::chrono::steady_clock::now();
  time_point mNext = mStart;
  std::map<std::size_t, active_fault> mActive;
  std::map<std::string, std::vector<disturbance>> mDisturbances;
  std::vector<std::string> mLog;
  std::vector<std::size_t> mEnded;
};

}
