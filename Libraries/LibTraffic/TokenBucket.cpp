#include "LibTraffic/TokenBucket.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <cmath>

namespace cranberryfold::traffic {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/// Time for which unused tokens are kept. Covers the pauses of a daemon that
/// shares its core.
constexpr double kBurstMicroseconds = 250'000;
/// Absorbs rounding: a timer that was set by TimeUntil() must find its token.
constexpr double kTolerance = 1e-6;

}

void
token_bucket::SetRate(core::time_point aNow,
                      std::optional<double> aCallsPerSecond,
                      double aTokens)
{
  if (!aCallsPerSecond) {
    mRate.reset();
    return;
  }
  auto const rate = *aCallsPerSecond / kMicrosecondsPerSecond;
  mMaximumTokens = std::max(1.0, rate * kBurstMicroseconds);
  mTokens = mRate ? std::min(Tokens(aNow), mMaximumTokens) : aTokens;
  mRate = rate;
  mUpdated = aNow;
}

double
token_bucket::Tokens(core::time_point aNow) const
{
  auto const elapsed = static_cast<double>((aNow - mUpdated).count());
  // Tokens beyond the usual burst are not added to, but not taken away either.
  return std::max(mTokens,
                  std::min(mMaximumTokens, mTokens + *mRate * elapsed));
}

bool
token_bucket::HasToken(core::time_point aNow) const
{
  return !mRate || Tokens(aNow) + kTolerance >= 1;
}

void
token_bucket::Take(core::time_point aNow)
{
  if (!mRate) {
    return;
  }
  CF_ASSERT(HasToken(aNow), "a call started without a token");
  mTokens = std::max(0.0, Tokens(aNow) - 1);
  mUpdated = aNow;
}

core::duration
token_bucket::TimeUntil(core::time_point aNow, double aCalls) const
{
  if (!mRate) {
    return {};
  }
  auto const missing = std::max(0.0, aCalls - Tokens(aNow));
  return core::duration(static_cast<std::int64_t>(std::ceil(missing / *mRate)));
}

}
