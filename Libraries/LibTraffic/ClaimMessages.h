#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibTraffic/ClaimMap.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages between claim coordinators and claim holders. All of them may be
/// lost, repeated, delayed and reordered.
namespace cranberryfold::traffic {

/// Longest idempotency key, in bytes; longer ones are a bad request.
inline constexpr std::size_t kMaximumKeyBytes = 256;
/// Largest response that holders keep for resends, in bytes.
inline constexpr std::size_t kMaximumStoredResponseBytes = 8UL * 1024UL;

/// Names one try to claim a key; never used twice.
struct attempt_id
{
  holder_id mCoordinator;
  std::uint64_t mSequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): see LibCore/Ids.h
  auto operator<=>(attempt_id const&) const = default;
};

enum class claim_state : std::uint8_t
{
  /// Granted; the request may be running.
  kClaimed,
  kCompleted,
  /// Dispatched, and what became of it will not be known.
  kUnknown,
  /// Granted and given back without dispatch.
  kReleased,
};

/// What a holder knows about a key.
struct claim_record
{
  /// Attempts that may hold the key. More than one only after copies from two
  /// holders disagreed; then no attempt is granted.
  std::vector<attempt_id> mAttempts;
  /// Attempts that gave the key back; their late requests are refused.
  std::vector<attempt_id> mReleased;
  claim_state mState = claim_state::kClaimed;
  /// The response of the upstream in the daemon's encoding; empty when it was
  /// too large or was dropped for lack of memory.
  std::string mResponse;

  bool operator==(claim_record const&) const = default;
};

/// Coordinator to holder: claim mKey for mAttempt.
struct claim_request
{
  attempt_id mAttempt;
  shard_id mShard;
  /// Epoch of the group as the coordinator knows it.
  claim_epoch mEpoch;
  std::string mKey;

  bool operator==(claim_request const&) const = default;
};

enum class claim_verdict : std::uint8_t
{
  kGranted,
  /// Another attempt has or had the key; state and response tell more.
  kHeld,
  /// The holder knows a newer group for the shard.
  kStaleEpoch,
  /// The holder does not know this group yet.
  kNotHolder,
  /// The holder has not copied the shard yet.
  kRecovering,
  /// The holder is at its memory limit.
  kFull,
};

/// Holder to coordinator, for each claim_request.
struct claim_reply
{
  attempt_id mAttempt;
  holder_id mHolder;
  claim_epoch mEpoch;
  claim_verdict mVerdict = claim_verdict::kNotHolder;
  claim_state mState = claim_state::kClaimed;
  std::string mResponse;
  /// Lives of other holders of which this holder knows. A grant of an earlier
  /// life of one of them does not count together with this one.
  std::vector<holder_id> mKnownLives;
  /// The present group, with kStaleEpoch, so that the coordinator need not wait
  /// for the new map.
  std::optional<claim_group> mNewerGroup;

  bool operator==(claim_reply const&) const = default;
};

/// Coordinator to holder: what became of mAttempt, which had a majority, or
/// that it gives the key back (kReleased).
struct claim_update
{
  attempt_id mAttempt;
  shard_id mShard;
  std::string mKey;
  claim_state mState = claim_state::kReleased;
  std::string mResponse;

  bool operator==(claim_update const&) const = default;
};

struct claim_update_ack
{
  attempt_id mAttempt;
  core::instance_id mHolder;

  bool operator==(claim_update_ack const&) const = default;
};

/// Holder to holder: send me the shard, and grant nothing in groups older than
/// mEpoch from now on.
struct copy_request
{
  shard_id mShard;
  holder_id mRequester;
  claim_epoch mEpoch;
  /// The groups of the shard in mEpoch; spreads them faster than the map.
  claim_shard mGroups;
  /// Records with greater keys are wanted; empty for the first page.
  std::string mAfterKey;

  bool operator==(copy_request const&) const = default;
};

struct copied_record
{
  std::string mKey;
  claim_record mRecord;
  core::duration mRemaining{};

  bool operator==(copied_record const&) const = default;
};

/// One page of a shard.
struct copy_reply
{
  shard_id mShard;
  holder_id mSource;
  /// Copied from the request. A reply to a former life of the requester is
  /// older than the grants that this life has to know.
  holder_id mRequester;
  claim_epoch mRequestEpoch;
  std::string mAfterKey;
  /// The newest group in which the source has been entitled to grant.
  claim_epoch mActiveEpoch;
  /// The source grants nothing in groups older than this.
  claim_epoch mFence;
  /// How long keys that the source lost by its restart may still matter.
  core::duration mLossRemaining{};
  /// Lives of other holders of which the source knows. What the requester got
  /// from an earlier life of one of them does not count, since the promise not
  /// to grant in older groups was lost with that life.
  std::vector<holder_id> mKnownLives;
  std::vector<copied_record> mRecords;
  bool mLast = false;

  bool operator==(copy_reply const&) const = default;
};

using claim_message = std::variant<claim_request,
                                   claim_reply,
                                   claim_update,
                                   claim_update_ack,
                                   copy_request,
                                   copy_reply>;

/// Whether a daemon hands aMessage to its coordinator; else to its holder.
inline bool
IsForCoordinator(claim_message const& aMessage)
{
  return std::holds_alternative<claim_reply>(aMessage) ||
         std::holds_alternative<claim_update_ack>(aMessage);
}

/// A message for another daemon, or for the holder or coordinator of the same
/// daemon when mTo is the own instance.
struct send_claim_message
{
  core::instance_id mTo;
  claim_message mMessage;

  bool operator==(send_claim_message const&) const = default;
};

}
