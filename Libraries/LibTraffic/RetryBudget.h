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

/// Bounds on retries: per customer request at its root daemon, and per daemon
/// and pool.
namespace cranberryfold::traffic {

/// Returns the maximum number of upstream runs that one customer request can
/// cause if its call tree without retries has aCalls calls: each permit repeats
/// at most one subtree. A chain of depth d has d calls.
constexpr std::uint64_t
MaximumUpstreamRuns(std::uint64_t aCalls, std::uint32_t aExtraTries)
{
  return aCalls * (1 + std::uint64_t{ aExtraTries });
}

/// Retry budgets of the customer requests whose root is this daemon. An unknown
/// or expired request gets no permit, so that no retries are made after the
/// root daemon has lost its state.
class retry_budget
{
public:
  /// Opens the budget of a customer request; a request that is already known
  /// keeps its budget.
  void Open(core::time_point aNow,
            core::request_id const& aRequest,
            std::uint32_t aExtraTries,
            core::time_point aExpiry);

  /// Takes one try from the budget; returns false if none is left.
  bool RequestPermit(core::time_point aNow, core::request_id const& aRequest);

  /// Removes the budget of a finished request; an unknown request is ignored.
  void Close(core::request_id const& aRequest);

  /// Removes expired budgets.
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

/// Retries that one daemon may make at one pool within any window.
struct retry_allowance
{
  /// Retries per hundred calls.
  std::uint32_t mPercent = 0;
  /// Retries in addition to that share, so that a daemon with few calls can
  /// retry at all.
  double mSlackRepeats = 1;
  core::duration mWindow = std::chrono::seconds(10);

  bool operator==(retry_allowance const&) const = default;
};

/// Who ended the attempt that a retry follows.
enum class retry_origin : std::uint8_t
{
  /// The upstream refused the call or broke off.
  kUpstream,
  /// A daemon refused the call; its threshold keeps the order of levels.
  kDaemon,
};

/// Limits the retries of one daemon at one pool to a share of its calls within
/// a sliding window. All daemons together then stay within that share of all
/// calls without exchanging messages. If the preceding window had more calls,
/// its calls count instead: a fault that ends call chains early removes most
/// calls, and with them the retries that would complete the other chains.
class retry_ratio
{
public:
  explicit retry_ratio(retry_allowance aAllowance);

  void SetAllowance(retry_allowance aAllowance);

  /// Counts a call; its further attempts are not counted.
  void CountCall(core::time_point aNow);

  /// Counts an attempt that repeats work although no retry was requested here:
  /// a call made by a run that was itself a repeat.
  void CountRepeat(core::time_point aNow);

  /// Takes one retry for a call of shedding level aLevel; returns false if none
  /// is available. A lower level gets what higher levels have not requested in
  /// the window and, while upstreams fail their calls, will not request in a
  /// whole one at the present rate: an outage outlasts its first retries.
  bool Take(core::time_point aNow,
            std::uint32_t aLevel,
            retry_origin aOrigin = retry_origin::kUpstream);

  /// Gives back a retry that was taken and not made.
  void Return(core::time_point aNow, std::uint32_t aLevel);

  /// Returns whether nothing was counted within the time that decisions look
  /// back on.
  bool IsIdle(core::time_point aNow) const;

private:
  /// Buckets in one window.
  static constexpr std::int64_t kBuckets = 20;

  /// Counts of one level.
  struct level_counts
  {
    std::uint32_t mRequested = 0;
    /// Requests of origin kUpstream.
    std::uint32_t mFailedByUpstream = 0;
    std::uint32_t mTaken = 0;
  };

  using counts_by_level =
    std::array<level_counts, static_cast<std::size_t>(tables::kShedLevels)>;

  struct bucket
  {
    std::int64_t mNumber = -1;
    std::uint32_t mCalls = 0;
    /// Repeats that were not requested here.
    std::uint32_t mUnrequested = 0;
    counts_by_level mLevels{};
  };

  std::int64_t BucketNumber(core::time_point aNow) const;
  bucket& BucketAt(core::time_point aNow);
  /// Returns the sums over the window that ends at aNow; mCalls is the maximum
  /// over this window and the ones half a window and a window earlier.
  bucket Sum(core::time_point aNow);
  /// Returns the calls of the window that ended aBucketsAgo buckets before
  /// aPresentBucket.
  std::uint32_t CallsOfWindow(std::int64_t aPresentBucket,
                              std::int64_t aBucketsAgo) const;
  /// Returns the retries of origin kUpstream that levels above aLevel would
  /// request in a whole window at their present rate.
  double ExpectedDemandAbove(std::uint32_t aLevel,
                             std::int64_t aPresentBucket) const;

  retry_allowance mAllowance;
  /// Ring buffer of two windows.
  std::array<bucket, static_cast<std::size_t>(2 * kBuckets)> mBuckets{};
};

/// How one attempt ended, and what a decision on a further attempt depends on.
struct retry_facts
{
  outcome mOutcome = outcome::kUnknown;
  /// Why the attempt was refused or lost; empty if neither.
  std::optional<core::refusal_reason> mRefusal;
  bool mIdempotent = false;
  /// The attempt timed out; otherwise its connection was lost.
  bool mTimedOut = false;
  /// Attempts so far; 1 after the first one.
  std::uint32_t mAttempts = 1;
  /// Time until the deadline of the request.
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
  /// Time to wait before the next attempt; empty if there is none.
  std::optional<core::duration> mBackoff;
};

/// Returns whether the call may be sent to another upstream without counting as
/// a retry: the upstream's daemon refused it before dispatch, for a reason that
/// is specific to that upstream.
bool
IsTransparentRetry(retry_facts const& aFacts);

/// Returns whether a call for which the root daemon grants no further upstream
/// may be offered once more to one that it was sent to. Limits on the upstreams
/// of a call bound the runs that follow from it; an upstream that refused it as
/// not run has added none. What a daemon has refused is not offered again: its
/// threshold and queue tell that there is no room.
bool
CanOfferAgain(retry_facts const& aFacts);

/// Decides on a further attempt, except for the permit, which is requested from
/// the root daemon if mBackoff is set. Takes a retry from aRatio if one is
/// possible. Returns nullopt if a retry makes no sense: the call ran, or would
/// be refused again.
std::optional<retry_decision>
DecideRetry(retry_facts const& aFacts,
            retry_ratio& aRatio,
            core::random_source& aRandom);

}
