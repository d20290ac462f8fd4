#include "Daemon/Mesh.h"
#include "LibDaemon/CallFrames.h"
#include "LibWire/Frame.h"

#include <array>
#include <csignal>
#include <future>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::daemon;
using namespace cranberryfold::test_support;
using boost::asio::ip::tcp;

namespace {

/// A daemon that answers one call and then falls silent with its connections
/// open, as after a loss of power.
class silent_peer
{
public:
  explicit silent_peer(core::address const& aAddress)
    : mAcceptor(
        mContext,
        { boost::asio::ip::make_address(aAddress.mHost), aAddress.mPort })
  {
  }

  /// Accepts connections until one call was answered, and stops listening.
  void AnswerOneCall()
  {
    bool isAnswered = false;
    while (!isAnswered) {
      mConnections.push_back(mAcceptor.accept());
      isAnswered = Answer(mConnections.back());
    }
    mAcceptor.close();
  }

private:
  /// Returns false for a connection that carries no calls.
  static bool Answer(tcp::socket& aConnection)
  {
    wire::frame_splitter splitter(wire::kMaximumCallFrameBytes);
    auto const first = Receive(aConnection, splitter);
    if (std::get<hello>(first).mKind != connection_kind::kCalls) {
      return false;
    }
    auto const head = std::get<call_head>(Receive(aConnection, splitter));
    call_response_head response;
    response.mStream = head.mStream;
    response.mAttempt = head.mAttempt;
    response.mStatus = 200;
    response.mContentLength = 0;
    boost::asio::write(
      aConnection,
      boost::asio::buffer(wire::EncodeFrame(EncodeCallFrame(response))));
    return true;
  }

  static call_frame Receive(tcp::socket& aConnection,
                            wire::frame_splitter& aSplitter)
  {
    std::array<char, 4096> bytes{};
    for (;;) {
      auto const payload = core::Attempt([&] { return aSplitter.Next(); });
      BOOST_REQUIRE(payload);
      if (payload.mValue->has_value()) {
        return *core::Attempt(
          [&] { return DecodeCallFrame(**payload.mValue); });
      }
      auto const size = aConnection.read_some(boost::asio::buffer(bytes));
      aSplitter.Append({ bytes.data(), size });
    }
  }

  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::vector<tcp::socket> mConnections;
};

}

BOOST_AUTO_TEST_SUITE(ReusedAddresses)

// Guards against calls that are sent on a connection to the process that had
// the address before: after a loss of power nothing closes it.
BOOST_AUTO_TEST_CASE(NewProcessIsNotCalledOnAConnectionToTheFormerOne)
{
  mesh running;
  running.Daemon("stock").Signal(SIGKILL);
  BOOST_REQUIRE(running.Daemon("stock").WaitForExit());
  silent_peer former(running.Peer("stock"));
  auto answered = std::async(std::launch::async, [&] {
    return Send(running.Caller("order"), { { "GET", "/stock/item", {} }, "" });
  });
  former.AnswerOneCall();
  auto const first = answered.get();
  BOOST_REQUIRE(first);
  BOOST_REQUIRE(first->mHead.mStatus == 200U);
  auto const outputOfOrder = running.Daemon("order").Output().size();
  running.RestartDaemon("stock");
  BOOST_REQUIRE(WaitUntil([&] {
    auto const output = running.Daemon("order").Output();
    return output.find("member_changed member=stock", outputOfOrder) !=
             std::string::npos &&
           running.WaitForStock();
  }));
  auto const response =
    Send(running.Caller("order"), { { "GET", "/stock/item", {} }, "" });
  BOOST_REQUIRE(response);
  BOOST_TEST(response->mHead.mStatus == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
