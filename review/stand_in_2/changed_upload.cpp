#include "harness.h"

#include <algorithm>
#include <map>
#include <thread>

/// Large uploads in chunks, while the servers say of some requests that they
/// are full. Each body that a server runs is compared with the one that was
/// sent.
namespace {

using namespace review;

constexpr char const* kConfiguration =
  R"({"Version":"r1","Routes":{"upload":{"Hostname":"photos.example",)"
  R"("PathPrefix":"/photo/","RouteType":"upload","TimeoutMs":8000,)"
  R"("TargetLatencyMs":3000,"Priority":1,"Service":"galerija",)"
  R"("MaxAttempts":2}},"Services":{"galerija":{"HealthPath":"/health",)"
  R"("MaxConnections":472,"Protocol":"h1","Tls":false}},)"
  R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
  R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

constexpr int kShedPercent = 45;
constexpr std::int64_t kShedMs = 8000;
constexpr std::size_t kBodyBytes = 5'000'000;
constexpr std::size_t kChunkBytes = 16'000;
constexpr std::size_t kClients = 4;
constexpr std::int64_t kPauseMs = 50;

struct sent_upload
{
  std::uint64_t mHash = 0;
  std::string mAnswer;
};

std::string
MakeId(int aNumber)
{
  auto text = std::to_string(aNumber);
  return "9c41d07be2" + std::string(6 - text.size(), '0') + text;
}

std::string
MakeBody(int aNumber)
{
  std::string body(kBodyBytes, '\0');
  auto state = static_cast<std::uint32_t>(aNumber) * 2654435761U + 1;
  for (auto& byte : body) {
    state = state * 1664525U + 1013904223U;
    byte = static_cast<char>(state >> 24U);
  }
  return body;
}

std::string
InChunks(std::string const& aBody)
{
  std::string text;
  for (std::size_t start = 0; start < aBody.size(); start += kChunkBytes) {
    auto const size = std::min(kChunkBytes, aBody.size() - start);
    char line[32];
    std::snprintf(line, sizeof line, "%zx\r\n", size);
    text += line + aBody.substr(start, size) + "\r\n";
  }
  return text + "0\r\n\r\n";
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
  mesh.Start(kConfiguration);
  for (std::size_t index = 0; hasTrouble && index < mesh.Servers(); ++index) {
    mesh.Server(index).mShedPercent = kShedPercent;
  }
  std::mutex mutex;
  std::map<std::string, sent_upload> sent;
  std::atomic<int> number{ 0 };
  auto const until = NowMs() + kShedMs;
  std::vector<std::thread> clients;
  for (std::size_t client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      while (NowMs() < until) {
        int const upload = number++;
        auto const body = MakeBody(upload);
        auto const head = Head("POST",
                               "/photo/" + std::to_string(upload),
                               "photos.example",
                               { { "Request-Id", MakeId(upload) },
                                 { "Deadline-Ms", "8000" },
                                 { "Transfer-Encoding", "chunked" } });
        auto const answer = Exchange(mesh.Ip(client),
                                     kOutboundPort,
                                     { { 0, head + InChunks(body) } },
                                     10'000);
        {
          std::scoped_lock const lock(mutex);
          sent[MakeId(upload)] = { Hash(body), answer.Describe() };
        }
        SleepMs(kPauseMs);
      }
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  SleepMs(500);
  int runs = 0;
  int changed = 0;
  int shed = 0;
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    shed += mesh.Server(index).Shed();
    for (auto const& run : mesh.Server(index).Runs()) {
      ++runs;
      auto const& upload = sent.at(run.mRequest);
      if (upload.mHash == run.mBodyHash) {
        continue;
      }
      ++changed;
      Record("upload " + run.mRequest + ": " + std::to_string(kBodyBytes) +
             " bytes were sent, server " + mesh.Server(index).Ip() + " ran " +
             std::to_string(run.mBodyBytes) + " other bytes; the client got " +
             upload.mAnswer);
    }
  }
  Record("uploads sent " + std::to_string(sent.size()) + ", run " +
         std::to_string(runs) + ", run with a changed body " +
         std::to_string(changed) +
         "; rejected by servers, not run: " + std::to_string(shed));
  if (runs == 0) {
    Finish(2, "no upload has run");
  }
  Finish(changed > 0 ? 1 : 0,
         changed > 0 ? "UNASKED is broken" : "UNASKED held");
}
