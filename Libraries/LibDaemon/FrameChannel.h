#pragma once

#include "LibDaemon/Asio.h"
#include "LibDaemon/CallFrames.h"
#include "LibWire/Frame.h"

#include <deque>
#include <memory>
#include <string>

namespace cranberryfold::daemon {

/// A TCP connection that carries frames. Used by one thread only. Coroutines
/// that wait on it must keep it alive.
class frame_channel : public std::enable_shared_from_this<frame_channel>
{
public:
  frame_channel(tcp::socket aSocket, std::size_t aMaximumFrameBytes);

  /// Queues a frame. Stream credit bounds the body bytes, which keeps the queue
  /// small. If a peer does not read, the connection is closed once the queue
  /// exceeds kMaximumQueueBytes.
  void Send(call_frame const& aFrame);

  /// Returns the next frame. Fails with kClosed if the connection ends, and
  /// with kMalformed or kLimitExceeded if the received bytes are not a valid
  /// frame.
  task<core::attempt<call_frame>> Receive();

  void Close();
  bool IsOpen() const { return mSocket.is_open(); }
  core::address const& RemoteAddress() const { return mRemoteAddress; }
  void SetMaximumFrameBytes(std::size_t aBytes);

  static constexpr std::size_t kMaximumQueueBytes = 64UL * 1024UL * 1024UL;

private:
  task<void> WriteQueue();

  tcp::socket mSocket;
  core::address mRemoteAddress;
  wire::frame_splitter mSplitter;
  std::deque<std::string> mQueue;
  std::size_t mQueuedBytes = 0;
  bool mIsWriting = false;
};

}
