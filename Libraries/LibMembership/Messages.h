#pragma once

#include "LibMembership/Member.h"
#include "LibTables/Tables.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// Membership and configuration messages between daemons.
namespace cranberryfold::membership {

/// Checks whether a member of the zone is alive.
struct ping
{
  std::uint64_t mSequence = 0;
  /// Only this instance may respond; another one may have reused its address.
  core::instance_id mTarget;
  std::vector<member_update> mUpdates;

  bool operator==(ping const&) const = default;
};

/// Asks a zone peer to ping a third member that did not respond.
struct ping_request
{
  std::uint64_t mSequence = 0;
  contact mTarget;

  bool operator==(ping_request const&) const = default;
};

/// Response to a ping, or to a ping_request once its target has responded.
struct ping_ack
{
  std::uint64_t mSequence = 0;
  std::vector<member_update> mUpdates;

  bool operator==(ping_ack const&) const = default;
};

/// An inclusive range of instance ids within a zone. The receiver of a message
/// with a range forwards it to the members within the range.
struct tree_range
{
  core::instance_id mFirst;
  core::instance_id mLast;
  /// Whether the head of each branch is its last member. The two relays of a
  /// zone use different heads, so that one lost message does not affect both
  /// trees.
  bool mReversed = false;

  bool operator==(tree_range const&) const = default;
};

/// The zones that a relay cannot reach.
struct zone_report
{
  core::instance_id mReporter;
  core::incarnation mIncarnation;
  std::uint64_t mSequence = 0;
  std::vector<core::zone_id> mUnreachable;

  bool operator==(zone_report const&) const = default;
};

/// Updates about members and, within a zone, reachability reports of its
/// relays.
struct update_batch
{
  std::vector<member_update> mUpdates;
  std::vector<zone_report> mReports;
  std::optional<tree_range> mRange;

  bool operator==(update_batch const&) const = default;
};

/// Digest of the versions of all members of one zone.
struct zone_digest
{
  core::zone_id mZone;
  std::uint32_t mCount = 0;
  std::uint64_t mHash = 0;

  bool operator==(zone_digest const&) const = default;
};

/// Starts an anti-entropy exchange with a peer, a relay or a seed.
struct digest
{
  std::uint64_t mSequence = 0;
  /// Whether the receiver responds even if no zone differs.
  bool mResponseRequested = false;
  /// Set when the receiver may not know the sender yet.
  std::optional<announcement> mAnnouncement;
  std::vector<zone_digest> mZones;
  std::vector<zone_report> mReports;

  bool operator==(digest const&) const = default;
};

struct entry_version
{
  /// Hash of the instance id; shorter on the wire than the id.
  std::uint64_t mInstanceHash = 0;
  core::incarnation mIncarnation;
  member_state mState = member_state::kAlive;

  bool operator==(entry_version const&) const = default;
};

struct zone_summary
{
  core::zone_id mZone;
  std::vector<entry_version> mEntries;

  bool operator==(zone_summary const&) const = default;
};

/// Response to a digest: the versions of the members of all zones that differ.
struct digest_response
{
  std::uint64_t mSequence = 0;
  std::optional<announcement> mAnnouncement;
  std::vector<zone_summary> mZones;

  bool operator==(digest_response const&) const = default;
};

/// A member that was removed some time after it died or left.
struct removal
{
  core::instance_id mInstance;
  core::incarnation mIncarnation;

  bool operator==(removal const&) const = default;
};

/// Last step of an anti-entropy exchange: updates that the receiver lacks,
/// hashes of members whose updates the sender requests, and removals.
struct entry_exchange
{
  std::vector<member_update> mUpdates;
  std::vector<std::uint64_t> mRequestedHashes;
  std::vector<removal> mRemovals;

  bool operator==(entry_exchange const&) const = default;
};

/// Highest revision that is accepted: 150 million years of 5,000 edits a day.
/// No later tables could replace those with the highest value of the type.
inline constexpr core::revision kMaximumRevision{ (1ULL << 48U) - 1 };

/// The changes from one revision of the tables to the next.
struct table_delta
{
  core::revision mRevision;
  /// Content hash of the tables after the changes.
  std::uint64_t mHash = 0;
  std::vector<tables::change> mChanges;

  bool operator==(table_delta const&) const = default;
};

/// Consecutive deltas, oldest first.
struct configuration_deltas
{
  std::vector<table_delta> mDeltas;
  std::optional<tree_range> mRange;

  bool operator==(configuration_deltas const&) const = default;
};

/// The active revision of the sender. A receiver that is behind requests the
/// changes; one that is ahead responds with its own digest.
struct configuration_digest
{
  core::revision mRevision;
  std::uint64_t mHash = 0;
  /// Whether the receiver responds even if the revisions are equal.
  bool mResponseRequested = false;

  bool operator==(configuration_digest const&) const = default;
};

/// Requests all changes after mRevision.
struct configuration_request
{
  core::revision mRevision;
  /// Requests a snapshot because a delta could not be applied.
  bool mSnapshotRequested = false;

  bool operator==(configuration_request const&) const = default;
};

/// Complete tables, for a receiver that deltas cannot bring up to date.
struct configuration_snapshot
{
  core::revision mRevision;
  std::uint64_t mHash = 0;
  tables::table_set mTables;
  std::optional<tree_range> mRange;

  bool operator==(configuration_snapshot const&) const = default;
};

using member_message = std::variant<ping,
                                    ping_request,
                                    ping_ack,
                                    update_batch,
                                    digest,
                                    digest_response,
                                    entry_exchange>;

using configuration_message = std::variant<configuration_deltas,
                                           configuration_digest,
                                           configuration_request,
                                           configuration_snapshot>;

/// A message and its sender. The sender's address is part of the message
/// because the remote address of a stream is not the one to respond to.
template<class Body>
struct message_with_sender
{
  contact mFrom;
  Body mBody;

  bool operator==(message_with_sender const&) const = default;
};

using message = std::variant<message_with_sender<member_message>,
                             message_with_sender<configuration_message>>;

/// Preferred transport of a message. Datagrams may be lost.
enum class transport_preference
{
  kDatagram,
  kStream,
};

/// Maximum size of an encoded message that is sent as a datagram; fits into one
/// packet on all common links.
inline constexpr std::size_t kMaximumDatagramBytes = 1200;

/// Requests the daemon to send a message; delivery is not guaranteed.
struct send_message
{
  core::address mTo;
  message mMessage;
  transport_preference mPreference = transport_preference::kDatagram;

  bool operator==(send_message const&) const = default;
};

}
