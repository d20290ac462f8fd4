#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibTables/Tables.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryfold::traffic {

/// What is known about whether the upstream ran an attempt.
enum class outcome : std::uint8_t
{
  /// Refused before dispatch, or by an upstream that guarantees that it did not
  /// run the call.
  kNotRun,
  kRan,
  /// The request line may have reached the upstream, but no response arrived.
  kUnknown,
};

/// Propagated with each call of a customer request, in frames between daemons
/// and in headers on loopback.
struct call_context
{
  core::request_id mRequest;
  /// Peer address of the daemon that first received the customer request; it
  /// holds the retry budget.
  core::address mRootDaemon;
  /// On the clock of this process; frames carry the remaining time instead.
  core::time_point mDeadline;
  tables::work_class mClass = tables::work_class::kCatalogue;
  /// Hash of the caller's identity; the same at every hop.
  std::uint64_t mCallerHash = 0;
  /// Number of hops that the call has passed; 0 for a customer request.
  std::uint32_t mDepth = 0;
  /// Idempotency key; empty when the caller sent none.
  std::string mKey;
  /// Shedding level; empty if the class decides.
  std::optional<std::uint32_t> mLevel;
  /// Service whose daemon received the customer request.
  core::service_id mOrigin;
  /// Whether the call repeats work: an earlier attempt of it, or of a call
  /// whose run made it, has reached an upstream.
  bool mIsRepeat = false;
  /// Name of the route of the call.
  std::string mRoute;
  /// The call whose run made this one; empty for a customer request. Known only
  /// to the daemon beside the upstream that made the call.
  core::request_id mParent;

  bool operator==(call_context const&) const = default;
};

/// Returns whether the call belongs to a customer request that was admitted
/// before: refusing it wastes the work done for that request.
inline bool
IsWorkInProgress(call_context const& aContext)
{
  return aContext.mDepth > 0;
}

}
