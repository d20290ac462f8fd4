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

/// Dissemination of the tables to every daemon.
namespace cranberryfold::membership {

struct distributor_settings
{
  contact mOwn;
  /// Compare revisions with a random peer each second.
  bool mAntiEntropy = true;
  /// Push accepted edits through relays and trees.
  bool mPush = true;
};

/// The control replica of this daemon has committed tables. Only the leader's
/// daemon pushes them.
struct tables_committed
{
  core::revision mRevision;
  std::shared_ptr<tables::table_set const> mTables;
  bool mIsLeader = false;
};

/// The peers have changed, as told by member_directory::Peers().
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

/// Tables that are in force from now on.
struct tables_installed
{
  core::revision mRevision;
  std::uint64_t mHash = 0;
  std::shared_ptr<tables::table_set const> mTables;
};

using distributor_action = std::variant<send_message, tables_installed>;

/// Decides on all configuration messages of one daemon. The revision in force
/// only moves forward.
class configuration_distributor
{
public:
  configuration_distributor(distributor_settings aSettings,
                            core::random_source aRandom);

  std::vector<distributor_action> Handle(core::time_point aNow,
                                         distributor_event const& aEvent);

  core::revision Revision() const { return mRevision; }
  std::uint64_t Hash() const { return mHash; }
  std::shared_ptr<tables::table_set const> Tables() const { return mTables; }
  /// Whether a peer has told its revision since the start and the own one is
  /// not behind it.
  bool IsCaughtUp() const;
  /// Approximate size of all containers in bytes.
  std::size_t MemoryBytes() const;

private:
  // Events.
  void On(tick const& aEvent);
  void On(configuration_message_received const& aEvent);
  void On(tables_committed const& aEvent);
  void On(peers_changed const& aEvent);

  // Messages.
  void On(contact const& aFrom, configuration_deltas const& aMessage);
  void On(contact const& aFrom, configuration_digest const& aMessage);
  void On(contact const& aFrom, configuration_request const& aMessage);
  void On(contact const& aFrom, configuration_snapshot const& aMessage);

  void Install(core::revision aRevision,
               std::uint64_t aHash,
               std::shared_ptr<tables::table_set const> aTables);
  bool ApplyDelta(table_delta const& aDelta);
  void Remember(table_delta aDelta);
  bool HasDeltasAfter(core::revision aRevision) const;
  std::vector<table_delta> DeltasAfter(core::revision aRevision) const;
  void CheckSameContent(core::revision aRevision, std::uint64_t aHash) const;

  /// Whether no tables are known yet.
  bool IsBare() const { return mRevision == core::revision{}; }
  core::duration CompareInterval() const;
  void Compare();
  void RequestFrom(contact const& aPeer);
  void PushToRelays(core::revision aBefore);
  void PushToZone(core::revision aBefore);
  configuration_message Everything(core::revision aAfter) const;
  void Send(core::address const& aTo, configuration_message aMessage);
  template<class Message>
  void SendDown(Message aMessage, tree_range const& aRange);
  configuration_snapshot Snapshot() const;
  configuration_digest OwnDigest(bool aWantsAnswer) const;
  bool IsRelay() const;

  distributor_settings mSettings;
  core::random_source mRandom;
  core::revision mRevision;
  std::uint64_t mHash = 0;
  std::shared_ptr<tables::table_set const> mTables;
  /// Consecutive deltas; the last one leads to mRevision.
  std::deque<table_delta> mHistory;
  peer_set mPeers;
  core::revision mHighestHeard;
  bool mHeardPeer = false;
  /// A delta to the next revision did not lead to the announced content.
  bool mNeedsSnapshot = false;
  core::time_point mNow;
  core::time_point mRequestExpires;
  std::optional<core::time_point> mNextCompare;
  std::vector<distributor_action> mActions;
};

}
