#include "harness.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using namespace std::chrono;

constexpr int kHeartbeatMs = 1500;

steady_clock::time_point const kStarted = steady_clock::now();
std::mutex gRecordMutex;
std::vector<pid_t> gChildren;
std::string gFolder;

std::string
LowerCase(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return aText;
}

std::int64_t
UnixMs()
{
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

sockaddr_in
Endpoint(std::string const& aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

void
SetNoDelay(int aSocket)
{
  int const on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool
SendAll(int aSocket, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    auto const size = send(aSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

/// Reads more bytes. Returns false at the end or after aUntil.
bool
ReadMore(int aSocket, std::string& aBuffer, std::int64_t aUntil)
{
  for (;;) {
    auto const left = aUntil - NowMs();
    if (left <= 0) {
      return false;
    }
    pollfd entry{ aSocket, POLLIN, 0 };
    int const ready =
      poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 1000)));
    if (ready < 0) {
      return false;
    }
    if (ready == 0) {
      continue;
    }
    char bytes[16384];
    auto const size = recv(aSocket, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    aBuffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
}

/// Sends aBytes and reads what arrives meanwhile. Returns false if not all
/// could be sent.
bool
SendAndRead(int aSocket,
            std::string_view aBytes,
            std::string& aBuffer,
            std::int64_t aUntil)
{
  while (!aBytes.empty() && NowMs() < aUntil) {
    pollfd entry{ aSocket, POLLIN | POLLOUT, 0 };
    if (poll(&entry, 1, 100) <= 0) {
      continue;
    }
    if ((entry.revents & POLLIN) != 0) {
      char bytes[16384];
      auto const size = recv(aSocket, bytes, sizeof bytes, MSG_DONTWAIT);
      if (size <= 0) {
        return false;
      }
      aBuffer.append(bytes, static_cast<std::size_t>(size));
    } else {
      auto const size = send(
        aSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (size < 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(size));
    }
  }
  return aBytes.empty();
}

/// Parses start line and headers from aText, which ends before the empty line.
message
ParseHead(std::string const& aText)
{
  message parsed;
  std::istringstream lines(aText);
  std::string line;
  std::getline(lines, line);
  parsed.mStart = line.substr(0, line.find('\r'));
  while (std::getline(lines, line)) {
    line = line.substr(0, line.find('\r'));
    auto const colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    auto const value = line.find_first_not_of(' ', colon + 1);
    parsed.mHeaders[LowerCase(line.substr(0, colon))] =
      value == std::string::npos ? "" : line.substr(value);
  }
  return parsed;
}

bool
ReadHead(int aSocket, std::string& aBuffer, message& aOut, std::int64_t aUntil)
{
  std::size_t end = std::string::npos;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(aSocket, aBuffer, aUntil)) {
      return false;
    }
  }
  aOut = ParseHead(aBuffer.substr(0, end));
  aBuffer.erase(0, end + 4);
  return true;
}

/// Reads a body with a length or in chunks.
bool
ReadBody(int aSocket, std::string& aBuffer, message& aOut, std::int64_t aUntil)
{
  if (LowerCase(aOut.Header("transfer-encoding")) != "chunked") {
    auto const length = aOut.Header("content-length");
    std::size_t const size = length.empty() ? 0 : std::stoul(length);
    while (aBuffer.size() < size) {
      if (!ReadMore(aSocket, aBuffer, aUntil)) {
        return false;
      }
    }
    aOut.mBody = aBuffer.substr(0, size);
    aBuffer.erase(0, size);
    return true;
  }
  for (;;) {
    std::size_t end = std::string::npos;
    while ((end = aBuffer.find("\r\n")) == std::string::npos) {
      if (!ReadMore(aSocket, aBuffer, aUntil)) {
        return false;
      }
    }
    auto const size = std::stoul(aBuffer.substr(0, end), nullptr, 16);
    while (aBuffer.size() < end + 2 + size + 2) {
      if (!ReadMore(aSocket, aBuffer, aUntil)) {
        return false;
      }
    }
    aOut.mBody += aBuffer.substr(end + 2, size);
    aBuffer.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

int
Connect(std::string const& aIp, std::uint16_t aPort)
{
  int const socketNumber = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto const address = Endpoint(aIp, aPort);
  if (connect(socketNumber,
              reinterpret_cast<sockaddr const*>(&address),
              sizeof address) != 0) {
    close(socketNumber);
    return -1;
  }
  SetNoDelay(socketNumber);
  return socketNumber;
}

/// The other side sees the end at once, as when a process dies.
void
BreakOff(int aSocket)
{
  shutdown(aSocket, SHUT_RDWR);
}

std::string
At(std::string const& aIp, std::uint16_t aPort)
{
  return "\"" + aIp + ":" + std::to_string(aPort) + "\"";
}

}

std::int64_t
NowMs()
{
  return duration_cast<milliseconds>(steady_clock::now() - kStarted).count();
}

std::string
LongAnswer(std::size_t aBytes)
{
  std::string text(aBytes, '.');
  for (std::size_t index = 0; index < aBytes; ++index) {
    text[index] = static_cast<char>('a' + index % 26);
  }
  return text;
}

std::uint64_t
Hash(std::string_view aBytes)
{
  // FNV-1a.
  std::uint64_t hash = 14695981039346656037U;
  for (char const byte : aBytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211U;
  }
  return hash;
}

void
SleepMs(std::int64_t aMilliseconds)
{
  std::this_thread::sleep_for(milliseconds(aMilliseconds));
}

bool
HasTrouble()
{
  auto const* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

void
Record(std::string const& aLine)
{
  std::scoped_lock const lock(gRecordMutex);
  std::printf("%7.3f %s\n", static_cast<double>(NowMs()) / 1000, aLine.c_str());
  std::fflush(stdout);
}

void
Finish(int aStatus, std::string const& aReason)
{
  Record(aReason);
  for (auto const child : gChildren) {
    kill(child, SIGKILL);
  }
  for (auto const child : gChildren) {
    waitpid(child, nullptr, 0);
  }
  std::error_code ignored;
  if (!gFolder.empty() && std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(gFolder, ignored);
  }
  Record("exit status " + std::to_string(aStatus));
  std::_Exit(aStatus);
}

std::string
message::Header(std::string const& aName) const
{
  auto const found = mHeaders.find(aName);
  return found == mHeaders.end() ? "" : found->second;
}

int
message::Status() const
{
  auto const space = mStart.find(' ');
  return space == std::string::npos ? 0 : std::atoi(mStart.c_str() + space);
}

std::string
outcome::Describe() const
{
  if (!mIsConnected) {
    return "no connection";
  }
  if (!mIsComplete) {
    return "no complete response after " + std::to_string(mTookMs) + " ms";
  }
  auto text = std::to_string(mResponse.Status()) + " after " +
              std::to_string(mTookMs) + " ms";
  auto const stamp = mResponse.Header("response-stamp");
  if (!stamp.empty()) {
    return text + ", stamp " + stamp;
  }
  auto body = mResponse.mBody.substr(0, 120);
  std::replace(body.begin(), body.end(), '\n', ' ');
  return text + ", no stamp: " + body;
}

outcome
Exchange(std::string const& aIp,
         std::uint16_t aPort,
         std::vector<part> const& aParts,
         std::int64_t aTimeoutMs)
{
  outcome result;
  auto const started = NowMs();
  int const connection = Connect(aIp, aPort);
  if (connection < 0) {
    return result;
  }
  result.mIsConnected = true;
  std::string buffer;
  bool isOpen = true;
  for (auto const& entry : aParts) {
    auto const until = NowMs() + entry.mPauseMs;
    // A response may arrive before the request has been sent.
    while (isOpen && buffer.empty() && NowMs() < until) {
      pollfd waiting{ connection, POLLIN, 0 };
      if (poll(&waiting, 1, static_cast<int>(until - NowMs())) > 0) {
        isOpen = ReadMore(connection, buffer, until + 1);
      }
    }
    if (!isOpen || !buffer.empty() ||
        !SendAndRead(connection, entry.mBytes, buffer, started + aTimeoutMs)) {
      break;
    }
  }
  auto const until = started + aTimeoutMs;
  result.mIsComplete = ReadHead(connection, buffer, result.mResponse, until) &&
                       ReadBody(connection, buffer, result.mResponse, until);
  result.mTookMs = NowMs() - started;
  close(connection);
  return result;
}

std::string
Head(std::string const& aMethod,
     std::string const& aTarget,
     std::string const& aHost,
     std::vector<std::pair<std::string, std::string>> const& aHeaders)
{
  auto text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost + "\r\n";
  for (auto const& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n";
}

backend::backend(std::string aIp, std::string aZone, std::string aService)
  : mIp(std::move(aIp))
  , mZone(std::move(aZone))
  , mService(std::move(aService))
{
}

backend::~backend() = default;

void
backend::Start()
{
  Listen();
  std::thread([this] { Heartbeats(); }).detach();
}

bool
backend::IsCurrent(std::uint64_t aGeneration) const
{
  return mIsUp && mGeneration == aGeneration;
}

void
backend::Listen()
{
  int const listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto const address = Endpoint(mIp, kServerPort);
  if (bind(listener,
           reinterpret_cast<sockaddr const*>(&address),
           sizeof address) != 0 ||
      listen(listener, 128) != 0) {
    Finish(2, "cannot listen on " + mIp);
  }
  std::scoped_lock const lock(mMutex);
  mListener = listener;
  mBorn = UnixMs();
  mSequence = 0;
  auto const generation = ++mGeneration;
  mInstance = "i-" + mIp + "-" + std::to_string(generation);
  mIsUp = true;
  std::thread([this, listener, generation] {
    Accept(listener, generation);
  }).detach();
}

void
backend::Accept(int aListener, std::uint64_t aGeneration)
{
  while (IsCurrent(aGeneration)) {
    pollfd entry{ aListener, POLLIN, 0 };
    if (poll(&entry, 1, 100) <= 0) {
      continue;
    }
    int const accepted = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    SetNoDelay(accepted);
    std::thread([this, accepted, aGeneration] {
      Serve(accepted, aGeneration);
    }).detach();
  }
}

void
backend::Serve(int aSocket, std::uint64_t aGeneration)
{
  {
    std::scoped_lock const lock(mMutex);
    mSockets[aSocket] = aGeneration;
  }
  std::string buffer;
  while (IsCurrent(aGeneration) && ServeOne(aSocket, buffer, aGeneration)) {
  }
  std::scoped_lock const lock(mMutex);
  mSockets.erase(aSocket);
  close(aSocket);
}

bool
backend::ServeOne(int aSocket, std::string& aBuffer, std::uint64_t aGeneration)
{
  constexpr std::int64_t kIdleMs = 10'000;
  message request;
  if (!ReadHead(aSocket, aBuffer, request, NowMs() + kIdleMs)) {
    return false;
  }
  std::istringstream start(request.mStart);
  std::string method;
  std::string path;
  start >> method >> path;
  std::string instance;
  {
    std::scoped_lock const lock(mMutex);
    instance = mInstance;
  }
  auto const load = std::to_string(mRunning) + ",0," + std::to_string(mSlots);
  auto const respond = [&](int aStatus, std::string const& aExtra) {
    std::string const body = "done\n";
    return SendAll(aSocket,
                   "HTTP/1.1 " + std::to_string(aStatus) +
                     " X\r\nServer-Load: " + load +
                     "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n" + aExtra + "\r\n" + body);
  };
  if (path == "/health") {
    return respond(mIsDraining ? 503 : 200,
                   "Instance-Id: " + instance + "\r\n");
  }
  auto const id = request.Header("request-id");
  run entry{ id, path, NowMs(), 0, instance, 0, {} };
  if (mOnHead) {
    mOnHead(entry);
  }
  auto const expected = request.Header("expect-instance");
  auto const echo = "Request-Id: " + id + "\r\n";
  if (std::rand() % 100 < mShedPercent) {
    ++mShed;
    respond(503, echo + "Not-Executed: 1\r\nConnection: close\r\n");
    return false;
  }
  if (mEarlyAnswerBytes > 0 && request.mStart.starts_with("POST")) {
    return AnswerEarly(aSocket, aBuffer, request, echo, aGeneration);
  }
  auto const budget = request.Header("deadline-ms");
  auto const until =
    NowMs() + (budget.empty() ? kIdleMs : std::atoll(budget.c_str()));
  bool const answersFirst = mAnswersFirst && method == "POST";
  auto const success = echo + "Response-Stamp: " + id.substr(0, 4) + ".1\r\n";
  if (answersFirst) {
    SleepMs(mWorkMs);
  }
  if (answersFirst && !respond(200, success)) {
    return false;
  }
  if (!ReadBody(aSocket, aBuffer, request, until)) {
    return false;
  }
  if (!expected.empty() && expected != instance) {
    return respond(421, echo + "Not-Executed: 1\r\n");
  }
  entry.mBodyBytes = request.mBody.size();
  entry.mBodyHash = Hash(request.mBody);
  constexpr std::string_view kIdHeader = "\r\nRequest-Id: ";
  auto const foreign = request.mBody.find(kIdHeader);
  if (foreign != std::string::npos) {
    auto const start = foreign + kIdHeader.size();
    entry.mForeignId =
      request.mBody.substr(start, request.mBody.find('\r', start) - start);
  }
  {
    std::scoped_lock const lock(mMutex);
    mRuns.push_back(entry);
  }
  if (!mCrashingPath.empty() && path.find(mCrashingPath) != std::string::npos) {
    Crash(aGeneration);
    return false;
  }
  if (answersFirst) {
    return true;
  }
  ++mRunning;
  SleepMs(mWorkMs);
  --mRunning;
  return respond(200, success);
}

bool
backend::AnswerEarly(int aSocket,
                     std::string& aBuffer,
                     message& aRequest,
                     std::string const& aEcho,
                     std::uint64_t aGeneration)
{
  constexpr std::int64_t kBeforeCrashMs = 500;
  constexpr std::int64_t kReadMs = 20'000;
  auto const head =
    "HTTP/1.1 200 OK\r\n" + aEcho + "Response-Stamp: s1\r\n\r\n";
  auto const answer = LongAnswer(mEarlyAnswerBytes);
  auto const half = answer.substr(0, answer.size() / 2);
  if (!SendAll(aSocket, head + half)) {
    return false;
  }
  if (mCrashesInAnswer) {
    SleepMs(kBeforeCrashMs);
    // What the process had not read makes the kernel reset the connection.
    linger const now{ 1, 0 };
    setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Crash(aGeneration, aSocket);
    return false;
  }
  if (!SendAll(aSocket, answer.substr(half.size()))) {
    return false;
  }
  ReadBody(aSocket, aBuffer, aRequest, NowMs() + kReadMs);
  return false;
}

void
backend::Crash(std::uint64_t aGeneration, int aReset)
{
  {
    std::scoped_lock const lock(mMutex);
    if (!IsCurrent(aGeneration)) {
      return;
    }
    mIsUp = false;
    ++mCrashes;
    close(mListener);
    for (auto const& [number, generation] : mSockets) {
      if (number != aReset) {
        BreakOff(number);
      }
    }
  }
  Record("server " + mIp + " ends");
  std::thread([this] {
    SleepMs(mCrashMs);
    Listen();
  }).detach();
}

int
backend::SendHeartbeat()
{
  std::string body;
  std::string target;
  {
    std::scoped_lock const lock(mMutex);
    body = R"({"Address":)" + At(mIp, kServerPort) + R"(,"born":)" +
           std::to_string(mBorn) + R"(,"Info":{"Service":")" + mService +
           R"(","Version":"v1","Zone":")" + mZone + R"(","Slots":)" +
           std::to_string(mSlots) + R"(},"Status":{"State":")" +
           (mIsDraining ? "draining" : "ready") + R"(","Sequence":)" +
           std::to_string(++mSequence) + R"(,"ColdRemainingMs":0}})";
    target = "/v1/rpc?call=instances.heartbeat&of=" + mInstance;
  }
  auto const head = Head("POST",
                         target,
                         mIp,
                         { { "Content-Type", "application/json" },
                           { "Connection", "close" },
                           { "Content-Length", std::to_string(body.size()) } });
  auto const answer = Exchange(mIp, kControlPort, { { 0, head + body } }, 1000);
  return answer.mIsComplete ? answer.mResponse.Status() : 0;
}

void
backend::Heartbeats()
{
  for (;;) {
    if (mIsUp) {
      SendHeartbeat();
    }
    SleepMs(kHeartbeatMs);
  }
}

std::int64_t
backend::Drain()
{
  mIsDraining = true;
  for (int tries = 0; tries < 5; ++tries) {
    if (SendHeartbeat() == 200) {
      return NowMs();
    }
    SleepMs(100);
  }
  return -1;
}

std::vector<backend::run>
backend::Runs()
{
  std::scoped_lock const lock(mMutex);
  return mRuns;
}

deployment::deployment(std::vector<member> const& aMembers)
  : mMembers(aMembers)
{
  // Clients and servers of a case are sockets of this process.
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  setrlimit(RLIMIT_NOFILE, &descriptors);
  char folder[] = "/tmp/cranberryfold-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    Finish(2, "no temporary folder");
  }
  mFolder = folder;
  gFolder = mFolder;
  // Each run has loopback addresses of its own, so that the ports are free.
  auto const number = static_cast<int>(getpid());
  auto const subnet = "127." + std::to_string(number / 250 % 200 + 20) + "." +
                      std::to_string(number % 250 + 1) + ".";
  for (int index = 1; index <= 3; ++index) {
    mControlIps.push_back(subnet + std::to_string(index));
  }
  for (std::size_t index = 0; index < mMembers.size(); ++index) {
    mIps.push_back(subnet + std::to_string(10 + index));
    mServers.push_back(std::make_unique<backend>(
      mIps.back(), mMembers[index].mZone, mMembers[index].mService));
  }
}

void
deployment::WriteSettings(std::string const& aName,
                          std::string const& aIp,
                          member const* aMember) const
{
  std::string seeds;
  for (auto const& ip : mControlIps) {
    seeds += (seeds.empty() ? "" : ", ") + At(ip, kControlPort);
  }
  auto listen = "\"Control\": " + At(aIp, kControlPort);
  std::string role = R"("Serves": ["control"], "DataDir": ")" + mFolder + "/" +
                     aName + R"(.data", "InTolerance": true)";
  auto const zone = aMember == nullptr ? "lj-a" : aMember->mZone;
  if (aMember != nullptr) {
    listen += ", \"Inbound\": " + At(aIp, kInboundPort) +
              ", \"Outbound\": " + At(aIp, kOutboundPort) +
              ", \"Ready\": " + At(aIp, kReadyPort);
    role = R"("Serves": ["app_node"], "DataDir": null, "InTolerance": false, )"
           R"("Service": ")" +
           aMember->mService + R"(", "AppAddr": )" + At(aIp, kServerPort);
  } else {
    std::filesystem::create_directory(mFolder + "/" + aName + ".data");
  }
  std::ofstream file(mFolder + "/" + aName + ".json");
  file << R"({ "NodeName": ")" << aName << R"(", "Role": "r", )"
       << R"("MachineClass": ")" << (aMember == nullptr ? "core" : "app_node")
       << R"(", )" << role << R"(, "Ip": ")" << aIp << R"(", "Zone": ")" << zone
       << R"(", "Region": "ljubljana", "Zones": {"lj-a": "ljubljana", )"
       << R"("lj-b": "ljubljana"}, "Listen": { )" << listen
       << R"( }, "InternalPortRange": [7620, 7635], "Seeds": [)" << seeds
       << R"(], "Bootstrap": true, "Limits": {"CpuShare": 0.4, "Cores": 1, )"
       << R"("MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, )"
       << R"("DiskMb": 256}, "Discovery": "static", "EntryMode": "static", )"
       << R"("HeartbeatMs": 1500, "Contracts": ["base", "drain", "config", )"
       << R"("cost", "retry", "recover", "pressure"], "FaultTolerance": )"
       << R"({"Machines": 1, "Zones": 0, "Regions": 0}, "Bounds": [)"
       << R"("SeedLagS=3", "AddrReuseS=2", "StableWindowMs=3000", )"
       << R"("AckMs=4000", "CatchUpS=4", "DrainMs=2500", "GraceS=6", )"
       << R"("LossSlackMs=200", "ConfigApplyMs=2500", )"
       << R"("RollbackSlackMs=250", "MaxStretchMs=5000", )"
       << R"("RetryBudgetRatio=0.2", "BudgetWindowS=10", )"
       << R"("RetryBudgetSlack=49", "RecoveryS=15"] })" << '\n';
}

