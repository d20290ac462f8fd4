#include "Daemon/ScriptedStock.h"
#include "Support/LateReader.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kPieceBytes = 16'384;
constexpr std::size_t kChunkBytes = 16'384;
/// A slow upload lasts longer than the daemon waits for input without a
/// deadline.
constexpr auto kSlowPause = 100ms;
constexpr std::size_t kSlowPieceBytes = 8'192;
constexpr auto kPause = 2ms;

std::string const kGet = "GET /stock/item HTTP/1.1\r\nhost: stock\r\n\r\n";

std::string
Upload(std::size_t aBytes)
{
  return UploadWithLength(std::string(aBytes, 'p'));
}

std::string
ChunkedUpload(std::size_t aChunks)
{
  return UploadInChunks(std::string(aChunks * kChunkBytes, 'p'), kChunkBytes);
}

/// Uploads to an upstream that answers when it has read the head, and reads the
/// rest of the body meanwhile.
struct fixture : scripted_stock
{
  /// Starts an upstream with aStatus and aAnswerBytes of body for uploads.
  void StartEarly(std::string const& aStatus, std::size_t aAnswerBytes)
  {
    mAnswer = std::string(aAnswerBytes, 'a');
    auto const head = "HTTP/1.1 " + aStatus +
                      "\r\ncontent-length: " + std::to_string(aAnswerBytes) +
                      "\r\n\r\n";
    Start(
      [this, head](scripted_request const& aRequest) {
        scripted_answer answer{ kOk };
        if (!aRequest.mHead.starts_with("GET")) {
          answer.mBytes = head + mAnswer;
          answer.mReadsOn = true;
        }
        return answer;
      },
      true);
    WaitForSuccess();
  }

  /// Expects the whole answer, and that the connection serves a further
  /// request.
  void ExpectWhole(std::string const& aRequest,
                   unsigned aStatus,
                   std::size_t aPieceBytes = kPieceBytes,
                   core::duration aPause = kPause)
  {
    late_reader caller(mMesh.Caller("order"));
    BOOST_TEST(caller.Send(kGet).mIsWhole);
    auto const response = caller.Send(aRequest, aPieceBytes, aPause);
    BOOST_TEST(response.mStatus == aStatus);
    BOOST_TEST(response.mIsWhole);
    BOOST_TEST(response.mBody.size() == mAnswer.size());
    BOOST_TEST((response.mBody == mAnswer));
    BOOST_TEST(response.mIsKept);
    BOOST_TEST(caller.Send(kGet).mStatus == 200U);
  }

  std::string mAnswer;
};

}

BOOST_FIXTURE_TEST_SUITE(EarlyAnswers, fixture)

// Guards against a response that is cut off because the daemon closes the
// connection while the caller still sends its body.
BOOST_AUTO_TEST_CASE(AnswerArrivesThoughTheBodyIsStillSent)
{
  StartEarly("200 OK", 36'000);
  for (std::size_t const size : { 20'000UL, 300'000UL, 3'000'000UL }) {
    ExpectWhole(Upload(size), 200);
  }
  ExpectWhole(ChunkedUpload(20), 200);
}

// Guards against a limit on the time for the rest of the body that is shorter
// than the deadline of the request.
BOOST_AUTO_TEST_CASE(AnswerArrivesThoughTheBodyIsSentSlowly)
{
  StartEarly("200 OK", 200'000);
  ExpectWhole(Upload(300'000), 200, kSlowPieceBytes, kSlowPause);
}

// Guards against losing the reason of an upstream that rejects an upload.
BOOST_AUTO_TEST_CASE(RejectionArrivesThoughTheBodyIsStillSent)
{
  StartEarly("413 Payload Too Large", 36'000);
  ExpectWhole(Upload(300'000), 413);
  ExpectWhole(ChunkedUpload(20), 413);
}

// Guards against a caller and a daemon that wait for each other, one to write
// the body and one to write the response.
BOOST_AUTO_TEST_CASE(BodyIsReadWhileTheAnswerIsWritten)
{
  StartEarly("200 OK", 20'000'000);
  ExpectWhole(Upload(20'000'000), 200, 1'000'000);
}

BOOST_AUTO_TEST_SUITE_END()
