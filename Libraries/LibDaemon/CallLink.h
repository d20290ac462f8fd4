#pragma once

#include "LibDaemon/FrameChannel.h"
#include "LibDaemon/Metrics.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberryfold::daemon {

/// The sending side of one call. Events are the frames from the peer; the loss
/// of the connection is reported as a refusal.
struct outgoing_stream
{
  stream_id mId;
  std::uint32_t mAttempt = 0;
  /// Consecutive chunks of the response are joined up to the size of a frame.
  std::deque<call_frame> mEvents;
  /// Body bytes that the peer accepts at present.
  std::uint64_t mCredit = kInitialCreditBytes;
  /// Number of the connection that the call head was queued on; 0 while it
  /// waits for a connection, in which case the peer cannot have received the
  /// call.
  std::uint64_t mConnectionNumber = 0;
  /// Resumes the coroutine that runs the call.
  std::function<void()> mNotify;

  /// Returns whether the peer may have received the call.
  bool WasSent() const { return mConnectionNumber != 0; }
};

/// Connection to the daemon of one peer, opened on first use and reopened after
/// a failure. Multiplexes calls. Used by one thread only.
class call_link : public std::enable_shared_from_this<call_link>
{
public:
  call_link(asio::any_io_executor aExecutor,
            hello aHello,
            core::address aPeer,
            metrics& aMetrics);

  /// Opens a stream for a call and assigns its stream id.
  std::shared_ptr<outgoing_stream> Open(call_head aHead,
                                        std::function<void()> aNotify);
  void Send(call_frame const& aFrame);
  /// Releases a stream. Frames that still arrive for it are counted as late.
  /// Its frames that wait for a connection are dropped, so that an abandoned
  /// call does not run later.
  void Release(stream_id aStream);
  /// Closes the connection if the peer has not replied to a probe in time.
  /// Sends a probe if frames were sent but none has been received for a while.
  void CheckLiveness(core::time_point aNow);
  void Close();
  bool IsUnused() const { return mStreams.empty() && !mIsConnecting; }

  /// Time without a frame from the peer after which a probe is sent.
  static constexpr core::duration kProbeAfterSilence =
    std::chrono::milliseconds(500);
  /// Time for the reply to a probe. An overloaded daemon still replies within
  /// it.
  static constexpr core::duration kProbeTimeout =
    std::chrono::milliseconds(1000);

private:
  void Connect();
  task<void> Run();
  task<bool> OpenSocket();
  task<void> ReceiveFrames();
  void Dispatch(call_frame aFrame);
  void SendNow(call_frame const& aFrame);
  /// Ends with a refusal all streams whose head was queued on the given
  /// connection. 0 selects the streams that wait for a connection.
  void FailStreams(std::uint64_t aConnectionNumber,
                   traffic::outcome aOutcome,
                   core::refusal_reason aReason);
  void SendQueuedFrames();

  asio::any_io_executor mExecutor;
  hello mHello;
  core::address mPeer;
  metrics& mMetrics;
  std::shared_ptr<frame_channel> mChannel;
  /// Frames that wait for a connection.
  std::vector<call_frame> mQueuedFrames;
  bool mIsConnecting = false;
  bool mIsClosed = false;
  /// When the first frame was sent after the last one received; empty if a
  /// frame was received since the last one sent.
  std::optional<core::time_point> mUnansweredSince;
  std::optional<core::time_point> mProbeSent;
  /// Number of the latest connection, counted from 1; 0 before the first.
  std::uint64_t mConnectionNumber = 0;
  std::unordered_map<stream_id, std::shared_ptr<outgoing_stream>> mStreams;
  std::uint64_t mLastStream = 0;
};

/// The links of one thread by peer address.
class link_pool
{
public:
  link_pool(asio::any_io_executor aExecutor, hello aHello, metrics& aMetrics);

  std::shared_ptr<call_link> LinkTo(core::address const& aPeer);
  /// Makes LinkTo() open another connection to aPeer, since another process has
  /// the address now. The connection may still look open if the former one
  /// ended without closing it. Streams that are open on it go on.
  void Renew(core::address const& aPeer);
  void CloseAll();

private:
  /// Checks all links for unresponsive peers until CloseAll().
  task<void> MonitorLiveness();
  void CloseUnusedFormerLinks();

  asio::any_io_executor mExecutor;
  hello mHello;
  metrics& mMetrics;
  std::map<core::address, std::shared_ptr<call_link>> mLinks;
  /// Renewed links; each is closed once it has no streams.
  std::vector<std::shared_ptr<call_link>> mFormerLinks;
  std::shared_ptr<asio::steady_timer> mLivenessTimer;
};

}
