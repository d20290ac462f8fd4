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

/// Messages between claim coordinators and claim holders. Any of them may be
/// lost, duplicated, delayed or reordered.
namespace cranberryfold::traffic {

/// Maximum length of an idempotency key, in bytes. A request with a longer key
/// is refused as a bad request.
inline constexpr std::size_t kMaximumKeyBytes = 256;
/// Maximum size of a response that holders store for resends, in bytes.
inline constexpr std::size_t kMaximumStoredResponseBytes = 8UL * 1024UL;

/// Identifies one attempt to claim a key; never reused.
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
  /// Dispatched, and its outcome will not become known.
  kUnknown,
  /// Granted and released without dispatch.
  kReleased,
};

/// What a holder knows about a key.
struct claim_record
{
  /// Attempts that may hold the key. More than one only if copies from two
  /// holders disagreed; then no attempt is granted.
  std::vector<attempt_id> mAttempts;
  /// Attempts that released the key; requests of theirs that arrive late are
  /// refused.
  std::vector<attempt_id> mReleased;
  claim_state mState = claim_state::kClaimed;
  /// The upstream's response in the daemon's encoding; empty if it was too
  /// large or did not fit in memory.
  std::string mResponse;

  bool operator==(claim_record const&) const = default;
};

/// Coordinator to holder: claim mKey for mAttempt.
struct claim_request
{
  attempt_id mAttempt;
  shard_id mShard;
  /// Epoch of the group that the coordinator knows.
  claim_epoch mEpoch;
  std::string mKey;

  bool operator==(claim_request const&) const = default;
};

enum class claim_verdict : std::uint8_t
{
  kGranted,
  /// Another attempt has or had the key; see mState and mResponse.
  kHeld,
  /// The holder knows a newer group of the shard.
  kStaleEpoch,
  /// The holder is not in the group, or does not know this group yet.
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
  /// Newer incarnations of other holders that this holder knows of. A grant of
  /// an earlier incarnation does not count together with this reply.
  std::vector<holder_id> mKnownIncarnations;
  /// With kStaleEpoch, the present group, so that the coordinator does not have
  /// to wait for the new map.
  std::optional<claim_group> mNewerGroup;

  bool operator==(claim_reply const&) const = default;
};

/// Coordinator to holder: the outcome of mAttempt, which had a majority, or
/// that it releases the key (kReleased).
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

/// Holder to holder: requests the shard. From then on the receiver grants
/// nothing in groups older than mEpoch.
struct copy_request
{
  shard_id mShard;
  holder_id mRequester;
  claim_epoch mEpoch;
  /// The groups of the shard in mEpoch, so that the receiver learns them before
  /// it has the map.
  claim_shard mGroups;
  /// Only records with greater keys are requested; empty for the first page.
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
  /// Copied from the request. A reply to an earlier incarnation of the
  /// requester may lack grants that the present one has to know.
  holder_id mRequester;
  claim_epoch mRequestEpoch;
  std::string mAfterKey;
  /// Epoch of the newest group in which the source has been allowed to grant.
  claim_epoch mActiveEpoch;
  /// The source grants nothing in groups older than this epoch.
  claim_epoch mFence;
  /// Remaining retention time of the keys that the source lost when it
  /// restarted.
  core::duration mLossRemaining{};
  /// Incarnations of other holders that the source knows of. What the requester
  /// copied from an earlier incarnation of one of them does not count, since
  /// its promise not to grant in older groups was lost by the restart.
  std::vector<holder_id> mKnownIncarnations;
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

/// Returns whether aMessage is for the coordinator of a daemon; otherwise it is
/// for the holder.
inline bool
IsForCoordinator(claim_message const& aMessage)
{
  return std::holds_alternative<claim_reply>(aMessage) ||
         std::holds_alternative<claim_update_ack>(aMessage);
}

/// Sends a message to another daemon, or to the holder or coordinator of the
/// same daemon if mTo is its own instance.
struct send_claim_message
{
  core::instance_id mTo;
  claim_message mMessage;

  bool operator==(send_claim_message const&) const = default;
};

}
