#include "LibDaemon/HttpDialect.h"

#include "LibCore/Reasons.h"
#include "LibDaemon/HttpFields.h"

#include <algorithm>

namespace cranberryfold::daemon {

namespace {

using core::refusal_reason;
using traffic::outcome;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kTimeout = 504;

unsigned
StatusFor(call_refusal const& aRefusal)
{
  switch (aRefusal.mReason) {
    case refusal_reason::kNoRoute:
      return kNotFound;
    case refusal_reason::kBadRequest:
    case refusal_reason::kMissingKey:
      return kBadRequest;
    case refusal_reason::kTooLarge:
      return kTooLarge;
    default:
      break;
  }
  if (aRefusal.mOutcome == outcome::kNotRun) {
    return kUnavailable;
  }
  if (aRefusal.mReason == refusal_reason::kClaimHeld) {
    return kConflict;
  }
  return aRefusal.mReason == refusal_reason::kDeadlineExceeded ? kTimeout
                                                               : kBadGateway;
}

caller_metadata
ReadCaller(http_fields const& aFields)
{
  caller_metadata metadata;
  metadata.mKey = FieldValue(aFields, header::kIdempotencyKey);
  metadata.mCaller = FieldValue(aFields, header::kCallerId);
  return metadata;
}

upstream_response_metadata
ReadResponse(unsigned aStatus, http_fields const& aFields)
{
  upstream_response_metadata metadata;
  metadata.mRequest = { std::string(FieldValue(aFields, header::kRequestId)) };
  metadata.mIsNotRun =
    aStatus == kUnavailable &&
    FieldValue(aFields, header::kOutcome) == OutcomeName(outcome::kNotRun);
  metadata.mCondition =
    ParseCondition(FieldValue(aFields, header::kRequestLimit),
                   FieldValue(aFields, header::kLeaving) == "yes");
  return metadata;
}

void
MarkRefusal(http_fields& aFields, call_refusal const& aRefusal)
{
  SetField(aFields, header::kOutcome, OutcomeName(aRefusal.mOutcome));
  SetField(aFields, header::kReason, core::ReasonName(aRefusal.mReason));
  if (aRefusal.mOutcome == outcome::kNotRun) {
    auto const seconds = std::max<std::int64_t>(
      1, core::Milliseconds(aRefusal.mRetryAfter) / 1000);
    SetField(aFields, "retry-after", std::to_string(seconds));
  }
}

}

http_dialect
DefaultDialect()
{
  http_dialect dialect;
  dialect.mReadCaller = ReadCaller;
  dialect.mReadContext = ReadContext;
  dialect.mFindParent = [](core::request_id const&) {
    return core::request_id{};
  };
  dialect.mWriteContext = [](http_fields& aFields,
                             traffic::call_context const& aContext,
                             membership::upstream_id const&,
                             core::time_point aNow) {
    WriteContext(aFields, aContext, aNow);
  };
  dialect.mReadResponse = ReadResponse;
  dialect.mMarkResponse = [](http_fields& aFields,
                             core::instance_id const& aInstance) {
    SetField(aFields, header::kInstance, aInstance.mValue);
    SetField(aFields, header::kOutcome, OutcomeName(outcome::kRan));
  };
  dialect.mStatusFor = StatusFor;
  dialect.mMarkRefusal = MarkRefusal;
  dialect.mIsOwnHeader = [](std::string_view aName) {
    return HasOwnPrefix(aName);
  };
  return dialect;
}

}
