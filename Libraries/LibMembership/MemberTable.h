#pragma once

#include "LibCore/Time.h"
#include "LibMembership/MemberChart.h"
#include "LibMembership/Messages.h"

#include <map>
#include <optional>
#include <vector>

/// Table of all known members with their versions, zone digests and tombstones.
namespace cranberryfold::membership {

/// Time after which a member that is dead or has left is removed.
inline constexpr core::duration kRemovalDelay = std::chrono::minutes(10);
/// Time for which updates about a removed incarnation are rejected; must exceed
/// any partition that can hide the removal from a peer.
inline constexpr core::duration kTombstoneLifetime = std::chrono::hours(24);
inline constexpr std::size_t kRelayCountPerZone = 2;
/// Members of a zone that are tried in turn as receivers of a push, beginning
/// with its relays.
inline constexpr std::size_t kRelayCandidateCount = 8;

struct member_record
{
  announcement mAnnouncement;
  member_state mState = member_state::kAlive;
  core::time_point mStateSince;

  member_update Update() const { return { mAnnouncement, mState }; }
};

/// The live members of one zone, computed from the records.
struct zone_roster
{
  /// Sorted by instance.
  std::vector<contact> mLive;
  /// Live members ordered by the hash of their ids, so that simultaneous
  /// failures of adjacent ids are spread over the ring.
  std::vector<contact> mRing;
  std::vector<contact> mRelays;
  /// The relays and the next members in the same order.
  std::vector<contact> mRelayCandidates;
};

struct merge_result
{
  /// Whether the table was changed.
  bool mAccepted = false;
  transition_actions mActions;
};

class member_table
{
public:
  explicit member_table(bool aTombstones);

  /// Applies an update if it is newer than the record of the member.
  merge_result Merge(core::time_point aNow, member_update const& aUpdate);

  /// Replaces the own record. The caller never decreases its incarnation.
  void SetOwn(core::time_point aNow, announcement const& aOwn);

  member_record const* Find(core::instance_id const& aInstance) const;
  member_record const* FindHash(std::uint64_t aInstanceHash) const;
  /// Returns the incarnation up to which updates about a removed member are
  /// rejected; std::nullopt without a tombstone.
  std::optional<core::incarnation> RemovedIncarnation(
    core::instance_id const& aInstance) const;
  std::optional<removal> FindRemoval(std::uint64_t aInstanceHash) const;
  std::map<std::uint64_t, member_record> const& Records() const
  {
    return mRecords;
  }

  std::vector<zone_digest> Digests() const;
  zone_summary Summary(core::zone_id const& aZone) const;
  std::vector<core::zone_id> Zones() const;
  zone_roster const& Roster(core::zone_id const& aZone) const;

  /// Removes a member that is dead or has left, up to the given incarnation.
  /// Returns whether it was removed.
  bool Remove(core::time_point aNow, removal const& aRemoval);
  /// Removes members that have been dead or left for kRemovalDelay, except
  /// aOwn, and expired tombstones. Returns whether a member was removed.
  bool RemoveExpired(core::time_point aNow, core::instance_id const& aOwn);

  std::size_t MemoryBytes() const;

private:
  struct zone_totals
  {
    std::uint32_t mCount = 0;
    std::uint64_t mHash = 0;
    /// Computed on demand; reset when a member of the zone changes.
    mutable std::optional<zone_roster> mRoster;
  };

  struct tombstone
  {
    removal mRemoval;
    core::time_point mSince;
  };

  void UpdateTotals(std::uint64_t aHash,
                    member_record const& aRecord,
                    int aSign);
  zone_roster ComputeRoster(core::zone_id const& aZone) const;

  bool mUseTombstones;
  std::map<std::uint64_t, member_record> mRecords;
  std::map<core::zone_id, zone_totals> mZones;
  std::map<std::uint64_t, tombstone> mTombstones;
};

/// Returns the hash that identifies a member in entry_version and member_table.
std::uint64_t
InstanceHash(core::instance_id const& aInstance);

/// Whether version A replaces version B of the same member.
bool
IsNewer(core::incarnation aIncarnationA,
        member_state aStateA,
        core::incarnation aIncarnationB,
        member_state aStateB);

}
