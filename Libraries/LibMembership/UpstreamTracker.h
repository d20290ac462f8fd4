#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibMembership/Member.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Reports of an upstream to the daemon beside it.
namespace cranberryfold::membership {

/// Id of one process of an upstream. A restarted process usually has a new one.
using upstream_id = core::text_id<struct upstream_tag>;

/// One report of an upstream about itself.
struct upstream_report
{
  upstream_id mId;
  /// Start time of the process in milliseconds since 1970; 0 if not reported.
  std::uint64_t mStartMilliseconds = 0;
  /// Increases with each report of a process.
  std::uint64_t mSequence = 0;
  core::address mAddress;
  core::service_id mService;
  std::uint32_t mSlots = 0;
  /// kServing, kDraining or kLeft.
  lifecycle_state mLifecycle = lifecycle_state::kServing;
  /// Remaining time of the cold start, during which the upstream is slow.
  core::duration mColdStartRemaining{};

  bool operator==(upstream_report const&) const = default;
};

/// What the health endpoint of an upstream tells.
struct upstream_health
{
  upstream_id mId;
  /// 0 if the response does not tell them.
  std::uint32_t mSlots = 0;
  bool mIsHealthy = false;
  /// The response states that the upstream is leaving.
  bool mIsLeaving = false;

  bool operator==(upstream_health const&) const = default;
};

/// The daemon's current knowledge of its upstream.
struct upstream_status
{
  upstream_id mId;
  std::uint32_t mSlots = 0;
  lifecycle_state mLifecycle = lifecycle_state::kStarting;
  core::duration mColdStartRemaining{};

  bool operator==(upstream_status const&) const = default;
};

enum class report_outcome : std::uint8_t
{
  kAccepted,
  /// From a former process, or older than the last accepted report. The status
  /// does not follow it unless such reports continue while no others arrive.
  kOutdated,
  /// For a service or address other than that of the daemon's upstream;
  /// ignored.
  kForeign,
  /// From a process that is not known yet. The status does not follow it until
  /// the process is confirmed.
  kUnconfirmed,
  /// Outdated, and the upstream is not in use as the report says.
  kContradicted,
};

/// Whether a process that is not known yet must be confirmed before its reports
/// count. A daemon does not know which processes have deregistered before its
/// start, and their reports may be late by any time.
enum class report_confirmation : std::uint8_t
{
  kNone,
  /// The upstream has a health endpoint that names the process.
  kHealthEndpoint,
};

std::string_view
ReportOutcomeName(report_outcome aOutcome);

/// Orders the reports of the local upstream by process and sequence number, so
/// that a delayed report cannot revive a former process or state. Not
/// thread-safe.
class upstream_tracker
{
public:
  upstream_tracker(
    core::address aAddress,
    core::service_id aService,
    report_confirmation aConfirmation = report_confirmation::kNone);

  /// Updates the status if the report is accepted. Returns whether it was and,
  /// if not, why.
  report_outcome Handle(core::time_point aNow, upstream_report const& aReport);

  /// Confirms the process that the response names, or finds it before its first
  /// report.
  void HandleHealth(core::time_point aNow, upstream_health const& aHealth);

  /// Called when the upstream refuses connections or responds as another
  /// process. It receives no requests until its next report.
  void MarkUnavailable();

  /// Called when a response of the process aId states that it is leaving. Its
  /// later reports do not undo this.
  void MarkLeaving(upstream_id const& aId);

  /// Marks a serving upstream as unavailable if it has not reported for too
  /// long. Returns whether the status has changed.
  bool CheckReportTimeout(core::time_point aNow);

  upstream_status const& Status() const { return mStatus; }

  /// Returns whether the upstream is in use as aReport says: one that serves
  /// is, one that is leaving is not.
  bool AgreesWith(upstream_report const& aReport) const;

  /// Returns whether aReport is from the process that the status describes.
  bool IsOfPresentProcess(upstream_report const& aReport) const;

private:
  /// Reports that the status does not follow: of a process that is not
  /// confirmed, or older than the last accepted one.
  struct pending_process
  {
    upstream_report mLatest;
    /// Start of the series of reports with increasing sequence numbers and
    /// without a long pause.
    core::time_point mSeriesStart;
    core::time_point mLastReport;
    std::uint32_t mSeriesReports = 0;
    bool mHasDrained = false;
  };

  /// A process that has deregistered.
  struct departure
  {
    upstream_id mId;
    /// 0 if unknown.
    std::uint64_t mStartMilliseconds = 0;
    core::time_point mTime;
  };

  bool IsOutdated(upstream_report const& aReport) const;
  bool HasDeparted(upstream_report const& aReport) const;
  report_outcome HandleDeregistration(core::time_point aNow,
                                      upstream_report const& aReport);
  /// Keeps the report of an unknown process. Returns kAccepted if its series of
  /// reports has confirmed the process.
  report_outcome HandlePending(core::time_point aNow,
                               upstream_report const& aReport);
  /// Keeps a report that is older than the status. Returns kAccepted if the
  /// series that it continues replaces the status.
  report_outcome HandleOutdated(core::time_point aNow,
                                upstream_report const& aReport);
  /// Returns whether the series shows that its process still reports, and the
  /// process of the status is silent.
  bool HasContinued(core::time_point aNow,
                    pending_process const& aPending) const;
  pending_process& AddPending(core::time_point aNow,
                              upstream_report const& aReport);
  /// Returns the process aId that reported last and is not older than the
  /// present one, or nullptr.
  pending_process const* FindPending(upstream_id const& aId) const;
  /// Returns whether the process has started after one that this daemon has
  /// seen running, so that it cannot have deregistered before the daemon's
  /// start.
  bool IsSuccessor(upstream_report const& aReport) const;
  /// Removes departures and pending processes of which no report can arrive
  /// anymore.
  void DropExpired(core::time_point aNow);
  void Install(core::time_point aNow, upstream_report const& aReport);
  void ApplyLeaving();
  /// Returns whether both start times are known and differ.
  bool HasOtherStart(upstream_report const& aReport) const;

  core::address mAddress;
  core::service_id mService;
  report_confirmation mConfirmation;
  upstream_status mStatus;
  std::uint64_t mStartMilliseconds = 0;
  /// Start time of the last process that was in use; 0 if it is not known.
  std::uint64_t mSeenStartMilliseconds = 0;
  std::uint64_t mSequence = 0;
  core::time_point mLastReport{};
  /// Last report in the name of the present process, accepted or not.
  core::time_point mLastSign{};
  /// The present process has stated in a response that it is leaving.
  bool mIsLeaving = false;
  std::vector<pending_process> mPending;
  std::vector<departure> mDepartures;
};

}
