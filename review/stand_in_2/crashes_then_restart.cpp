#include "harness.h"

#include <memory>
#include <thread>

/// The servers of a service crash while all their slots are taken. After a calm
/// time the daemons are restarted in turn, as planned work.
namespace {

using namespace review;

constexpr char const* kConfiguration =
  R"({"Version":"r1","Routes":{"upload":{"Hostname":"photos.example",)"
  R"("PathPrefix":"/photo/","RouteType":"upload","TimeoutMs":5000,)"
  R"("TargetLatencyMs":1500,"Priority":1,"Service":"galerija",)"
  R"("MaxAttempts":2}},"Services":{"galerija":{"HealthPath":"/health",)"
  R"("MaxConnections":2794,"Protocol":"h1","Tls":false}},)"
  R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
  R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

constexpr int kSlots = 449;
constexpr int kUploadsAtOnce = 1760;
constexpr std::int64_t kWorkUnderLoadMs = 3500;
constexpr std::int64_t kCrashAfterMs = 2000;
constexpr int kTries = 3;
constexpr std::int64_t kRetryAfterMs = 400;
constexpr std::int64_t kWorkMs = 400;
constexpr std::int64_t kCalmMs = 5000;
constexpr std::int64_t kBetweenRestartsMs = 2500;
/// Requests that are sent until then after SIGTERM are judged.
constexpr std::int64_t kJudgedMs = 2400;
constexpr std::int64_t kBetweenUploadsMs = 100;

std::string
MakeId(int aNumber)
{
  auto text = std::to_string(aNumber);
  return "9c41d07be2" + std::string(6 - text.size(), '0') + text;
}

outcome
Upload(std::string const& aIp, int aNumber)
{
  auto const body = MakeId(aNumber) + std::string(2000, 'p');
  auto const head = Head("POST",
                         "/photo/" + std::to_string(aNumber),
                         "photos.example",
                         { { "Request-Id", MakeId(aNumber) },
                           { "Deadline-Ms", "5000" },
                           { "Content-Length", std::to_string(body.size()) } });
  return Exchange(aIp, kOutboundPort, { { 0, head + body } }, 7000);
}

struct tally
{
  std::atomic<int> mAnswered{ 0 };
  std::atomic<int> mRefused{ 0 };
  /// The server had begun, and the client got no answer of it.
  std::atomic<int> mCut{ 0 };
  std::atomic<int> mOther{ 0 };
};

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

/// Sends uploads to one daemon at a steady rate and counts their ends.
void
SendSteadily(deployment& aMesh,
             std::size_t aIndex,
             std::int64_t aForMs,
             std::atomic<int>& aNumber,
             tally& aTally)
{
  std::vector<std::thread> clients;
  auto const until = NowMs() + aForMs;
  while (NowMs() < until) {
    int const number = aNumber++;
    clients.emplace_back([&aMesh, &aTally, aIndex, number] {
      auto const answer = Upload(aMesh.Ip(aIndex), number);
      auto const status = answer.mIsComplete ? answer.mResponse.Status() : 0;
      if (status == 200) {
        ++aTally.mAnswered;
      } else if (status == 503) {
        ++aTally.mRefused;
        Record("upload " + MakeId(number) + ": " + answer.Describe());
      } else {
        bool const hasRun = HasRun(aMesh, MakeId(number));
        ++(hasRun ? aTally.mCut : aTally.mOther);
        Record(
          "upload " + MakeId(number) + ": " + answer.Describe() +
          (hasRun ? "; a server was at work on it" : "; no server began it"));
      }
    });
    SleepMs(kBetweenUploadsMs);
  }
  for (auto& client : clients) {
    client.join();
  }
}

void
RecordTally(std::string const& aWhat, tally const& aTally)
{
  Record(aWhat + ": answered " + std::to_string(aTally.mAnswered) +
         ", refused " + std::to_string(aTally.mRefused) + ", cut at work " +
         std::to_string(aTally.mCut) + ", other " +
         std::to_string(aTally.mOther));
}

void
CrashUnderLoad(deployment& aMesh, std::atomic<int>& aNumber, bool aCrashes)
{
  auto const setWork = [&aMesh](std::int64_t aWorkMs) {
    for (std::size_t index = 0; index < aMesh.Servers(); ++index) {
      aMesh.Server(index).mWorkMs = aWorkMs;
    }
  };
  // Ordinary traffic, then a slow time with many uploads.
  setWork(kWorkMs);
  tally ordinary;
  std::vector<std::thread> senders;
  for (std::size_t index = 0; index < aMesh.Servers(); ++index) {
    senders.emplace_back(
      [&, index] { SendSteadily(aMesh, index, 2500, aNumber, ordinary); });
  }
  for (auto& sender : senders) {
    sender.join();
  }
  RecordTally("ordinary traffic", ordinary);
  setWork(kWorkUnderLoadMs);
  std::vector<std::thread> clients;
  std::atomic<int> answered{ 0 };
  std::atomic<int> unknown{ 0 };
  for (int entry = 0; entry < kUploadsAtOnce; ++entry) {
    int const number = aNumber++;
    clients.emplace_back([&aMesh, &aNumber, &answered, &unknown, number] {
      auto const& ip =
        aMesh.Ip(static_cast<std::size_t>(number) % aMesh.Servers());
      auto status = Upload(ip, number).mResponse.Status();
      // A refusal promises that the request has not run.
      for (int tries = 1; status == 503 && tries < kTries; ++tries) {
        SleepMs(kRetryAfterMs);
        status = Upload(ip, aNumber++).mResponse.Status();
      }
      answered += status == 200 ? 1 : 0;
      unknown += status == 502 ? 1 : 0;
    });
  }
  SleepMs(kCrashAfterMs);
  if (aCrashes) {
    for (std::size_t index = 0; index < aMesh.Servers(); ++index) {
      aMesh.Server(index).CrashNow();
    }
  }
  for (auto& client : clients) {
    client.join();
  }
  Record("uploads under load: " + std::to_string(kUploadsAtOnce) +
         ", answered " + std::to_string(answered) + ", 502 " +
         std::to_string(unknown));
  SleepMs(3500);
}

}

