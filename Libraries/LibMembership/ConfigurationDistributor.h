#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibMembership/MemberDirectory.h"
#include "LibMembership/Messages.h"
#include "LibMembership/PushTracker.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

/// Dissemination of the configuration tables to all daemons.
namespace cranberryfold::membership {

struct distributor_settings
{
  contact mOwn;
  /// Whether to compare revisions with a random peer every second.
  bool mAntiEntropy = true;
  /// Whether to push committed edits through relays and dissemination trees.
  bool mPush = true;
};

/// The control replica of this daemon has committed tables. The daemon of the
/// leader pushes them to all zones, that of another replica to its own zone if
/// no push has brought them before.
struct tables_committed
{
  core::revision mRevision;
  std::shared_ptr<tables::table_set const> mTables;
  bool mIsLeader = false;
};

/// The result of member_directory::Peers() has changed.
struct peers_changed
{
  peer_set mPeers;
};

struct configuration_message_received
{
  message_with_sender<configuration_message> mMessage;
};

using distributor_event = std::variant<tick,
                                       configuration_message_received,
                                       tables_committed,
                                       peers_changed>;

/// How tables reached a daemon.
enum class table_source : std::uint8_t
{
  /// Deltas or a snapshot that this daemon did not request.
  kPush,
  /// Deltas or a snapshot that this daemon requested from a peer that was
  /// ahead.
  kRequest,
  /// Committed by the control replica of this daemon.
  kReplica,
};

/// Returns the external name of a source, such as "push".
std::string_view
TableSourceName(table_source aSource);

/// The daemon uses these tables from now on.
struct tables_installed
{
  core::revision mRevision;
  std::uint64_t mHash = 0;
  std::shared_ptr<tables::table_set const> mTables;
  table_source mSource = table_source::kPush;
  /// The peer that sent the tables; empty for kReplica.
  core::instance_id mFrom;
  bool mIsSnapshot = false;
  /// Time since the daemon learned that a newer revision exists; zero if these
  /// tables are the first that it learned of.
  core::duration mBehindFor{};
};

/// The daemon has learned that a peer holds a newer revision than its own.
/// Emitted once until the daemon has caught up.
struct tables_outdated
{
  core::revision mRevision;
  core::revision mNewest;
  core::instance_id mPeer;
};

/// A peer has sent a revision above kMaximumRevision.
struct revision_refused
{
  core::instance_id mPeer;
  core::revision mRevision;
};

/// A peer has sent the own revision with other content. The message is ignored.
struct content_conflict
{
  core::instance_id mPeer;
  core::revision mRevision;
};

using distributor_action = std::variant<send_message,
                                        tables_installed,
                                        tables_outdated,
                                        revision_refused,
                                        content_conflict>;

/// Handles the configuration messages of one daemon: push along the tree and
/// anti-entropy. The active revision never decreases.
class configuration_distributor
{
public:
  configuration_distributor(distributor_settings aSettings,
                            core::random_source aRandom);

  /// Processes one event and returns the resulting actions in order.
  std::vector<distributor_action> Handle(core::time_point aNow,
                                         distributor_event const& aEvent);

  core::revision Revision() const { return mRevision; }
  std::uint64_t Hash() const { return mHash; }
  std::shared_ptr<tables::table_set const> Tables() const { return mTables; }
  /// Whether at least one peer has sent its revision since the start and none
  /// has recently shown a newer one than the own.
  bool IsCaughtUp() const;
  /// Returns the time since the daemon learned of a newer revision than its
  /// own, or zero if it knows of none.
  core::duration BehindFor(core::time_point aNow) const;
  /// Returns the approximate memory use in bytes.
  std::size_t MemoryBytes() const;

private:
  // Event handlers.
  void On(tick const& aEvent);
  void On(configuration_message_received const& aEvent);
  void On(tables_committed const& aEvent);
  void On(peers_changed const& aEvent);

  // Message handlers.
  void On(contact const& aFrom, configuration_deltas const& aMessage);
  void On(contact const& aFrom, configuration_digest const& aMessage);
  void On(contact const& aFrom, configuration_request const& aMessage);
  void On(contact const& aFrom, configuration_snapshot const& aMessage);

  void Install(tables_installed aInstalled);
  bool ApplyDelta(contact const& aFrom, table_delta const& aDelta);
  table_source SourceOf(contact const& aFrom) const;
  /// Records which revision a peer holds.
  void RecordRevision(contact const& aPeer, core::revision aRevision);
  /// Requests from another peer what the last one asked has not sent in time.
  void RepeatRequest();
  /// Returns a peer that was not asked since the last installation, if there is
  /// one. At least one peer must be ahead.
  contact NextPeerToAsk();
  void AppendToHistory(table_delta aDelta);
  bool HasDeltasAfter(core::revision aRevision) const;
  std::vector<table_delta> DeltasAfter(core::revision aRevision) const;
  /// Returns whether a peer has sent the own revision with other content, and
  /// reports this.
  bool IsConflicting(contact const& aFrom,
                     core::revision aRevision,
                     std::uint64_t aHash);

  /// Whether no tables have been received yet.
  bool HasNoTables() const { return mRevision == core::revision{}; }
  core::duration DigestInterval() const;
  void SendDigests();
  /// Sends a request to a peer, or to another one if it was asked before,
  /// unless the answer to an earlier one is still due.
  void RequestFrom(contact const& aPeer);
  void PushToRelays(core::revision aBefore);
  void PushToZone(core::revision aBefore);
  /// Pushes to a member of another zone, which forwards to all of its zone.
  void PushToOtherZone(core::revision aBefore,
                       std::vector<contact> const& aCandidates,
                       bool aReversed);
  void CheckPushes();
  void TakeOver(detail::push_duty const& aDuty);
  configuration_message ChangesSince(core::revision aAfter) const;
  void Send(core::address const& aTo, configuration_message aMessage);
  void SendToBranches(core::revision aBefore,
                      core::revision aRevision,
                      configuration_message aMessage,
                      tree_range const& aRange);
  configuration_snapshot Snapshot() const;
  configuration_digest OwnDigest(bool aRequestResponse) const;
  bool IsRelay() const;

  distributor_settings mSettings;
  core::random_source mRandom;
  core::revision mRevision;
  std::uint64_t mHash = 0;
  std::shared_ptr<tables::table_set const> mTables;
  /// Consecutive deltas, oldest first; the last one produces mRevision.
  std::deque<table_delta> mHistory;
  peer_set mPeers;
  struct peer_ahead
  {
    contact mPeer;
    core::revision mRevision;
    core::time_point mHeard;
  };

  /// Peers that have recently shown a newer revision than the own.
  std::map<core::instance_id, peer_ahead> mPeersAhead;
  bool mHasPeerDigest = false;
  /// Whether a delta to the next revision failed to produce the announced
  /// content hash.
  bool mNeedsSnapshot = false;
  core::time_point mNow;
  core::time_point mRequestExpires;
  /// The peer of the latest request; empty once it has responded.
  core::instance_id mRequestedFrom;
  /// Peers that were asked since the last installation.
  std::set<core::instance_id> mAskedPeers;
  /// When this daemon learned of a newer revision than its own.
  std::optional<core::time_point> mBehindSince;
  std::optional<core::time_point> mNextDigest;
  detail::push_tracker mPushes;
  std::vector<distributor_action> mActions;
};

}