pid_t
deployment::StartDaemon(std::string const& aName) const
{
  auto const settings = "CRANBERRYFOLD_BOOT=" + mFolder + "/" + aName + ".json";
  auto const log = mFolder + "/" + aName + ".log";
  auto const path = std::string("PATH=") + std::getenv("PATH");
  pid_t const child = fork();
  if (child == 0) {
    // Ends with the script, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    char program[] = "target/bin/cranberryfold_node";
    char* const arguments[] = { program, nullptr };
    char* const environment[] = { const_cast<char*>(settings.c_str()),
                                  const_cast<char*>(path.c_str()),
                                  nullptr };
    execve(program, arguments, environment);
    _exit(127);
  }
  if (child < 0) {
    Finish(2, "cannot start " + aName);
  }
  gChildren.push_back(child);
  return child;
}

bool
deployment::IsReady(std::size_t aIndex) const
{
  auto const& ip = mIps.at(aIndex);
  auto const head = Head("GET", "/v1/ready", ip, { { "Connection", "close" } });
  auto const answer = Exchange(ip, kReadyPort, { { 0, head } }, 1000);
  return answer.mResponse.Status() == 200;
}

void
deployment::Terminate(std::size_t aIndex)
{
  kill(mDaemons.at(aIndex), SIGTERM);
}

