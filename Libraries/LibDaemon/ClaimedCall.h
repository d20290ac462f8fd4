#pragma once

#include "LibDaemon/CallRunner.h"
#include "LibDaemon/ClaimService.h"

#include <memory>
#include <string>

/// At most one run of a non-idempotent request with a key: claim, run, record.
namespace cranberryfold::daemon {

/// A whole answer that claim holders keep for resends.
struct stored_response
{
  call_response_head mHead;
  std::string mBody;

  bool operator==(stored_response const&) const = default;
};

std::string
EncodeStoredResponse(stored_response const& aAnswer);

/// Fails with kMalformed.
core::result<stored_response>
DecodeStoredResponse(std::string_view aBytes);

/// Passes an answer on and keeps a copy while it is small enough to store.
class response_recorder
{
public:
  explicit response_recorder(response_sink aSink);

  /// The sink to give to the runner; the recorder must outlive it.
  response_sink Sink();
  /// Returns the encoded answer; empty when it was too large.
  std::string Encoded() const;

private:
  task<bool> WriteHead(call_response_head const& aHead,
                       core::instance_id const& aInstance);
  task<bool> WriteChunk(std::string_view aBytes, bool aIsLast);

  response_sink mSink;
  stored_response mAnswer;
  bool mIsTooLarge = false;
};

/// Returns the claim key of a request, or nothing when it needs no claim. The
/// home zone stays in front; the route keeps calls of one customer request to
/// different services apart.
std::optional<std::string>
ClaimKeyFor(routed_request const& aRequest);

/// Claims aKey, runs the request when the claim is granted, and records how it
/// ended. A resend gets the stored answer through aSink.
task<call_result>
RunClaimed(claim_service& aClaims,
           asio::any_io_executor aExecutor,
           std::shared_ptr<call_runner> aRunner,
           std::string aKey,
           core::time_point aDeadline,
           std::shared_ptr<response_recorder> aRecorder,
           response_sink aSink);

}
