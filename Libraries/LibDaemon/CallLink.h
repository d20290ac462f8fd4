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

/// The sending side of one call. Events are frames from the peer; a lost
/// connection appears as a refusal.
struct outgoing_stream
{
  stream_id mId;
  std::uint32_t mAttempt = 0;
  std::deque<call_frame> mEvents;
  /// Bytes of body that the peer accepts now.
  std::uint64_t mCredit = kInitialCreditBytes;
  /// Number of the connection that the head was given to; 0 while it waits for
  /// one, so that the peer cannot have seen the call.
  std::uint64_t mConnection = 0;
  /// Wakes the coroutine that runs the call.
  std::function<void()> mNotify;

  /// Returns whether the peer may have seen the call.
  bool WasSent() const { return mConnection != 0; }
};

/// Connection to the daemon of one peer, made on first use and again after it
/// broke. Carries many calls at once. Used by one thread only.
class call_link : public std::enable_shared_from_this<call_link>
{
public:
  call_link(asio::any_io_executor aExecutor,
            hello aHello,
            core::address aPeer,
            metrics& aMetrics);

  /// Opens a stream for aHead; its stream id is filled in.
  std::shared_ptr<outgoing_stream> Open(call_head aHead,
                                        std::function<void()> aNotify);
  void Send(call_frame const& aFrame);
  /// Forgets a stream; frames that still arrive for it are counted as late.
  /// Frames of it that wait for a connection are never sent, so that a call
  /// that was given up does not run later.
  void Release(stream_id aStream);
  /// Closes the connection when the peer has not answered a probe, and probes
  /// one from which nothing has come for a while though frames were sent.
  void CheckSilence(core::time_point aNow);
  void Close();

  /// Time without a frame from the peer after which it is probed.
  static constexpr core::duration kQuietTime = std::chrono::milliseconds(500);
  /// Time for the answer to a probe. A daemon that lags behind its calls still
  /// answers within it.
  static constexpr core::duration kProbeTimeout =
    std::chrono::milliseconds(1000);

private:
  void Connect();
  task<void> Run();
  task<bool> OpenSocket();
  task<void> ReceiveFrames();
  void Dispatch(call_frame aFrame);
  void SendNow(call_frame const& aFrame);
  /// Ends the streams whose head was given to aConnection; 0 ends those that
  /// still wait for a connection.
  void EndStreams(std::uint64_t aConnection,
                  traffic::outcome aOutcome,
                  core::refusal_reason aReason);
  void SendWaiting();

  asio::any_io_executor mExecutor;
  hello mHello;
  core::address mPeer;
  metrics& mMetrics;
  std::shared_ptr<frame_channel> mChannel;
  /// Frames that wait for the connection.
  std::vector<call_frame> mWaiting;
  bool mIsConnecting = false;
  bool mIsClosed = false;
  /// When the first frame was sent that no frame from the peer has followed.
  std::optional<core::time_point> mUnansweredSince;
  std::optional<core::time_point> mProbed;
  /// Counts the connections that were opened.
  std::uint64_t mConnection = 0;
  std::unordered_map<stream_id, std::shared_ptr<outgoing_stream>> mStreams;
  std::uint64_t mLastStream = 0;
};

/// The links of one thread, by peer address.
class link_pool
{
public:
  link_pool(asio::any_io_executor aExecutor, hello aHello, metrics& aMetrics);

  call_link& LinkTo(core::address const& aPeer);
  void CloseAll();

private:
  /// Looks for silent connections for as long as the pool is in use.
  task<void> WatchSilence();

  asio::any_io_executor mExecutor;
  hello mHello;
  metrics& mMetrics;
  std::map<core::address, std::shared_ptr<call_link>> mLinks;
  std::shared_ptr<asio::steady_timer> mWatchTimer;
};

}
