#pragma once

#include "LibDaemon/FrameChannel.h"
#include "LibDaemon/HttpDialect.h"
#include "LibDaemon/Metrics.h"
#include "LibDaemon/QuarantineService.h"
#include "LibDaemon/TrafficPolicy.h"
#include "LibDaemon/UpstreamClient.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace cranberryfold::daemon {

/// Services shared by all incoming calls of one traffic thread.
struct incoming_services
{
  asio::any_io_executor mExecutor;
  daemon_settings const& mSettings;
  traffic_policy& mPolicy;
  metrics& mMetrics;
  upstream_pool& mUpstreams;
  quarantine_service& mQuarantine;
  http_dialect const& mDialect;
  /// Runs when the upstream does not accept a connection.
  std::function<void()> mOnUpstreamLost;
  /// Runs when a response of this process of the upstream states for the first
  /// time that it is leaving.
  std::function<void(membership::upstream_id)> mOnUpstreamLeaving;
};

/// One call from a peer to the local upstream: admission, HTTP exchange, and
/// flow-controlled streaming of both bodies.
class incoming_call : public std::enable_shared_from_this<incoming_call>
{
public:
  incoming_call(incoming_services& aServices,
                std::shared_ptr<frame_channel> aChannel,
                call_head aHead);

  /// Runs the call to its end. Every path sends a response or a refusal.
  task<void> Run();

  /// Returns false if the peer sent more than its credit allows.
  bool OnBody(body_chunk aChunk);
  void OnWindowUpdate(window_update const& aUpdate);
  void OnCancel();

private:
  using response_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  task<std::optional<call_refusal>> RunAdmitted();
  task<std::optional<call_refusal>> Exchange(
    std::shared_ptr<upstream_connection> aConnection);
  /// Reads the head of the response to this call into aParser. Skips interim
  /// responses and late responses to earlier calls on the same connection.
  task<std::optional<call_refusal>> ReadResponseHead(
    upstream_connection& aConnection,
    std::optional<response_parser>& aParser);
  void RecordCondition(traffic::upstream_condition const& aCondition);
  task<boost::system::error_code> SkipBody(upstream_connection& aConnection,
                                           response_parser& aParser);
  core::duration MaximumConnectionIdle() const;
  task<bool> SendRequest(upstream_connection& aConnection);
  task<void> SendBody(std::shared_ptr<upstream_connection> aConnection);
  task<std::optional<call_refusal>> ForwardResponse(
    upstream_connection& aConnection,
    response_parser& aParser);
  task<std::optional<call_refusal>> ForwardResponseBody(
    upstream_connection& aConnection,
    response_parser& aParser);
  /// Parses body bytes that have arrived as far as they fit into the body of
  /// aParser, so that small chunks of the response share a frame. Returns
  /// need_buffer if there are more.
  static boost::system::error_code ParseBufferedBody(
    upstream_connection& aConnection,
    response_parser& aParser);
  /// Returns whether a response that ends with its connection was cut off by a
  /// reset.
  task<bool> WasCutOff(response_parser const& aParser);
  /// Checks that the call is meant for the service of the local upstream. The
  /// sender may not know yet that the address has passed to this instance.
  task<admission_decision> CheckService();
  task<admission_decision> WaitForAdmission();
  /// Waits for the quarantine to decide on the call. Returns std::nullopt if
  /// the call may run.
  task<std::optional<call_refusal>> WaitForQuarantine();
  /// Reports the outcome of the call to the quarantine. If the upstream has
  /// crashed, waits until the quarantine lets the failure be reported.
  task<void> ReportToQuarantine(std::optional<call_refusal> aFailure);
  /// Checks some time after the call was lost whether the upstream's process
  /// has ended, and reports that to the quarantine.
  task<void> RecheckUpstream();
  /// Returns whether the bytes of the body that identify the call have arrived.
  bool HasIdentifyingBytes() const;
  traffic::suspect_id SuspectId() const;
  task<bool> WaitForCredit();
  void SendResponseHead(response_parser const& aParser);
  void SendRefusal(call_refusal const& aRefusal);
  void LogCrash() const;
  call_refusal FailureFromError(boost::system::error_code aCode) const;

  incoming_services& mServices;
  std::shared_ptr<frame_channel> mChannel;
  call_head mHead;
  signal mSignal;
  signal mBodySignal;
  traffic::call_id mCall;
  std::uint64_t mQuarantineCall = 0;
  /// Set once the call is passed to the quarantine.
  traffic::suspect_id mSuspect;
  core::time_point mAdmitted;
  std::shared_ptr<upstream_connection> mConnection;
  std::deque<body_chunk> mBody;
  /// Body bytes that have arrived.
  std::uint64_t mBodyBytes = 0;
  std::uint64_t mBodyCredit = kInitialCreditBytes;
  std::uint64_t mResponseCredit = kInitialCreditBytes;
  core::time_point mArrived;
  membership::upstream_id mUpstreamId;
  std::optional<core::duration> mKeepAlive;
  bool mIsBodySent = false;
  /// Why the body of the request could not be sent to its end.
  boost::system::error_code mSendError;
  bool mIsCancelled = false;
};

}
