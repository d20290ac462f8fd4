#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibMembership/Member.h"

#include <cstdint>
#include <optional>
#include <string>

/// What an upstream tells the daemon beside it.
namespace cranberryfold::membership {

/// Name of one process of an upstream. A restart mostly gets a new one.
using upstream_id = core::text_id<struct upstream_tag>;

/// One report of an upstream about itself.
struct upstream_report
{
  upstream_id mId;
  /// Start of the process in milliseconds since 1970; 0 when not told.
  std::uint64_t mStartMilliseconds = 0;
  /// Rises with each report of one process.
  std::uint64_t mSequence = 0;
  core::address mAddress;
  core::service_id mService;
  std::uint32_t mSlots = 0;
  /// kServing, kDraining or kLeft.
  lifecycle_state mLifecycle = lifecycle_state::kServing;
  /// How much longer it stays slow after its start.
  core::duration mColdStartRemaining{};

  bool operator==(upstream_report const&) const = default;
};

/// What the daemon holds to be true about its upstream.
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
  /// Of a former life, or older than what is known; nothing has changed.
  kOutdated,
  /// Names another service or address than the daemon's own upstream.
  kForeign,
};

std::string_view
ReportOutcomeName(report_outcome aOutcome);

/// Puts the reports of the local upstream in order of lives and sequence, so
/// that one that was held up cannot bring back what has ended. A decision
/// object for one thread.
class upstream_tracker
{
public:
  upstream_tracker(core::address aAddress, core::service_id aService);

  report_outcome Handle(core::time_point aNow, upstream_report const& aReport);

  /// The upstream refuses connections or answers as another process; it takes
  /// no work until its next report.
  void MarkUnavailable();

  /// Ends the trust in an upstream that has not reported for too long. Returns
  /// whether that has changed anything.
  bool CheckReportTimeout(core::time_point aNow);

  upstream_status const& Status() const { return mStatus; }

private:
  bool IsOutdated(upstream_report const& aReport) const;

  core::address mAddress;
  core::service_id mService;
  upstream_status mStatus;
  std::uint64_t mStartMilliseconds = 0;
  std::uint64_t mSequence = 0;
  core::time_point mHeard{};
};

}
