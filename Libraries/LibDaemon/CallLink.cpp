#include "LibDaemon/CallLink.h"

#include "LibCore/Log.h"

namespace cranberryfold::daemon {

namespace {

using namespace std::chrono_literals;

/// Longer than a round trip between regions, 40 ms at the users' sites. With a
/// typical timeout of a second, one unreachable instance would use up the whole
/// timeout of a call's route.
constexpr core::duration kConnectTimeout = 300ms;
constexpr auto kLivenessCheckInterval = 500ms;

/// Returns the stream id of a frame, or an empty one for frames without a
/// stream.
struct stream_id_visitor
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

/// Returns the attempt number of a frame, or mDefault for frames without one,
/// which then match any attempt.
struct attempt_visitor
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

/// Appends a chunk of a response to the previous event if both are chunks that
/// fit into one frame. Returns whether it did. The credit of a stream counts
/// body bytes only, so that an event for each byte would take far more memory.
bool
AppendToLastChunk(std::deque<call_frame>& aEvents, call_frame const& aFrame)
{
  auto const* const chunk = std::get_if<call_response_chunk>(&aFrame);
  auto* const last = aEvents.empty()
                       ? nullptr
                       : std::get_if<call_response_chunk>(&aEvents.back());
  return chunk != nullptr && last != nullptr && JoinChunks(*last, *chunk);
}

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
    stream->mConnectionNumber = mConnectionNumber;
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
  mQueuedFrames.push_back(aFrame);
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
  std::erase_if(mQueuedFrames, [aStream](call_frame const& aFrame) {
    return std::visit(stream_id_visitor{}, aFrame) == aStream;
  });
}

void
call_link::CheckLiveness(core::time_point aNow)
{
  if (!mChannel || !mChannel->IsOpen() || !mUnansweredSince) {
    return;
  }
  if (mProbeSent && aNow >= *mProbeSent + kProbeTimeout) {
    core::LogWarning("connection_silent")
      .Field("peer", core::FormatAddress(mPeer))
      .Field("silent_ms", core::Milliseconds(aNow - *mUnansweredSince))
      .Field("calls", static_cast<std::int64_t>(mStreams.size()));
    mChannel->Close();
    return;
  }
  if (!mProbeSent && aNow >= *mUnansweredSince + kProbeAfterSilence) {
    mProbeSent = aNow;
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
    mQueuedFrames.clear();
    FailStreams(
      0, traffic::outcome::kNotRun, core::refusal_reason::kConnectFailed);
    co_return;
  }
  ++mConnectionNumber;
  mChannel->Send(mHello);
  SendQueuedFrames();
  co_await ReceiveFrames();
}

void
call_link::SendQueuedFrames()
{
  mUnansweredSince.reset();
  mProbeSent.reset();
  for (auto const& frame : mQueuedFrames) {
    SendNow(frame);
  }
  mQueuedFrames.clear();
  for (auto const& [id, stream] : mStreams) {
    if (stream->mConnectionNumber == 0) {
      stream->mConnectionNumber = mConnectionNumber;
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
  auto const connectionNumber = mConnectionNumber;
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
    mProbeSent.reset();
    Dispatch(std::move(*frame));
  }
  // The peer may have started any of these calls.
  FailStreams(connectionNumber,
              traffic::outcome::kUnknown,
              core::refusal_reason::kPeerLost);
}

void
call_link::Dispatch(call_frame aFrame)
{
  if (std::holds_alternative<link_probe>(aFrame)) {
    return;
  }
  auto const found = mStreams.find(std::visit(stream_id_visitor{}, aFrame));
  if (found == mStreams.end()) {
    mMetrics.CountLateFrame();
    return;
  }
  auto& stream = *found->second;
  if (std::visit(attempt_visitor{ stream.mAttempt }, aFrame) !=
      stream.mAttempt) {
    mMetrics.CountLateFrame();
    return;
  }
  if (auto const* const credit = std::get_if<window_update>(&aFrame)) {
    stream.mCredit += credit->mBytes;
  } else if (!AppendToLastChunk(stream.mEvents, aFrame)) {
    stream.mEvents.push_back(std::move(aFrame));
  }
  stream.mNotify();
}

void
call_link::FailStreams(std::uint64_t aConnectionNumber,
                       traffic::outcome aOutcome,
                       core::refusal_reason aReason)
{
  std::vector<std::shared_ptr<outgoing_stream>> failed;
  std::erase_if(mStreams, [&](auto const& aEntry) {
    bool const hasFailed =
      aEntry.second->mConnectionNumber == aConnectionNumber;
    if (hasFailed) {
      failed.push_back(aEntry.second);
    }
    return hasFailed;
  });
  for (auto const& stream : failed) {
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

std::shared_ptr<call_link>
link_pool::LinkTo(core::address const& aPeer)
{
  auto& link = mLinks[aPeer];
  if (!link) {
    link = std::make_shared<call_link>(mExecutor, mHello, aPeer, mMetrics);
  }
  if (!mLivenessTimer) {
    mLivenessTimer = std::make_shared<asio::steady_timer>(mExecutor);
    asio::co_spawn(
      mExecutor, [this] { return MonitorLiveness(); }, asio::detached);
  }
  return link;
}

void
link_pool::Renew(core::address const& aPeer)
{
  if (auto link = mLinks.extract(aPeer)) {
    mFormerLinks.push_back(std::move(link.mapped()));
  }
}

void
link_pool::CloseUnusedFormerLinks()
{
  std::erase_if(mFormerLinks, [](std::shared_ptr<call_link> const& aLink) {
    if (aLink->IsUnused()) {
      aLink->Close();
    }
    return aLink->IsUnused();
  });
}

task<void>
link_pool::MonitorLiveness()
{
  auto const timer = mLivenessTimer;
  for (;;) {
    auto const started = Now();
    timer->expires_after(kLivenessCheckInterval);
    auto const [code] = co_await timer->async_wait(kAsTuple);
    if (code) {
      co_return;
    }
    CloseUnusedFormerLinks();
    auto const now = Now();
    // After a pause of this process, missing replies do not prove that a peer
    // is unresponsive.
    if (now > started + 2 * kLivenessCheckInterval) {
      continue;
    }
    for (auto const& [peer, link] : mLinks) {
      link->CheckLiveness(now);
    }
    for (auto const& link : mFormerLinks) {
      link->CheckLiveness(now);
    }
  }
}

void
link_pool::CloseAll()
{
  if (mLivenessTimer) {
    mLivenessTimer->cancel();
  }
  for (auto const& [peer, link] : mLinks) {
    link->Close();
  }
  for (auto const& link : mFormerLinks) {
    link->Close();
  }
}

}
