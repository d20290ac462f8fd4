#include "LibTraffic/RetryBudget.h"

#include <algorithm>

namespace cranberryfold::traffic {

using core::retry_reason;

namespace {

constexpr std::uint32_t kHundredthsPerToken = 100;
/// Tokens of a daemon without successes yet, and the most that it saves up.
constexpr std::uint32_t kStartTokens = 5;
constexpr std::uint32_t kMostTokens = 20;
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
  , mHundredths(aPercent == 0 ? 0 : kStartTokens * kHundredthsPerToken)
{
}

void
retry_ratio::SetPercent(std::uint32_t aPercent)
{
  mPercent = aPercent;
  mHundredths = aPercent == 0 ? 0 : mHundredths;
}

void
retry_ratio::CountSuccess()
{
  mHundredths =
    std::min(mHundredths + mPercent, kMostTokens * kHundredthsPerToken);
}

bool
retry_ratio::Take()
{
  if (mHundredths < kHundredthsPerToken) {
    return false;
  }
  mHundredths -= kHundredthsPerToken;
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
  if (!aRatio.Take()) {
    return retry_decision{ retry_reason::kRefusedRatio, std::nullopt };
  }
  return retry_decision{ AllowedReason(aFacts), backoff };
}

}
