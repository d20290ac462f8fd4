#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTraffic/CallContext.h"

#include <array>
#include <chrono>
#include <cstddef>
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
MaximumUpstreamRuns(std::uint64_t aCalls, std::uint32_t aExtraTries)
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

/// Repeats that one daemon may make at one pool within any window.
struct retry_allowance
{
  /// Repeats for each hundred calls.
  std::uint32_t mPercent = 0;
  /// Repeats beyond that share, so that a daemon with few calls can repeat at
  /// all.
  double mSlackRepeats = 1;
  core::duration mWindow = std::chrono::seconds(10);

  bool operator==(retry_allowance const&) const = default;
};

/// Repeats of one daemon at one pool, bounded as a share of its calls within a
/// sliding window. All daemons together then stay within that share of all
/// calls, without a message between them. The calls of the window before count
/// where they were more: a fault that ends call chains early takes away most of
/// the calls, and the repeats that would carry the others through with them.
class retry_ratio
{
public:
  explicit retry_ratio(retry_allowance aAllowance);

  void SetAllowance(retry_allowance aAllowance);

  /// Counts a call, not its further attempts.
  void CountCall(core::time_point aNow);

  /// Counts an attempt that repeats work without having been asked for here: a
  /// call made by a run that was a repeat itself.
  void CountRepeat(core::time_point aNow);

  /// Takes one repeat for a call of aLevel; false when there is none. A lower
  /// level gets what higher ones have not asked for in the window, and leaves
  /// a part of the allowance to those that may yet ask.
  bool Take(core::time_point aNow, std::uint32_t aLevel);

private:
  /// Buckets of one window.
  static constexpr std::int64_t kBuckets = 20;

  /// Counts of one level.
  struct level_counts
  {
    std::uint32_t mAsked = 0;
    std::uint32_t mTaken = 0;
  };

  using all_levels =
    std::array<level_counts, static_cast<std::size_t>(tables::kShedLevels)>;

  struct bucket
  {
    std::int64_t mNumber = -1;
    std::uint32_t mCalls = 0;
    /// Repeats that were not asked for here.
    std::uint32_t mForced = 0;
    all_levels mLevels{};
  };

  bucket& At(core::time_point aNow);
  /// Returns the sums over the window.
  bucket Sum(core::time_point aNow);
  /// Returns the calls of the window that ended aBucketsAgo.
  std::uint32_t CallsOfWindow(std::int64_t aPresent,
                              std::int64_t aBucketsAgo) const;

  retry_allowance mAllowance;
  /// Two windows.
  std::array<bucket, static_cast<std::size_t>(2 * kBuckets)> mBuckets{};
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
  core::time_point mNow;
  /// Shedding level of the call.
  std::uint32_t mLevel = 0;
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
IsTransparentRetry(retry_facts const& aFacts);

/// Decides on a further attempt, apart from the permit, which the root daemon
/// is asked for when mBackoff is set. Takes a token from aRatio. Returns
/// nothing when no retry comes into question: the call ran, or would be refused
/// again.
std::optional<retry_decision>
DecideRetry(retry_facts const& aFacts,
            retry_ratio& aRatio,
            core::random_source& aRandom);

}
