#include "harness.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr char const* kDaemon = "target/bin/cranberryfold_node";
constexpr int kControlCount = 3;
constexpr auto kReportInterval = 1500ms;

sockaddr_in
AddressOf(std::string const& aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

bool
CanBind(std::string const& aIp, std::uint16_t aPort)
{
  int const probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const on = 1;
  ::setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto const address = AddressOf(aIp, aPort);
  bool const isFree = ::bind(probe,
                             reinterpret_cast<sockaddr const*>(&address),
                             sizeof address) == 0;
  ::close(probe);
  return isFree;
}

std::string
LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aByte) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
  });
  return aText;
}

std::string
Address(std::string const& aIp, std::uint16_t aPort)
{
  return "\"" + aIp + ":" + std::to_string(aPort) + "\"";
}

}

bool
HasTrouble()
{
  auto const* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

record::record(std::string const& aPath)
  : mFile(aPath, std::ios::trunc)
{
}

void
record::Line(std::string const& aText)
{
  std::scoped_lock const lock(mMutex);
  auto const age = std::chrono::duration<double>(clock_type::now() - mStart);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", age.count());
  mFile << time << aText << "\n";
  mFile.flush();
}

unsigned
message_head::Status() const
{
  auto const space = mFirstLine.find(' ');
  return space == std::string::npos
           ? 0
           : static_cast<unsigned>(std::atoi(mFirstLine.c_str() + space + 1));
}

std::string
message_head::Field(std::string const& aName) const
{
  auto const found = mFields.find(aName);
  return found == mFields.end() ? std::string() : found->second;
}

std::size_t
message_head::Length() const
{
  return static_cast<std::size_t>(std::atoll(Field("content-length").c_str()));
}

connection::connection(int aSocket)
  : mSocket(aSocket)
{
  if (mSocket < 0) {
    return;
  }
  timeval const limit{ 10, 0 };
  ::setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(mSocket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  int const on = 1;
  ::setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::connection(connection&& aOther) noexcept
  : mSocket(std::exchange(aOther.mSocket, -1))
  , mBuffer(std::move(aOther.mBuffer))
{
}

connection::~connection()
{
  Close();
}

connection
connection::To(std::string const& aIp, std::uint16_t aPort, int aReceiveBuffer)
{
  int const opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    ::setsockopt(
      opened, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
  }
  auto const address = AddressOf(aIp, aPort);
  if (::connect(opened,
                reinterpret_cast<sockaddr const*>(&address),
                sizeof address) != 0) {
    ::close(opened);
    return connection(-1);
  }
  return connection(opened);
}

bool
connection::Write(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    auto const written =
      ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

ssize_t
connection::WriteSome(std::string_view aBytes)
{
  auto const written =
    ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  return written < 0 && errno == EAGAIN ? 0 : written;
}

bool
connection::Fill()
{
  char bytes[16384];
  auto const size = ::recv(mSocket, bytes, sizeof bytes, 0);
  if (size <= 0) {
    mHasEnded = size == 0 || errno != EAGAIN;
    return false;
  }
  mBuffer.append(bytes, static_cast<std::size_t>(size));
  return true;
}

std::optional<message_head>
connection::ReadHead()
{
  std::size_t end = 0;
  while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  message_head head;
  std::size_t start = 0;
  while (start < end) {
    auto const stop = std::min(mBuffer.find("\r\n", start), end);
    auto const line = mBuffer.substr(start, stop - start);
    if (start == 0) {
      head.mFirstLine = line;
    } else if (auto const colon = line.find(':'); colon != std::string::npos) {
      auto const value = line.find_first_not_of(' ', colon + 1);
      head.mFields[LowerCase(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
    start = stop + 2;
  }
  mBuffer.erase(0, end + 4);
  return head;
}

std::string
connection::ReadBody(std::size_t aSize)
{
  while (mBuffer.size() < aSize && Fill()) {
  }
  auto body = mBuffer.substr(0, aSize);
  mBuffer.erase(0, aSize);
  return body;
}

std::string
connection::ReadSome(std::size_t aSize)
{
  if (mBuffer.empty()) {
    std::string bytes(aSize, '\0');
    auto const size = ::recv(mSocket, bytes.data(), bytes.size(), 0);
    mHasEnded = size == 0 || (size < 0 && errno != EAGAIN);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    return bytes;
  }
  return ReadBody(std::min(aSize, mBuffer.size()));
}

void
connection::Close()
{
  if (mSocket >= 0) {
    ::close(std::exchange(mSocket, -1));
  }
}

tcp_server::tcp_server(std::string const& aIp,
                       std::uint16_t aPort,
                       serve_function aServe)
  : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  , mServe(std::move(aServe))
{
  int const on = 1;
  ::setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto const address = AddressOf(aIp, aPort);
  if (::bind(mSocket,
             reinterpret_cast<sockaddr const*>(&address),
             sizeof address) != 0 ||
      ::listen(mSocket, SOMAXCONN) != 0) {
    throw std::runtime_error("cannot listen on " + aIp);
  }
  mAcceptor = std::thread([this] { Accept(); });
}

tcp_server::~tcp_server()
{
  mIsStopped = true;
  ::shutdown(mSocket, SHUT_RDWR);
  mAcceptor.join();
  ::close(mSocket);
  {
    std::scoped_lock const lock(mMutex);
    for (int const open : mOpen) {
      ::shutdown(open, SHUT_RDWR);
    }
  }
  for (auto& thread : mThreads) {
    thread.join();
  }
}

void
tcp_server::Accept()
{
  while (!mIsStopped) {
    int const accepted = ::accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    std::scoped_lock const lock(mMutex);
    mOpen.push_back(accepted);
    mThreads.emplace_back([this, accepted] {
      connection served(accepted);
      mServe(served);
      std::scoped_lock const closing(mMutex);
      std::erase(mOpen, accepted);
      served.Close();
    });
  }
}

backend::backend(std::string aIp, std::string aService, handler aHandler)
  : mIp(std::move(aIp))
  , mService(std::move(aService))
  , mId("i-" + mIp.substr(mIp.rfind('.') + 1))
  , mBorn(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count())
  , mHandler(std::move(aHandler))
  , mServer(std::make_unique<tcp_server>(
      mIp,
      mesh::kBackendPort,
      [this](connection& aConnection) { Serve(aConnection); }))
  , mReporter([this] { Report(); })
{
}

backend::~backend()
{
  mIsStopped = true;
  mReporter.join();
  mServer.reset();
}

void
backend::Serve(connection& aConnection)
{
  while (auto head = aConnection.ReadHead()) {
    auto const first = head->mFirstLine.find(' ');
    auto const second = head->mFirstLine.find(' ', first + 1);
    backend_request request{ aConnection,
                             head->mFirstLine.substr(0, first),
                             head->mFirstLine.substr(first + 1,
                                                     second - first - 1),
                             std::move(*head) };
    if (request.mTarget == "/health") {
      if (!aConnection.Write("HTTP/1.1 200 OK\r\nInstance-Id: " + mId +
                             "\r\nServer-Load: 0,0,62\r\n"
                             "Content-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    auto const expected = request.mHead.Field("expect-instance");
    if (!expected.empty() && expected != mId) {
      aConnection.ReadBody(request.mHead.Length());
      aConnection.Write(AnswerHead(request, 421, 0));
      continue;
    }
    if (!mHandler(request)) {
      return;
    }
  }
}

std::string
backend::AnswerHead(backend_request const& aRequest,
                    unsigned aStatus,
                    std::size_t aLength) const
{
  auto const id = aRequest.mHead.Field("request-id");
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Answer\r\nRequest-Id: " + id + "\r\nResponse-Stamp: " + mId + "." +
         id + "\r\nServer-Load: 1,0,62\r\nKeep-Alive: timeout=10\r\n" +
         "Content-Length: " + std::to_string(aLength) + "\r\n\r\n";
}

void
backend::Report()
{
  int sequence = 0;
  auto next = clock_type::now();
  while (!mIsStopped) {
    if (clock_type::now() < next) {
      std::this_thread::sleep_for(20ms);
      continue;
    }
    auto const body = "{\"Address\":" + Address(mIp, mesh::kBackendPort) +
                      ",\"born\":" + std::to_string(mBorn) +
                      ",\"Info\":{\"Service\":\"" + mService +
                      "\",\"Version\":\"v1\",\"Zone\":\"za\",\"Slots\":62},"
                      "\"Status\":{\"State\":\"ready\",\"Sequence\":" +
                      std::to_string(++sequence) + ",\"ColdRemainingMs\":0}}";
    auto const status = Call(mIp,
                             mesh::kControlPort,
                             "/v1/rpc?call=instances.heartbeat&of=" + mId,
                             "",
                             body)
                          .first;
    next = clock_type::now() + (status == 200 ? kReportInterval : 200ms);
  }
}

std::pair<unsigned, std::string>
Call(std::string const& aIp,
     std::uint16_t aPort,
     std::string const& aTarget,
     std::string const& aExtraHeaders,
     std::string const& aBody)
{
  auto called = connection::To(aIp, aPort);
  if (!called.IsOpen() ||
      !called.Write((aBody.empty() ? "GET " : "POST ") + aTarget +
                    " HTTP/1.1\r\nHost: control\r\n" + aExtraHeaders +
                    "Content-Type: application/json\r\nContent-Length: " +
                    std::to_string(aBody.size()) + "\r\n\r\n" + aBody)) {
    return { 0, "" };
  }
  auto const head = called.ReadHead();
  if (!head) {
    return { 0, "" };
  }
  return { head->Status(), called.ReadBody(head->Length()) };
}

mesh::mesh(record& aRecord, std::vector<std::string> const& aServices)
  : mRecord(aRecord)
  , mServices(aServices)
{
  std::signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/cranberryfold-review-XXXXXX";
  if (::mkdtemp(folder) == nullptr) {
    throw std::runtime_error("cannot create a folder");
  }
  mFolder = folder;
  for (int number = static_cast<int>(::getpid());; ++number) {
    mSubnet = "127." + std::to_string(100 + number / 250 % 100) + "." +
              std::to_string(number % 250 + 1) + ".";
    if (CanBind(mSubnet + "1", kControlPort) &&
        CanBind(mSubnet + "11", kOutboundPort)) {
      break;
    }
  }
  for (int control = 1; control <= kControlCount; ++control) {
    auto const ip = mSubnet + std::to_string(control);
    std::filesystem::create_directory(mFolder + "/" + ip + ".data");
    WriteSettings(ip, "");
    mProcesses[ip] = Start(ip);
  }
  for (std::size_t index = 0; index < mServices.size(); ++index) {
    WriteSettings(Ip(index), mServices[index]);
    mProcesses[Ip(index)] = Start(Ip(index));
  }
}

mesh::~mesh()
{
  for (auto const& [ip, process] : mProcesses) {
    ::kill(process, SIGCONT);
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

std::string
mesh::Ip(std::size_t aIndex) const
{
  return mSubnet + std::to_string(11 + aIndex);
}

void
mesh::WriteSettings(std::string const& aIp, std::string const& aService)
{
  std::string seeds;
  for (int control = 1; control <= kControlCount; ++control) {
    seeds += (control > 1 ? ", " : "") +
             Address(mSubnet + std::to_string(control), kControlPort);
  }
  bool const isControl = aService.empty();
  auto const zone = aIp.back() % 2 == 0 ? "zb" : "za";
  std::ofstream file(mFolder + "/" + aIp + ".json");
  file << "{ \"NodeName\": \"" << aIp << "\", \"Role\": \""
       << (isControl ? "control" : "daemon") << "\", \"MachineClass\": \""
       << (isControl ? "core" : "app_node") << "\", \"Serves\": [\""
       << (isControl ? "control" : "app_node") << "\"], \"Ip\": \"" << aIp
       << "\", \"Zone\": \"" << zone
       << "\", \"Region\": \"r\", \"Zones\": {\"za\": \"r\", \"zb\": \"r\"}, "
          "\"Listen\": { \"Control\": "
       << Address(aIp, kControlPort);
  if (!isControl) {
    file << ", \"Inbound\": " << Address(aIp, 8300)
         << ", \"Outbound\": " << Address(aIp, kOutboundPort)
         << ", \"Ready\": " << Address(aIp, kReadyPort);
  }
  file << " }, \"InternalPortRange\": [7620, 7635], \"Seeds\": [" << seeds
       << "], \"Bootstrap\": true, \"InTolerance\": "
       << (isControl ? "true" : "false")
       << ", \"Limits\": {\"CpuShare\": 0.4, \"Cores\": 1, \"MemoryMb\": 260, "
          "\"MaxFds\": 4100, \"LinkMbps\": 1000.0, \"DiskMb\": 256}, "
          "\"DataDir\": ";
  if (isControl) {
    file << "\"" << mFolder << "/" << aIp << ".data\"";
  } else {
    file << "null, \"AppAddr\": " << Address(aIp, kBackendPort)
         << ", \"Service\": \"" << aService << "\"";
  }
  file << ", \"Discovery\": \"static\", \"EntryMode\": \"static\", "
          "\"HeartbeatMs\": 1500, \"FaultTolerance\": {\"Machines\": 1, "
          "\"Zones\": 0, \"Regions\": 0}, \"Bounds\": [\"SeedLagS=3\", "
          "\"AddrReuseS=2\", \"StableWindowMs=3000\", \"AckMs=4000\", "
          "\"CatchUpS=4\", \"DrainMs=2500\", \"GraceS=6\", "
          "\"LossSlackMs=200\", \"ConfigApplyMs=2500\", "
          "\"RollbackSlackMs=250\", \"MaxStretchMs=5000\", "
          "\"RetryBudgetRatio=0.2\", \"BudgetWindowS=10\", "
          "\"RetryBudgetSlack=49\", \"RecoveryS=15\"] }\n";
}

pid_t
mesh::Start(std::string const& aIp)
{
  auto const settings = "CRANBERRYFOLD_BOOT=" + mFolder + "/" + aIp + ".json";
  auto const log = mFolder + "/" + aIp + ".log";
  auto const parent = ::getpid();
  auto const process = ::fork();
  if (process != 0) {
    mRecord.Line("started " + aIp + " as process " + std::to_string(process));
    return process;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) {
    ::_exit(1);
  }
  int const output =
    ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  char path[] = "PATH=/usr/bin:/bin";
  std::string variable = settings;
  char* environment[] = { path, variable.data(), nullptr };
  std::string program = kDaemon;
  char* arguments[] = { program.data(), nullptr };
  ::execve(kDaemon, arguments, environment);
  ::_exit(127);
}

unsigned
mesh::Configure(int aVersion,
                int aBase,
                std::vector<route> const& aRoutes,
                std::uint64_t aMaximumBodyBytes)
{
  std::string routes;
  std::map<std::string, bool> services;
  for (auto const& entry : aRoutes) {
    services[entry.mService] = true;
    routes += (routes.empty() ? "\"" : ",\"") + entry.mName +
              "\":{\"Hostname\":\"" + kHost + "\",\"PathPrefix\":\"" +
              entry.mPrefix + "\",\"RouteType\":\"" + entry.mType +
              "\",\"TimeoutMs\":" + std::to_string(entry.mTimeoutMs) +
              ",\"TargetLatencyMs\":1500,\"Priority\":1,\"Service\":\"" +
              entry.mService +
              "\",\"MaxAttempts\":" + std::to_string(entry.mAttempts) + "}";
  }
  std::string pools;
  for (auto const& [name, unused] : services) {
    pools += (pools.empty() ? "\"" : ",\"") + name +
             "\":{\"HealthPath\":\"/health\",\"MaxConnections\":472,"
             "\"Protocol\":\"h1\",\"Tls\":false}";
  }
  auto const body = "{\"Version\":\"r" + std::to_string(aVersion) +
                    "\",\"Routes\":{" + routes + "},\"Services\":{" + pools +
                    "},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":" +
                    std::to_string(aMaximumBodyBytes) +
                    ",\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
  auto const end = clock_type::now() + 20s;
  for (int attempt = 0; clock_type::now() < end; ++attempt) {
    auto const ip = mSubnet + std::to_string(1 + attempt % kControlCount);
    auto const answer = Call(ip,
                             kControlPort,
                             "/v1/rpc?call=config.put",
                             "Base-Version: r" + std::to_string(aBase) + "\r\n",
                             body);
    if (answer.first == 200 || (answer.first >= 400 && answer.first < 500)) {
      mRecord.Line("version r" + std::to_string(aVersion) + " on r" +
                   std::to_string(aBase) + ", MaxBodyBytes " +
                   std::to_string(aMaximumBodyBytes) + ": answered " +
                   std::to_string(answer.first) + " by " + ip);
      return answer.first;
    }
    std::this_thread::sleep_for(200ms);
  }
  return 0;
}

void
mesh::Signal(std::size_t aIndex, int aSignal)
{
  auto const process = mProcesses.at(Ip(aIndex));
  mRecord.Line("signal " + std::to_string(aSignal) + " to the daemon at " +
               Ip(aIndex));
  ::kill(process, aSignal);
}

std::size_t
mesh::ResidentMb(std::size_t aIndex) const
{
  auto const process = mProcesses.at(Ip(aIndex));
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string word;
  while (file >> word) {
    if (word == "VmRSS:") {
      std::size_t kilobytes = 0;
      file >> kilobytes;
      return kilobytes / 1024;
    }
  }
  return 0;
}

void
mesh::WaitForEnd(std::size_t aIndex)
{
  int status = 0;
  ::waitpid(mProcesses.at(Ip(aIndex)), &status, 0);
  mRecord.Line("the daemon at " + Ip(aIndex) + " has ended, status " +
               std::to_string(status));
}

void
mesh::Restart(std::size_t aIndex)
{
  mProcesses[Ip(aIndex)] = Start(Ip(aIndex));
}

bool
mesh::WaitUntilReady()
{
  auto const end = clock_type::now() + 20s;
  for (std::size_t index = 0; index < mServices.size(); ++index) {
    while (Call(Ip(index), kReadyPort, "/v1/ready", "", "").first != 200) {
      if (clock_type::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(50ms);
    }
  }
  return true;
}

}