void
deployment::Stop(std::size_t aIndex)
{
  constexpr std::int64_t kGraceMs = 6000;
  auto const child = mDaemons.at(aIndex);
  Terminate(aIndex);
  auto const until = NowMs() + kGraceMs;
  while (waitpid(child, nullptr, WNOHANG) == 0) {
    if (NowMs() >= until) {
      kill(child, SIGKILL);
    }
    SleepMs(20);
  }
  std::erase(gChildren, child);
}

void
deployment::Restart(std::size_t aIndex)
{
  mDaemons.at(aIndex) = StartDaemon("app-" + std::to_string(aIndex + 1));
}

outcome
deployment::Operate(std::string const& aCall,
                    std::string const& aBase,
                    std::string const& aBody) const
{
  std::vector<std::pair<std::string, std::string>> headers{
    { "Content-Type", "application/json" },
    { "Connection", "close" },
    { "Content-Length", std::to_string(aBody.size()) }
  };
  if (!aBase.empty()) {
    headers.emplace_back("Base-Version", aBase);
  }
  auto const target = "/v1/rpc?call=" + aCall;
  // As the page says: follow a 307 twice, then go on to another instance.
  outcome last;
  for (int round = 0; round < 20; ++round) {
    auto ip = mControlIps[static_cast<std::size_t>(round) % 3];
    for (int hops = 0; hops < 3; ++hops) {
      auto const head = Head("POST", target, ip, headers);
      last = Exchange(ip, kControlPort, { { 0, head + aBody } }, 1000);
      if (!last.mIsComplete || last.mResponse.Status() != 307) {
        break;
      }
      auto const location = last.mResponse.Header("location");
      auto const begin = location.find("//") + 2;
      ip = location.substr(begin, location.find(':', begin) - begin);
    }
    if (last.mIsComplete && last.mResponse.Status() < 500 &&
        last.mResponse.Status() != 307) {
      return last;
    }
    SleepMs(300);
  }
  return last;
}

