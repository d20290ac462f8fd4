#include "LibDaemon/CallLink.h"

#include <string>
#include <utility>
#include <vector>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::daemon;
using namespace std::chrono_literals;

namespace {

/// A link to a peer that accepts connections but does not read from them.
struct link_fixture
{
  asio::io_context mContext;
  metrics mMetrics;
  tcp::acceptor mAcceptor{ mContext,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
  std::vector<tcp::socket> mAccepted;
  core::address const mPeer{ "127.0.0.1", mAcceptor.local_endpoint().port() };
  std::shared_ptr<call_link> const mLink =
    std::make_shared<call_link>(mContext.get_executor(),
                                hello{},
                                mPeer,
                                mMetrics);

  link_fixture() { Accept(); }

  void Accept()
  {
    mAcceptor.async_accept(
      [this](boost::system::error_code aCode, tcp::socket aSocket) {
        if (!aCode) {
          mAccepted.push_back(std::move(aSocket));
          Accept();
        }
      });
  }

  std::shared_ptr<outgoing_stream> Open()
  {
    return mLink->Open(call_head{}, [] {});
  }

  template<class Condition>
  void RunUntil(Condition aCondition)
  {
    // The wait is bounded by events of the sockets, not by time.
    while (!aCondition()) {
      BOOST_REQUIRE(mContext.run_one() > 0);
    }
  }

  /// Opens a stream and makes the link probe its peer. Returns the stream and
  /// the time of the probe.
  std::pair<std::shared_ptr<outgoing_stream>, core::time_point> Probe()
  {
    auto const stream = Open();
    RunUntil([&] { return stream->WasSent() && !mAccepted.empty(); });
    auto const probed = Now() + call_link::kProbeAfterSilence;
    mLink->CheckLiveness(probed);
    return { stream, probed };
  }

  /// Runs all handlers that are ready.
  void RunReadyHandlers()
  {
    while (mContext.poll_one() > 0) {
    }
  }

  /// Reads the frames that have arrived on the first accepted connection.
  std::vector<call_frame> TakeFrames()
  {
    auto& socket = mAccepted.front();
    std::vector<call_frame> frames;
    std::string bytes(socket.available(), '\0');
    bytes.resize(socket.receive(asio::buffer(bytes)));
    wire::frame_splitter splitter(wire::kMaximumCallFrameBytes);
    splitter.Append(bytes);
    for (;;) {
      auto const payload = core::Attempt([&] { return splitter.Next(); });
      BOOST_REQUIRE(payload);
      if (!payload.mValue->has_value()) {
        return frames;
      }
      frames.push_back(*core::Attempt(
        [&payload] { return DecodeCallFrame(**payload.mValue); }));
    }
  }

  static refusal const& RefusalOf(outgoing_stream const& aStream)
  {
    return std::get<refusal>(aStream.mEvents.front());
  }
};

}

BOOST_FIXTURE_TEST_SUITE(CallLink, link_fixture)

// Guards against "not run" for a call whose head the peer may have read. The
// outcome of a stream depends on the connection that its head was queued on,
// not on the current state of the link.
BOOST_AUTO_TEST_CASE(OutcomeDependsOnConnectionOfStream)
{
  auto const sent = Open();
  RunUntil([&] { return sent->mConnectionNumber != 0; });
  // The peer does not read, so the send queue overflows and the connection is
  // closed locally before its reader notices.
  body_chunk chunk;
  chunk.mBytes.assign(kMaximumChunkBytes, 'x');
  for (std::size_t bytes = 0; bytes <= frame_channel::kMaximumQueueBytes;
       bytes += kMaximumChunkBytes) {
    mLink->Send(chunk);
  }
  mAcceptor.close();
  auto const unsent = Open();
  RunUntil([&] { return !sent->mEvents.empty() && !unsent->mEvents.empty(); });
  BOOST_TEST((RefusalOf(*sent).mOutcome == traffic::outcome::kUnknown));
  BOOST_TEST((RefusalOf(*unsent).mOutcome == traffic::outcome::kNotRun));
  BOOST_TEST(
    (RefusalOf(*unsent).mReason == core::refusal_reason::kConnectFailed));
  mLink->Close();
}

// Guards against running a call that was already reported as "not run": its
// frames still waited for a connection, which opened later.
BOOST_AUTO_TEST_CASE(ReleasedCallIsNotSentLater)
{
  auto const released = Open();
  mLink->Release(released->mId);
  auto const kept = Open();
  RunUntil([&] { return kept->mConnectionNumber != 0 && !mAccepted.empty(); });
  RunReadyHandlers();
  int heads = 0;
  for (auto const& frame : TakeFrames()) {
    heads += std::holds_alternative<call_head>(frame) ? 1 : 0;
  }
  BOOST_TEST(heads == 1);
  BOOST_TEST(!released->WasSent());
  mLink->Close();
}

// Guards against sending calls on a connection that became unresponsive without
// a reset: each of them would wait until its deadline.
BOOST_AUTO_TEST_CASE(ConnectionWithoutProbeReplyIsClosed)
{
  auto const [stream, probed] = Probe();
  BOOST_TEST(stream->mEvents.empty());
  mLink->CheckLiveness(probed + call_link::kProbeTimeout);
  RunUntil([&events = stream->mEvents] { return !events.empty(); });
  BOOST_TEST((RefusalOf(*stream).mOutcome == traffic::outcome::kUnknown));
  BOOST_TEST((RefusalOf(*stream).mReason == core::refusal_reason::kPeerLost));
  auto const next = Open();
  RunUntil([&] { return next->WasSent(); });
  mLink->Close();
}

// Guards against closing a connection on which calls take long: the reply to a
// probe shows that the connection still works.
BOOST_AUTO_TEST_CASE(ProbeReplyKeepsConnectionOpen)
{
  auto const [stream, probed] = Probe();
  auto const reply = wire::EncodeFrame(EncodeCallFrame(link_probe{}));
  asio::write(mAccepted.front(), asio::buffer(reply));
  auto const last = Open();
  RunReadyHandlers();
  mLink->CheckLiveness(probed + call_link::kProbeTimeout);
  RunReadyHandlers();
  BOOST_TEST(stream->mEvents.empty());
  BOOST_TEST(last->mEvents.empty());
  mLink->Close();
}

// Guards against an event for each byte of a response in small chunks, which
// takes some hundred times the memory that the credit of a stream allows.
BOOST_AUTO_TEST_CASE(SmallChunksOfAResponseShareAnEvent)
{
  auto const stream = Open();
  RunUntil([&] { return stream->WasSent() && !mAccepted.empty(); });
  std::string body;
  std::string frames;
  for (std::size_t size = 0; size <= kMaximumChunkBytes; ++size) {
    body += static_cast<char>('a' + size % 26);
    call_response_chunk const chunk{
      stream->mId, 0, body.substr(size), size == kMaximumChunkBytes
    };
    frames += wire::EncodeFrame(EncodeCallFrame(chunk));
  }
  asio::async_write(mAccepted.front(),
                    asio::buffer(frames),
                    [](boost::system::error_code, std::size_t) {});
  std::string received;
  auto const isComplete = [&] {
    received.clear();
    bool hasLast = false;
    for (auto const& event : stream->mEvents) {
      auto const& chunk = std::get<call_response_chunk>(event);
      BOOST_TEST(!hasLast);
      received += chunk.mBytes;
      hasLast = chunk.mLast;
    }
    return hasLast;
  };
  RunUntil(isComplete);
  BOOST_TEST((received == body));
  BOOST_TEST(stream->mEvents.size() == 2U);
  BOOST_TEST(
    std::get<call_response_chunk>(stream->mEvents.front()).mBytes.size() ==
    kMaximumChunkBytes);
  mLink->Close();
}

BOOST_AUTO_TEST_SUITE_END()
