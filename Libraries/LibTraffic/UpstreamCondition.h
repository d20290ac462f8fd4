#pragma once

#include <optional>
#include <string>

namespace cranberryfold::traffic {

/// What an upstream states about itself in a response.
struct upstream_condition
{
  /// Requests per second that the upstream accepts from all daemons together;
  /// empty if it states no limit.
  std::optional<double> mRequestsPerSecond;
  /// The upstream is about to stop and must get no new requests.
  bool mIsLeaving = false;

  bool operator==(upstream_condition const&) const = default;
};

/// Returns the limit in requests per second for the log; "none" if there is
/// none.
std::string
FormatRequestLimit(upstream_condition const& aCondition);

}
