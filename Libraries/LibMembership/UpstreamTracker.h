#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibMembership/Member.h"

#include <cstdint>
#include <optional>
#include <string>

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
  /// From a former process, or older than the last accepted report; ignored.
  kOutdated,
  /// For a service or address other than that of the daemon's upstream;
  /// ignored.
  kForeign,
};

std::string_view
ReportOutcomeName(report_outcome aOutcome);

/// Orders the reports of the local upstream by process and sequence number, so
/// that a delayed report cannot revive a former process or state. Not
/// thread-safe.
class upstream_tracker
{
public:
  upstream_tracker(core::address aAddress, core::service_id aService);

  /// Updates the status if the report is accepted. Returns whether it was and,
  /// if not, why.
  report_outcome Handle(core::time_point aNow, upstream_report const& aReport);

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

private:
  bool IsOutdated(upstream_report const& aReport) const;
  void ApplyLeaving();
  bool IsOfPresentProcess(upstream_report const& aReport) const;
  /// Returns whether both start times are known and differ.
  bool HasOtherStart(upstream_report const& aReport) const;

  core::address mAddress;
  core::service_id mService;
  upstream_status mStatus;
  std::uint64_t mStartMilliseconds = 0;
  std::uint64_t mSequence = 0;
  core::time_point mLastReport{};
  /// The present process has stated in a response that it is leaving.
  bool mIsLeaving = false;
};

}
