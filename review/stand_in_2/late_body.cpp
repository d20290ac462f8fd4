#include "harness.h"

#include <memory>
#include <thread>

/// Uploads whose bodies are held up on the way from the client, while the
/// server leaves.
namespace {

using namespace review;

constexpr char const* kConfiguration =
  R"({"Version":"r1","Routes":{"upload":{"Hostname":"photos.example",)"
  R"("PathPrefix":"/photo/","RouteType":"upload","TimeoutMs":10000,)"
  R"("TargetLatencyMs":5000,"Priority":1,"Service":"galerija",)"
  R"("MaxAttempts":2}},"Services":{"galerija":{"HealthPath":"/health",)"
  R"("MaxConnections":472,"Protocol":"h1","Tls":false}},)"
  R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
  R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

constexpr std::int64_t kDrainMs = 2500;
constexpr int kUploads = 12;
/// From the head to the body of an upload.
constexpr std::int64_t kHeldUpMs = 4500;
constexpr std::int64_t kLeaveAfterMs = 500;
constexpr std::int64_t kWorkMs = 500;
/// The server serves a little longer than DrainMs, then it exits.
constexpr std::int64_t kServesOnMs = kDrainMs + 1700;

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
  auto const heldUp = HasTrouble() ? kHeldUpMs : 0;
  deployment mesh(
    { { "lj-a", "galerija" }, { "lj-a", "galerija" }, { "lj-b", "galerija" } });
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mWorkMs = kWorkMs;
  }
  mesh.Start(kConfiguration);
  auto& leaving = mesh.Server(0);
  std::mutex mutex;
  std::vector<backend::run> heads;
  leaving.mOnHead = [&](backend::run const& aRun) {
    std::scoped_lock const lock(mutex);
    heads.push_back(aRun);
  };
  std::vector<std::thread> clients;
  std::atomic<int> answered{ 0 };
  for (int number = 0; number < kUploads; ++number) {
    clients.emplace_back([&, number] {
      auto const& ip = mesh.Ip(static_cast<std::size_t>(number) % 3);
      std::string const body(20'000, static_cast<char>('a' + number));
      auto const head =
        Head("POST",
             "/photo/" + std::to_string(number),
             "photos.example",
             { { "Request-Id", MakeId(number) },
               { "Deadline-Ms", "10000" },
               { "Content-Length", std::to_string(body.size()) } });
      auto const answer =
        Exchange(ip, kOutboundPort, { { 0, head }, { heldUp, body } }, 12'000);
      answered += answer.mResponse.Status() == 200 ? 1 : 0;
      Record("upload " + MakeId(number) + ": " + answer.Describe());
    });
  }
  SleepMs(kLeaveAfterMs);
  auto const acknowledged = leaving.Drain();
  Record("server " + leaving.Ip() +
         " leaves; acknowledged: " + (acknowledged >= 0 ? "yes" : "no"));
  std::thread exits([&] {
    SleepMs(kServesOnMs);
    constexpr std::int64_t kNever = 1'000'000;
    leaving.mCrashMs = kNever;
    Record("the leaving server exits");
    leaving.CrashNow();
  });
  for (auto& client : clients) {
    client.join();
  }
  exits.join();
  int late = 0;
  for (auto const& head : heads) {
    auto const after = head.mHeadAt - acknowledged;
    Record("upload " + head.mRequest + " reached the leaving server " +
           std::to_string(after) + " ms after the acknowledgement");
    late += after > kDrainMs ? 1 : 0;
  }
  Record("later than DrainMs: " + std::to_string(late) + " of " +
         std::to_string(kUploads) +
         " uploads; answered: " + std::to_string(answered));
  if (acknowledged < 0) {
    Finish(2, "the departure was not acknowledged");
  }
  if (!HasTrouble() && answered != kUploads) {
    Finish(2, "an upload failed without the disruption");
  }
  Finish(late > 0 ? 1 : 0, late > 0 ? "DRAIN is broken" : "DRAIN held");
}
