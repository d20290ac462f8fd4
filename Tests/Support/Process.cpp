#include "Support/Process.h"

#include "LibHttp/Client.h"
#include "LibHttp/Pattern.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cranberryfold::test_support {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 20 };
constexpr int kCannotExecute = 127;
constexpr int kSignalBase = 128;

std::string
ProgramPath(std::string const& aProgram)
{
  auto const* const folder = std::getenv("CRANBERRYFOLD_BIN");
  return std::string(folder != nullptr ? folder : "build/bin") + "/" + aProgram;
}

/// Copies what is read from aFrom to aTo and closes both at its end.
void
CopyToEnd(int aFrom, int aTo)
{
  std::array<char, 4096> bytes{};
  for (;;) {
    auto const size = read(aFrom, bytes.data(), bytes.size());
    if (size <= 0 ||
        write(aTo, bytes.data(), static_cast<std::size_t>(size)) != size) {
      break;
    }
  }
  close(aFrom);
  close(aTo);
}

/// Runs in the child only; uses nothing but async-signal-safe calls.
[[noreturn]] void
Execute(std::vector<char*> const& aArguments, int aOutput)
{
  // A write beyond the limit of a file's size then fails without a signal.
  signal(SIGXFSZ, SIG_IGN);
  dup2(aOutput, STDOUT_FILENO);
  dup2(aOutput, STDERR_FILENO);
  execv(aArguments[0], aArguments.data());
  _exit(kCannotExecute);
}

template<class Value>
asio::awaitable<void>
Store(asio::awaitable<Value> aSource, Value& aOut)
{
  aOut = co_await std::move(aSource);
}

template<class Value>
Value
RunToEnd(asio::io_context& aContext, asio::awaitable<Value> aSource)
{
  Value value;
  asio::co_spawn(aContext, Store(std::move(aSource), value), asio::detached);
  aContext.run();
  return value;
}

asio::awaitable<core::attempt<http::response>>
ExchangePattern(core::address aPeer,
                http::request_head aHead,
                std::uint64_t aSize)
{
  core::attempt<http::response> result;
  http::client_connection connection(co_await asio::this_coro::executor, aPeer);
  auto const connected = co_await connection.Connect(kWaitLimit);
  result.mError = connected.mError;
  if (!connected) {
    co_return result;
  }
  http::response received;
  http::body_sink const sink = [&received](std::string_view aBytes) {
    received.mBody += aBytes;
  };
  auto const body = http::PatternBody(aSize);
  auto const head = co_await connection.Exchange(aHead, body, sink, kWaitLimit);
  result.mError = head.mError;
  if (head) {
    received.mHead = *head;
    result.mValue = std::move(received);
  }
  co_return result;
}

}

child_process::child_process(std::string const& aProgram,
                             std::vector<std::string> const& aArguments,
                             std::string aOutputFile,
                             output_path aOutputPath)
  : mOutputFile(std::move(aOutputFile))
{
  std::vector<std::string> words{ ProgramPath(aProgram) };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (auto& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  int output =
    open(mOutputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (aOutputPath == output_path::kPipe) {
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
      throw std::runtime_error("no pipe for the output of " + aProgram);
    }
    mOutputCopier = std::thread(CopyToEnd, ends[0], output);
    output = ends[1];
  }
  mId = fork();
  if (mId == 0) {
    Execute(pointers, output);
  }
  close(output);
}

child_process::child_process(child_process&& aOther) noexcept
  : mId(std::exchange(aOther.mId, -1))
  , mStatus(aOther.mStatus)
  , mOutputFile(std::move(aOther.mOutputFile))
  , mOutputCopier(std::move(aOther.mOutputCopier))
{
}

child_process::~child_process()
{
  if (mId > 0 && !mStatus) {
    kill(mId, SIGKILL);
    waitpid(mId, nullptr, 0);
  }
  if (mOutputCopier.joinable()) {
    mOutputCopier.join();
  }
}

void
child_process::Signal(int aSignal) const
{
  if (mId > 0 && !mStatus) {
    kill(mId, aSignal);
  }
}

void
child_process::LimitFileSize(std::optional<std::uint64_t> aBytes) const
{
  if (mId <= 0 || mStatus) {
    return;
  }
  rlimit limit{};
  prlimit(mId, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = aBytes ? *aBytes : limit.rlim_max;
  prlimit(mId, RLIMIT_FSIZE, &limit, nullptr);
}

std::optional<int>
child_process::ExitStatus()
{
  int status = 0;
  if (!mStatus && waitpid(mId, &status, WNOHANG) == mId) {
    mStatus =
      WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  }
  return mStatus;
}

std::optional<int>
child_process::WaitForExit()
{
  WaitUntil([this] { return ExitStatus().has_value(); });
  return mStatus;
}

std::string
child_process::Output() const
{
  return ReadFile(mOutputFile);
}

std::size_t
child_process::PeakMemoryBytes() const
{
  constexpr std::string_view kField = "VmHWM:";
  constexpr std::size_t kBytesPerKilobyte = 1024;
  auto const status = ReadFile("/proc/" + std::to_string(mId) + "/status");
  auto const found = status.find(kField);
  if (found == std::string::npos) {
    throw std::runtime_error("the peak memory of a process cannot be read");
  }
  return std::stoul(status.substr(found + kField.size())) * kBytesPerKilobyte;
}

temporary_folder::temporary_folder()
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "cranberryfold-XXXXXX").string();
  mPath = mkdtemp(pattern.data());
}

