#include "harness.h"

#include <cstdlib>

/// A photo crashes each server that runs it; its sender repeats it. The same
/// bytes arrive at the daemon in other pieces each time, as on a network.
namespace {

using namespace review;

constexpr char const* kConfiguration =
  R"({"Version":"r1","Routes":{"upload":{"Hostname":"photos.example",)"
  R"("PathPrefix":"/photo/","RouteType":"upload","TimeoutMs":2000,)"
  R"("TargetLatencyMs":500,"Priority":1,"Service":"galerija",)"
  R"("MaxAttempts":2}},"Services":{"galerija":{"HealthPath":"/health",)"
  R"("MaxConnections":472,"Protocol":"h1","Tls":false}},)"
  R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
  R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

constexpr std::size_t kBodyBytes = 60'000;
/// Payload of a packet on an Ethernet.
constexpr std::size_t kPacketBytes = 1448;
constexpr std::int64_t kStableWindowMs = 3000;
constexpr int kAllowedRetries = 3;
constexpr std::int64_t kAttemptsMs = 30'000;
constexpr std::int64_t kPauseMs = 1000;

std::string
MakeBody(char aFirst)
{
  std::string body(kBodyBytes, 'p');
  for (std::size_t index = 0; index < body.size(); ++index) {
    body[index] = static_cast<char>('a' + index * 7 % 26);
  }
  body[0] = aFirst;
  return body;
}

outcome
SendPhoto(std::string const& aIp,
          std::string const& aPath,
          std::string const& aId,
          std::string const& aBody,
          std::size_t aFirstPiece)
{
  auto const head =
    Head("POST",
         aPath,
         "photos.example",
         { { "Request-Id", aId },
           { "Deadline-Ms", "2000" },
           { "Content-Type", "image/jpeg" },
           { "Content-Length", std::to_string(aBody.size()) } });
  // The first packets arrive a moment before the others.
  return Exchange(aIp,
                  kOutboundPort,
                  { { 0, head + aBody.substr(0, aFirstPiece) },
                    { 10, aBody.substr(aFirstPiece) } },
                  3000);
}

std::string
MakeId(int aNumber)
{
  auto text = std::to_string(aNumber);
  return "9c41d07be2a3" + std::string(4 - text.size(), '0') + text;
}

}

int
main()
{
  bool const hasTrouble = HasTrouble();
  // PIECES=same shows that the pieces matter: the quarantine then works.
  auto const* const pieces = std::getenv("PIECES");
  bool const isSame = pieces != nullptr && std::string(pieces) == "same";
  deployment mesh({ { "lj-a", "galerija" },
                    { "lj-a", "galerija" },
                    { "lj-b", "galerija" },
                    { "lj-b", "galerija" } });
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mCrashingPath = hasTrouble ? "/bad" : "";
  }
  mesh.Start(kConfiguration);
  int number = 0;
  for (; number < 8; ++number) {
    auto const answer = SendPhoto(mesh.Ip(number % 4),
                                  "/photo/good" + std::to_string(number),
                                  MakeId(number),
                                  MakeBody('g'),
                                  kPacketBytes);
    Record("ordinary upload " + MakeId(number) + ": " + answer.Describe());
    if (answer.mResponse.Status() != 200) {
      Finish(2, "an ordinary upload was not answered");
    }
  }
  auto const body = MakeBody('b');
  auto const started = NowMs();
  std::int64_t thirdCrash = -1;
  int retries = 0;
  int answered = 0;
  std::size_t runsBefore = 0;
  for (int attempt = 0; NowMs() < started + kAttemptsMs; ++attempt) {
    auto const id = MakeId(++number);
    auto const piece =
      kPacketBytes *
      (1 + (isSame ? 0 : static_cast<std::size_t>(attempt) % 10));
    auto const sentAt = NowMs();
    auto const answer =
      SendPhoto(mesh.Ip(static_cast<std::size_t>(attempt) % 4),
                "/photo/bad",
                id,
                body,
                piece);
    answered += answer.mResponse.Status() == 200 ? 1 : 0;
    std::size_t runs = 0;
    int crashes = 0;
    for (std::size_t index = 0; index < mesh.Servers(); ++index) {
      for (auto const& run : mesh.Server(index).Runs()) {
        runs += run.mPath == "/photo/bad" ? 1 : 0;
      }
      crashes += mesh.Server(index).Crashes();
    }
    bool const hasReached = runs > runsBefore;
    runsBefore = runs;
    Record("upload " + id + ", first piece " + std::to_string(piece) +
           " bytes: " + answer.Describe() +
           (hasReached ? "; reached a server" : "; reached no server") +
           "; crashes so far " + std::to_string(crashes));
    if (thirdCrash >= 0 && hasReached &&
        sentAt > thirdCrash + kStableWindowMs) {
      ++retries;
    }
    if (thirdCrash < 0 && crashes >= 3) {
      thirdCrash = NowMs();
      Record("the third server has crashed");
    }
    SleepMs(kPauseMs);
  }
  Record(
    "retries that reached a server later than 3 s after the third crash: " +
    std::to_string(retries) + ", allowed " + std::to_string(kAllowedRetries));
  if (!hasTrouble && answered == 0) {
    Finish(2, "no upload was answered without the disruption");
  }
  if (retries > kAllowedRetries) {
    Finish(1, "BUDGET is broken");
  }
  Finish(0, "BUDGET held");
}
