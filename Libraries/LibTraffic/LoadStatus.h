#pragma once

#include <compare>
#include <cstdint>

namespace cranberryfold::traffic {

/// Load and admission state of an upstream, sent with each of its responses and
/// refusals.
struct load_status
{
  /// Calls that are running at the upstream or waiting in its queue.
  std::uint32_t mInFlight = 0;
  /// Current concurrency limit; at most the slots.
  std::uint32_t mLimit = 0;
  /// Calls with a smaller ShedPosition() are refused; 0 refuses none.
  std::uint32_t mAdmissionThreshold = 0;
  bool mDraining = false;
  /// Moving average of the time from admission to the end of the response; 0
  /// when unknown.
  std::uint32_t mServiceMicroseconds = 0;
  /// Calls of this route with a smaller ShedPosition() would be refused by a
  /// downstream pool that they need; 0 if none would.
  std::uint32_t mDownstreamThreshold = 0;

  auto operator<=>(load_status const&) const = default;
};

}
