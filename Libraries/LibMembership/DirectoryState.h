#pragma once

#include "LibMembership/FailureDetector.h"
#include "LibMembership/MemberDirectory.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Outbox.h"
#include "LibMembership/UpdateQueue.h"
#include "LibMembership/ZoneWatch.h"

#include <map>
#include <optional>

/// The parts of member_directory and how they work together.
namespace cranberryfold::membership::detail {

/// Time that a suspected member has for a refutation.
inline constexpr core::duration kSuspicionTimeout = std::chrono::seconds(3);
/// Time without any message after which a daemon distrusts its own probes.
inline constexpr core::duration kIsolationDelay = std::chrono::seconds(2);
inline constexpr core::duration kSyncInterval = std::chrono::seconds(1);
/// Work within this time makes a sender one that is told of a drain.
inline constexpr core::duration kSenderMemory = std::chrono::minutes(1);
/// The drain push is repeated, because datagrams may be lost.
inline constexpr int kDrainPushes = 3;
inline constexpr core::duration kDrainPushInterval =
  std::chrono::milliseconds(300);
/// A daemon that has just joined learns what everybody knows; it does not pass
/// that on.
inline constexpr core::duration kSettleTime = std::chrono::seconds(3);
/// Seeds contacted in one round by a daemon that joins. After the loss of a
/// zone, hundreds of daemons join at once, so that it is few.
inline constexpr std::size_t kJoinSeeds = 2;
/// Seeds outside the view that are contacted in one round, to find a world
/// that was split off.
inline constexpr std::size_t kRejoinSeeds = 4;
/// Time after which a joining daemon asks for all members again.
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
  enum class spread
  {
    kPush,
    kNone,
  };

  // Events.
  void On(tick const& aEvent);
  void On(member_message_received const& aEvent);
  void On(own_state_changed const& aEvent);
  void On(seeds_changed const& aEvent);
  void On(requests_received const& aEvent);

  // Messages.
  void On(contact const& aFrom, ping const& aMessage);
  void On(contact const& aFrom, ping_request const& aMessage);
  void On(contact const& aFrom, ping_answer const& aMessage);
  void On(contact const& aFrom, update_batch const& aMessage);
  void On(contact const& aFrom, digest const& aMessage);
  void On(contact const& aFrom, digest_answer const& aMessage);
  void On(contact const& aFrom, entry_exchange const& aMessage);

  // Steps of a tick.
  void NotePause();
  void Probe();
  void ExpireSuspicions();
  void RestartSuspicions();
  void WatchZones();
  void Synchronise();
  void PushDrain();
  void FlushUpdates();
  void Sweep();

  // Merging of news.
  bool Merge(member_update const& aUpdate, spread aSpread);
  std::size_t MergeAll(std::vector<member_update> const& aUpdates,
                       spread aSpread);
  void MergeReports(std::vector<zone_report> const& aReports);
  void HearAboutSelf(member_update const& aUpdate);
  void PublishOwn(core::incarnation aIncarnation, bool aPush);
  bool IsSettled() const;

  // Synchronisation.
  void CompareWithZonePeer();
  void CompareWithZones();
  void ContactSeeds();
  void ContactDeadZonePeer();
  void SendDigest(core::address const& aTo, bool aWantsAnswer, bool aIntroduce);
  void RefuseRemoved(contact const& aFrom, core::incarnation aIncarnation);
  std::vector<core::zone_id> DifferingZones(digest const& aMessage) const;
  void CompareSummary(zone_summary const& aSummary,
                      entry_exchange& aExchange) const;
  void NoteAnswer(contact const& aFrom, digest_answer const& aMessage);
  void NoteJoined();

  bool HasSeeds() const;
  bool IsIsolated() const;
  bool DistrustsItself() const;
  std::vector<contact> SeedsToContact() const;
  bool ActsAsRelay() const;
  bool IsZonePeer(contact const& aContact) const;
  zone_roster const& OwnRoster() const { return mTable.Roster(mOwn.mZone); }
  std::vector<contact> ZonePeers() const;
  std::vector<contact> RemoteRelays() const;
  std::vector<member_update> UpdatesFor(
    std::vector<std::uint64_t> const& aHashes) const;
  std::vector<member_update> Piggyback(core::instance_id const& aReceiver);
  void SendDown(update_batch aBatch, tree_range const& aRange);
  void PublishReport(std::vector<core::zone_id> aSilent);

  directory_settings mSettings;
  core::random_source mRandom;
  announcement mOwn;
  core::time_point mNow;
  member_table mTable;
  update_queue mQueue;
  failure_detector mDetector;
  zone_watch mWatch;
  outbox mOutbox;

  std::map<std::uint64_t, core::time_point> mSuspicions;
  std::map<core::address, core::time_point> mSenders;
  std::map<std::uint64_t, core::time_point> mPendingDigests;
  std::uint64_t mLastSequence = 0;
  std::uint64_t mSyncRound = 0;
  std::uint64_t mReportSequence = 0;
  std::optional<std::vector<core::zone_id>> mReported;
  std::vector<contact> mKnownRelays;
  bool mReportsChanged = false;
  /// Until when the members that were asked for may still arrive.
  core::time_point mMembersExpected;
  int mDrainPushesLeft = 0;
  core::time_point mNextDrainPush;
  std::optional<core::time_point> mLastTick;
  std::optional<core::time_point> mNextSync;
  std::optional<core::time_point> mJoinedAt;
  core::time_point mLastHeard;
  core::time_point mNextSweep;
};

/// Returns the state that an announcement stands for by itself.
inline member_state
AnnouncedState(announcement const& aAnnouncement)
{
  return aAnnouncement.mLifecycle == lifecycle_state::kLeft
           ? member_state::kLeft
           : member_state::kAlive;
}

}
