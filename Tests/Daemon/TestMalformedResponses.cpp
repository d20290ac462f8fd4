#include "Daemon/ScriptedStock.h"
#include "Support/MalformedHeads.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;

namespace {

constexpr unsigned kBadGateway = 502;

/// The mesh with a stock upstream whose response to the next request is set.
struct fixture : scripted_stock
{
  fixture()
  {
    Start([this](scripted_request const&) {
      return scripted_answer{ mIsInTrouble ? mBytes : kOk, mEnd };
    });
    WaitForSuccess();
  }

  ~fixture() { mServer.reset(); }

  /// Checks that a caller gets a failure in place of these bytes, at once and
  /// not at the end of its time.
  void ExpectBadGateway(std::string const& aBytes, connection_end aEnd)
  {
    mBytes = aBytes;
    mEnd = aEnd;
    mIsInTrouble = true;
    for (auto const& request : { kRead, kDeposit }) {
      auto const response = SendUntilReceived(request);
      BOOST_TEST((response && response->mHead.mStatus == kBadGateway),
                 request.mHead.mMethod << " answered with " << aBytes);
    }
    mIsInTrouble = false;
  }

  /// Read by the server's thread only while a request is served.
  std::string mBytes;
  connection_end mEnd = connection_end::kKeepOpen;
  std::atomic<bool> mIsInTrouble = false;
};

}

BOOST_FIXTURE_TEST_SUITE(MalformedResponses, fixture)

// Guards against a status that HTTP does not have, which was taken for that of
// an interim response: the caller waited for another response until its
// deadline.
BOOST_AUTO_TEST_CASE(UnknownStatusIsNoResponse)
{
  for (auto const& head : HeadsWithUnknownStatus()) {
    ExpectBadGateway(head + "ok", connection_end::kKeepOpen);
    ExpectBadGateway(head + "ok", connection_end::kClose);
  }
}

// Guards against a success made of the body of a malformed response.
BOOST_AUTO_TEST_CASE(BodyAfterAnUnknownStatusIsNoResponse)
{
  ExpectBadGateway(std::string("HTTP/1.1 000 Trouble\r\ncontent-length: 40"
                               "\r\n\r\n") +
                     kOk,
                   connection_end::kKeepOpen);
}

// Guards against passing on a malformed field, or a body whose length another
// reader of that field takes for a different one.
BOOST_AUTO_TEST_CASE(BlankOrControlByteInAFieldNameIsNoResponse)
{
  for (auto const& head : HeadsWithMalformedName()) {
    ExpectBadGateway(head + "ok", connection_end::kKeepOpen);
  }
}

// Guards against a whole response made of one that ends with a malformed field.
BOOST_AUTO_TEST_CASE(MalformedTrailerIsNotWhole)
{
  std::string const start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
                            "\r\n2\r\nok\r\n0\r\n";
  for (std::string const name : { "x name", "x-name ", "x-\x01name" }) {
    mBytes = start + name + ": value\r\n\r\n";
    mIsInTrouble = true;
    BOOST_TEST(!IsSuccess(SendUntilReceived(kDeposit)), name);
    mIsInTrouble = false;
  }
}

BOOST_AUTO_TEST_SUITE_END()
