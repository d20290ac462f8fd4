#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTraffic/CallContext.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

/// Bounds on retries: per customer request at its root daemon, and per daemon.
namespace cranberryfold::traffic {

/// Returns the most upstream runs that can follow from one customer request
/// whose call tree without retries has aCalls calls: each permit repeats at
/// most one subtree. A chain of depth d has d calls.
constexpr std::uint64_t
MostUpstreamRuns(std::uint64_t aCalls, std::uint32_t aExtraTries)
{
  return aCalls * (1 + std::uint64_t{ aExtraTries });
}

/// Extra tries of the customer requests that this daemon is the root of. An
/// unknown or expired request gets no permit, so that a lost root fails safe.
class retry_budget
{
public:
  /// Starts the budget of a customer request; a known one keeps its budget.
  void Open(core::time_point aNow,
            core::request_id const& aRequest,
            std::uint32_t aExtraTries,
            core::time_point aExpiry);

  /// Takes one try off the budget; false when there is none.
  bool RequestPermit(core::time_point aNow, core::request_id const& aRequest);

  /// Ends a budget with its request; an unknown one is ignored.
  void Close(core::request_id const& aRequest);

  /// Forgets what has expired.
  void Advance(core::time_point aNow);

  std::size_t Size() const { return mEntries.size(); }

private:
  struct entry
  {
    std::uint32_t mTriesLeft = 0;
    core::time_point mExpiry;
  };

  std::unordered_map<core::request_id, entry> mEntries;
  std::set<std::pair<core::time_point, core::request_id>> mExpiries;
};

/// Tokens of one daemon for one pool: successes earn parts of a token and each
/// retry costs one, which bounds retries in the aggregate.
class retry_ratio
{
public:
  explicit retry_ratio(std::uint32_t aPercent);

  void SetPercent(std::uint32_t aPercent);
  void CountSuccess();
  /// Takes one token; false when there is none.
  bool Take();

private:
  std::uint32_t mPercent;
  /// Hundredths of a token.
  std::uint32_t mHundredths;
};

/// How one attempt ended, and what is known about a further one.
struct retry_facts
{
  outcome mOutcome = outcome::kUnknown;
  /// Why the attempt was refused or lost.
  std::optional<core::refusal_reason> mRefusal;
  bool mIdempotent = false;
  /// The attempt ran into its time limit rather than into a broken connection.
  bool mTimedOut = false;
  /// 1 after the first attempt.
  std::uint32_t mAttempts = 1;
  /// Until the deadline of the request.
  core::duration mTimeLeft{};
  /// Recent latency of the pool; 0 when unknown.
  core::duration mUsualLatency{};
};

struct retry_decision
{
  core::retry_reason mReason = core::retry_reason::kRefusedNotSafe;
  /// Time to wait before the next attempt; nothing when there is none.
  std::optional<core::duration> mBackoff;
};

/// Returns whether the call may go to another upstream at no cost: a daemon
/// refused it before its upstream saw it, for a reason that holds there only.
bool
IsFreeMove(retry_facts const& aFacts);

/// Decides on a further attempt, apart from the permit, which the root daemon
/// is asked for when mBackoff is set. Takes a token from aRatio. Returns
/// nothing when no retry comes into question: the call ran, or would be refused
/// again.
std::optional<retry_decision>
DecideRetry(retry_facts const& aFacts,
            retry_ratio& aRatio,
            core::random_source& aRandom);

}
