#pragma once

#include "LibDaemon/CallLink.h"
#include "LibDaemon/RequestBody.h"
#include "LibDaemon/RetryPermits.h"
#include "LibDaemon/TrafficPolicy.h"

#include <functional>
#include <memory>
#include <optional>

#include <string>
#include <vector>

namespace cranberryfold::daemon {

/// Services shared by all outgoing calls of one traffic thread.
struct outgoing_services
{
  asio::any_io_executor mExecutor;
  daemon_settings const& mSettings;
  traffic_policy& mPolicy;
  metrics& mMetrics;
  link_pool& mLinks;
  pending_permits& mPermits;
};

/// A request from a caller or from the local upstream, with its route and pool.
struct routed_request
{
  traffic::call_context mContext;
  /// Owns mRoute.
  std::shared_ptr<tables::route_index const> mTables;
  tables::route const* mRoute = nullptr;
  /// The pool of the route that was selected for this request.
  std::string mPool;
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mHeaders;
  std::optional<std::uint64_t> mContentLength;
  bool mHasBody = false;
};

/// Receives the response. Both functions return false if the receiver has
/// disconnected.
struct response_sink
{
  std::function<task<bool>(call_response_head const&, core::instance_id const&)>
    mWriteHead;
  std::function<task<bool>(std::string_view, bool)> mWriteChunk;
};

/// Suggested wait for callers while the daemon has no tables or drains.
inline constexpr core::duration kNotReadyRetryAfter =
  std::chrono::milliseconds(500);

/// Lowest status that tells a failure of the upstream.
inline constexpr std::uint32_t kFirstServerError = 500;

/// Outcome of a routed request.
struct call_result
{
  /// The head of a response was passed to the sink.
  bool mHasResponse = false;
  /// The whole response was passed to the sink.
  bool mIsComplete = false;
  /// Why the response is missing or incomplete.
  call_refusal mRefusal;
};

/// Runs one request: selects upstreams, makes attempts and retries, and streams
/// both bodies.
class call_runner : public std::enable_shared_from_this<call_runner>
{
public:
  call_runner(outgoing_services& aServices,
              routed_request aRequest,
              response_sink aSink);

  task<call_result> Run();

  /// Returns the body of the request. Call Notify() after each change to it.
  request_body& Body() { return mBody; }
  /// Appends at most Body().FreeBytes() bytes to the body.
  void AppendBody(std::string_view aBytes);
  /// Returns whether the end of the response has arrived, so that the rest of
  /// the body is no longer needed. The response may not have been written yet.
  bool HasReceivedResponse() const { return mHasReceivedResponse; }
  void Notify() { mSignal.Notify(); }
  /// Sets a function that runs after bytes of the body were consumed, since the
  /// buffer may have free space then, and when the body is no longer needed.
  void SetBodyConsumedCallback(std::function<void()> aCallback)
  {
    mOnBodyConsumed = std::move(aCallback);
  }
  /// Sets the time from which on no attempt is started.
  void SetDispatchDeadline(core::time_point aDeadline)
  {
    mDispatchDeadline = aDeadline;
  }
  /// Stops the call because the caller no longer waits for the response.
  void Abandon();
  /// Called when the body has arrived completely.
  void CompleteBody();

private:
  /// Returns whether a request without an upstream waits for the daemon to
  /// learn of one.
  bool MustWaitForStart(call_refusal const& aRefusal) const;
  /// In a drain, waits for the body before the call is sent anywhere, so that a
  /// request whose body arrives too late can be refused as not run. Returns the
  /// refusal, if any.
  task<std::optional<call_refusal>> WaitForBodyInDrain();
  /// Returns whether the body arrives too late for the call to be finished
  /// before the daemon stops.
  bool IsBodyTooLate() const;
  /// Returns whether a call without a response must be answered because the
  /// daemon stops.
  bool MustStopForDrain() const;
  /// Returns when a call that waits for events until aEnd has to check again
  /// whether the daemon stops.
  core::time_point NextCheck(core::time_point aEnd) const;
  task<call_result> Attempt(traffic::chosen_upstream const& aChosen);
  task<call_result> ProcessStreamEvents(
    traffic::chosen_upstream const& aChosen,
    call_link& aLink,
    std::shared_ptr<outgoing_stream> aStream);
  task<bool> ForwardChunk(call_link& aLink,
                          outgoing_stream const& aStream,
                          call_response_chunk const& aChunk);
  task<bool> PrepareRetry(call_refusal const& aRefusal);
  /// Requests a further upstream for a retry. Without one, the retry is limited
  /// to the upstreams that were tried. Returns whether it can be made.
  task<bool> SelectRetryScope(traffic::retry_facts const& aFacts);
  task<bool> ObtainRetryPermit();
  task<bool> RequestPermitFromRoot();
  void SendBody(call_link& aLink, outgoing_stream& aStream);
  void OnStreamEvent();
  /// Sends what has arrived of the body while the response is written. Callers
  /// may read the response only after they have sent the body.
  void SendBodyDuringResponse();
  void LogFailedAttempt(traffic::chosen_upstream const& aChosen,
                        traffic::attempt_report const& aReport) const;
  void LogRetry(core::retry_reason aReason, bool aIsRetried) const;
  call_head MakeHead() const;
  /// Returns the result of an attempt that is stopped locally: "not run" only
  /// if the call was never sent.
  static call_result MakeStoppedResult(outgoing_stream const& aStream,
                                       core::refusal_reason aReason,
                                       bool aHasResponse);

  outgoing_services& mServices;
  routed_request mRequest;
  response_sink mSink;
  signal mSignal;
  request_body mBody;
  std::function<void()> mOnBodyConsumed;
  traffic::attempt_history mHistory;
  /// Stream of the current attempt and its link; empty between attempts.
  std::shared_ptr<call_link> mLink;
  std::shared_ptr<outgoing_stream> mStream;
  /// Whether the head of a response was passed to the sink.
  bool mHasResponseHead = false;
  bool mHasReceivedResponse = false;
  std::uint32_t mAttempts = 0;
  std::uint32_t mTransparentRetries = 0;
  /// Becomes kTried when the root daemon grants no further upstream.
  traffic::attempt_scope mScope = traffic::attempt_scope::kUntried;
  /// Whether the present retry may go to an upstream that was tried.
  bool mCanOfferAgain = false;
  bool mIsAbandoned = false;
  bool mBodyEndSent = false;
  /// The body was completed too late for the call to be finished before the
  /// daemon stops.
  bool mHasLateBody = false;
  std::optional<traffic::load_status> mLastLoadStatus;
  /// HTTP status of the response to the current attempt; 0 before it arrives.
  std::uint32_t mLastHttpStatus = 0;
  std::uint64_t mAttemptBytes = 0;
  core::time_point mDispatchDeadline = core::time_point::max();
};

}
