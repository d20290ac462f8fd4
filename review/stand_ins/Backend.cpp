#include "Http.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>

#include <sys/socket.h>

/// An application backend of the platform. It reports itself to the control
/// address of its machine and runs each request for the time that the request
/// names ("work", in milliseconds). It writes each event to standard output.
///
/// SIGUSR1: reports that it is draining. SIGUSR2: deregisters and keeps serving
/// until it is ended. A report that is on its way at that moment arrives
/// "late" milliseconds later.
namespace {

using namespace review;
using namespace std::chrono_literals;

struct options
{
  address mListen;
  address mControl;
  std::string mId;
  std::string mService;
  std::string mZone;
  int mSlots = 20;
  int mLateMilliseconds = 0;
};

options sOptions;
std::int64_t sBorn = 0;
std::atomic<int> sRunning{ 0 };
std::atomic<int> sSequence{ 0 };
std::atomic<bool> sIsDraining{ false };
std::atomic<bool> sIsDeregistered{ false };
std::mutex sLogMutex;

/// Milliseconds since 1970, which are comparable between the processes.
void
Log(char const* aFormat, ...)
{
  std::scoped_lock const lock(sLogMutex);
  std::printf("%lld backend=%s service=%s ",
              static_cast<long long>(UnixMilliseconds()),
              sOptions.mId.c_str(),
              sOptions.mService.c_str());
  va_list arguments;
  va_start(arguments, aFormat);
  std::vprintf(aFormat, arguments);
  va_end(arguments);
  std::printf("\n");
  std::fflush(stdout);
}

std::string
MakeResponse(std::string const& aStatus,
             std::string const& aHeaders,
             std::string const& aBody)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n" +
         aHeaders + "Server-Load: " + std::to_string(sRunning.load()) + ",0," +
         std::to_string(sOptions.mSlots) + "\r\n\r\n" + aBody;
}

std::string
HealthResponse()
{
  bool const isHealthy = !sIsDraining && !sIsDeregistered;
  return MakeResponse(isHealthy ? "200 OK" : "503 Service Unavailable",
                      "Instance-Id: " + sOptions.mId + "\r\n",
                      "");
}

