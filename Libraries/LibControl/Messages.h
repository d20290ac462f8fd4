#pragma once

#include "LibControl/Types.h"

#include <limits>

/// Messages between control replicas: Raft with pre-votes, learners and joins.
namespace cranberryfold::control {

/// Asks whether an election in the sender's term + 1 could succeed. Changes no
/// state of the receiver, so a replica that was partitioned cannot raise the
/// term when it returns.
struct pre_vote_request
{
  log_index mLastIndex = 0;
  term_number mLastTerm = 0;
  bool operator==(pre_vote_request const&) const = default;
};

struct pre_vote_response
{
  /// Term of the proposed election: the term of the request + 1.
  term_number mProposedTerm = 0;
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

/// Entries after the given position; a heartbeat if there are none.
struct append_request
{
  log_index mPreviousIndex = 0;
  term_number mPreviousTerm = 0;
  log_index mCommitted = 0;
  /// Send time by the leader's clock. The response returns it, which extends
  /// the leader's lease from that time.
  std::int64_t mSentAtMicroseconds = 0;
  std::vector<log_entry> mEntries;
  bool operator==(append_request const&) const = default;
};

/// Send time in a response to a request of an earlier term, which must not
/// extend a lease.
inline constexpr std::int64_t kNoSendTime =
  std::numeric_limits<std::int64_t>::min();

struct append_response
{
  bool mSuccess = false;
  /// On success, the last index up to which the log is synced and matches the
  /// leader's; otherwise the index from which the leader should send entries.
  log_index mIndex = 0;
  std::int64_t mSentAtMicroseconds = 0;
  bool operator==(append_response const&) const = default;
};

/// Replaces entries that the leader has already compacted. Answered by
/// append_response.
struct snapshot_transfer
{
  std::int64_t mSentAtMicroseconds = 0;
  snapshot mSnapshot;
  bool operator==(snapshot_transfer const&) const = default;
};

/// Asks the leader to admit the sender, which is not a voter under its present
/// incarnation.
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
