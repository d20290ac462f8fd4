#include "LibMembership/ZoneWatch.h"

#include <algorithm>

namespace cranberryfold::membership::detail {

void
zone_watch::SetZones(core::time_point aNow,
                     std::vector<core::zone_id> const& aZones)
{
  for (auto const& zone : aZones) {
    mContacts.emplace(zone, aNow);
  }
  std::erase_if(mContacts, [&](auto const& aEntry) {
    return !std::binary_search(aZones.begin(), aZones.end(), aEntry.first);
  });
}

void
zone_watch::NoteContact(core::time_point aNow, core::zone_id const& aZone)
{
  auto const found = mContacts.find(aZone);
  if (found != mContacts.end()) {
    found->second = aNow;
  }
}

core::duration
zone_watch::Silence(core::time_point aNow, core::zone_id const& aZone) const
{
  auto const found = mContacts.find(aZone);
  return found == mContacts.end() ? core::duration{} : aNow - found->second;
}

void
zone_watch::Restart(core::time_point aNow)
{
  for (auto& [zone, contacted] : mContacts) {
    contacted = aNow;
  }
}

std::vector<core::zone_id>
zone_watch::SilentZones(core::time_point aNow) const
{
  std::vector<core::zone_id> silent;
  for (auto const& [zone, contacted] : mContacts) {
    if (aNow - contacted >= kZoneSilence) {
      silent.push_back(zone);
    }
  }
  return silent;
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
  std::map<core::zone_id, std::size_t> complaints;
  std::size_t reporters = 0;
  for (auto const& relay : aRelays) {
    auto const found = mReports.find(relay.mInstance);
    if (found == mReports.end()) {
      continue;
    }
    ++reporters;
    for (auto const& zone : found->second.mUnreachable) {
      ++complaints[zone];
    }
  }
  std::set<core::zone_id> unreachable;
  for (auto const& [zone, count] : complaints) {
    if (count == reporters) {
      unreachable.insert(zone);
    }
  }
  bool const changed = unreachable != mUnreachable;
  mUnreachable = std::move(unreachable);
  return changed;
}

}