temporary_folder::~temporary_folder()
{
  std::error_code ignored;
  std::filesystem::remove_all(mPath, ignored);
}

std::string
temporary_folder::File(std::string const& aName) const
{
  return mPath + "/" + aName;
}

bool
WaitUntil(std::function<bool()> const& aCondition)
{
  auto const end = std::chrono::steady_clock::now() + kWaitLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::string
ReadFile(std::string const& aFile)
{
  std::ifstream file(aFile);
  return { std::istreambuf_iterator<char>(file), {} };
}

void
WriteFile(std::string const& aFile, std::string const& aText)
{
  std::ofstream(aFile) << aText;
}

core::attempt<http::response>
Send(core::address const& aPeer, http::request const& aRequest)
{
  asio::io_context context(1);
  return RunToEnd(context, http::SendRequest(aPeer, aRequest, kWaitLimit));
}

core::attempt<http::response>
SendPattern(core::address const& aPeer,
            http::request_head const& aHead,
            std::uint64_t aSize)
{
  asio::io_context context(1);
  return RunToEnd(context, ExchangePattern(aPeer, aHead, aSize));
}

struct kept_connection::state
{
  asio::io_context mContext{ 1 };
  core::address mPeer;
  std::optional<http::client_connection> mConnection;

  asio::awaitable<core::attempt<http::response>> Exchange(
    http::request const& aRequest,
    core::duration aTimeout)
  {
    core::attempt<http::response> result;
    if (!mConnection || !mConnection->IsReusable()) {
      mConnection.emplace(mContext.get_executor(), mPeer);
      auto const connected = co_await mConnection->Connect(aTimeout);
      if (!connected) {
        result.mError = connected.mError;
        mConnection.reset();
        co_return result;
      }
    }
    http::response received;
    http::body_sink const sink = [&received](std::string_view aBytes) {
      received.mBody += aBytes;
    };
    auto const body = http::BodyOf(aRequest.mBody);
    auto const head =
      co_await mConnection->Exchange(aRequest.mHead, body, sink, aTimeout);
    result.mError = head.mError;
    if (head) {
      received.mHead = *head;
      result.mValue = std::move(received);
    }
    co_return result;
  }
};

kept_connection::kept_connection(core::address aPeer)
  : mState(std::make_unique<state>())
{
  mState->mPeer = std::move(aPeer);
}

kept_connection::~kept_connection() = default;

core::attempt<http::response>
kept_connection::Exchange(http::request const& aRequest,
                          core::duration aTimeout)
{
  mState->mContext.restart();
  return RunToEnd(mState->mContext, mState->Exchange(aRequest, aTimeout));
}

struct raw_connection::state
{
  asio::io_context mContext{ 1 };
  asio::ip::tcp::socket mSocket{ mContext };
};

raw_connection::raw_connection(core::address const& aPeer,
                               std::string const& aBytes)
  : mState(std::make_unique<state>())
{
  auto& socket = mState->mSocket;
  boost::system::error_code code;
  socket.connect({ asio::ip::make_address(aPeer.mHost), aPeer.mPort }, code);
  if (!code) {
    asio::write(socket, asio::buffer(aBytes), code);
  }
}

raw_connection::~raw_connection() = default;

void
SendBytes(core::address const& aPeer, std::string const& aBytes)
{
  raw_connection const connection(aPeer, aBytes);
}

bool
CanConnect(core::address const& aPeer)
{
  asio::io_context context(1);
  asio::ip::tcp::socket socket(context);
  boost::system::error_code code;
  socket.connect({ asio::ip::make_address(aPeer.mHost), aPeer.mPort }, code);
  return !code;
}

stand_in::port_reservation
ReservePorts(std::size_t aCount)
{
  auto reservation =
    core::Attempt([&] { return stand_in::port_reservation::Make(aCount); });
  if (!reservation) {
    throw std::runtime_error(core::FormatError(reservation.mError));
  }
  return std::move(*reservation);
}

}
