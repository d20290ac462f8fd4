#pragma once

#include "LibDaemon/CallRunner.h"
#include "LibDaemon/ClaimService.h"

#include <memory>
#include <string>

/// At-most-once execution of non-idempotent requests with an idempotency key.
namespace cranberryfold::daemon {

/// A complete response that claim holders store for resends of the request.
struct stored_response
{
  call_response_head mHead;
  std::string mBody;

  bool operator==(stored_response const&) const = default;
};

std::string
EncodeStoredResponse(stored_response const& aResponse);

/// Fails with kMalformed.
core::result<stored_response>
DecodeStoredResponse(std::string_view aBytes);

/// Forwards a response and keeps a copy unless it is too large to be stored.
class response_recorder
{
public:
  explicit response_recorder(response_sink aSink);

  /// Returns the sink for the call runner. The recorder must outlive it.
  response_sink Sink();
  /// Returns the encoded response; empty if it is too large to be stored.
  std::string EncodedResponse() const;

private:
  task<bool> WriteHead(call_response_head const& aHead,
                       core::instance_id const& aInstance);
  task<bool> WriteChunk(std::string_view aBytes, bool aIsLast);

  response_sink mSink;
  stored_response mResponse;
  bool mIsTooLarge = false;
};

/// Returns the claim key of a request, or std::nullopt if it needs no claim.
/// The key starts with the home zone. The appended route separates the calls to
/// different services that belong to one customer request.
std::optional<std::string>
ClaimKeyFor(routed_request const& aRequest);

/// Claims aKey, runs the request if the claim is granted, and records the
/// outcome. A resend gets the stored response through aSink.
task<call_result>
RunClaimed(claim_service& aClaims,
           asio::any_io_executor aExecutor,
           std::shared_ptr<call_runner> aRunner,
           std::string aKey,
           core::time_point aDeadline,
           std::shared_ptr<response_recorder> aRecorder,
           response_sink aSink);

}
