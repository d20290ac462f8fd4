#include "Daemon/ScriptedStock.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace asio = boost::asio;
using namespace cranberryfold;
using namespace cranberryfold::test_support;
using namespace std::chrono_literals;

namespace {

std::string
Refusal(std::string const& aHeaders)
{
  return "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n"
         "x-cranberryfold-outcome: not_run\r\n" +
         aHeaders + "\r\n";
}

std::string
RefusalOf(std::string const& aRequestId)
{
  return Refusal("x-cranberryfold-request-id: " + aRequestId + "\r\n");
}

std::string
IdOf(scripted_request const& aRequest)
{
  return aRequest.Header("x-cranberryfold-request-id");
}

bool
IsNotRun(core::attempt<http::response> const& aResponse)
{
  return aResponse && http::FindHeader(aResponse->mHead.mHeaders,
                                       "x-cranberryfold-outcome") == "not_run";
}

/// More than the buffers between a caller and an upstream that does not read.
constexpr std::size_t kUploadBytes = 20'000'000;
http::request const kUpload{ { "PUT", "/photos/1", {} },
                             std::string(kUploadBytes, 'a') };
http::request const kLargeDeposit{ kDeposit.mHead, kUpload.mBody };
std::string const kEarlyBody(50'000, 'b');
/// Time until the writers of an upload wait for the upstream to read.
constexpr auto kResetDelay = 300ms;

constexpr auto kOldRead = "GET /stock/item HTTP/1.0\r\nhost: a\r\n\r\n";

struct received_bytes
{
  std::string mText;
  /// Why nothing more was received.
  boost::system::error_code mEnd;
};

/// Sends a request on a connection of its own and reads until the connection
/// ends.
received_bytes
ReadToEnd(core::address const& aPeer, std::string const& aRequest)
{
  asio::io_context context(1);
  asio::ip::tcp::socket socket(context);
  socket.connect({ asio::ip::make_address(aPeer.mHost), aPeer.mPort });
  asio::write(socket, asio::buffer(aRequest));
  received_bytes received;
  asio::read(socket, asio::dynamic_buffer(received.mText), received.mEnd);
  return received;
}

/// The mesh with a stock upstream that writes what a test says.
struct fixture : scripted_stock
{
  /// Sends a request whose body the upstream does not read. It answers without
  /// a length, and the connection ends as aEnd says while the body is sent.
  core::attempt<http::response> SendEarlyAnswered(http::request const& aRequest,
                                                  std::string const& aField,
                                                  connection_end aEnd)
  {
    auto const head = "HTTP/1.1 200 OK\r\n" + aField + "\r\n";
    Start(
      [=](scripted_request const& aReceived) {
        bool const isRead = aReceived.mHead.starts_with("GET");
        return isRead ? scripted_answer{ kOk }
                      : scripted_answer{ head + kEarlyBody, aEnd, kResetDelay };
      },
      true);
    WaitForSuccess();
    return SendUntilReceived(aRequest);
  }

  /// Sends requests until the upstream has got one on a connection that was
  /// used before, which aIsReused tells. Returns the response to it.
  core::attempt<http::response> SendUntilReused(
    http::request const& aRequest,
    std::atomic<bool> const& aIsReused)
  {
    core::attempt<http::response> response;
    BOOST_TEST(WaitUntil([&] {
      response = SendToStock(aRequest);
      return aIsReused.load();
    }));
    return response;
  }

  /// Sends a read and a deposit for each beginning of aBytes that lacks at
  /// least one byte, after which the connection ends. None may look whole.
  void ExpectNoCutIsWhole(std::string const& aBytes,
                          connection_end aEnd,
                          std::size_t aShortest = 0)
  {
    std::atomic<bool> isCutting = false;
    std::atomic<std::size_t> size = aShortest;
    Start([&](scripted_request const&) {
      return isCutting ? scripted_answer{ aBytes.substr(0, size), aEnd }
                       : scripted_answer{ kOk };
    });
    WaitForSuccess();
    isCutting = true;
    for (; size < aBytes.size(); ++size) {
      for (auto const& request : { kRead, kDeposit }) {
        auto const response = SendUntilReceived(request);
        BOOST_TEST(!IsSuccess(response), "whole after " << size << " bytes");
        BOOST_TEST(!IsNotRun(response), "not run after " << size << " bytes");
      }
    }
  }
};

}

BOOST_FIXTURE_TEST_SUITE(UpstreamResponses, fixture)

// Guards against telling a caller that its call was not run because of a
// refusal without an id that may belong to an earlier call on the connection.
BOOST_AUTO_TEST_CASE(StrayRefusalWithoutIdIsNoProof)
{
  std::atomic<bool> isReused = false;
  Start([&](scripted_request const& aRequest) {
    isReused = aRequest.mNumber > 1;
    return scripted_answer{ isReused ? Refusal("") : kOk };
  });
  BOOST_TEST(!IsNotRun(SendUntilReused(kDeposit, isReused)));
}

// Guards against taking a refusal of an earlier call on the connection for the
// response to this one.
BOOST_AUTO_TEST_CASE(RefusalOfAnEarlierCallIsSkipped)
{
  std::atomic<bool> isReused = false;
  std::string earlier;
  Start([&](scripted_request const& aRequest) {
    isReused = aRequest.mNumber > 1;
    auto const stray = isReused ? RefusalOf(earlier) : std::string();
    earlier = IdOf(aRequest);
    return scripted_answer{ stray + kOk };
  });
  BOOST_TEST(IsSuccess(SendUntilReused(kDeposit, isReused)));
}

// Guards against hiding that a call was not run when the refusal names it.
BOOST_AUTO_TEST_CASE(RefusalWithTheIdOfTheCallIsProof)
{
  std::atomic<bool> isReused = false;
  Start([&](scripted_request const& aRequest) {
    isReused = aRequest.mNumber > 1;
    return scripted_answer{ isReused ? RefusalOf(IdOf(aRequest)) : kOk };
  });
  BOOST_TEST(IsNotRun(SendUntilReused(kDeposit, isReused)));
}

// Guards against hiding that a call was not run when the refusal can belong to
// no other call.
BOOST_AUTO_TEST_CASE(RefusalOnANewConnectionIsProof)
{
  Start([](scripted_request const&) {
    return scripted_answer{ Refusal(""), connection_end::kClose };
  });
  BOOST_TEST(IsNotRun(SendUntilReceived(kDeposit)));
}

// Guards against giving up a call that has not run because its service has no
// further upstream.
BOOST_AUTO_TEST_CASE(CallThatWasNotRunIsOfferedAgain)
{
  std::atomic<bool> isRefusing = false;
  Start([&](scripted_request const& aRequest) {
    return scripted_answer{ isRefusing.exchange(false)
                              ? RefusalOf(IdOf(aRequest))
                              : kOk };
  });
  WaitForSuccess();
  auto const before = mServer->Requests();
  isRefusing = true;
  BOOST_TEST(IsSuccess(SendToStock(kDeposit)));
  BOOST_TEST(!isRefusing);
  BOOST_TEST(mServer->Requests() == before + 2);
}

// Guards against using a connection again on which more than the response has
// arrived.
BOOST_AUTO_TEST_CASE(ConnectionWithSurplusBytesIsNotReused)
{
  std::atomic<unsigned> reused = 0;
  Start([&](scripted_request const& aRequest) {
    reused += aRequest.mNumber > 1 ? 1 : 0;
    return scripted_answer{ kOk + Refusal("") };
  });
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(IsSuccess(SendUntilReceived(kDeposit)));
  }
  BOOST_TEST(reused == 0U);
}

