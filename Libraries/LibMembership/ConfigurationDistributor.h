#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibMembership/MemberDirectory.h"
#include "LibMembership/Messages.h"

#include <deque>
#include <memory>
#include <optional>
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

/// The control replica of this daemon has committed tables. Only the daemon of
/// the leader pushes them to others.
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

/// The daemon uses these tables from now on.
struct tables_installed
{
  core::revision mRevision;
  std::uint64_t mHash = 0;
  std::shared_ptr<tables::table_set const> mTables;
};

using distributor_action = std::variant<send_message, tables_installed>;

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
  /// Whether at least one peer has sent its revision since the start and the
  /// own revision is not behind any that was received.
  bool IsCaughtUp() const;
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

  void Install(core::revision aRevision,
               std::uint64_t aHash,
               std::shared_ptr<tables::table_set const> aTables);
  bool ApplyDelta(table_delta const& aDelta);
  void AppendToHistory(table_delta aDelta);
  bool HasDeltasAfter(core::revision aRevision) const;
  std::vector<table_delta> DeltasAfter(core::revision aRevision) const;
  void AssertSameContent(core::revision aRevision, std::uint64_t aHash) const;

  /// Whether no tables have been received yet.
  bool HasNoTables() const { return mRevision == core::revision{}; }
  core::duration DigestInterval() const;
  void SendDigests();
  void RequestFrom(contact const& aPeer);
  void PushToRelays(core::revision aBefore);
  void PushToZone(core::revision aBefore);
  configuration_message ChangesSince(core::revision aAfter) const;
  void Send(core::address const& aTo, configuration_message aMessage);
  template<class Message>
  void SendToBranches(Message aMessage, tree_range const& aRange);
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
  core::revision mHighestPeerRevision;
  bool mHasPeerDigest = false;
  /// Whether a delta to the next revision failed to produce the announced
  /// content hash.
  bool mNeedsSnapshot = false;
  core::time_point mNow;
  core::time_point mRequestExpires;
  std::optional<core::time_point> mNextDigest;
  std::vector<distributor_action> mActions;
};

}
