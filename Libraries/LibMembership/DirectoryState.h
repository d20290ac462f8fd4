#pragma once

#include "LibMembership/FailureDetector.h"
#include "LibMembership/MemberDirectory.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Outbox.h"
#include "LibMembership/UpdateQueue.h"
#include "LibMembership/ZoneWatch.h"

#include <map>
#include <optional>

/// Implementation of member_directory.
namespace cranberryfold::membership::detail {

/// Time that a suspected member has to refute before it is declared dead.
inline constexpr core::duration kSuspicionTimeout = std::chrono::seconds(3);
/// Time without any received message after which a daemon considers itself
/// isolated: unanswered probes then prove nothing about other members.
inline constexpr core::duration kIsolationTimeout = std::chrono::seconds(2);
inline constexpr core::duration kSyncInterval = std::chrono::seconds(1);
/// A daemon that has sent requests within this time is notified of a drain.
inline constexpr core::duration kSenderRetention = std::chrono::minutes(1);
/// A drain notification is repeated, because datagrams may be lost.
inline constexpr int kDrainPushCount = 3;
inline constexpr core::duration kDrainPushInterval =
  std::chrono::milliseconds(300);
/// Time after joining during which received updates are not forwarded: what a
/// new daemon receives first is already known to the other members.
inline constexpr core::duration kJoinSettleTime = std::chrono::seconds(3);
/// Seeds that a joining daemon contacts per round. The number is small because
/// hundreds of daemons join at once after the loss of a zone.
inline constexpr std::size_t kJoinSeedCount = 2;
/// Seeds missing from the view that are contacted per round, to detect and heal
/// a partitioned group.
inline constexpr std::size_t kRejoinSeedCount = 4;
/// Time after which a joining daemon requests the full member list again.
inline constexpr core::duration kJoinTimeout = std::chrono::seconds(2);

class directory_state
{
public:
  directory_state(directory_settings aSettings, core::random_source aRandom);

  std::vector<directory_action> Handle(core::time_point aNow,
                                       directory_event const& aEvent);

  std::vector<member> Members() const;
  peer_set Peers() const;
  announcement const& OwnAnnouncement() const { return mOwn; }
  bool HasJoined() const { return mJoinedAt.has_value() || !HasSeeds(); }
  bool IsRelay() const;
  std::size_t MemoryBytes() const;

private:
  enum class propagation
  {
    kPush,
    kNone,
  };

  // Event handlers.
  void On(tick const& aEvent);
  void On(member_message_received const& aEvent);
  void On(own_state_changed const& aEvent);
  void On(seeds_changed const& aEvent);
  void On(requests_received const& aEvent);

  // Message handlers.
  void On(contact const& aFrom, ping const& aMessage);
  void On(contact const& aFrom, ping_request const& aMessage);
  void On(contact const& aFrom, ping_ack const& aMessage);
  void On(contact const& aFrom, update_batch const& aMessage);
  void On(contact const& aFrom, digest const& aMessage);
  void On(contact const& aFrom, digest_response const& aMessage);
  void On(contact const& aFrom, entry_exchange const& aMessage);

  // Steps of a tick.
  void DetectPause();
  void Probe();
  void ExpireSuspicions();
  void RestartSuspicionTimers();
  void UpdateZoneReachability();
  void Synchronise();
  void PushDrain();
  void FlushUpdates();
  void Sweep();

  // Merging of updates.
  bool Merge(member_update const& aUpdate, propagation aPropagation);
  std::size_t MergeAll(std::vector<member_update> const& aUpdates,
                       propagation aPropagation);
  /// Reports an incarnation above kMaximumIncarnation. Returns whether it is
  /// acceptable.
  bool CheckIncarnation(core::instance_id const& aInstance,
                        core::incarnation aIncarnation);
  void MergeReports(std::vector<zone_report> const& aReports);
  void RefuteUpdateAboutSelf(member_update const& aUpdate);
  void PublishOwnAnnouncement(core::incarnation aIncarnation, bool aPush);
  bool IsSettled() const;

  // Anti-entropy.
  void CompareWithZonePeer();
  void CompareWithZones();
  void ContactSeeds();
  void ContactDeadZonePeer();
  void SendDigest(core::address const& aTo,
                  bool aRequestResponse,
                  bool aIncludeAnnouncement);
  void RejectRemoved(contact const& aFrom, core::incarnation aIncarnation);
  /// Sends back the record of a former process whose incarnation equals that of
  /// aIntroduced, so that the present one refutes it. Digests show no
  /// difference between the two, and neither replaces the other.
  void ReportFormerProcess(contact const& aFrom,
                           announcement const& aIntroduced);
  std::vector<core::zone_id> DifferingZones(digest const& aMessage) const;
  void CompareSummary(zone_summary const& aSummary,
                      entry_exchange& aExchange) const;
  void RecordDigestResponse(contact const& aFrom,
                            digest_response const& aMessage);
  void MarkJoined();

  bool HasSeeds() const;
  bool IsIsolated() const;
  bool IsIsolationGuardActive() const;
  std::vector<contact> SeedsToContact() const;
  bool ActsAsRelay() const;
  bool IsZonePeer(contact const& aContact) const;
  zone_roster const& OwnRoster() const { return mTable.Roster(mOwn.mZone); }
  std::vector<contact> ZonePeers() const;
  std::vector<contact> RemoteRelays() const;
  std::vector<std::vector<contact>> RemoteCandidates() const;
  std::vector<member_update> UpdatesFor(
    std::vector<std::uint64_t> const& aHashes) const;
  std::vector<member_update> PiggybackUpdates(
    core::instance_id const& aReceiver);
  void SendToBranches(update_batch aBatch, tree_range const& aRange);
  void PublishReport(std::vector<core::zone_id> aUnreachable);

  directory_settings mSettings;
  core::random_source mRandom;
  announcement mOwn;
  core::time_point mNow;
  member_table mTable;
  update_queue mUpdateQueue;
  failure_detector mFailureDetector;
  zone_watch mZoneWatch;
  outbox mOutbox;

  std::map<std::uint64_t, core::time_point> mSuspicionDeadlines;
  std::map<core::address, core::time_point> mRecentSenders;
  std::map<std::uint64_t, core::time_point> mPendingDigestTimes;
  std::uint64_t mLastSequence = 0;
  std::uint64_t mSyncRound = 0;
  std::uint64_t mReportSequence = 0;
  std::optional<std::vector<core::zone_id>> mReportedUnreachable;
  std::vector<contact> mKnownRelays;
  bool mReportsChanged = false;
  /// Until when a requested member list may still arrive; no second one is
  /// requested before.
  core::time_point mFullSyncDeadline;
  int mDrainPushesLeft = 0;
  core::time_point mNextDrainPush;
  std::optional<core::time_point> mLastTick;
  std::optional<core::time_point> mNextSync;
  std::optional<core::time_point> mJoinedAt;
  core::time_point mLastMessageReceived;
  core::time_point mNextSweep;
};

/// Returns the member state that an announcement implies without any suspicion
/// or failure.
inline member_state
AnnouncedState(announcement const& aAnnouncement)
{
  return aAnnouncement.mLifecycle == lifecycle_state::kLeft
           ? member_state::kLeft
           : member_state::kAlive;
}

}
