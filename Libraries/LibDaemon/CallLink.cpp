#include "LibDaemon/CallLink.h"

#include "LibCore/Log.h"

namespace cranberryfold::daemon {

namespace {

using namespace std::chrono_literals;

/// Longer than a round trip between regions, 40 ms at the users' sites. With
/// the usual second, a call would use up its route's timeout at one instance
/// that is gone.
constexpr core::duration kConnectTimeout = 300ms;
constexpr auto kSilenceCheckInterval = 500ms;

/// Returns the stream that a frame from the accepting side belongs to.
struct stream_of_frame
{
  template<class Frame>
  stream_id operator()(Frame const& aFrame) const
  {
    if constexpr (requires { aFrame.mStream; }) {
      return aFrame.mStream;
    } else {
      return {};
    }
  }
};

/// Returns the attempt that a frame belongs to; frames without one match any.
struct attempt_of_frame
{
  std::uint32_t mDefault;

  template<class Frame>
  std::uint32_t operator()(Frame const& aFrame) const
  {
    if constexpr (requires { aFrame.mAttempt; }) {
      return aFrame.mAttempt;
    } else {
      return mDefault;
    }
  }
};

}

call_link::call_link(asio::any_io_executor aExecutor,
                     hello aHello,
                     core::address aPeer,
                     metrics& aMetrics)
  : mExecutor(std::move(aExecutor))
  , mHello(std::move(aHello))
  , mPeer(std::move(aPeer))
  , mMetrics(aMetrics)
{
}

std::shared_ptr<outgoing_stream>
call_link::Open(call_head aHead, std::function<void()> aNotify)
{
  auto stream = std::make_shared<outgoing_stream>();
  stream->mId = { ++mLastStream };
  stream->mAttempt = aHead.mAttempt;
  stream->mNotify = std::move(aNotify);
  mStreams[stream->mId] = stream;
  aHead.mStream = stream->mId;
  if (mChannel && mChannel->IsOpen()) {
    stream->mConnection = mConnection;
  }
  Send(aHead);
  return stream;
}

void
call_link::Send(call_frame const& aFrame)
{
  if (mChannel && mChannel->IsOpen()) {
    SendNow(aFrame);
    return;
  }
  mWaiting.push_back(aFrame);
  Connect();
}

void
call_link::SendNow(call_frame const& aFrame)
{
  if (!mUnansweredSince) {
    mUnansweredSince = Now();
  }
  mChannel->Send(aFrame);
}

void
call_link::Release(stream_id aStream)
{
  mStreams.erase(aStream);
  std::erase_if(mWaiting, [aStream](call_frame const& aFrame) {
    return std::visit(stream_of_frame{}, aFrame) == aStream;
  });
}

void
call_link::CheckSilence(core::time_point aNow)
{
  if (!mChannel || !mChannel->IsOpen() || !mUnansweredSince) {
    return;
  }
  if (mProbed && aNow >= *mProbed + kProbeTimeout) {
    core::LogWarning("connection_silent")
      .Field("peer", core::FormatAddress(mPeer))
      .Field("silent_ms", core::Milliseconds(aNow - *mUnansweredSince))
      .Field("calls", static_cast<std::int64_t>(mStreams.size()));
    mChannel->Close();
    return;
  }
  if (!mProbed && aNow >= *mUnansweredSince + kQuietTime) {
    mProbed = aNow;
    mChannel->Send(link_probe{});
  }
}

void
call_link::Close()
{
  mIsClosed = true;
  if (mChannel) {
    mChannel->Close();
  }
}

void
call_link::Connect()
{
  if (mIsConnecting || mIsClosed) {
    return;
  }
  mIsConnecting = true;
  asio::co_spawn(
    mExecutor,
    [self = shared_from_this()] { return self->Run(); },
    asio::detached);
}

task<void>
call_link::Run()
{
  bool const isOpen = co_await OpenSocket();
  mIsConnecting = false;
  if (!isOpen) {
    mWaiting.clear();
    EndStreams(
      0, traffic::outcome::kNotRun, core::refusal_reason::kConnectFailed);
    co_return;
  }
  ++mConnection;
  mChannel->Send(mHello);
  SendWaiting();
  co_await ReceiveFrames();
}

void
call_link::SendWaiting()
{
  mUnansweredSince.reset();
  mProbed.reset();
  for (auto const& frame : mWaiting) {
    SendNow(frame);
  }
  mWaiting.clear();
  for (auto const& [id, stream] : mStreams) {
    if (stream->mConnection == 0) {
      stream->mConnection = mConnection;
    }
  }
}

task<bool>
call_link::OpenSocket()
{
  auto const endpoint = ToEndpoint<tcp>(mPeer);
  if (!endpoint) {
    co_return false;
  }
  auto socket = std::make_shared<tcp::socket>(mExecutor);
  asio::steady_timer deadline(mExecutor, kConnectTimeout);
  deadline.async_wait([socket](boost::system::error_code aCode) {
    boost::system::error_code ignored;
    if (!aCode) {
      socket->close(ignored);
    }
  });
  auto const [code] = co_await socket->async_connect(*endpoint, kAsTuple);
  deadline.cancel();
  if (code || !socket->is_open()) {
    core::LogWarning("connect_failed")
      .Field("peer", core::FormatAddress(mPeer))
      .Field("error", code.message());
    co_return false;
  }
  mChannel = std::make_shared<frame_channel>(std::move(*socket),
                                             wire::kMaximumCallFrameBytes);
  co_return true;
}

task<void>
call_link::ReceiveFrames()
{
  auto const channel = mChannel;
  auto const connection = mConnection;
  for (;;) {
    auto frame = co_await channel->Receive();
    if (!frame) {
      if (frame.mError.mCode != core::error_code::kClosed) {
        mMetrics.CountRefusal(refusal_place::kListener,
                              core::refusal_reason::kMalformed);
      }
      channel->Close();
      break;
    }
    mUnansweredSince.reset();
    mProbed.reset();
    Dispatch(std::move(*frame));
  }
  // The peer may have started any of them.
  EndStreams(
    connection, traffic::outcome::kUnknown, core::refusal_reason::kPeerLost);
}

void
call_link::Dispatch(call_frame aFrame)
{
  if (std::holds_alternative<link_probe>(aFrame)) {
    return;
  }
  auto const found = mStreams.find(std::visit(stream_of_frame{}, aFrame));
  if (found == mStreams.end()) {
    mMetrics.CountLateFrame();
    return;
  }
  auto& stream = *found->second;
  if (std::visit(attempt_of_frame{ stream.mAttempt }, aFrame) !=
      stream.mAttempt) {
    mMetrics.CountLateFrame();
    return;
  }
  if (auto const* const credit = std::get_if<window>(&aFrame)) {
    stream.mCredit += credit->mBytes;
  } else {
    stream.mEvents.push_back(std::move(aFrame));
  }
  stream.mNotify();
}

void
call_link::EndStreams(std::uint64_t aConnection,
                      traffic::outcome aOutcome,
                      core::refusal_reason aReason)
{
  std::vector<std::shared_ptr<outgoing_stream>> ended;
  std::erase_if(mStreams, [&](auto const& aEntry) {
    bool const isEnded = aEntry.second->mConnection == aConnection;
    if (isEnded) {
      ended.push_back(aEntry.second);
    }
    return isEnded;
  });
  for (auto const& stream : ended) {
    stream->mEvents.emplace_back(
      refusal{ stream->mId, stream->mAttempt, aOutcome, aReason });
    stream->mNotify();
  }
}

link_pool::link_pool(asio::any_io_executor aExecutor,
                     hello aHello,
                     metrics& aMetrics)
  : mExecutor(std::move(aExecutor))
  , mHello(std::move(aHello))
  , mMetrics(aMetrics)
{
}

call_link&
link_pool::LinkTo(core::address const& aPeer)
{
  auto& link = mLinks[aPeer];
  if (!link) {
    link = std::make_shared<call_link>(mExecutor, mHello, aPeer, mMetrics);
  }
  if (!mWatchTimer) {
    mWatchTimer = std::make_shared<asio::steady_timer>(mExecutor);
    asio::co_spawn(
      mExecutor, [this] { return WatchSilence(); }, asio::detached);
  }
  return *link;
}

task<void>
link_pool::WatchSilence()
{
  auto const timer = mWatchTimer;
  for (;;) {
    auto const started = Now();
    timer->expires_after(kSilenceCheckInterval);
    auto const [code] = co_await timer->async_wait(kAsTuple);
    if (code) {
      co_return;
    }
    auto const now = Now();
    // After a pause of the own process, silence of the peers proves nothing.
    if (now > started + 2 * kSilenceCheckInterval) {
      continue;
    }
    for (auto const& [peer, link] : mLinks) {
      link->CheckSilence(now);
    }
  }
}

void
link_pool::CloseAll()
{
  if (mWatchTimer) {
    mWatchTimer->cancel();
  }
  for (auto const& [peer, link] : mLinks) {
    link->Close();
  }
}

}
