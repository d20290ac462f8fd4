#include "LibTraffic/RetryBudget.h"

#include <algorithm>

namespace cranberryfold::traffic {

using core::retry_reason;

namespace {

constexpr double kPercent = 100;
/// Repeats that a daemon may make beyond its share, so that one with few calls
/// can repeat at all.
constexpr double kFreeRepeats = 1;
/// Part of the share that the lowest level may use; each higher one may use a
/// further part.
constexpr double kLowestLevelShare = 0.5;
constexpr core::duration kFirstBackoff{ 10'000 };
constexpr core::duration kLongestBackoff{ 500'000 };
constexpr std::uint32_t kMostDoublings = 6;

retry_reason
AllowedReason(retry_facts const& aFacts)
{
  if (aFacts.mOutcome == outcome::kNotRun) {
    return retry_reason::kNotRun;
  }
  return aFacts.mTimedOut ? retry_reason::kIdempotentTimeout
                          : retry_reason::kIdempotentLost;
}

/// Refusals that hold for the call as such, wherever it is sent.
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

/// Jitter over the whole range, so that retries of a burst spread out.
core::duration
Backoff(std::uint32_t aAttempts, core::random_source& aRandom)
{
  auto const doublings = std::min(aAttempts - 1, kMostDoublings);
  auto const longest =
    std::min(kLongestBackoff, kFirstBackoff * (1 << doublings));
  return core::duration(static_cast<std::int64_t>(
    aRandom.Below(static_cast<std::uint64_t>(longest.count()) + 1)));
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

retry_ratio::retry_ratio(std::uint32_t aPercent)
  : mPercent(aPercent)
{
}

void
retry_ratio::SetPercent(std::uint32_t aPercent)
{
  mPercent = aPercent;
}

retry_ratio::bucket&
retry_ratio::At(core::time_point aNow)
{
  auto const length = kWindow.count() / static_cast<std::int64_t>(kBuckets);
  auto const number = aNow.time_since_epoch().count() / length;
  auto& found = mBuckets.at(
    static_cast<std::size_t>(number % static_cast<std::int64_t>(kBuckets)));
  if (found.mNumber != number) {
    found = { number, 0, 0 };
  }
  return found;
}

void
retry_ratio::CountCall(core::time_point aNow)
{
  ++At(aNow).mCalls;
}

void
retry_ratio::CountRepeat(core::time_point aNow)
{
  ++At(aNow).mRepeats;
}

bool
retry_ratio::Take(core::time_point aNow, std::uint32_t aLevel)
{
  if (mPercent == 0) {
    return false;
  }
  auto const present = At(aNow).mNumber;
  double calls = 0;
  double repeats = 0;
  for (auto const& entry : mBuckets) {
    if (entry.mNumber > present - static_cast<std::int64_t>(kBuckets)) {
      calls += entry.mCalls;
      repeats += entry.mRepeats;
    }
  }
  auto const levels = static_cast<double>(tables::kShedLevels) - 1;
  auto const part =
    kLowestLevelShare + (1 - kLowestLevelShare) * aLevel / levels;
  if (repeats + 1 > calls * mPercent / kPercent * part + kFreeRepeats) {
    return false;
  }
  ++At(aNow).mRepeats;
  return true;
}

bool
IsFreeMove(retry_facts const& aFacts)
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
  if (!aRatio.Take(aFacts.mNow, aFacts.mLevel)) {
    return retry_decision{ retry_reason::kRefusedRatio, std::nullopt };
  }
  return retry_decision{ AllowedReason(aFacts), backoff };
}

}
