#include "LibDaemon/CallLink.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::daemon;
using namespace std::chrono_literals;

namespace {

/// A link to a peer that accepts connections and reads nothing.
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
    // Steps, not time, bound the wait; each step is an event of the sockets.
    while (!aCondition()) {
      BOOST_REQUIRE(mContext.run_one() > 0);
    }
  }

  static refusal const& RefusalOf(outgoing_stream const& aStream)
  {
    return std::get<refusal>(aStream.mEvents.front());
  }
};

}

BOOST_FIXTURE_TEST_SUITE(CallLink, link_fixture)

// Guards against "not run" for a call whose head the peer may have read: what a
// stream is told rests on the connection that carried its own head, not on the
// state of the link.
BOOST_AUTO_TEST_CASE(EachStreamEndsWithItsOwnConnection)
{
  auto const sent = Open();
  RunUntil([&] { return sent->mConnection != 0; });
  // The peer does not read, so the queue overflows and the connection is
  // closed here, before the reader has noticed.
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

BOOST_AUTO_TEST_SUITE_END()