int
main()
{
  bool const hasTrouble = HasTrouble();
  deployment mesh({ { "lj-a", "galerija" },
                    { "lj-a", "galerija" },
                    { "lj-b", "galerija" },
                    { "lj-b", "galerija" } });
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mSlots = kSlots;
  }
  mesh.Start(kConfiguration);
  std::atomic<int> number{ 1 };
  CrashUnderLoad(mesh, number, hasTrouble);
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mWorkMs = kWorkMs;
  }
  Record("calm from here on");
  SleepMs(kCalmMs);
  tally before;
  SendSteadily(mesh, 0, 2000, number, before);
  RecordTally("before the restarts, at the first daemon", before);
  for (std::size_t index = 1; index < mesh.Servers(); ++index) {
    Record("SIGTERM to daemon " + std::to_string(index + 1));
    mesh.Stop(index);
    mesh.Restart(index);
    for (int tries = 0; tries < 100 && !mesh.IsReady(index); ++tries) {
      SleepMs(100);
    }
    SleepMs(kBetweenRestartsMs);
    Record("daemon " + std::to_string(index + 1) + " is back");
  }
  tally between;
  SendSteadily(mesh, 0, 3000, number, between);
  RecordTally("between the restarts, at the first daemon", between);
  Record("SIGTERM to the first daemon");
  mesh.Terminate(0);
  tally during;
  SendSteadily(mesh, 0, kJudgedMs, number, during);
  RecordTally("during its planned stop, at the first daemon", during);
  if (!hasTrouble && during.mAnswered == 0) {
    Finish(2, "nothing was answered without the disruption");
  }
  Finish(during.mCut > 0 ? 1 : 0,
         during.mCut > 0 ? "LOST is broken" : "LOST held");
}
