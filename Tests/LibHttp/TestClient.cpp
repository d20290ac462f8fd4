#include "LibHttp/Client.h"
#include "Support/EndlessServer.h"
#include "Support/MalformedHeads.h"
#include "Support/Process.h"
#include "Support/ScriptedServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;
using namespace std::chrono_literals;

namespace {

http::request const kRead{ { "GET", "/", {} }, "" };
/// More than the buffers of a connection whose server does not read.
constexpr std::size_t kUploadBytes = 20'000'000;
http::request const kUpload{ { "PUT", "/", {} },
                             std::string(kUploadBytes, 'a') };
/// Far more than sockets buffer.
constexpr std::uint64_t kMaximumReadBytes = 64UL << 20U;
std::string const kEarlyBody(50'000, 'b');
/// Time until the client waits for the server to read.
constexpr auto kResetDelay = 300ms;

/// Sends a request to a server that answers with these bytes before it has read
/// the body of the request.
core::attempt<http::response>
Exchange(http::request const& aRequest,
         std::string const& aBytes,
         connection_end aEnd)
{
  auto const ports = ReservePorts(1);
  core::address const address{ "127.0.0.1", ports.Ports().front() };
  scripted_server const server(
    address,
    [&](scripted_request const&) {
      return scripted_answer{ aBytes, aEnd, kResetDelay };
    },
    true);
  return Send(address, aRequest);
}

/// Sends a read whose response may have a short body only.
core::attempt<http::response>
SendWithLimit(core::address const& aPeer)
{
  constexpr std::uint64_t kMaximumBody = 64UL << 10U;
  boost::asio::io_context context(1);
  auto response = boost::asio::co_spawn(
    context,
    http::SendRequest(aPeer, kRead, kWaitLimit, kMaximumBody),
    boost::asio::use_future);
  context.run();
  return response.get();
}

core::attempt<http::response>
SendEarlyAnswered(std::string const& aField, connection_end aEnd)
{
  return Exchange(
    kUpload, "HTTP/1.1 200 OK\r\n" + aField + "\r\n" + kEarlyBody, aEnd);
}

}

BOOST_AUTO_TEST_SUITE(Client)

// Guards against a whole response made of one without a length that was reset:
// the kernel reports a reset only once, and the write of the body got the
// report.
BOOST_AUTO_TEST_CASE(ResetDuringAnUploadIsNotWhole)
{
  for (std::string const field : { "", "connection: close\r\n" }) {
    auto const response = SendEarlyAnswered(field, connection_end::kReset);
    BOOST_TEST(!response);
    BOOST_TEST((response.mError.mCode == core::error_code::kClosed));
  }
}

// Guards against taking a response without a length for cut off that has ended
// in order before its connection was reset.
BOOST_AUTO_TEST_CASE(ResetAfterTheEndOfAResponseLeavesItWhole)
{
  for (std::string const field : { "", "connection: close\r\n" }) {
    auto const response =
      SendEarlyAnswered(field, connection_end::kCloseThenReset);
    BOOST_TEST_REQUIRE(!!response);
    BOOST_TEST((response->mBody == kEarlyBody));
  }
}

// Guards against an early response with a length that is lost because the
// connection is reset after it.
BOOST_AUTO_TEST_CASE(ResetAfterTheLengthOfAResponseLeavesItWhole)
{
  auto const response =
    SendEarlyAnswered("content-length: 50000\r\n", connection_end::kReset);
  BOOST_TEST_REQUIRE(!!response);
  BOOST_TEST((response->mBody == kEarlyBody));
}

// Guards against a status that HTTP does not have.
BOOST_AUTO_TEST_CASE(UnknownStatusIsMalformed)
{
  for (auto const& head : HeadsWithUnknownStatus()) {
    auto const response = Exchange(kRead, head + "ok", connection_end::kClose);
    BOOST_TEST(!response, head);
    BOOST_TEST((response.mError.mCode == core::error_code::kMalformed), head);
  }
}

// Guards against accepting a malformed field.
BOOST_AUTO_TEST_CASE(BlankOrControlByteInAFieldNameIsMalformed)
{
  for (auto const& head : HeadsWithMalformedName()) {
    auto const response = Exchange(kRead, head + "ok", connection_end::kClose);
    BOOST_TEST(!response, head);
    BOOST_TEST((response.mError.mCode == core::error_code::kMalformed), head);
  }
}

// Guards against unbounded memory and time for a response without end, in its
// head, its body or the lines between.
BOOST_AUTO_TEST_CASE(EndlessResponsesAreAborted)
{
  std::string const start = "HTTP/1.1 200 OK\r\n";
  std::string const chunked = start + "transfer-encoding: chunked\r\n\r\n";
  std::vector<endless_bytes> const responses{
    { "", "\x01\xff#" },           { "HTTP/1.1 200 ", "a" },
    { start + "x-filler: ", "a" }, { start, "x-filler: a\r\n" },
    { start + "\r\n", "a" },       { chunked, "1\r\na\r\n" },
    { chunked + "5;x=", "a" },     { chunked + "0\r\n", "x-filler: a\r\n" },
  };
  for (auto const& response : responses) {
    auto const ports = ReservePorts(1);
    core::address const address{ "127.0.0.1", ports.Ports().front() };
    endless_server const server(address, response);
    auto const error = SendWithLimit(address).mError.mCode;
    BOOST_TEST((error == core::error_code::kMalformed ||
                error == core::error_code::kLimitExceeded),
               response.mBeginning << response.mRepeated);
    BOOST_TEST(server.Written() < kMaximumReadBytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()
