#include "harness.h"

#include <csignal>
#include <cstdio>
#include <memory>
#include <set>

/// Clients upload in chunks of one byte. The platform ends a daemon that uses
/// more memory than its settings allow, and starts it again. Other clients send
/// reads through the same daemon meanwhile.
namespace {

using namespace review;

constexpr int kUploads = 32;
constexpr std::size_t kUploadBytes = 360'000;
constexpr std::size_t kSmallChunk = 1;
constexpr std::size_t kUsualChunk = 16'384;
constexpr std::size_t kWriteBytes = 4'096;
constexpr int kReaders = 12;
constexpr auto kReadWork = 200ms;
constexpr auto kLongestRun = 75s;
constexpr std::size_t kTailBytes = 5;
constexpr int kUploadTimeoutMs = 90'000;
/// More than three requests break the rule.
constexpr int kAllowed = 3;

class case_run
{
public:
  explicit case_run(record& aRecord)
    : mRecord(aRecord)
    , mMesh(aRecord, { "galerija", "katalog", "katalog" })
  {
  }

  int Run()
  {
    mBackends.push_back(std::make_unique<backend>(
      mMesh.Ip(0), "galerija", [this](backend_request& aRequest) {
        return TakeUpload(aRequest);
      }));
    for (std::size_t index = 1; index < 3; ++index) {
      mBackends.push_back(std::make_unique<backend>(
        mMesh.Ip(index), "katalog", [this, index](backend_request& aRequest) {
          return AnswerRead(index, aRequest);
        }));
    }
    bool const isReady =
      mMesh.Configure(
        1,
        0,
        { { "browse", "/browse/", "safe", "katalog" },
          { "upload", "/upload/", "upload", "galerija", kUploadTimeoutMs } },
        67'108'864) == 200 &&
      mMesh.WaitUntilReady();
    if (!isReady) {
      return kCannotRun;
    }
    std::this_thread::sleep_for(kStableWindow + 1s);
    std::vector<std::thread> clients;
    for (int number = 0; number < kUploads; ++number) {
      clients.emplace_back([this, number] { Upload(number); });
    }
    for (int number = 0; number < kReaders; ++number) {
      clients.emplace_back([this, number] { Read(number); });
    }
    Watch();
    mIsOver = true;
    std::this_thread::sleep_for(1s);
    int const lost = mLost;
    int const served = mServed;
    mRecord.Line("result: " + std::to_string(served) + " reads served, " +
                 std::to_string(lost) +
                 " passed on to a sound backend and closed without an answer; "
                 "more than " +
                 std::to_string(kAllowed) + " break the rule. " +
                 std::to_string(mUploaded) + " of " + std::to_string(kUploads) +
                 " uploads were read whole");
    mMesh.Signal(0, SIGKILL);
    for (auto& client : clients) {
      client.join();
    }
    return lost > kAllowed ? kBroken : served > 0 ? kHeld : kCannotRun;
  }

private:
  /// What the platform does: once a second it compares the memory of the daemon
  /// beside the backend of the uploads with its limit.
  void Watch()
  {
    auto const end = clock_type::now() + kLongestRun;
    while (clock_type::now() < end && mUploaded < kUploads) {
      std::this_thread::sleep_for(1s);
      auto const resident = mMesh.ResidentMb(0);
      mRecord.Line("the daemon at " + mMesh.Ip(0) + " uses " +
                   std::to_string(resident) + " MB of " +
                   std::to_string(kMemoryMb));
      if (resident > kMemoryMb) {
        mMesh.Signal(0, SIGKILL);
        mMesh.WaitForEnd(0);
        mMesh.Restart(0);
        return;
      }
    }
  }

