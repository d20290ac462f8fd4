#include "LibMembership/ZoneWatch.h"

#include <algorithm>

namespace cranberryfold::membership::detail {

void
zone_watch::SetZones(core::time_point aNow,
                     std::vector<core::zone_id> const& aZones)
{
  for (auto const& zone : aZones) {
    mLastContacts.emplace(zone, aNow);
  }
  std::erase_if(mLastContacts, [&](auto const& aEntry) {
    return !std::binary_search(aZones.begin(), aZones.end(), aEntry.first);
  });
}

void
zone_watch::RecordContact(core::time_point aNow, core::zone_id const& aZone)
{
  auto const found = mLastContacts.find(aZone);
  if (found != mLastContacts.end()) {
    found->second = aNow;
  }
}

core::duration
zone_watch::TimeSinceContact(core::time_point aNow,
                             core::zone_id const& aZone) const
{
  auto const found = mLastContacts.find(aZone);
  return found == mLastContacts.end() ? core::duration{} : aNow - found->second;
}

void
zone_watch::Restart(core::time_point aNow)
{
  for (auto& [zone, contacted] : mLastContacts) {
    contacted = aNow;
  }
}

std::vector<core::zone_id>
zone_watch::ZonesWithoutContact(core::time_point aNow) const
{
  std::vector<core::zone_id> unreachable;
  for (auto const& [zone, contacted] : mLastContacts) {
    if (aNow - contacted >= kZoneUnreachableDelay) {
      unreachable.push_back(zone);
    }
  }
  return unreachable;
}

bool
zone_watch::MergeReport(zone_report const& aReport)
{
  auto const found = mReports.find(aReport.mReporter);
  if (found != mReports.end() &&
      std::pair(found->second.mIncarnation, found->second.mSequence) >=
        std::pair(aReport.mIncarnation, aReport.mSequence)) {
    return false;
  }
  mReports[aReport.mReporter] = aReport;
  return true;
}

std::vector<zone_report>
zone_watch::Reports() const
{
  std::vector<zone_report> reports;
  for (auto const& [reporter, report] : mReports) {
    reports.push_back(report);
  }
  return reports;
}

void
zone_watch::KeepReportsOf(std::vector<contact> const& aRelays)
{
  std::erase_if(mReports, [&](auto const& aEntry) {
    return std::none_of(
      aRelays.begin(), aRelays.end(), [&](contact const& aRelay) {
        return aRelay.mInstance == aEntry.first;
      });
  });
}

bool
zone_watch::Evaluate(std::vector<contact> const& aRelays)
{
  std::map<core::zone_id, std::size_t> unreachableCounts;
  std::size_t reporters = 0;
  for (auto const& relay : aRelays) {
    auto const found = mReports.find(relay.mInstance);
    if (found == mReports.end()) {
      continue;
    }
    ++reporters;
    for (auto const& zone : found->second.mUnreachable) {
      ++unreachableCounts[zone];
    }
  }
  std::set<core::zone_id> unreachable;
  for (auto const& [zone, count] : unreachableCounts) {
    if (count == reporters) {
      unreachable.insert(zone);
    }
  }
  bool const changed = unreachable != mUnreachable;
  mUnreachable = std::move(unreachable);
  return changed;
}

}