outcome
deployment::Put(std::string const& aBase, std::string const& aConfiguration)
{
  return Operate("config.put", aBase, aConfiguration);
}

outcome
deployment::Get()
{
  return Operate("config.get", "", "{}");
}

void
deployment::Start(std::string const& aConfiguration)
{
  std::signal(SIGPIPE, SIG_IGN);
  for (std::size_t index = 0; index < mControlIps.size(); ++index) {
    auto const name = "control-" + std::to_string(index + 1);
    WriteSettings(name, mControlIps[index], nullptr);
    StartDaemon(name);
  }
  for (std::size_t index = 0; index < mIps.size(); ++index) {
    auto const name = "app-" + std::to_string(index + 1);
    WriteSettings(name, mIps[index], &mMembers[index]);
    mDaemons.push_back(StartDaemon(name));
    mServers[index]->Start();
  }
  SleepMs(2000);
  auto const put = Put("0", aConfiguration);
  Record("first configuration: " + put.Describe());
  if (!put.mIsComplete || put.mResponse.Status() != 200) {
    Finish(2, "the first configuration was not acknowledged");
  }
  for (int tries = 0; tries < 50; ++tries) {
    std::size_t ready = 0;
    for (std::size_t index = 0; index < mIps.size(); ++index) {
      ready += IsReady(index) ? 1 : 0;
    }
    if (ready == mIps.size()) {
      // The servers have reported twice by then; calm for StableWindowMs.
      SleepMs(4000);
      Record("all daemons are ready");
      return;
    }
    SleepMs(200);
  }
  Finish(2, "the daemons did not become ready");
}

}
