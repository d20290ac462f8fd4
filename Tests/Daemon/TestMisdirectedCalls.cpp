#include "Daemon/Mesh.h"
#include "LibDaemon/CallFrames.h"
#include "LibWire/Frame.h"

#include <array>
#include <csignal>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::daemon;
using namespace cranberryfold::test_support;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

std::string
ToBytes(call_frame const& aFrame)
{
  return wire::EncodeFrame(EncodeCallFrame(aFrame));
}

/// Calls aPool at a daemon as the daemon of a sender does. Returns the first
/// frame that the daemon sends back.
core::attempt<call_frame>
CallPool(core::address const& aPeer, std::string const& aPool)
{
  call_head head;
  head.mStream = { 1 };
  head.mAttempt = 1;
  head.mContext.mRequest = { "misdirected" };
  head.mTimeLeft = 10s;
  head.mPool = aPool;
  head.mMethod = "GET";
  head.mTarget = "/stock/item";
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect({ boost::asio::ip::make_address(aPeer.mHost), aPeer.mPort });
  boost::asio::write(socket,
                     boost::asio::buffer(ToBytes(hello{}) + ToBytes(head)));
  wire::frame_splitter splitter(wire::kMaximumCallFrameBytes);
  std::array<char, 4096> bytes{};
  for (;;) {
    auto const payload = core::Attempt([&] { return splitter.Next(); });
    BOOST_REQUIRE(payload);
    if (payload.mValue->has_value()) {
      return core::Attempt([&] { return DecodeCallFrame(**payload.mValue); });
    }
    auto const size = socket.read_some(boost::asio::buffer(bytes));
    splitter.Append({ bytes.data(), size });
  }
}

/// Renames the pool "stock" of the mesh to "goods".
void
RenameStock(mesh const& aMesh)
{
  auto const tables =
    Send(aMesh.Admin("order"), { { "GET", "/v1/tables", {} }, "" });
  BOOST_REQUIRE(tables);
  auto const revision =
    boost::json::parse(tables->mBody).at("revision").to_number<std::uint64_t>();
  http::request const edit{ { "POST", "/v1/edits", {} },
                            R"({"edit_id":"rename","base_revision":)" +
                              std::to_string(revision) + R"(,"tables":{
  "pools": [ { "name": "goods", "service": "stock", "cold_start_ms": 0 } ],
  "routes": [ { "name": "stock", "methods": ["GET"], "path_prefix": "/stock",
                "pool": "goods", "class": "catalogue", "idempotent": true,
                "timeout_ms": 60000 } ] } })" };
  auto const response = Send(aMesh.Admin("order"), edit);
  BOOST_REQUIRE(response);
  BOOST_REQUIRE(response->mHead.mStatus == 200U);
}

}

BOOST_AUTO_TEST_SUITE(MisdirectedCalls)

// Guards against calls that are run by another service: a sender that missed
// the news of an address that was reused still sends calls of its former
// service there.
BOOST_AUTO_TEST_CASE(CallOfAnotherServiceIsRefusedAsNotRun)
{
  mesh const running;
  BOOST_REQUIRE(WaitUntil([&] { return running.HasPool("order", "stock"); }));
  auto const frame = CallPool(running.Peer("order"), "stock");
  BOOST_REQUIRE(frame);
  auto const* const refused = std::get_if<refusal>(&*frame);
  BOOST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->mOutcome == traffic::outcome::kNotRun));
  BOOST_TEST(core::ReasonName(refused->mReason) == "wrong_service");
  BOOST_TEST(running.Journal("order").find("event=start") == std::string::npos);
}

// Guards against a check that turns away calls of the daemon's own service.
BOOST_AUTO_TEST_CASE(CallOfTheOwnServiceRuns)
{
  mesh const running;
  auto const frame = CallPool(running.Peer("stock"), "stock");
  BOOST_REQUIRE(frame);
  BOOST_TEST(std::holds_alternative<call_response_head>(*frame));
}

// Guards against calls that are refused while a table edit spreads: a sender
// with the former tables names a pool that the daemon's tables no longer list.
BOOST_AUTO_TEST_CASE(CallOfAPoolThatWasRenamedRuns)
{
  mesh const running;
  RenameStock(running);
  BOOST_REQUIRE(WaitUntil([&] { return running.HasPool("stock", "goods"); }));
  auto const frame = CallPool(running.Peer("stock"), "stock");
  BOOST_REQUIRE(frame);
  BOOST_TEST(std::holds_alternative<call_response_head>(*frame));
}

// Guards against calls that are sent to a daemon which has no tables yet and
// refuses them: it announced that it serves as soon as its upstream was ready.
BOOST_AUTO_TEST_CASE(DaemonWithoutTablesIsNotAnnouncedAsServing)
{
  mesh running;
  for (auto const* const instance : { "order", "spare", "stock" }) {
    running.Daemon(instance).Signal(SIGKILL);
    BOOST_REQUIRE(running.Daemon(instance).WaitForExit());
  }
  auto const outputOfFirstRun = running.Daemon("stock").Output().size();
  running.RestartDaemon("stock");
  BOOST_REQUIRE(WaitUntil([&] {
    return running.Daemon("stock").Output().find(
             "to=serving", outputOfFirstRun) != std::string::npos;
  }));
  auto const members =
    Send(running.Admin("stock"), { { "GET", "/v1/members", {} }, "" });
  BOOST_REQUIRE(members);
  BOOST_TEST(
    members->mBody.find("\"service\":\"stock\",\"state\":\"starting\"") !=
    std::string::npos);
  running.RestartDaemon("order");
  BOOST_TEST(running.WaitForStock());
}

BOOST_AUTO_TEST_SUITE_END()
