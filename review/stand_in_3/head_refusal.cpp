#include "harness.h"

#include <memory>

/// The operator removes a route. Clients ask for it with HEAD on connections
/// that they keep open, then send ordinary requests on them.
namespace {

using namespace review;

constexpr int kClients = 12;
constexpr std::uint64_t kMaximumBody = 67'108'864;
constexpr unsigned kOk = 200;

class case_run
{
public:
  explicit case_run(record& aRecord)
    : mRecord(aRecord)
    , mMesh(aRecord, { "katalog", "katalog" })
  {
  }

  int Run()
  {
    for (std::size_t index = 0; index < 2; ++index) {
      mBackends.push_back(std::make_unique<backend>(
        mMesh.Ip(index), "katalog", [this, index](backend_request& aRequest) {
          return Answer(index, aRequest);
        }));
    }
    route const browse{ "browse", "/browse/", "safe", "katalog" };
    route const offers{ "offers", "/offers/", "safe", "katalog" };
    if (mMesh.Configure(1, 0, { browse, offers }, kMaximumBody) != kOk ||
        !mMesh.WaitUntilReady()) {
      return kCannotRun;
    }
    std::this_thread::sleep_for(kStableWindow + 1s);
    std::vector<connection> clients;
    for (int number = 0; number < kClients; ++number) {
      clients.push_back(connection::To(mMesh.Ip(0), mesh::kOutboundPort));
      auto const id = std::to_string(number);
      bool const isServed =
        Ask(clients.back(), "HEAD", "/offers/1", "a" + id) &&
        Ask(clients.back(), "GET", "/browse/1", "b" + id);
      if (!isServed) {
        return kCannotRun;
      }
    }
    if (HasTrouble() &&
        mMesh.Configure(2, 1, { browse }, kMaximumBody) != kOk) {
      return kCannotRun;
    }
    std::this_thread::sleep_for(kConfigurationApplies + 1s);
    int wrong = 0;
    for (int number = 0; number < kClients; ++number) {
      auto const id = std::to_string(number);
      Ask(clients.at(number), "HEAD", "/offers/2", "c" + id);
      wrong += Ask(clients.at(number), "GET", "/browse/2", "d" + id) ? 0 : 1;
    }
    mRecord.Line("result: on " + std::to_string(wrong) + " of " +
                 std::to_string(kClients) +
                 " kept connections the answer to a GET begins with bytes that "
                 "are no answer");
    return wrong > 0 ? kBroken : kHeld;
  }

private:
  bool Answer(std::size_t aIndex, backend_request& aRequest)
  {
    mRecord.Line("backend " + mBackends.at(aIndex)->Id() + " ran " +
                 aRequest.mMethod + " " + aRequest.mHead.Field("request-id"));
    auto const body = aRequest.mMethod == "HEAD" ? "" : "hello";
    return aRequest.mConnection.Write(
      mBackends.at(aIndex)->AnswerHead(aRequest, kOk, 5) + body);
  }

  /// Returns whether the answer to the request is one in the protocol. An
  /// answer to HEAD has no body (RFC 9110, 9.3.2).
  bool Ask(connection& aClient,
           std::string const& aMethod,
           std::string const& aTarget,
           std::string const& aId)
  {
    aClient.Write(aMethod + " " + aTarget +
                  " HTTP/1.1\r\nHost: " + mesh::kHost +
                  "\r\nRequest-Id: " + aId + "\r\nDeadline-Ms: 4000\r\n\r\n");
    auto const head = aClient.ReadHead();
    bool const isAnswer = head && head->mFirstLine.starts_with("HTTP/1.1 ");
    if (isAnswer && aMethod != "HEAD") {
      aClient.ReadBody(head->Length());
    }
    mRecord.Line(aMethod + " " + aId + " " + aTarget + ": first line \"" +
                 (head ? Visible(head->mFirstLine) : "none") + "\"" +
                 (head && !head->Field("connection").empty()
                    ? ", connection " + head->Field("connection")
                    : ""));
    return isAnswer;
  }

  static std::string Visible(std::string aText)
  {
    for (auto& byte : aText) {
      byte = byte == '\n' || byte == '\r' ? '|' : byte;
    }
    return aText;
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
