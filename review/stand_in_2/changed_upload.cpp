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
/// Few enough to stand in the buffers of a connection until the server reads.
constexpr std::size_t kBufferedBytes = 1'500'000;
constexpr std::size_t kChunkBytes = 16'000;
constexpr std::size_t kClients = 4;
constexpr std::int64_t kPauseMs = 50;

struct sent_upload
{
  std::size_t mBytes = 0;
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
MakeBody(int aNumber, std::size_t aBytes)
{
  std::string body(aBytes, '\0');
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

class uploads
{
public:
  explicit uploads(deployment& aMesh)
    : mMesh(aMesh)
  {
  }

  /// Four clients upload, one photo after the other, for a time.
  void Send(bool aIsChunked, std::int64_t aForMs)
  {
    auto const until = NowMs() + aForMs;
    std::vector<std::thread> clients;
    for (std::size_t client = 0; client < kClients; ++client) {
      clients.emplace_back([this, aIsChunked, until, client] {
        while (NowMs() < until) {
          SendOne(mMesh.Ip(client), aIsChunked);
          SleepMs(kPauseMs);
        }
      });
    }
    for (auto& client : clients) {
      client.join();
    }
    SleepMs(500);
  }

  /// Compares all runs since the last call. Returns how many bodies differ.
  int Compare(std::string const& aPart)
  {
    int changed = 0;
    int foreign = 0;
    int runs = 0;
    int shed = 0;
    for (std::size_t index = 0; index < mMesh.Servers(); ++index) {
      auto& server = mMesh.Server(index);
      shed += server.Shed();
      for (auto const& run : server.Runs()) {
        auto const upload = mSent.find(run.mRequest);
        if (upload == mSent.end()) {
          continue;
        }
        ++runs;
        if (upload->second.mHash == run.mBodyHash) {
          continue;
        }
        ++changed;
        foreign += run.mForeignId.empty() ? 0 : 1;
        Record("upload " + run.mRequest + ": " +
               std::to_string(upload->second.mBytes) +
               " bytes were sent, server " + server.Ip() + " ran " +
               std::to_string(run.mBodyBytes) + " other bytes" +
               (run.mForeignId.empty() ? std::string()
                                       : ", with the head of request " +
                                           run.mForeignId + " in them") +
               "; the client got " + upload->second.mAnswer);
      }
    }
    Record(aPart + ": uploads sent " + std::to_string(mSent.size()) + ", run " +
           std::to_string(runs) + ", run with a changed body " +
           std::to_string(changed) + ", of these with another request in it " +
           std::to_string(foreign) + "; rejected by servers so far " +
           std::to_string(shed));
    mSent.clear();
    mRuns += runs;
    return changed;
  }

  int Runs() const { return mRuns; }

private:
  void SendOne(std::string const& aIp, bool aIsChunked)
  {
    int const number = mNumber++;
    auto const body =
      MakeBody(number, aIsChunked ? kBodyBytes : kBufferedBytes);
    auto const head = Head(
      "POST",
      "/photo/" + std::to_string(number),
      "photos.example",
      { { "Request-Id", MakeId(number) },
        { "Deadline-Ms", "8000" },
        aIsChunked ? std::pair<std::string, std::string>{ "Transfer-Encoding",
                                                          "chunked" }
                   : std::pair<std::string, std::string>{
                       "Content-Length", std::to_string(body.size()) } });
    auto const answer =
      Exchange(aIp,
               kOutboundPort,
               { { 0, head + (aIsChunked ? InChunks(body) : body) } },
               10'000);
    std::scoped_lock const lock(mMutex);
    mSent[MakeId(number)] = { body.size(), Hash(body), answer.Describe() };
  }

  deployment& mMesh;
  std::mutex mMutex;
  std::map<std::string, sent_upload> mSent;
  std::atomic<int> mNumber{ 0 };
  int mRuns = 0;
};

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
  auto const shed = [&](int aPercent) {
    for (std::size_t index = 0; index < mesh.Servers(); ++index) {
      mesh.Server(index).mShedPercent = hasTrouble ? aPercent : 0;
    }
  };
  uploads all(mesh);
  shed(kShedPercent);
  all.Send(true, kShedMs);
  shed(0);
  auto changed = all.Compare("in chunks");
  SleepMs(3000);
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mAnswersFirst = true;
  }
  shed(kShedPercent);
  all.Send(false, kShedMs);
  shed(0);
  SleepMs(3000);
  changed += all.Compare("with a length, answered first");
  if (all.Runs() == 0) {
    Finish(2, "no upload has run");
  }
  Finish(changed > 0 ? 1 : 0,
         changed > 0 ? "UNASKED is broken" : "UNASKED held");
}
