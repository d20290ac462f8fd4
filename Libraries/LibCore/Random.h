#pragma once

#include <cstdint>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace cranberryfold::core {

/// Seeded generator that an owner hands to a decision object. Boost's
/// distributions give the same numbers on every platform; those of the
/// standard library do not.
class random_source
{
public:
  explicit random_source(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /// Returns a number from 0 to aBound - 1; aBound must be positive.
  std::uint64_t Below(std::uint64_t aBound)
  {
    return boost::random::uniform_int_distribution<std::uint64_t>(
      0, aBound - 1)(mEngine);
  }

  /// Returns a number from 0 (inclusive) to 1 (exclusive).
  double Fraction() { return boost::random::uniform_01<double>()(mEngine); }

  /// Returns true with the given probability, from 0 to 1.
  bool Chance(double aProbability) { return Fraction() < aProbability; }

  /// Draws from a distribution of Boost.Random.
  template<class Distribution>
  auto Draw(Distribution aDistribution)
  {
    return aDistribution(mEngine);
  }

private:
  boost::random::mt19937_64 mEngine;
};

}
