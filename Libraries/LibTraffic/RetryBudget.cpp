#include "LibTraffic/RetryBudget.h"

#include <algorithm>

namespace cranberryfold::traffic {

using core::retry_reason;

namespace {

constexpr double kPercent = 100;
/// Part of the share that the lowest shedding level may use; it rises linearly
/// to the whole share for the highest level.
constexpr double kLowestLevelShare = 0.5;
constexpr core::duration kFirstBackoff{ 10'000 };
constexpr core::duration kMaximumBackoff{ 500'000 };
constexpr std::uint32_t kMaximumDoublings = 6;
/// Attempts of one call. With half of all offers refused at random, one call in
/// a thousand is still refused after ten.
constexpr std::uint32_t kMaximumOffers = 10;
/// Buckets over which the present demand for retries is measured: a second, for
/// a window of ten.
constexpr std::int64_t kDemandBuckets = 2;

retry_reason
AllowedReason(retry_facts const& aFacts)
{
  if (aFacts.mOutcome == outcome::kNotRun) {
    return retry_reason::kNotRun;
  }
  return aFacts.mTimedOut ? retry_reason::kIdempotentTimeout
                          : retry_reason::kIdempotentLost;
}

/// Returns whether the refusal applies to the call wherever it is sent.
bool
IsFinal(core::refusal_reason aReason)
{
  switch (aReason) {
    case core::refusal_reason::kSenderCutOff:
    case core::refusal_reason::kNoUpstream:
    case core::refusal_reason::kDeadlineExceeded:
    case core::refusal_reason::kQuarantined:
    case core::refusal_reason::kClaimHeld:
    case core::refusal_reason::kTooDeep:
    case core::refusal_reason::kTooLarge:
      return true;
    default:
      return false;
  }
}

retry_origin
OriginOf(retry_facts const& aFacts)
{
  bool const isRefusedByDaemon =
    aFacts.mOutcome == outcome::kNotRun &&
    aFacts.mRefusal != core::refusal_reason::kUpstreamRefused;
  return isRefusedByDaemon ? retry_origin::kDaemon : retry_origin::kUpstream;
}

/// Full jitter, so that the retries of a burst are spread over time.
core::duration
Backoff(std::uint32_t aAttempts, core::random_source& aRandom)
{
  auto const doublings = std::min(aAttempts - 1, kMaximumDoublings);
  auto const maximum =
    std::min(kMaximumBackoff, kFirstBackoff * (1 << doublings));
  return core::duration(static_cast<std::int64_t>(
    aRandom.Below(static_cast<std::uint64_t>(maximum.count()) + 1)));
}

}

void
retry_budget::Open(core::time_point aNow,
                   core::request_id const& aRequest,
                   std::uint32_t aExtraTries,
                   core::time_point aExpiry)
{
  Advance(aNow);
  if (mEntries.emplace(aRequest, entry{ aExtraTries, aExpiry }).second) {
    mExpiries.emplace(aExpiry, aRequest);
  }
}

bool
retry_budget::RequestPermit(core::time_point aNow,
                            core::request_id const& aRequest)
{
  Advance(aNow);
  auto const found = mEntries.find(aRequest);
  if (found == mEntries.end() || found->second.mTriesLeft == 0) {
    return false;
  }
  --found->second.mTriesLeft;
  return true;
}

void
retry_budget::Close(core::request_id const& aRequest)
{
  auto const found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return;
  }
  mExpiries.erase({ found->second.mExpiry, aRequest });
  mEntries.erase(found);
}

void
retry_budget::Advance(core::time_point aNow)
{
  while (!mExpiries.empty() && mExpiries.begin()->first <= aNow) {
    mEntries.erase(mExpiries.begin()->second);
    mExpiries.erase(mExpiries.begin());
  }
}

retry_ratio::retry_ratio(retry_allowance aAllowance)
  : mAllowance(aAllowance)
{
}

void
retry_ratio::SetAllowance(retry_allowance aAllowance)
{
  if (aAllowance.mWindow != mAllowance.mWindow) {
    mBuckets.fill({});
  }
  mAllowance = aAllowance;
}

std::int64_t
retry_ratio::BucketNumber(core::time_point aNow) const
{
  auto const length = mAllowance.mWindow.count() / kBuckets;
  return aNow.time_since_epoch().count() / length;
}

bool
retry_ratio::IsIdle(core::time_point aNow) const
{
  auto const oldest =
    BucketNumber(aNow) - static_cast<std::int64_t>(mBuckets.size());
  return std::all_of(
    mBuckets.begin(), mBuckets.end(), [oldest](auto const& aEntry) {
      return aEntry.mNumber < 0 || aEntry.mNumber <= oldest;
    });
}

retry_ratio::bucket&
retry_ratio::BucketAt(core::time_point aNow)
{
  auto const number = BucketNumber(aNow);
  auto& found = mBuckets.at(static_cast<std::size_t>(number) % mBuckets.size());
  if (found.mNumber != number) {
    found = { number, 0, 0, {} };
  }
  return found;
}

void
retry_ratio::CountCall(core::time_point aNow)
{
  ++BucketAt(aNow).mCalls;
}

void
retry_ratio::CountRepeat(core::time_point aNow)
{
  ++BucketAt(aNow).mUnrequested;
}

retry_ratio::bucket
retry_ratio::Sum(core::time_point aNow)
{
  bucket sum;
  sum.mNumber = BucketAt(aNow).mNumber;
  for (auto const& entry : mBuckets) {
    if (entry.mNumber <= sum.mNumber - kBuckets) {
      continue;
    }
    sum.mUnrequested += entry.mUnrequested;
    for (std::size_t level = 0; level < entry.mLevels.size(); ++level) {
      sum.mLevels.at(level).mRequested += entry.mLevels.at(level).mRequested;
      sum.mLevels.at(level).mTaken += entry.mLevels.at(level).mTaken;
    }
  }
  for (std::int64_t const ago : { std::int64_t{ 0 }, kBuckets / 2, kBuckets }) {
    sum.mCalls = std::max(sum.mCalls, CallsOfWindow(sum.mNumber, ago));
  }
  return sum;
}

std::uint32_t
retry_ratio::CallsOfWindow(std::int64_t aPresentBucket,
                           std::int64_t aBucketsAgo) const
{
  std::uint32_t calls = 0;
  auto const last = aPresentBucket - aBucketsAgo;
  for (auto const& entry : mBuckets) {
    if (entry.mNumber > last - kBuckets && entry.mNumber <= last) {
      calls += entry.mCalls;
    }
  }
  return calls;
}

double
retry_ratio::ExpectedDemandAbove(std::uint32_t aLevel,
                                 std::int64_t aPresentBucket) const
{
  std::uint32_t requested = 0;
  for (auto const& entry : mBuckets) {
    bool const isPresent = entry.mNumber > aPresentBucket - kDemandBuckets &&
                           entry.mNumber <= aPresentBucket;
    for (auto level = aLevel + 1; isPresent && level < entry.mLevels.size();
         ++level) {
      requested += entry.mLevels.at(level).mFailedByUpstream;
    }
  }
  return static_cast<double>(requested) * kBuckets / kDemandBuckets;
}

bool
retry_ratio::Take(core::time_point aNow,
                  std::uint32_t aLevel,
                  retry_origin aOrigin)
{
  if (mAllowance.mPercent == 0) {
    return false;
  }
  auto& ownLevel = BucketAt(aNow).mLevels.at(aLevel);
  ++ownLevel.mRequested;
  ownLevel.mFailedByUpstream += aOrigin == retry_origin::kUpstream ? 1 : 0;
  auto const sum = Sum(aNow);
  double takenUpToLevel = sum.mUnrequested;
  double requestedAbove = 0;
  double taken = sum.mUnrequested;
  for (std::size_t level = 0; level < sum.mLevels.size(); ++level) {
    auto const& counts = sum.mLevels.at(level);
    taken += counts.mTaken;
    if (level <= aLevel) {
      takenUpToLevel += counts.mTaken;
    } else {
      requestedAbove += counts.mRequested;
    }
  }
  auto const demandAbove =
    std::max(requestedAbove, ExpectedDemandAbove(aLevel, sum.mNumber));
  auto const share = sum.mCalls * mAllowance.mPercent / kPercent;
  auto const allowed = share + mAllowance.mSlackRepeats;
  auto const levels = static_cast<double>(tables::kShedLevels) - 1;
  auto const part =
    kLowestLevelShare + (1 - kLowestLevelShare) * aLevel / levels;
  bool const fits =
    taken + 1 <= allowed &&
    takenUpToLevel + 1 <= share * part + mAllowance.mSlackRepeats &&
    takenUpToLevel + 1 + demandAbove <= allowed;
  if (!fits) {
    return false;
  }
  ++ownLevel.mTaken;
  return true;
}

void
retry_ratio::Return(core::time_point aNow, std::uint32_t aLevel)
{
  auto& taken = BucketAt(aNow).mLevels.at(aLevel).mTaken;
  taken -= std::min(taken, 1U);
}

bool
CanOfferAgain(retry_facts const& aFacts)
{
  return aFacts.mOutcome == outcome::kNotRun &&
         aFacts.mRefusal == core::refusal_reason::kUpstreamRefused &&
         aFacts.mAttempts < kMaximumOffers;
}

bool
IsTransparentRetry(retry_facts const& aFacts)
{
  return aFacts.mOutcome == outcome::kNotRun && aFacts.mRefusal &&
         *aFacts.mRefusal != core::refusal_reason::kUpstreamRefused &&
         !IsFinal(*aFacts.mRefusal);
}

std::optional<retry_decision>
DecideRetry(retry_facts const& aFacts,
            retry_ratio& aRatio,
            core::random_source& aRandom)
{
  if (aFacts.mOutcome == outcome::kRan) {
    return std::nullopt;
  }
  if (aFacts.mOutcome == outcome::kNotRun && aFacts.mRefusal &&
      IsFinal(*aFacts.mRefusal)) {
    return std::nullopt;
  }
  if (aFacts.mOutcome == outcome::kUnknown && !aFacts.mIdempotent) {
    return retry_decision{ retry_reason::kRefusedNotSafe, std::nullopt };
  }
  auto const backoff = Backoff(aFacts.mAttempts, aRandom);
  if (backoff + aFacts.mUsualLatency >= aFacts.mTimeLeft) {
    return retry_decision{ retry_reason::kRefusedDeadline, std::nullopt };
  }
  if (!aRatio.Take(aFacts.mNow, aFacts.mLevel, OriginOf(aFacts))) {
    return retry_decision{ retry_reason::kRefusedRatio, std::nullopt };
  }
  return retry_decision{ AllowedReason(aFacts), backoff };
}

}
