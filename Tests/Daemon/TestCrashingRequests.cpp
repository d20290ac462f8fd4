#include "Daemon/ScriptedStock.h"
#include "Support/LateReader.h"

#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::test_support;
using namespace std::chrono_literals;

namespace {

/// The first crash and those of two trials.
constexpr unsigned kMaximumCrashes = 3;
constexpr std::size_t kBodyBytes = 60'000;
constexpr std::size_t kChunkBytes = 5'000;
constexpr auto kAttemptInterval = 1s;
constexpr unsigned kQuarantined = 503;

/// Bodies that differ only at their end.
std::string
Body(char aLast)
{
  std::string body(kBodyBytes, 'p');
  body.back() = aLast;
  return body;
}

std::string const kBad = Body('x');
std::string const kGood = Body('y');

/// The same request with other boundaries between what arrives together.
struct arrival
{
  std::string mRequest;
  std::size_t mPieceBytes = 0;
};

struct fixture : scripted_stock
{
  std::atomic<unsigned> mCrashes{ 0 };
  std::atomic<bool> mIsCrashing{ false };

  /// Starts an upstream that crashes when it runs the next upload.
  void StartCrashing()
  {
    Start([this](scripted_request const& aRequest) {
      bool const isUpload = aRequest.mHead.starts_with("PUT");
      if (!isUpload || !mIsCrashing) {
        return scripted_answer{ kOk };
      }
      ++mCrashes;
      return scripted_answer{ "", connection_end::kCrash };
    });
    WaitForSuccess();
  }

  /// Sends the bad request; restarts the upstream if that crashed it.
  unsigned SendBad(arrival const& aArrival)
  {
    auto const before = mCrashes.load();
    mIsCrashing = true;
    late_reader caller(mMesh.Caller("order"));
    auto const response =
      caller.Send(aArrival.mRequest, aArrival.mPieceBytes, 2ms);
    mIsCrashing = false;
    if (mCrashes != before) {
      StartCrashing();
    }
    return response.mStatus;
  }
};

}

BOOST_FIXTURE_TEST_SUITE(CrashingRequests, fixture)

// Guards against a request that crashes upstreams and is not recognised when it
// arrives in other pieces, with other chunks or with a length.
BOOST_AUTO_TEST_CASE(RequestIsRecognisedInOtherPieces)
{
  std::vector<arrival> const arrivals{
    { UploadWithLength(kBad), 1'448 },
    { UploadWithLength(kBad), 7'240 },
    { UploadInChunks(kBad, kChunkBytes), 1'448 },
    { UploadInChunks(kBad, kBodyBytes), 100'000 },
    { UploadWithLength(kBad), 100'000 },
    { UploadWithLength(kBad), 500 },
    { UploadInChunks(kBad, 300), 20'000 },
    { UploadWithLength(kBad), 13'032 },
    { UploadWithLength(kBad), 2'896 },
    { UploadInChunks(kBad, 1'000), 700 },
    { UploadWithLength(kBad), 5'792 },
    { UploadWithLength(kBad), 30'000 },
  };
  StartCrashing();
  unsigned last = 0;
  for (auto const& arrival : arrivals) {
    last = SendBad(arrival);
    std::this_thread::sleep_for(kAttemptInterval);
  }
  BOOST_TEST(mCrashes <= kMaximumCrashes);
  BOOST_TEST(mCrashes > 0U);
  BOOST_TEST(last == kQuarantined);
  late_reader caller(mMesh.Caller("order"));
  BOOST_TEST(caller.Send(UploadWithLength(kGood)).mStatus == 200U);
  BOOST_TEST(caller.Send(UploadInChunks(kGood, kChunkBytes)).mStatus == 200U);
}

// Guards against a request that is held back because an upstream crashed while
// it ran, though it completes when it runs again, in other pieces.
BOOST_AUTO_TEST_CASE(RequestThatCompletesIsNoLongerSuspect)
{
  StartCrashing();
  SendBad({ UploadWithLength(kGood), 1'448 });
  late_reader caller(mMesh.Caller("order"));
  BOOST_TEST(WaitUntil([&] {
    return caller.Send(UploadInChunks(kGood, kChunkBytes)).mStatus == 200;
  }));
  BOOST_TEST(caller.Send(UploadWithLength(kGood), 7'240).mStatus == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
