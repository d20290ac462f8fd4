#include "harness.h"

#include <memory>

/// The operator raises the longest body that clients may send. Clients then
/// upload on the connections that they have kept open.
namespace {

using namespace review;

constexpr int kClients = 12;
constexpr std::uint64_t kFormerLimit = 131'072;
constexpr std::uint64_t kLaterLimit = 67'108'864;
constexpr std::size_t kSmallUpload = 60'000;
constexpr std::size_t kLargeUpload = 300'000;

class case_run
{
public:
  explicit case_run(record& aRecord)
    : mRecord(aRecord)
    , mMesh(aRecord, { "galerija", "galerija", "katalog" })
  {
  }

  int Run()
  {
    for (std::size_t index = 0; index < 3; ++index) {
      auto const service = index < 2 ? "galerija" : "katalog";
      mBackends.push_back(std::make_unique<backend>(
        mMesh.Ip(index), service, [this, index](backend_request& aRequest) {
          return Answer(index, aRequest);
        }));
    }
    std::vector<route> const routes{
      { "browse", "/browse/", "safe", "katalog" },
      { "upload", "/upload/", "upload", "galerija" }
    };
    auto const first = HasTrouble() ? kFormerLimit : kLaterLimit;
    if (mMesh.Configure(1, 0, routes, first) != 200 ||
        !mMesh.WaitUntilReady()) {
      return kCannotRun;
    }
    std::this_thread::sleep_for(kStableWindow + 1s);
    std::vector<connection> clients;
    for (int number = 0; number < kClients; ++number) {
      clients.push_back(connection::To(mMesh.Ip(2), mesh::kOutboundPort));
      auto const id = "first-" + std::to_string(number);
      if (Upload(clients.back(), id, kSmallUpload) != 200) {
        return kCannotRun;
      }
    }
    if (HasTrouble() && mMesh.Configure(2, 1, routes, kLaterLimit) != 200) {
      return kCannotRun;
    }
    std::this_thread::sleep_for(kConfigurationApplies + 1s);
    int refused = 0;
    for (int number = 0; number < kClients; ++number) {
      auto const id = "kept-" + std::to_string(number);
      refused += Upload(clients.at(number), id, kLargeUpload) == 413 ? 1 : 0;
    }
    auto fresh = connection::To(mMesh.Ip(2), mesh::kOutboundPort);
    bool const isServed = Upload(fresh, "new", kLargeUpload) == 200;
    mRecord.Line("result: " + std::to_string(refused) + " of " +
                 std::to_string(kClients) +
                 " uploads on kept connections answered 413, which only the "
                 "older version allows; on a new connection the upload was " +
                 (isServed ? "served" : "not served"));
    return refused > 0 ? kBroken : isServed ? kHeld : kCannotRun;
  }

private:
  bool Answer(std::size_t aIndex, backend_request& aRequest)
  {
    auto const size = aRequest.mHead.Length();
    if (aRequest.mConnection.ReadBody(size).size() != size) {
      return false;
    }
    mRecord.Line("backend " + mBackends.at(aIndex)->Id() + " ran " +
                 aRequest.mHead.Field("request-id"));
    return aRequest.mConnection.Write(
      mBackends.at(aIndex)->AnswerHead(aRequest, 200, 2) + "ok");
  }

  /// Returns the status, or 0.
  unsigned Upload(connection& aClient,
                  std::string const& aId,
                  std::size_t aSize)
  {
    aClient.Write(
      "POST /upload/1 HTTP/1.1\r\nHost: " + std::string(mesh::kHost) +
      "\r\nRequest-Id: " + aId + "\r\nDeadline-Ms: 4000\r\nContent-Length: " +
      std::to_string(aSize) + "\r\n\r\n" + std::string(aSize, 'p'));
    auto const head = aClient.ReadHead();
    auto const status = head ? head->Status() : 0;
    if (head) {
      aClient.ReadBody(head->Length());
    }
    mRecord.Line("upload " + aId + " of " + std::to_string(aSize) +
                 " bytes: status " + std::to_string(status));
    return status;
  }

  record& mRecord;
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
