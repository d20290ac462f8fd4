#pragma once

#include "LibControl/Types.h"

#include <limits>

/// Messages between control replicas.
namespace cranberryfold::control {

/// Asks whether an election in the sender's term + 1 could succeed; changes no
/// state, so that a replica that was cut off cannot raise the term.
struct pre_vote_request
{
  log_index mLastIndex = 0;
  term_number mLastTerm = 0;
  bool operator==(pre_vote_request const&) const = default;
};

struct pre_vote_response
{
  /// Term of the election that was asked for.
  term_number mAskedTerm = 0;
  bool mGranted = false;
  bool operator==(pre_vote_response const&) const = default;
};

struct vote_request
{
  log_index mLastIndex = 0;
  term_number mLastTerm = 0;
  bool operator==(vote_request const&) const = default;
};

struct vote_response
{
  bool mGranted = false;
  bool operator==(vote_response const&) const = default;
};

/// Entries after a known position, or a heartbeat when there are none.
struct append_request
{
  log_index mPreviousIndex = 0;
  term_number mPreviousTerm = 0;
  log_index mCommitted = 0;
  /// The leader's own time; returned in the response to extend the lease.
  std::int64_t mSentAtMicroseconds = 0;
  std::vector<log_entry> mEntries;
  bool operator==(append_request const&) const = default;
};

/// In a response to a request of an earlier term; extends no lease.
inline constexpr std::int64_t kNoSendTime =
  std::numeric_limits<std::int64_t>::min();

struct append_response
{
  bool mSuccess = false;
  /// On success the last index that is synced and equal to the leader's; else
  /// the index from which the leader should try again.
  log_index mIndex = 0;
  std::int64_t mSentAtMicroseconds = 0;
  bool operator==(append_response const&) const = default;
};

/// Sent instead of entries that the leader has already compacted. Answered with
/// append_response.
struct snapshot_transfer
{
  std::int64_t mSentAtMicroseconds = 0;
  snapshot mSnapshot;
  bool operator==(snapshot_transfer const&) const = default;
};

/// Sent by a replica that is not a voter under its incarnation.
struct join_request
{
  bool operator==(join_request const&) const = default;
};

using message_body = std::variant<pre_vote_request,
                                  pre_vote_response,
                                  vote_request,
                                  vote_response,
                                  append_request,
                                  append_response,
                                  snapshot_transfer,
                                  join_request>;

struct message
{
  core::instance_id mFrom;
  core::incarnation mIncarnation;
  term_number mTerm = 0;
  message_body mBody;

  bool operator==(message const&) const = default;
};

}
