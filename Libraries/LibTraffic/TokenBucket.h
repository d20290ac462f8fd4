#pragma once

#include "LibCore/Time.h"

#include <optional>

namespace cranberryfold::traffic {

/// Paces calls to a rate. A short burst is allowed, so that late wake-ups do
/// not lower the rate.
class token_bucket
{
public:
  /// Sets the calls per second; empty removes the limit. A bucket without a
  /// limit before starts with aTokens, which may exceed the usual burst.
  void SetRate(core::time_point aNow,
               std::optional<double> aCallsPerSecond,
               double aTokens = 0);

  /// Returns whether a call may start.
  bool HasToken(core::time_point aNow) const;
  /// Counts a call that starts. There must be a token.
  void Take(core::time_point aNow);
  /// Returns the time until aCalls more calls may have started.
  core::duration TimeUntil(core::time_point aNow, double aCalls) const;

private:
  double Tokens(core::time_point aNow) const;

  /// Calls per microsecond.
  std::optional<double> mRate;
  double mMaximumTokens = 0;
  double mTokens = 0;
  core::time_point mUpdated;
};

}
