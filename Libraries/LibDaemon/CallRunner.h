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

/// What all outgoing calls of one traffic thread use.
struct outgoing_services
{
  asio::any_io_executor mExecutor;
  daemon_settings const& mSettings;
  traffic_policy& mPolicy;
  metrics& mMetrics;
  link_pool& mLinks;
  pending_permits& mPermits;
};

/// A request from a caller or from the own upstream, ready to be routed.
struct routed_request
{
  traffic::call_context mContext;
  /// Keeps mRoute.
  std::shared_ptr<tables::route_index const> mTables;
  tables::route const* mRoute = nullptr;
  /// The pool of the route that this request goes to.
  std::string mPool;
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mHeaders;
  std::optional<std::uint64_t> mContentLength;
  bool mHasBody = false;
};

/// Where the answer goes. Both return false when the receiver is gone.
struct response_sink
{
  std::function<task<bool>(call_response_head const&, core::instance_id const&)>
    mWriteHead;
  std::function<task<bool>(std::string_view, bool)> mWriteChunk;
};

/// How a routed request ended.
struct call_result
{
  /// The head of an answer went to the sink.
  bool mHasResponse = false;
  /// The whole answer went to the sink.
  bool mIsComplete = false;
  /// Why there is no whole answer.
  call_refusal mRefusal;
};

/// Carries one request to upstreams: choice, attempts, retries, streaming.
class call_runner : public std::enable_shared_from_this<call_runner>
{
public:
  call_runner(outgoing_services& aServices,
              routed_request aRequest,
              response_sink aSink);

  task<call_result> Run();

  /// The body of the request; call Notify() after each change.
  request_body& Body() { return mBody; }
  void Notify() { mSignal.Notify(); }
  /// Sets what runs after bytes of the body were taken, which makes room.
  void SetBodyTakenHook(std::function<void()> aHook)
  {
    mOnBodyTaken = std::move(aHook);
  }
  /// No attempt starts at or after aLimit.
  void SetDispatchDeadline(core::time_point aLimit) { mDispatchLimit = aLimit; }
  /// Stops the call since nobody waits for its answer.
  void Abandon();

private:
  task<call_result> Attempt(traffic::chosen_upstream const& aChosen);
  task<call_result> FollowStream(traffic::chosen_upstream const& aChosen,
                                 call_link& aLink,
                                 std::shared_ptr<outgoing_stream> aStream);
  task<bool> ForwardChunk(call_link& aLink,
                          outgoing_stream const& aStream,
                          call_response_chunk const& aChunk);
  task<bool> MayRetry(call_refusal const& aRefusal);
  task<bool> ObtainPermit();
  task<bool> AskRootForPermit();
  void SendBody(call_link& aLink, outgoing_stream& aStream);
  void LogFailedAttempt(traffic::attempt_report const& aReport) const;
  void LogRetry(core::retry_reason aReason, bool aIsMade) const;
  call_head MakeHead() const;
  /// Ends a call here. "Not run" rests on the call not having been sent.
  static call_result Stopped(outgoing_stream const& aStream,
                             core::refusal_reason aReason,
                             bool aHasAnswer);

  outgoing_services& mServices;
  routed_request mRequest;
  response_sink mSink;
  signal mSignal;
  request_body mBody;
  std::function<void()> mOnBodyTaken;
  std::vector<core::instance_id> mTried;
  std::uint32_t mAttempts = 0;
  std::uint32_t mFreeMoves = 0;
  bool mIsAbandoned = false;
  bool mBodyEndSent = false;
  std::optional<traffic::load_status> mLastLoadStatus;
  /// Status of the answer to the present attempt; 0 before it.
  std::uint32_t mLastStatus = 0;
  std::uint64_t mAttemptBytes = 0;
  core::time_point mDispatchLimit = core::time_point::max();
};

}
