#pragma once

#include <array>
#include <string_view>

/// The one list of reasons that code, metrics and docs share.
namespace cranberryfold::core {

/// Why a request or call was refused.
enum class refusal_reason
{
  kNoTables,
  kNoRoute,
  kBadRequest,
  kMissingKey,
  kTooLarge,
  kNoUpstream,
  kConnectFailed,
  kPeerLost,
  kUpstreamLost,
  kDraining,
  kNotReady,
  kCutOff,
  kSenderCutOff,
  kQueueFull,
  kQueueTimeout,
  kDeadlineExceeded,
  kUpstreamRefused,
  kNoRetryPermit,
  kClaimUnavailable,
  kClaimHeld,
  kQuarantined,
  kTooDeep,
  kCallerLeft,
  kTooManyConnections,
  kMalformed,
  kWrongService,
  kInternal,
};

/// What led to a retry, or kept one from being made.
enum class retry_reason
{
  kNotRun,
  kIdempotentLost,
  kIdempotentTimeout,
  kRefusedNoPermit,
  kRefusedRatio,
  kRefusedNotSafe,
  kRefusedDeadline,
};

struct reason_text
{
  std::string_view mName;
  std::string_view mHelp;
};

inline constexpr std::size_t kRefusalReasonCount =
  static_cast<std::size_t>(refusal_reason::kInternal) + 1;
inline constexpr std::size_t kRetryReasonCount =
  static_cast<std::size_t>(retry_reason::kRefusedDeadline) + 1;

/// Returns the label in metrics and headers, and one sentence on it.
reason_text const&
Describe(refusal_reason aReason);
reason_text const&
Describe(retry_reason aReason);

inline std::string_view
ReasonName(refusal_reason aReason)
{
  return Describe(aReason).mName;
}

inline std::string_view
ReasonName(retry_reason aReason)
{
  return Describe(aReason).mName;
}

}