/// Works until aEnd. Returns false if the caller leaves before.
bool
Work(connection& aConnection, clock::time_point aEnd)
{
  while (clock::now() < aEnd) {
    if (aConnection.HasPeerClosed()) {
      return false;
    }
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

/// Returns whether the connection can be used again.
bool
Run(connection& aConnection, message const& aRequest)
{
  auto const id = aRequest.Header("request-id");
  auto const expected = aRequest.Header("expect-instance");
  auto const echo = "Request-Id: " + id + "\r\n";
  auto const target = aRequest.Target();
  if (!expected.empty() && expected != sOptions.mId) {
    Log("event=misdirected request=%s target=%s", id.c_str(), target.c_str());
    return aConnection.Write(MakeResponse(
      "421 Misdirected Request", echo + "Not-Executed: 1\r\n", ""));
  }
  if (sRunning >= sOptions.mSlots) {
    return aConnection.Write(MakeResponse(
      "503 Service Unavailable", echo + "Not-Executed: 1\r\n", ""));
  }
  ++sRunning;
  Log("event=run request=%s caller_service=%s target=%s",
      id.c_str(),
      aRequest.Header("caller-service").c_str(),
      target.c_str());
  auto const work = std::atoi(QueryValue(target, "work").c_str());
  auto const left = std::atoi(aRequest.Header("deadline-ms").c_str());
  bool const isInTime = work <= left;
  bool const hasWorked =
    Work(aConnection,
         clock::now() + std::chrono::milliseconds(std::min(work, left)));
  --sRunning;
  Log("event=%s request=%s",
      hasWorked ? (isInTime ? "done" : "deadline") : "cut",
      id.c_str());
  return hasWorked &&
         aConnection.Write(MakeResponse(
           isInTime ? "200 OK" : "504 Gateway Timeout",
           echo + "Response-Stamp: " + sOptions.mId + "." + id + "\r\n",
           sOptions.mService + " ran " + id + "\n"));
}

void
Serve(int aDescriptor)
{
  connection peer(aDescriptor);
  for (;;) {
    auto const request = peer.Read(clock::now() + 10s);
    if (!request) {
      return;
    }
    bool const isHealth = request->Target().starts_with("/health");
    bool const isKept =
      isHealth ? peer.Write(HealthResponse()) : Run(peer, *request);
    if (!isKept || request->Header("connection") == "close") {
      return;
    }
  }
}

/// Returns the status of the response, or 0.
int
Post(std::string const& aCall, std::string const& aBody)
{
  int const descriptor = Connect(sOptions.mControl, 1s);
  if (descriptor < 0) {
    return 0;
  }
  connection control(descriptor);
  control.Write("POST /v1/rpc?call=" + aCall + "&of=" + sOptions.mId +
                " HTTP/1.1\r\nHost: " + sOptions.mControl.mHost +
                "\r\nContent-Type: application/json\r\nConnection: close"
                "\r\nContent-Length: " +
                std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  auto const response = control.Read(clock::now() + 1s);
  return response ? response->Status() : 0;
}

std::string
MakeHeartbeat()
{
  return "{\"Address\":\"" + sOptions.mListen.mHost + ":" +
         std::to_string(sOptions.mListen.mPort) +
         "\",\"born\":" + std::to_string(sBorn) + ",\"Info\":{\"Service\":\"" +
         sOptions.mService + "\",\"Version\":\"v1\",\"Zone\":\"" +
         sOptions.mZone + "\",\"Slots\":" + std::to_string(sOptions.mSlots) +
         "},\"Status\":{\"State\":\"" + (sIsDraining ? "draining" : "ready") +
         "\",\"Sequence\":" + std::to_string(++sSequence) +
         ",\"ColdRemainingMs\":0}}";
}

void
SendHeartbeat()
{
  bool const isDraining = sIsDraining;
  int const status = Post("instances.heartbeat", MakeHeartbeat());
  if (isDraining) {
    Log("event=draining_reported status=%d", status);
  }
}

void
SendHeartbeats()
{
  while (!sIsDeregistered) {
    SendHeartbeat();
    for (int part = 0; part < 15 && !sIsDeregistered; ++part) {
      std::this_thread::sleep_for(100ms);
    }
  }
}

void
Deregister()
{
  auto const onItsWay = MakeHeartbeat();
  sIsDeregistered = true;
  if (sOptions.mLateMilliseconds > 0) {
    std::thread([onItsWay] {
      std::this_thread::sleep_for(
        std::chrono::milliseconds(sOptions.mLateMilliseconds));
      int const status = Post("instances.heartbeat", onItsWay);
      Log("event=late_heartbeat status=%d", status);
    }).detach();
  }
  int const status =
    Post("instances.deregister", "{\"born\":" + std::to_string(sBorn) + "}");
  Log("event=deregistered status=%d", status);
}

void
HandleSignals(sigset_t const& aSignals)
{
  for (;;) {
    int number = 0;
    sigwait(&aSignals, &number);
    if (number == SIGUSR1) {
      sIsDraining = true;
      SendHeartbeat();
    } else {
      Deregister();
    }
  }
}

bool
ReadOptions(int aCount, char** aArguments)
{
  for (int index = 1; index + 1 < aCount; index += 2) {
    std::string const name = aArguments[index];
    std::string const value = aArguments[index + 1];
    if (name == "--listen") {
      sOptions.mListen = ParseAddress(value);
    } else if (name == "--control") {
      sOptions.mControl = ParseAddress(value);
    } else if (name == "--id") {
      sOptions.mId = value;
    } else if (name == "--service") {
      sOptions.mService = value;
    } else if (name == "--zone") {
      sOptions.mZone = value;
    } else if (name == "--late") {
      sOptions.mLateMilliseconds = std::atoi(value.c_str());
    } else {
      return false;
    }
  }
  return sOptions.mListen.mPort != 0 && sOptions.mControl.mPort != 0;
}

}

int
main(int aCount, char** aArguments)
{
  if (!ReadOptions(aCount, aArguments)) {
    std::fprintf(stderr, "step=arguments: unknown or missing option\n");
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  sigaddset(&signals, SIGUSR2);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  sBorn = UnixMilliseconds();
  int const listener = Listen(sOptions.mListen);
  if (listener < 0) {
    std::fprintf(stderr, "step=listen: the address is in use\n");
    return 2;
  }
  std::thread([signals] { HandleSignals(signals); }).detach();
  std::thread(SendHeartbeats).detach();
  for (;;) {
    int const accepted = ::accept(listener, nullptr, nullptr);
    if (accepted >= 0) {
      std::thread(Serve, accepted).detach();
    }
  }
}
