#pragma once

#include <compare>
#include <cstdint>

namespace cranberryfold::traffic {

/// State of an upstream's admission control, carried on each of its responses
/// and refusals.
struct load_status
{
  /// Calls that are running at the upstream or waiting in its queue.
  std::uint32_t mInFlight = 0;
  /// Current concurrency limit, at most the slots.
  std::uint32_t mLimit = 0;
  /// Calls with a smaller ShedPosition() are refused; 0 refuses none.
  std::uint32_t mAdmissionThreshold = 0;
  bool mDraining = false;
  /// Mean time from admission to the end of the response, recently; 0 when
  /// unknown.
  std::uint32_t mServiceMicroseconds = 0;
  /// Positions below it would be refused by an upstream that calls of this
  /// route need further down.
  std::uint32_t mDownstreamThreshold = 0;

  auto operator<=>(load_status const&) const = default;
};

}
