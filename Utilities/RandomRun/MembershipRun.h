#pragma once

#include "Commands.h"
#include "Fleet.h"
#include "Violation.h"

/// The randomised run of membership and dissemination of the configuration.
namespace cranberryfold::random_run {

class membership_run
{
public:
  membership_run(run_options aOptions, fleet_settings const& aSettings);

  /// Returns the exit code.
  int Execute();

private:
  struct pending_drain
  {
    std::size_t mNode = 0;
    core::time_point mSince;
    std::set<std::size_t> mMustKnow;
  };

  // Course of the run.
  void StartAll();
  void RunSteps();
  void Step();
  void Settle();
  void PrintSummary() const;
  int Report(violation const& aViolation) const;

  // Faults and other events.
  void RandomFault();
  void KillOne();
  void RestartOne();
  void FreezeOne();
  void ThawOne();
  void CutPair();
  void IsolateOne();
  void CutZone();
  void CutRegion();
  void CutOneWay();
  void HealSome();
  void ChangeDatagramFaults();
  void DrainOne();
  /// Kills the relays of a zone, except for aSpared.
  void KillRelays(std::size_t aZone, std::size_t aSpared);
  void FinishDrains();
  void SendWork();
  void EnsureLeader();

  // Invariants.
  void CheckDrains();
  void CheckOwnZones() const;
  void CheckRevisions() const;
  void CheckViews() const;
  void CheckTruth(std::vector<membership::member> const& aView) const;

  std::optional<std::size_t> PickNode(
    std::function<bool(std::size_t)> const& aFilter);
  bool AreConnected(std::size_t aLeft, std::size_t aRight) const;
  bool IsUndisturbed(std::size_t aNode, core::time_point aSince) const;
  std::size_t DownCount() const;
  void Note(std::string const& aKind, std::string const& aText);
  std::string NameOf(std::size_t aNode) const;

  run_options mOptions;
  fleet mFleet;
  core::random_source mRandom;
  std::deque<std::string> mTrace;
  std::map<std::string, std::uint64_t> mFaults;
  std::uint64_t mEdits = 0;
  std::uint64_t mDrains = 0;
  std::uint64_t mDrainChecks = 0;
  std::uint64_t mSettles = 0;
  bool mCalm = false;
  std::vector<core::time_point> mZoneDisturbed;
  std::set<std::size_t> mIsolated;
  std::map<std::size_t, std::map<std::size_t, core::time_point>> mWork;
  std::vector<pending_drain> mPendingDrains;
  std::map<std::size_t, core::time_point> mLeaving;
};

}