// Guards against a refusal that arrives before the body of the call was sent
// and leaves the rest of the body to the next call.
BOOST_AUTO_TEST_CASE(EarlyRefusalEndsTheConnection)
{
  constexpr std::size_t kBodyBytes = 300'000;
  std::atomic<unsigned> reused = 0;
  Start(
    [&](scripted_request const& aRequest) {
      reused += aRequest.mNumber > 1 ? 1 : 0;
      return scripted_answer{ RefusalOf(IdOf(aRequest)) };
    },
    true);
  auto deposit = kDeposit;
  deposit.mBody = std::string(kBodyBytes, 'a');
  for (int call = 0; call < 5; ++call) {
    BOOST_TEST(IsNotRun(SendUntilReceived(deposit)));
  }
  BOOST_TEST(reused == 0U);
}

// Guards against a success made of a response whose head the upstream did not
// finish.
BOOST_AUTO_TEST_CASE(CutHeadIsNoResponse)
{
  ExpectNoCutIsWhole("HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 0\r\n\r\n",
                     connection_end::kClose);
}

// Guards against a success made of a reset connection, with a response that
// has no length.
BOOST_AUTO_TEST_CASE(ResetResponseWithoutLengthIsNotWhole)
{
  std::string const whole = "HTTP/1.1 200 OK\r\n\r\nbody";
  ExpectNoCutIsWhole(whole + "+", connection_end::kReset);
}