  bool TakeUpload(backend_request& aRequest)
  {
    auto const id = aRequest.mHead.Field("request-id");
    mRecord.Line("backend " + mBackends.at(0)->Id() + " began " + id);
    std::string tail;
    while (!tail.ends_with("0\r\n\r\n")) {
      tail += aRequest.mConnection.ReadSome(65'536);
      if (aRequest.mConnection.HasEnded()) {
        return false;
      }
      tail.erase(0, tail.size() - std::min(tail.size(), kTailBytes));
    }
    ++mUploaded;
    return aRequest.mConnection.Write(
      mBackends.at(0)->AnswerHead(aRequest, 200, 2) + "ok");
  }

  bool AnswerRead(std::size_t aIndex, backend_request& aRequest)
  {
    {
      std::scoped_lock const lock(mMutex);
      mRuns.insert(aRequest.mHead.Field("request-id"));
    }
    std::this_thread::sleep_for(kReadWork);
    return aRequest.mConnection.Write(
      mBackends.at(aIndex)->AnswerHead(aRequest, 200, 5) + "hello");
  }

  void Upload(int aNumber)
  {
    auto client = connection::To(mMesh.Ip(2), mesh::kOutboundPort);
    auto const id = "u" + std::to_string(aNumber);
    client.Write("POST /upload/1 HTTP/1.1\r\nHost: " +
                 std::string(mesh::kHost) + "\r\nRequest-Id: " + id +
                 "\r\nDeadline-Ms: " + std::to_string(kUploadTimeoutMs) +
                 "\r\nTransfer-Encoding: chunked\r\n\r\n");
    auto const chunk = HasTrouble() ? kSmallChunk : kUsualChunk;
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", chunk);
    auto const framed = size + std::string(chunk, 'x') + "\r\n";
    std::string piece = framed;
    while (piece.size() < kWriteBytes) {
      piece += framed;
    }
    auto const chunks = piece.size() / framed.size();
    for (std::size_t sent = 0; sent < kUploadBytes; sent += chunks * chunk) {
      std::string_view rest = piece;
      while (!rest.empty() && !mIsOver) {
        auto const written = client.WriteSome(rest);
        if (written < 0) {
          mRecord.Line("upload " + id + " ended while it was sent");
          return;
        }
        rest.remove_prefix(static_cast<std::size_t>(written));
      }
      if (mIsOver) {
        return;
      }
    }
    client.Write("0\r\n\r\n");
    std::optional<message_head> head;
    while (!head && !mIsOver && !client.HasEnded()) {
      head = client.ReadHead();
    }
    mRecord.Line("upload " + id + ": status " +
                 (head ? std::to_string(head->Status()) : "none"));
  }

  /// Reads through the daemon beside that backend on a kept connection.
  void Read(int aNumber)
  {
    auto client = connection::To(mMesh.Ip(0), mesh::kOutboundPort);
    for (int count = 0; !mIsOver; ++count) {
      auto const id =
        "r" + std::to_string(aNumber) + "-" + std::to_string(count);
      client.Write(
        "GET /browse/1 HTTP/1.1\r\nHost: " + std::string(mesh::kHost) +
        "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 4000\r\n\r\n");
      auto const head = client.ReadHead();
      if (head) {
        client.ReadBody(head->Length());
        mServed += head->Status() == 200 ? 1 : 0;
        continue;
      }
      std::scoped_lock const lock(mMutex);
      bool const isLost = count > 0 && mRuns.contains(id);
      mLost += isLost ? 1 : 0;
      mRecord.Line("read " + id + " after " + std::to_string(count) +
                   " on its connection: closed without an answer" +
                   (isLost ? ", though a backend ran it" : ""));
      return;
    }
  }

  record& mRecord;
  std::mutex mMutex;
  std::set<std::string> mRuns;
  std::atomic<int> mServed{ 0 };
  std::atomic<int> mLost{ 0 };
  std::atomic<int> mUploaded{ 0 };
  std::atomic<bool> mIsOver{ false };
  mesh mMesh;
  std::vector<std::unique_ptr<backend>> mBackends;
};

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return kCannotRun;
  }
  record written(aArguments[1]);
  try {
    int const result = case_run(written).Run();
    written.Line("exit " + std::to_string(result));
    return result;
  } catch (std::exception const& aError) {
    written.Line(std::string("cannot run: ") + aError.what());
    return kCannotRun;
  }
}
