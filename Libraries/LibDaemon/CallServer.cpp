#include "LibDaemon/CallServer.h"

#include "LibCore/Log.h"

#include <unordered_map>

namespace cranberryfold::daemon {

namespace {

using namespace std::chrono_literals;

/// Time for the hello frame of a new connection before it is closed.
constexpr auto kHelloTimeout = 5s;
/// Maximum concurrent calls on one connection.
constexpr std::size_t kMaximumStreams = 10000;

/// Dispatches the frames of one connection.
class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
  peer_session(incoming_services& aServices,
               call_server_hooks const& aHooks,
               std::shared_ptr<frame_channel> aChannel)
    : mServices(aServices)
    , mHooks(aHooks)
    , mChannel(std::move(aChannel))
  {
  }

  task<void> Run()
  {
    bool const isHelloValid = co_await ReceiveHello();
    while (isHelloValid) {
      auto frame = co_await mChannel->Receive();
      if (!frame || !Dispatch(std::move(*frame))) {
        ReportError(frame.mError);
        break;
      }
    }
    mChannel->Close();
    CancelAllCalls();
  }

private:
  task<bool> ReceiveHello()
  {
    asio::steady_timer timeout(mServices.mExecutor, kHelloTimeout);
    timeout.async_wait([channel = mChannel](boost::system::error_code aCode) {
      if (!aCode) {
        channel->Close();
      }
    });
    auto const frame = co_await mChannel->Receive();
    timeout.cancel();
    if (!frame) {
      ReportError(frame.mError);
      co_return false;
    }
    auto const* const received = std::get_if<hello>(&*frame);
    if (received == nullptr || received->mProtocol != kProtocolVersion) {
      ReportError(
        { core::error_code::kMalformed, "hello", "", "no valid hello" });
      co_return false;
    }
    mHello = *received;
    if (mHello.mKind == connection_kind::kControl) {
      mChannel->SetMaximumFrameBytes(wire::kMaximumControlFrameBytes);
    }
    co_return true;
  }

  void ReportError(core::error const& aError)
  {
    if (aError.mCode == core::error_code::kClosed) {
      return;
    }
    mServices.mMetrics.CountRefusal(refusal_place::kListener,
                                    core::refusal_reason::kMalformed);
    core::LogWarning("peer_connection_closed")
      .Field("peer", core::FormatAddress(mChannel->RemoteAddress()))
      .Field("error", core::FormatError(aError));
  }

  /// Handles one frame. Returns false if it violates the protocol.
  bool Dispatch(call_frame aFrame)
  {
    if (auto* const head = std::get_if<call_head>(&aFrame)) {
      return StartCall(std::move(*head));
    }
    if (auto* const chunk = std::get_if<body_chunk>(&aFrame)) {
      auto const call = FindCall(chunk->mStream);
      return !call || call->OnBody(std::move(*chunk));
    }
    if (auto const* const update = std::get_if<window_update>(&aFrame)) {
      if (auto const call = FindCall(update->mStream)) {
        call->OnWindowUpdate(*update);
      }
      return true;
    }
    if (auto const* const cancellation = std::get_if<cancel>(&aFrame)) {
      if (auto const call = FindCall(cancellation->mStream)) {
        call->OnCancel();
      }
      return true;
    }
    if (auto const* const message = std::get_if<traffic_message>(&aFrame)) {
      mHooks.mOnTrafficMessage(*message, mHello);
      return true;
    }
    if (std::holds_alternative<link_probe>(aFrame)) {
      mChannel->Send(link_probe{});
      return true;
    }
    if (auto* const envelope = std::get_if<control_frame>(&aFrame)) {
      mHooks.mOnControlEnvelope(std::move(envelope->mEnvelope));
      return true;
    }
    return false;
  }

  bool StartCall(call_head aHead)
  {
    auto const stream = aHead.mStream;
    if (mCalls.contains(stream) || mCalls.size() >= kMaximumStreams) {
      return false;
    }
    aHead.mContext.mDeadline = Now() + aHead.mTimeLeft;
    mServices.mPolicy.RecordSender(mHello.mPeerAddress);
    auto const call =
      std::make_shared<incoming_call>(mServices, mChannel, std::move(aHead));
    mCalls[stream] = call;
    asio::co_spawn(
      mServices.mExecutor,
      [self = shared_from_this(), call, stream]() -> task<void> {
        co_await call->Run();
        self->mCalls.erase(stream);
      },
      asio::detached);
    return true;
  }

  std::shared_ptr<incoming_call> FindCall(stream_id aStream) const
  {
    auto const found = mCalls.find(aStream);
    return found == mCalls.end() ? nullptr : found->second;
  }

  void CancelAllCalls()
  {
    auto const calls = mCalls;
    for (auto const& [stream, call] : calls) {
      call->OnCancel();
    }
  }

  incoming_services& mServices;
  call_server_hooks const& mHooks;
  std::shared_ptr<frame_channel> mChannel;
  hello mHello;
  std::unordered_map<stream_id, std::shared_ptr<incoming_call>> mCalls;
};

}

task<void>
ServePeer(incoming_services& aServices,
          call_server_hooks const& aHooks,
          tcp::socket aSocket)
{
  auto const channel = std::make_shared<frame_channel>(
    std::move(aSocket), wire::kMaximumCallFrameBytes);
  auto const session =
    std::make_shared<peer_session>(aServices, aHooks, channel);
  co_await session->Run();
}

}
