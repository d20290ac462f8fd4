#include "Support/MalformedHeads.h"
#include "Support/Process.h"
#include "Support/ScriptedServer.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;
using namespace std::chrono_literals;

namespace {

http::request const kRead{ { "GET", "/", {} }, "" };
/// More than the buffers of a connection whose server does not read.
http::request const kUpload{ { "PUT", "/", {} }, std::string(20'000'000, 'a') };
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

BOOST_AUTO_TEST_SUITE_END()
