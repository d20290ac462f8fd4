#pragma once

#include "LibCore/Address.h"
#include "LibCore/Error.h"
#include "LibCore/Time.h"
#include "LibHttp/Message.h"
#include "PortReservation.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Child processes and waiting, for tests that run whole programs. Limits are
/// generous, because the machine may be loaded; no test asserts a duration.
namespace cranberryfold::test_support {

inline constexpr std::chrono::seconds kWaitLimit{ 120 };

/// How the output of a child process gets to its file.
enum class output_path
{
  kDirect,
  /// Through a pipe, so that a limit for files does not concern it.
  kPipe,
};

/// One child process. It is killed, by its id, at the end of its life.
class child_process
{
public:
  /// Starts a program of CRANBERRYFOLD_BIN; its output goes to aOutputFile.
  child_process(std::string const& aProgram,
                std::vector<std::string> const& aArguments,
                std::string aOutputFile,
                output_path aOutputPath = output_path::kDirect);
  ~child_process();
  child_process(child_process&& aOther) noexcept;
  child_process& operator=(child_process&&) = delete;

  void Signal(int aSignal) const;

  /// Makes writes fail that would extend a file beyond this size in bytes; what
  /// fits is written. Without a size, the limit is removed.
  void LimitFileSize(std::optional<std::uint64_t> aBytes) const;

  /// Returns the exit status as WaitForExit() does, without waiting.
  std::optional<int> ExitStatus();

  /// Returns the exit status, 128 + signal when it was killed, or nothing when
  /// it runs on after kWaitLimit.
  std::optional<int> WaitForExit();

  /// What it has written so far.
  std::string Output() const;

  /// Returns the most memory that the running process has held, in bytes.
  std::size_t PeakMemoryBytes() const;

private:
  pid_t mId = -1;
  std::optional<int> mStatus;
  std::string mOutputFile;
  /// Copies the output from the pipe to its file until the process has ended.
  std::thread mOutputCopier;
};

/// A folder that is removed at the end of its life.
class temporary_folder
{
public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(temporary_folder const&) = delete;
  temporary_folder& operator=(temporary_folder const&) = delete;

  std::string File(std::string const& aName) const;

private:
  std::string mPath;
};

/// Polls aCondition until it holds; returns false after kWaitLimit.
bool
WaitUntil(std::function<bool()> const& aCondition);

std::string
ReadFile(std::string const& aFile);

void
WriteFile(std::string const& aFile, std::string const& aText);

/// Sends one request on a connection of its own.
core::attempt<http::response>
Send(core::address const& aPeer, http::request const& aRequest);

/// Sends a request with a body of the fixed byte sequence of LibHttp.
core::attempt<http::response>
SendPattern(core::address const& aPeer,
            http::request_head const& aHead,
            std::uint64_t aSize);

/// A connection that is kept between requests, and opened again when the peer
/// has closed it.
class kept_connection
{
public:
  explicit kept_connection(core::address aPeer);
  ~kept_connection();
  kept_connection(kept_connection const&) = delete;
  kept_connection& operator=(kept_connection const&) = delete;

  /// Fails as http::client_connection does.
  core::attempt<http::response> Exchange(http::request const& aRequest,
                                         core::duration aTimeout);

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// A TCP connection that is closed at the end of its life.
class raw_connection
{
public:
  /// Connects and writes aBytes; errors are ignored.
  raw_connection(core::address const& aPeer, std::string const& aBytes);
  ~raw_connection();
  raw_connection(raw_connection const&) = delete;
  raw_connection& operator=(raw_connection const&) = delete;

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// Writes bytes to a TCP port and closes the connection.
void
SendBytes(core::address const& aPeer, std::string const& aBytes);

/// Returns whether a process listens at aPeer.
bool
CanConnect(core::address const& aPeer);

/// Reserves ports for processes. Throws std::runtime_error.
stand_in::port_reservation
ReservePorts(std::size_t aCount);

}
