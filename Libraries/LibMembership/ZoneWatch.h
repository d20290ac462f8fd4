#pragma once

#include "LibCore/Time.h"
#include "LibMembership/MemberTable.h"

#include <map>
#include <set>
#include <vector>

/// Reachability of the other zones, determined from the reports of the own
/// zone's relays.
namespace cranberryfold::membership::detail {

/// Time without a round trip after which a relay reports a zone as unreachable.
inline constexpr core::duration kZoneUnreachableDelay = std::chrono::seconds(3);
/// Time without a round trip after which a relay also tries other members.
inline constexpr core::duration kZoneRetryDelay =
  std::chrono::milliseconds(1500);

class zone_watch
{
public:
  /// Sets the zones to watch, sorted. Zones that are no longer listed are
  /// dropped.
  void SetZones(core::time_point aNow,
                std::vector<core::zone_id> const& aZones);

  /// Records a response from a member of aZone.
  void RecordContact(core::time_point aNow, core::zone_id const& aZone);
  /// Returns zero for a zone that is not watched.
  core::duration TimeSinceContact(core::time_point aNow,
                                  core::zone_id const& aZone) const;
  /// Restarts all timeouts, after a pause or when becoming a relay.
  void Restart(core::time_point aNow);

  /// Returns the zones without contact for at least kZoneUnreachableDelay.
  std::vector<core::zone_id> ZonesWithoutContact(core::time_point aNow) const;

  /// Stores a report if it is newer than the last one of the same relay.
  /// Returns whether it was stored.
  bool MergeReport(zone_report const& aReport);
  std::vector<zone_report> Reports() const;
  /// Drops the reports of members that are not in aRelays.
  void KeepReportsOf(std::vector<contact> const& aRelays);

  /// Evaluates the reports of aRelays: a zone is unreachable when no relay that
  /// has reported can reach it. Returns whether the set of unreachable zones
  /// changed.
  bool Evaluate(std::vector<contact> const& aRelays);
  bool IsReachable(core::zone_id const& aZone) const
  {
    return !mUnreachable.contains(aZone);
  }

private:
  std::map<core::zone_id, core::time_point> mLastContacts;
  std::map<core::instance_id, zone_report> mReports;
  std::set<core::zone_id> mUnreachable;
};

}
