#include "LibDaemon/ClaimedCall.h"

#include "LibDaemon/CallFramesCodec.h"

namespace cranberryfold::daemon {

template<class Archive>
void
serialize(Archive& aArchive, stored_response& aAnswer)
{
  aArchive(aAnswer.mHead, aAnswer.mBody);
}

namespace {

using traffic::dispatch_outcome;
using traffic::outcome;

/// Named as the instance of an answer that comes from the claim group.
core::instance_id const kStoredAnswerSource{ "stored" };

/// Keeps the decision until the coroutine that waits for it sees it.
struct decision_box
{
  explicit decision_box(asio::any_io_executor const& aExecutor)
    : mSignal(aExecutor)
  {
  }

  signal mSignal;
  std::optional<claim_service::decision> mDecision;
};

dispatch_outcome
OutcomeOf(call_result const& aResult)
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
SendStored(std::string aBytes, response_sink aSink)
{
  auto const stored =
    core::Attempt([&] { return DecodeStoredResponse(aBytes); });
  if (!stored) {
    co_return Refused(outcome::kRan, core::refusal_reason::kClaimHeld);
  }
  call_result result{ true, false, {} };
  bool const hasHead =
    co_await aSink.mWriteHead(stored->mHead, kStoredAnswerSource);
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
AnswerResend(traffic::claim_answered aAnswer, response_sink aSink)
{
  switch (aAnswer.mAnswer) {
    case traffic::claim_answer::kStoredResponse: {
      auto const result = co_await SendStored(aAnswer.mResponse, aSink);
      co_return result;
    }
    case traffic::claim_answer::kRanAnswerGone:
      co_return Refused(outcome::kRan, core::refusal_reason::kClaimHeld);
    case traffic::claim_answer::kUnknown:
      co_return Refused(outcome::kUnknown, core::refusal_reason::kClaimHeld);
    case traffic::claim_answer::kNotRun:
      break;
  }
  co_return Refused(outcome::kNotRun, aAnswer.mReason);
}

}

std::string
EncodeStoredResponse(stored_response const& aAnswer)
{
  return wire::Encode(aAnswer);
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
  mAnswer.mHead = aHead;
  co_return co_await mSink.mWriteHead(aHead, aInstance);
}

task<bool>
response_recorder::WriteChunk(std::string_view aBytes, bool aIsLast)
{
  mIsTooLarge = mIsTooLarge || mAnswer.mBody.size() + aBytes.size() >
                                 traffic::kMaximumStoredResponseBytes;
  if (!mIsTooLarge) {
    mAnswer.mBody += aBytes;
  }
  co_return co_await mSink.mWriteChunk(aBytes, aIsLast);
}

std::string
response_recorder::Encoded() const
{
  auto bytes = mIsTooLarge ? std::string() : EncodeStoredResponse(mAnswer);
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
  if (!aClaims.KnowsHomeZone(aKey)) {
    co_return Refused(outcome::kNotRun,
                      core::refusal_reason::kClaimUnavailable);
  }
  auto const box = std::make_shared<decision_box>(aExecutor);
  auto const onDecision =
    [box, aExecutor](claim_service::decision const& aDecision) {
      asio::post(aExecutor, [box, aDecision] {
        box->mDecision = aDecision;
        box->mSignal.Notify();
      });
    };
  auto const request =
    aClaims.Claim(Now(), std::move(aKey), aDeadline, onDecision);
  while (!box->mDecision) {
    co_await box->mSignal.Wait();
  }
  if (auto const* const answered =
        std::get_if<traffic::claim_answered>(&*box->mDecision)) {
    auto const resend = co_await AnswerResend(*answered, aSink);
    co_return resend;
  }
  aRunner->SetDispatchDeadline(
    std::get<traffic::claim_granted>(*box->mDecision).mDispatchBefore);
  auto const result = co_await aRunner->Run();
  bool const canStore = result.mIsComplete;
  aClaims.Finish(Now(),
                 request,
                 OutcomeOf(result),
                 canStore ? aRecorder->Encoded() : std::string());
  co_return result;
}

}
