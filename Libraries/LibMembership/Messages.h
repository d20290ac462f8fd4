#pragma once

#include "LibMembership/Member.h"
#include "LibTables/Tables.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// Messages between the daemons for membership and configuration.
namespace cranberryfold::membership {

/// Asks a zone peer for a sign of life.
struct ping
{
  std::uint64_t mSequence = 0;
  /// Only this instance answers; an address may be taken over by another one.
  core::instance_id mTarget;
  std::vector<member_update> mUpdates;

  bool operator==(ping const&) const = default;
};

/// Asks a zone peer to ping a third one that did not answer.
struct ping_request
{
  std::uint64_t mSequence = 0;
  contact mTarget;

  bool operator==(ping_request const&) const = default;
};

/// Answers a ping, or a ping_request on behalf of its target.
struct ping_answer
{
  std::uint64_t mSequence = 0;
  std::vector<member_update> mUpdates;

  bool operator==(ping_answer const&) const = default;
};

/// A range of instance ids within a zone, both ends included. A receiver of a
/// message with a range passes it on to the members within the range.
struct tree_range
{
  core::instance_id mFirst;
  core::instance_id mLast;
  /// Whether the head of a part is its last member; the two relays of a zone
  /// use different heads, so that one lost message does not hit both trees.
  bool mReversed = false;

  bool operator==(tree_range const&) const = default;
};

/// The zones that a relay does not reach.
struct zone_report
{
  core::instance_id mReporter;
  core::incarnation mIncarnation;
  std::uint64_t mSequence = 0;
  std::vector<core::zone_id> mUnreachable;

  bool operator==(zone_report const&) const = default;
};

/// News about members and, within a zone, about the reach of its relays.
struct update_batch
{
  std::vector<member_update> mUpdates;
  std::vector<zone_report> mReports;
  std::optional<tree_range> mRange;

  bool operator==(update_batch const&) const = default;
};

/// Condenses all members of one zone.
struct zone_digest
{
  core::zone_id mZone;
  std::uint32_t mCount = 0;
  std::uint64_t mHash = 0;

  bool operator==(zone_digest const&) const = default;
};

/// Starts a comparison of all members with a peer, a relay or a seed.
struct digest
{
  std::uint64_t mSequence = 0;
  /// Whether to answer even when nothing differs.
  bool mWantsAnswer = false;
  /// Set towards those who may not know the sender yet.
  std::optional<announcement> mAnnouncement;
  std::vector<zone_digest> mZones;
  std::vector<zone_report> mReports;

  bool operator==(digest const&) const = default;
};

struct entry_version
{
  /// Hash of the instance id, which is shorter than the id.
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

/// Answers a digest with the versions in all zones that differ.
struct digest_answer
{
  std::uint64_t mSequence = 0;
  std::optional<announcement> mAnnouncement;
  std::vector<zone_summary> mZones;

  bool operator==(digest_answer const&) const = default;
};

/// A member that was removed after it had been dead or gone for long.
struct removal
{
  core::instance_id mInstance;
  core::incarnation mIncarnation;

  bool operator==(removal const&) const = default;
};

/// Ends a comparison: what the peer lacks, and what the sender lacks.
struct entry_exchange
{
  std::vector<member_update> mUpdates;
  std::vector<std::uint64_t> mWanted;
  std::vector<removal> mRemovals;

  bool operator==(entry_exchange const&) const = default;
};

/// The step from one revision of the tables to the next.
struct table_delta
{
  core::revision mRevision;
  /// Content hash of the tables after the step.
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

/// Tells the revision in force. The receiver answers when its own differs.
struct configuration_digest
{
  core::revision mRevision;
  std::uint64_t mHash = 0;
  bool mWantsAnswer = false;

  bool operator==(configuration_digest const&) const = default;
};

/// Asks for everything after mRevision.
struct configuration_request
{
  core::revision mRevision;
  /// Asks for whole tables, since a delta did not apply.
  bool mWhole = false;

  bool operator==(configuration_request const&) const = default;
};

/// Whole tables, for a receiver that is too far behind for deltas.
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
                                    ping_answer,
                                    update_batch,
                                    digest,
                                    digest_answer,
                                    entry_exchange>;

using configuration_message = std::variant<configuration_deltas,
                                           configuration_digest,
                                           configuration_request,
                                           configuration_snapshot>;

/// A message of either kind and its sender. The sender's address is part of
/// the message, since a stream does not tell the address to answer to.
template<class Body>
struct message_with_sender
{
  contact mFrom;
  Body mBody;

  bool operator==(message_with_sender const&) const = default;
};

using message = std::variant<message_with_sender<member_message>,
                             message_with_sender<configuration_message>>;

/// How a message travels best. Datagrams may be lost.
enum class transport_preference
{
  kDatagram,
  kStream,
};

/// Largest encoded message that is sent as a datagram, in bytes; it fits into
/// one packet on every usual link.
inline constexpr std::size_t kMaximumDatagramBytes = 1200;

/// Asks the daemon to send a message; delivery is not guaranteed.
struct send_message
{
  core::address mTo;
  message mMessage;
  transport_preference mPreference = transport_preference::kDatagram;

  bool operator==(send_message const&) const = default;
};

}
