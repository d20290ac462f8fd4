#include "LibDaemon/FrameChannel.h"

#include <array>

#include <boost/asio/write.hpp>

namespace cranberryfold::daemon {

namespace {

constexpr std::size_t kReadBytes = 16UL * 1024UL;
/// Queued bytes from which on a write takes no further frame. Batching lets
/// small frames share a packet.
constexpr std::size_t kWriteBatchBytes = 128UL * 1024UL;

core::address
RemoteAddressOf(tcp::socket const& aSocket)
{
  boost::system::error_code code;
  auto const endpoint = aSocket.remote_endpoint(code);
  return code ? core::address{} : ToAddress(endpoint);
}

}

frame_channel::frame_channel(tcp::socket aSocket,
                             std::size_t aMaximumFrameBytes)
  : mSocket(std::move(aSocket))
  , mRemoteAddress(RemoteAddressOf(mSocket))
  , mSplitter(aMaximumFrameBytes)
{
  boost::system::error_code code;
  mSocket.set_option(tcp::no_delay(true), code);
}

void
frame_channel::SetMaximumFrameBytes(std::size_t aBytes)
{
  mSplitter.SetMaximumBytes(aBytes);
}

void
frame_channel::Send(call_frame const& aFrame)
{
  if (!IsOpen()) {
    return;
  }
  mQueue.push_back(wire::EncodeFrame(EncodeCallFrame(aFrame)));
  mQueuedBytes += mQueue.back().size();
  if (mQueuedBytes > kMaximumQueueBytes) {
    Close();
    return;
  }
  if (!mIsWriting) {
    mIsWriting = true;
    asio::co_spawn(
      mSocket.get_executor(),
      [self = shared_from_this()] { return self->WriteQueue(); },
      asio::detached);
  }
}

task<void>
frame_channel::WriteQueue()
{
  while (!mQueue.empty() && IsOpen()) {
    std::string bytes;
    while (!mQueue.empty() && bytes.size() < kWriteBatchBytes) {
      bytes += mQueue.front();
      mQueue.pop_front();
    }
    mQueuedBytes -= bytes.size();
    auto const [code, written] =
      co_await asio::async_write(mSocket, asio::buffer(bytes), kAsTuple);
    if (code) {
      Close();
    }
  }
  mIsWriting = false;
}

task<core::attempt<call_frame>>
frame_channel::Receive()
{
  std::array<char, kReadBytes> bytes;
  for (;;) {
    auto const payload = core::Attempt([this] { return mSplitter.Next(); });
    if (!payload) {
      co_return core::attempt<call_frame>{ std::nullopt, payload.mError };
    }
    if (payload.mValue->has_value()) {
      co_return core::Attempt(
        [&payload] { return DecodeCallFrame(**payload.mValue); });
    }
    auto const [code, size] =
      co_await mSocket.async_read_some(asio::buffer(bytes), kAsTuple);
    if (code) {
      co_return core::attempt<call_frame>{
        std::nullopt,
        core::error{ core::error_code::kClosed,
                     "receive_frame",
                     core::FormatAddress(mRemoteAddress),
                     code.message() }
      };
    }
    mSplitter.Append(std::string_view(bytes.data(), size));
  }
}

void
frame_channel::Close()
{
  boost::system::error_code code;
  mSocket.close(code);
  mQueue.clear();
  mQueuedBytes = 0;
}

}
