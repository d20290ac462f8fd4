#pragma once

#include "LibCore/Time.h"
#include "LibMembership/MemberTable.h"

#include <map>
#include <set>
#include <vector>

/// Which other zones the own zone reaches, as its relays find out and report.
namespace cranberryfold::membership::detail {

/// Time without a round trip after which a relay reports a zone unreachable.
inline constexpr core::duration kZoneSilence = std::chrono::seconds(3);
/// Time without a round trip after which a relay also tries other members.
inline constexpr core::duration kZoneRetry = std::chrono::milliseconds(1500);

class zone_watch
{
public:
  /// Starts to watch the zones that are new and forgets the others.
  void SetZones(core::time_point aNow,
                std::vector<core::zone_id> const& aZones);

  /// Notes that a member of aZone answered.
  void NoteContact(core::time_point aNow, core::zone_id const& aZone);
  core::duration Silence(core::time_point aNow,
                         core::zone_id const& aZone) const;
  /// Starts all waiting times anew, after a pause or when becoming a relay.
  void Restart(core::time_point aNow);

  /// Returns the zones without contact for kZoneSilence.
  std::vector<core::zone_id> SilentZones(core::time_point aNow) const;

  /// Takes a report over when it is newer. Returns whether it was.
  bool MergeReport(zone_report const& aReport);
  std::vector<zone_report> Reports() const;
  /// Drops the reports of all that are not in aRelays.
  void KeepReportsOf(std::vector<contact> const& aRelays);

  /// Judges by the reports of aRelays: a zone is unreachable when no relay
  /// that has reported reaches it. Returns whether the outcome changed.
  bool Evaluate(std::vector<contact> const& aRelays);
  bool IsReachable(core::zone_id const& aZone) const
  {
    return !mUnreachable.contains(aZone);
  }

private:
  std::map<core::zone_id, core::time_point> mContacts;
  std::map<core::instance_id, zone_report> mReports;
  std::set<core::zone_id> mUnreachable;
};

}
