#include "harness.h"

#include <thread>

/// One client sends requests with large headers, within the limits of the
/// configuration. Other clients of the same daemon upload photos, also while
/// that daemon is stopped as planned work.
namespace {

using namespace review;

constexpr char const* kConfiguration =
  R"({"Version":"r1","Routes":{"upload":{"Hostname":"photos.example",)"
  R"("PathPrefix":"/photo/","RouteType":"upload","TimeoutMs":5000,)"
  R"("TargetLatencyMs":1500,"Priority":1,"Service":"galerija",)"
  R"("MaxAttempts":2},"details":{"Hostname":"photos.example",)"
  R"("PathPrefix":"/details/","RouteType":"safe","TimeoutMs":5000,)"
  R"("TargetLatencyMs":1500,"Priority":2,"Service":"galerija",)"
  R"("MaxAttempts":2}},"Services":{"galerija":{"HealthPath":"/health",)"
  R"("MaxConnections":472,"Protocol":"h1","Tls":false}},)"
  R"("Limits":{"MaxHeaderBytes":131072,"MaxBodyBytes":67108864,)"
  R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

constexpr std::int64_t kWorkMs = 400;
constexpr std::int64_t kUsualMs = 4000;
/// Requests that are sent until then after SIGTERM are judged.
constexpr std::int64_t kJudgedMs = 2200;
constexpr std::int64_t kBetweenUploadsMs = 60;
constexpr std::int64_t kBetweenDetailsMs = 250;
constexpr std::size_t kHeaders = 10;
constexpr std::size_t kLargeHeaderBytes = 8000;
constexpr std::size_t kUsualHeaderBytes = 800;

struct tally
{
  std::atomic<int> mAnswered{ 0 };
  std::atomic<int> mRefused{ 0 };
  /// The server had begun, and the client got no answer of it.
  std::atomic<int> mCut{ 0 };
  std::atomic<int> mOther{ 0 };
};

std::string
MakeId(int aNumber)
{
  auto text = std::to_string(aNumber);
  return "9c41d07be2" + std::string(6 - text.size(), '0') + text;
}

bool
HasRun(deployment& aMesh, std::string const& aId)
{
  for (std::size_t index = 0; index < aMesh.Servers(); ++index) {
    for (auto const& run : aMesh.Server(index).Runs()) {
      if (run.mRequest == aId) {
        return true;
      }
    }
  }
  return false;
}

void
Count(deployment& aMesh,
      std::string const& aWhat,
      int aNumber,
      outcome const& aAnswer,
      tally& aTally)
{
  auto const status = aAnswer.mIsComplete ? aAnswer.mResponse.Status() : 0;
  if (status == 200) {
    ++aTally.mAnswered;
    return;
  }
  bool const hasRun = HasRun(aMesh, MakeId(aNumber));
  ++(status == 503 ? aTally.mRefused : hasRun ? aTally.mCut : aTally.mOther);
  Record(aWhat + " " + MakeId(aNumber) + ": " + aAnswer.Describe() +
         (hasRun ? "; a server was at work on it" : "; no server began it"));
}

outcome
Upload(std::string const& aIp, int aNumber)
{
  auto const body = MakeId(aNumber) + std::string(20'000, 'p');
  auto const head = Head("POST",
                         "/photo/" + std::to_string(aNumber),
                         "photos.example",
                         { { "Request-Id", MakeId(aNumber) },
                           { "Deadline-Ms", "5000" },
                           { "Content-Length", std::to_string(body.size()) } });
  return Exchange(aIp, kOutboundPort, { { 0, head + body } }, 7000);
}

outcome
ReadDetails(std::string const& aIp, int aNumber)
{
  std::vector<std::pair<std::string, std::string>> headers{
    { "Request-Id", MakeId(aNumber) }, { "Deadline-Ms", "5000" }
  };
  for (std::size_t index = 0; index < kHeaders; ++index) {
    headers.emplace_back(
      "Selection-" + std::to_string(index),
      std::string(HasTrouble() ? kLargeHeaderBytes : kUsualHeaderBytes, 's'));
  }
  auto const head = Head("GET", "/details/1", "photos.example", headers);
  return Exchange(aIp, kOutboundPort, { { 0, head } }, 7000);
}

/// Sends uploads and reads to the first daemon for a time.
void
SendBoth(deployment& aMesh,
         std::int64_t aForMs,
         std::atomic<int>& aNumber,
         tally& aUploads,
         tally& aReads)
{
  auto const until = NowMs() + aForMs;
  std::thread reader([&, until] {
    while (NowMs() < until) {
      int const number = aNumber++;
      Count(aMesh, "read", number, ReadDetails(aMesh.Ip(0), number), aReads);
      SleepMs(kBetweenDetailsMs);
    }
  });
  std::vector<std::thread> clients;
  while (NowMs() < until) {
    int const number = aNumber++;
    clients.emplace_back([&aMesh, &aUploads, number] {
      Count(aMesh, "upload", number, Upload(aMesh.Ip(0), number), aUploads);
    });
    SleepMs(kBetweenUploadsMs);
  }
  for (auto& client : clients) {
    client.join();
  }
  reader.join();
}

void
RecordTally(std::string const& aWhat, tally const& aTally)
{
  Record(aWhat + ": answered " + std::to_string(aTally.mAnswered) +
         ", refused " + std::to_string(aTally.mRefused) + ", cut at work " +
         std::to_string(aTally.mCut) + ", other " +
         std::to_string(aTally.mOther));
}

}

int
main()
{
  deployment mesh(
    { { "lj-a", "galerija" }, { "lj-a", "galerija" }, { "lj-b", "galerija" } });
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mWorkMs = kWorkMs;
  }
  mesh.Start(kConfiguration);
  std::atomic<int> number{ 1 };
  tally uploads;
  tally reads;
  SendBoth(mesh, kUsualMs, number, uploads, reads);
  RecordTally("uploads before the stop", uploads);
  RecordTally("reads before the stop", reads);
  Record("SIGTERM to the first daemon");
  mesh.Terminate(0);
  tally uploadsInStop;
  tally readsInStop;
  SendBoth(mesh, kJudgedMs, number, uploadsInStop, readsInStop);
  RecordTally("uploads during the stop", uploadsInStop);
  RecordTally("reads during the stop", readsInStop);
  if (!HasTrouble() && uploadsInStop.mAnswered == 0) {
    Finish(2, "nothing was answered without the disruption");
  }
  Finish(uploadsInStop.mCut > 0 ? 1 : 0,
         uploadsInStop.mCut > 0 ? "LOST is broken" : "LOST held");
}
