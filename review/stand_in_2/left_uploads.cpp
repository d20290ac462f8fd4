#include "harness.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <thread>

/// Clients of large uploads leave while their requests wait for a slot.
namespace {

using namespace review;

constexpr char const* kConfiguration =
  R"({"Version":"r1","Routes":{"upload":{"Hostname":"photos.example",)"
  R"("PathPrefix":"/photo/","RouteType":"upload","TimeoutMs":8000,)"
  R"("TargetLatencyMs":3000,"Priority":1,"Service":"galerija",)"
  R"("MaxAttempts":2}},"Services":{"galerija":{"HealthPath":"/health",)"
  R"("MaxConnections":166,"Protocol":"h1","Tls":false}},)"
  R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
  R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

constexpr int kSlots = 31;
constexpr std::int64_t kWorkMs = 2500;
constexpr int kPatientUploads = 58;
constexpr int kLeavingUploads = 50;
constexpr std::int64_t kLeaveAfterMs = 400;
constexpr std::int64_t kAllowedDelayMs = 500;
/// "More than a few".
constexpr int kFew = 5;
constexpr std::size_t kSmallBytes = 60'000;
constexpr std::size_t kLargeBytes = 850'000;

std::string
MakeId(int aNumber)
{
  auto text = std::to_string(aNumber);
  return "9c41d07be2" + std::string(6 - text.size(), '0') + text;
}

std::string
MakeHead(int aNumber, std::size_t aBodyBytes)
{
  return Head("POST",
              "/photo/" + std::to_string(aNumber),
              "photos.example",
              { { "Request-Id", MakeId(aNumber) },
                { "Deadline-Ms", "8000" },
                { "Content-Length", std::to_string(aBodyBytes) } });
}

outcome
Upload(std::string const& aIp,
       int aNumber,
       std::size_t aBodyBytes,
       std::int64_t aTimeoutMs)
{
  std::string const body(aBodyBytes, 'p');
  return Exchange(aIp,
                  kOutboundPort,
                  { { 0, MakeHead(aNumber, aBodyBytes) + body } },
                  aTimeoutMs);
}

}

int
main()
{
  bool const hasTrouble = HasTrouble();
  // BODIES=small shows that the size matters: the close is then noticed.
  auto const* const bodies = std::getenv("BODIES");
  bool const isSmall = bodies != nullptr && std::string(bodies) == "small";
  auto const bodyBytes = isSmall ? kSmallBytes : kLargeBytes;
  deployment mesh({ { "lj-a", "galerija" }, { "lj-b", "galerija" } });
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mSlots = kSlots;
    mesh.Server(index).mWorkMs = 100;
  }
  std::mutex mutex;
  std::vector<backend::run> heads;
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mOnHead = [&](backend::run const& aRun) {
      std::scoped_lock const lock(mutex);
      heads.push_back(aRun);
    };
  }
  mesh.Start(kConfiguration);
  for (int number = 0; number < 8; ++number) {
    auto const answer = Upload(mesh.Ip(static_cast<std::size_t>(number) % 2),
                               900'000 + number,
                               kSmallBytes,
                               8000);
    if (answer.mResponse.Status() != 200) {
      Finish(2, "an ordinary upload failed: " + answer.Describe());
    }
  }
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mWorkMs = kWorkMs;
  }
  std::vector<std::thread> clients;
  std::map<std::string, std::int64_t> leftAt;
  for (int number = 0; number < kPatientUploads; ++number) {
    clients.emplace_back([&, number] {
      auto const answer = Upload(mesh.Ip(static_cast<std::size_t>(number) % 2),
                                 number,
                                 kSmallBytes,
                                 9000);
      Record("upload " + MakeId(number) + ": " + answer.Describe());
    });
  }
  SleepMs(300);
  for (int number = 100; number < 100 + kLeavingUploads; ++number) {
    clients.emplace_back([&, number] {
      auto const timeout = hasTrouble ? kLeaveAfterMs : 9000;
      auto const answer = Upload(mesh.Ip(static_cast<std::size_t>(number) % 2),
                                 number,
                                 bodyBytes,
                                 timeout);
      std::scoped_lock const lock(mutex);
      if (!answer.mIsComplete && hasTrouble) {
        leftAt[MakeId(number)] = NowMs();
      }
      Record("upload " + MakeId(number) + ": " +
             (answer.mIsComplete ? answer.Describe()
                                 : "the client leaves after " +
                                     std::to_string(answer.mTookMs) + " ms"));
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  SleepMs(5000);
  int late = 0;
  std::scoped_lock const lock(mutex);
  for (auto const& head : heads) {
    auto const left = leftAt.find(head.mRequest);
    if (left == leftAt.end()) {
      continue;
    }
    auto const delay = head.mHeadAt - left->second;
    late += delay > kAllowedDelayMs ? 1 : 0;
    Record("upload " + head.mRequest + " reached a server " +
           std::to_string(delay) + " ms after its client had left");
  }
  Record("clients that left: " + std::to_string(leftAt.size()) +
         "; requests that reached a server over half a second later: " +
         std::to_string(late));
  if (hasTrouble && leftAt.size() <= kFew) {
    Finish(2, "too few clients left while they waited");
  }
  Finish(late > kFew ? 1 : 0, late > kFew ? "GONE is broken" : "GONE held");
}
