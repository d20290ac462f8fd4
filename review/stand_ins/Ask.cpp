#include "Http.h"

#include <cstdio>
#include <cstdlib>
#include <string>

/// Sends one request of a client or an operator and prints what came back as
/// one line: times in milliseconds since 1970, status (0 when the connection
/// ended without a complete answer) and the headers that matter.
///
///   ask request ADDRESS METHOD HOST TARGET ID DEADLINE_MS
///   ask put ADDRESS BASE_VERSION FILE
///   ask get ADDRESS
namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr int kBadArguments = 2;
constexpr int kMaximumRedirects = 2;
constexpr int kRedirect = 307;

struct answer
{
  bool mIsConnected = false;
  std::optional<message> mMessage;
};

answer
Exchange(address const& aPeer,
         std::string const& aRequest,
         std::chrono::milliseconds aTimeout)
{
  int const descriptor = Connect(aPeer, 1s);
  if (descriptor < 0) {
    return {};
  }
  connection peer(descriptor);
  peer.Write(aRequest);
  return { true, peer.Read(clock::now() + aTimeout) };
}

int
SendRequest(char** aArguments)
{
  std::string const method = aArguments[3];
  std::string const id = aArguments[6];
  std::chrono::milliseconds const deadline(std::atoi(aArguments[7]));
  std::string const body = method == "POST" ? "one order\n" : "";
  auto const sent = UnixMilliseconds();
  auto const received = Exchange(
    ParseAddress(aArguments[2]),
    method + " " + aArguments[5] + " HTTP/1.1\r\nHost: " + aArguments[4] +
      "\r\nRequest-Id: " + id +
      "\r\nDeadline-Ms: " + std::to_string(deadline.count()) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
    deadline + 1s);
  auto const& response = received.mMessage;
  std::printf("%lld client request=%s sent=%lld to=%s connected=%s status=%d "
              "stamp=%s\n",
              static_cast<long long>(UnixMilliseconds()),
              id.c_str(),
              static_cast<long long>(sent),
              aArguments[2],
              received.mIsConnected ? "yes" : "no",
              response ? response->Status() : 0,
              response ? response->Header("response-stamp").c_str() : "");
  return 0;
}

std::string
ReadFile(char const* aName)
{
  std::string content;
  if (auto* const file = std::fopen(aName, "rb")) {
    for (int byte = std::fgetc(file); byte != EOF; byte = std::fgetc(file)) {
      content += static_cast<char>(byte);
    }
    std::fclose(file);
  }
  return content;
}

/// Calls the operators' interface and follows redirects twice.
int
CallControl(std::string const& aCall,
            std::string aAddress,
            std::string const& aHeaders,
            std::string const& aBody)
{
  int status = 0;
  std::string body;
  for (int redirects = 0; redirects <= kMaximumRedirects; ++redirects) {
    auto const received =
      Exchange(ParseAddress(aAddress),
               "POST /v1/rpc?call=" + aCall + " HTTP/1.1\r\nHost: " + aAddress +
                 "\r\nConnection: close\r\nContent-Type: application/json\r\n" +
                 aHeaders + "Content-Length: " + std::to_string(aBody.size()) +
                 "\r\n\r\n" + aBody,
               2s);
    if (!received.mMessage) {
      break;
    }
    status = received.mMessage->Status();
    body = received.mMessage->mBody;
    auto const location = received.mMessage->Header("location");
    if (status != kRedirect || location.empty()) {
      break;
    }
    aAddress = location.substr(7, location.find('/', 7) - 7);
  }
  std::printf("%lld operator call=%s at=%s status=%d %s\n",
              static_cast<long long>(UnixMilliseconds()),
              aCall.c_str(),
              aAddress.c_str(),
              status,
              body.c_str());
  return status == 200 ? 0 : 1;
}

}

int
main(int aCount, char** aArguments)
{
  std::string const verb = aCount > 1 ? aArguments[1] : "";
  if (verb == "request" && aCount == 8) {
    return SendRequest(aArguments);
  }
  if (verb == "put" && aCount == 5) {
    return CallControl("config.put",
                       aArguments[2],
                       std::string("Base-Version: ") + aArguments[3] + "\r\n",
                       ReadFile(aArguments[4]));
  }
  if (verb == "get" && aCount == 3) {
    return CallControl("config.get", aArguments[2], "", "");
  }
  std::fprintf(stderr, "step=arguments: request, put or get with arguments\n");
  return kBadArguments;
}