// Guards against a success made of a response without a length that is reset
// while the call's body is still sent: the kernel reports a reset only once,
// and the write got the report.
BOOST_AUTO_TEST_CASE(ResetDuringAnUploadIsNotWhole)
{
  for (std::string const field : { "", "connection: close\r\n" }) {
    for (auto const& request : { kUpload, kLargeDeposit }) {
      auto const response =
        SendEarlyAnswered(request, field, connection_end::kReset);
      BOOST_TEST(!IsSuccess(response), request.mHead.mMethod << " " << field);
      BOOST_TEST(!IsNotRun(response));
    }
  }
}

// Guards against taking a response without a length for cut off that has ended
// in order before its connection was reset.
BOOST_AUTO_TEST_CASE(ResetAfterTheEndOfAResponseLeavesItWhole)
{
  for (std::string const field : { "", "connection: close\r\n" }) {
    auto const response =
      SendEarlyAnswered(kUpload, field, connection_end::kCloseThenReset);
    BOOST_TEST(IsSuccess(response));
    BOOST_TEST((response && response->mBody == kEarlyBody));
  }
}

// Guards against a response to a caller of HTTP/1.0 that is cut off and looks
// whole: without a length and chunks, only a reset shows it.
BOOST_AUTO_TEST_CASE(CutResponseToAnOldCallerEndsWithAReset)
{
  auto const head = "HTTP/1.1 200 OK\r\n\r\n";
  std::atomic<connection_end> end = connection_end::kClose;
  Start([&](scripted_request const&) {
    return scripted_answer{ head + kEarlyBody, end, kResetDelay };
  });
  WaitForSuccess();
  auto const whole = ReadToEnd(mMesh.Caller("order"), kOldRead);
  BOOST_TEST(whole.mText.ends_with("\r\n\r\n" + kEarlyBody));
  BOOST_TEST((whole.mEnd == asio::error::eof));
  end = connection_end::kReset;
  auto const cut = ReadToEnd(mMesh.Caller("order"), kOldRead);
  BOOST_TEST((cut.mEnd == asio::error::connection_reset));
}

// Guards against a chunked response that looks whole without its trailer.
BOOST_AUTO_TEST_CASE(CutTrailerIsNotWhole)
{
  std::string const head =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  ExpectNoCutIsWhole(head + "2\r\nok\r\n0\r\nx-a: b\r\n\r\n",
                     connection_end::kClose,
                     head.size());
}

// Guards against a refusal whose head the upstream did not finish, or an
// interim response without a final one, that counts as a response.
BOOST_AUTO_TEST_CASE(CutRefusalIsNoProof)
{
  ExpectNoCutIsWhole("HTTP/1.1 103 Early Hints\r\n\r\n" + Refusal(""),
                     connection_end::kClose);
}

BOOST_AUTO_TEST_SUITE_END()
