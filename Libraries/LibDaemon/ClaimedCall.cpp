#include "LibDaemon/ClaimedCall.h"

#include "LibDaemon/CallFramesCodec.h"

namespace cranberryfold::daemon {

template<class Archive>
void
serialize(Archive& aArchive, stored_response& aResponse)
{
  aArchive(aResponse.mHead, aResponse.mBody);
}

namespace {

using traffic::dispatch_outcome;
using traffic::outcome;

/// Instance name in responses that come from the claim group.
core::instance_id const kStoredResponseInstance{ "stored" };

/// Lets a coroutine wait for the decision on a claim.
struct pending_decision
{
  explicit pending_decision(asio::any_io_executor const& aExecutor)
    : mSignal(aExecutor)
  {
  }

  signal mSignal;
  std::optional<claim_service::decision> mDecision;
};

dispatch_outcome
ToDispatchOutcome(call_result const& aResult)
{
  if (aResult.mHasResponse) {
    return dispatch_outcome::kRan;
  }
  return aResult.mRefusal.mOutcome == outcome::kNotRun
           ? dispatch_outcome::kNotRun
           : dispatch_outcome::kUnknown;
}

call_result
Refused(outcome aOutcome, core::refusal_reason aReason)
{
  return { false, false, { aOutcome, aReason, {} } };
}

task<call_result>
SendStoredResponse(std::string aBytes, response_sink aSink)
{
  auto const stored =
    core::Attempt([&] { return DecodeStoredResponse(aBytes); });
  if (!stored) {
    co_return Refused(outcome::kRan, core::refusal_reason::kClaimHeld);
  }
  call_result result{ true, false, {} };
  bool const hasHead =
    co_await aSink.mWriteHead(stored->mHead, kStoredResponseInstance);
  if (!hasHead) {
    co_return result;
  }
  result.mIsComplete = true;
  if (stored->mHead.mHasBody) {
    result.mIsComplete = co_await aSink.mWriteChunk(stored->mBody, true);
  }
  co_return result;
}

task<call_result>
RespondToResend(traffic::claim_answered aAnswered, response_sink aSink)
{
  switch (aAnswered.mAnswer) {
    case traffic::claim_answer::kStoredResponse: {
      auto const result =
        co_await SendStoredResponse(aAnswered.mResponse, aSink);
      co_return result;
    }
    case traffic::claim_answer::kRanAnswerGone:
      co_return Refused(outcome::kRan, core::refusal_reason::kClaimHeld);
    case traffic::claim_answer::kUnknown:
      co_return Refused(outcome::kUnknown, core::refusal_reason::kClaimHeld);
    case traffic::claim_answer::kNotRun:
      break;
  }
  co_return Refused(outcome::kNotRun, aAnswered.mReason);
}

}

std::string
EncodeStoredResponse(stored_response const& aResponse)
{
  return wire::Encode(aResponse);
}

core::result<stored_response>
DecodeStoredResponse(std::string_view aBytes)
{
  return wire::Decode<stored_response>(aBytes, "decode_stored_answer");
}

response_recorder::response_recorder(response_sink aSink)
  : mSink(std::move(aSink))
{
}

response_sink
response_recorder::Sink()
{
  return { [this](call_response_head const& aHead,
                  core::instance_id const& aInstance) {
            return WriteHead(aHead, aInstance);
          },
           [this](std::string_view aBytes, bool aIsLast) {
             return WriteChunk(aBytes, aIsLast);
           } };
}

task<bool>
response_recorder::WriteHead(call_response_head const& aHead,
                             core::instance_id const& aInstance)
{
  mResponse.mHead = aHead;
  co_return co_await mSink.mWriteHead(aHead, aInstance);
}

task<bool>
response_recorder::WriteChunk(std::string_view aBytes, bool aIsLast)
{
  mIsTooLarge = mIsTooLarge || mResponse.mBody.size() + aBytes.size() >
                                 traffic::kMaximumStoredResponseBytes;
  if (!mIsTooLarge) {
    mResponse.mBody += aBytes;
  }
  co_return co_await mSink.mWriteChunk(aBytes, aIsLast);
}

std::string
response_recorder::EncodedResponse() const
{
  auto bytes = mIsTooLarge ? std::string() : EncodeStoredResponse(mResponse);
  return bytes.size() > traffic::kMaximumStoredResponseBytes ? std::string()
                                                             : bytes;
}

std::optional<std::string>
ClaimKeyFor(routed_request const& aRequest)
{
  if (aRequest.mRoute->mIdempotent || aRequest.mContext.mKey.empty()) {
    return std::nullopt;
  }
  return aRequest.mContext.mKey + "#" + aRequest.mRoute->mName;
}

task<call_result>
RunClaimed(claim_service& aClaims,
           asio::any_io_executor aExecutor,
           std::shared_ptr<call_runner> aRunner,
           std::string aKey,
           core::time_point aDeadline,
           std::shared_ptr<response_recorder> aRecorder,
           response_sink aSink)
{
  if (aKey.size() > traffic::kMaximumKeyBytes) {
    co_return Refused(outcome::kNotRun, core::refusal_reason::kBadRequest);
  }
  if (!aClaims.IsHomeZoneKnown(aKey)) {
    co_return Refused(outcome::kNotRun,
                      core::refusal_reason::kClaimUnavailable);
  }
  auto const pending = std::make_shared<pending_decision>(aExecutor);
  auto const onDecision =
    [pending, aExecutor](claim_service::decision const& aDecision) {
      asio::post(aExecutor, [pending, aDecision] {
        pending->mDecision = aDecision;
        pending->mSignal.Notify();
      });
    };
  auto const request =
    aClaims.Claim(Now(), std::move(aKey), aDeadline, onDecision);
  while (!pending->mDecision) {
    co_await pending->mSignal.Wait();
  }
  if (auto const* const answered =
        std::get_if<traffic::claim_answered>(&*pending->mDecision)) {
    auto const resend = co_await RespondToResend(*answered, aSink);
    co_return resend;
  }
  aRunner->SetDispatchDeadline(
    std::get<traffic::claim_granted>(*pending->mDecision).mDispatchBefore);
  auto const result = co_await aRunner->Run();
  bool const canStore = result.mIsComplete;
  aClaims.RecordOutcome(Now(),
                        request,
                        ToDispatchOutcome(result),
                        canStore ? aRecorder->EncodedResponse()
                                 : std::string());
  co_return result;
}

}
