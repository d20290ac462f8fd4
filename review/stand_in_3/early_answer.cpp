#include "harness.h"

#include <memory>
#include <set>

/// Some backends answer a few uploads before they have read the body. Clients
/// write the whole body, then read, with a small receive buffer.
namespace {

using namespace review;

constexpr int kClients = 16;
constexpr int kUploadsOfClient = 64;
constexpr std::size_t kBackends = 4;
/// Half of the backends answer one in fifty uploads early.
constexpr std::size_t kEarlyBackends = 2;
constexpr int kEarlyEvery = 50;
constexpr std::size_t kUploadBytes = 300'000;
constexpr std::size_t kAnswerBytes = 36'000;
constexpr std::size_t kPieceBytes = 16'384;
constexpr int kReceiveBuffer = 16'384;
/// More than three requests break the rule.
constexpr int kAllowed = 3;

std::string
RequestHead(std::string const& aId,
            std::string const& aTarget,
            std::size_t aSize)
{
  return (aSize > 0 ? "POST " : "GET ") + aTarget +
         " HTTP/1.1\r\nHost: " + mesh::kHost + "\r\nRequest-Id: " + aId +
         "\r\nDeadline-Ms: 4000\r\n" +
         (aSize > 0 ? "Content-Length: " + std::to_string(aSize) + "\r\n"
                    : "") +
         "\r\n";
}

class case_run
{
public:
  explicit case_run(record& aRecord)
    : mRecord(aRecord)
    , mMesh(aRecord,
            { "galerija", "galerija", "galerija", "galerija", "katalog" })
  {
  }

  int Run()
  {
    for (std::size_t index = 0; index <= kBackends; ++index) {
      auto const service = index < kBackends ? "galerija" : "katalog";
      mBackends.push_back(std::make_unique<backend>(
        mMesh.Ip(index), service, [this, index](backend_request& aRequest) {
          return Answer(index, aRequest);
        }));
    }
    bool const isReady =
      mMesh.Configure(1,
                      0,
                      { { "browse", "/browse/", "safe", "katalog" },
                        { "upload", "/upload/", "upload", "galerija" } },
                      67'108'864) == 200 &&
      mMesh.WaitUntilReady();
    if (!isReady) {
      return kCannotRun;
    }
    std::this_thread::sleep_for(kStableWindow + 1s);
    std::vector<std::thread> clients;
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back([this, client] {
        for (int number = 0; number < kUploadsOfClient; ++number) {
          Count(Upload(client * kUploadsOfClient + number));
        }
      });
    }
    for (auto& client : clients) {
      client.join();
    }
    auto const count = [this](upload_outcome aOutcome) {
      return std::to_string(mOutcomes[aOutcome]);
    };
    mRecord.Line(
      "result: " + std::to_string(kClients * kUploadsOfClient) + " uploads, " +
      std::to_string(mEarly.size()) + " answered early; " +
      count(upload_outcome::kComplete) + " got the whole answer, " +
      count(upload_outcome::kCutOff) +
      " were passed on to a sound backend and closed without a complete "
      "answer (more than " +
      std::to_string(kAllowed) + " break the rule), " +
      count(upload_outcome::kNotPassedOn) + " were not passed on");
    if (mOutcomes[upload_outcome::kCannotRun] > 0) {
      return kCannotRun;
    }
    return mOutcomes[upload_outcome::kCutOff] > kAllowed ? kBroken : kHeld;
  }

private:
  enum class upload_outcome
  {
    kComplete,
    kCutOff,
    kNotPassedOn,
    kCannotRun
  };

  void Count(upload_outcome aOutcome)
  {
    std::scoped_lock const lock(mMutex);
    ++mOutcomes[aOutcome];
  }

  /// Returns whether the backend answers this upload early.
  bool NoteRun(std::size_t aIndex, std::string const& aId)
  {
    std::scoped_lock const lock(mMutex);
    mRuns.insert(aId);
    bool const isEarly = HasTrouble() && aIndex < kEarlyBackends &&
                         ++mUploadsAt[aIndex] % kEarlyEvery == 0;
    if (isEarly) {
      mEarly.insert(aId);
    }
    return isEarly;
  }

  /// Sends the whole answer, early or not, and is ready to read the whole body
  /// in any case; the connection is kept.
  bool Answer(std::size_t aIndex, backend_request& aRequest)
  {
    auto const size = aRequest.mHead.Length();
    auto const id = aRequest.mHead.Field("request-id");
    bool const isUpload = size > 0;
    bool const isEarly = isUpload && NoteRun(aIndex, id);
    auto const length = isUpload ? kAnswerBytes : 5;
    auto const answer =
      mBackends.at(aIndex)->AnswerHead(aRequest, 200, length) +
      std::string(length, 'a');
    if (isEarly && !aRequest.mConnection.Write(answer)) {
      return false;
    }
    auto const read = aRequest.mConnection.ReadBody(size).size();
    if (isEarly) {
      mRecord.Line("backend " + mBackends.at(aIndex)->Id() + " ran " + id +
                   ", answered it early, then read " + std::to_string(read) +
                   " bytes of its body");
    }
    return read == size && (isEarly || aRequest.mConnection.Write(answer));
  }

  upload_outcome Upload(int aNumber)
  {
    auto client =
      connection::To(mMesh.Ip(kBackends), mesh::kOutboundPort, kReceiveBuffer);
    auto const number = std::to_string(aNumber);
    // The connection is kept after an ordinary request.
    bool isSent = client.IsOpen() &&
                  client.Write(RequestHead("b" + number, "/browse/1", 0));
    auto const first = isSent ? client.ReadHead() : std::nullopt;
    if (!first || first->Status() != 200) {
      mRecord.Line("browse b" + number + " was not served");
      return upload_outcome::kCannotRun;
    }
    client.ReadBody(first->Length());
    auto const id = "u" + number;
    isSent = client.Write(RequestHead(id, "/upload/1", kUploadBytes));
    std::string const piece(kPieceBytes, 'p');
    std::size_t sent = 0;
    while (isSent && sent < kUploadBytes) {
      auto const size = std::min(kPieceBytes, kUploadBytes - sent);
      isSent = client.Write(piece.substr(0, size));
      sent += isSent ? size : 0;
      std::this_thread::sleep_for(2ms);
    }
    auto const head = client.ReadHead();
    auto const length = head ? head->Length() : 0;
    auto const received = head ? client.ReadBody(length).size() : 0;
    bool const isComplete = head && received == length;
    mRecord.Line("upload " + id + ": sent " + std::to_string(sent) + " of " +
                 std::to_string(kUploadBytes) + " bytes, status " +
                 (head ? std::to_string(head->Status()) : "none") + ", body " +
                 std::to_string(received) + " of " + std::to_string(length) +
                 (isComplete ? " bytes, complete" : " bytes, cut off"));
    if (isComplete) {
      return upload_outcome::kComplete;
    }
    std::this_thread::sleep_for(50ms);
    std::scoped_lock const lock(mMutex);
    return mRuns.contains(id) ? upload_outcome::kCutOff
                              : upload_outcome::kNotPassedOn;
  }

  record& mRecord;
  std::mutex mMutex;
  std::set<std::string> mRuns;
  std::set<std::string> mEarly;
  std::map<std::size_t, int> mUploadsAt;
  std::map<upload_outcome, int> mOutcomes;
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
