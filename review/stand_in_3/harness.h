#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

/// What the cases of the third review share: daemons as processes, stand-in
/// backends, and clients that write and read bytes themselves.
namespace review {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;
using headers = std::map<std::string, std::string>;

/// Whether the case runs with its disruption (TROUBLE is not 0).
bool
HasTrouble();

/// Writes lines with the time since the start to a file, from any thread.
class record
{
public:
  explicit record(std::string const& aPath);
  void Line(std::string const& aText);

private:
  std::mutex mMutex;
  std::ofstream mFile;
  clock_type::time_point mStart = clock_type::now();
};

struct message_head
{
  std::string mFirstLine;
  /// Names are in lower case.
  headers mFields;

  unsigned Status() const;
  std::string Field(std::string const& aName) const;
  std::size_t Length() const;
};

/// A TCP connection with blocking calls that end at a time-out.
class connection
{
public:
  explicit connection(int aSocket);
  connection(connection&& aOther) noexcept;
  connection(connection const&) = delete;
  connection& operator=(connection const&) = delete;
  ~connection();

  /// Connects to a loopback address; a receive buffer of 0 bytes leaves the
  /// usual one.
  static connection To(std::string const& aIp,
                       std::uint16_t aPort,
                       int aReceiveBuffer = 0);

  bool IsOpen() const { return mSocket >= 0; }
  int Socket() const { return mSocket; }
  /// Returns whether all bytes were taken.
  bool Write(std::string_view aBytes);
  /// Writes once and returns how many bytes were taken: 0 at the time-out, -1
  /// if the connection has failed.
  ssize_t WriteSome(std::string_view aBytes);
  std::optional<message_head> ReadHead();
  /// Reads up to aSize bytes of a body; returns what came before the end.
  std::string ReadBody(std::size_t aSize);
  /// Reads once, up to aSize bytes.
  std::string ReadSome(std::size_t aSize);
  /// Whether the peer has closed its side, or the connection has failed.
  bool HasEnded() const { return mHasEnded; }
  void Close();

private:
  bool Fill();

  int mSocket;
  bool mHasEnded = false;
  std::string mBuffer;
};

/// Listens on a loopback address and serves each connection in a thread.
class tcp_server
{
public:
  using serve_function = std::function<void(connection&)>;
  tcp_server(std::string const& aIp,
             std::uint16_t aPort,
             serve_function aServe);
  tcp_server(tcp_server const&) = delete;
  tcp_server& operator=(tcp_server const&) = delete;
  ~tcp_server();

private:
  void Accept();

  int mSocket;
  serve_function mServe;
  std::atomic<bool> mIsStopped{ false };
  std::mutex mMutex;
  std::vector<int> mOpen;
  std::vector<std::thread> mThreads;
  std::thread mAcceptor;
};

/// A request that a backend got; its body is not read yet.
struct backend_request
{
  connection& mConnection;
  std::string mMethod;
  std::string mTarget;
  message_head mHead;
};

/// A backend beside a daemon: answers its health path, reports itself as the
/// platform's pages say, and hands requests to a function, which returns
/// whether the connection is kept.
class backend
{
public:
  using handler = std::function<bool(backend_request&)>;
  backend(std::string aIp, std::string aService, handler aHandler);
  backend(backend const&) = delete;
  backend& operator=(backend const&) = delete;
  ~backend();

  std::string const& Id() const { return mId; }
  /// Head of an answer with this id, stamp and length.
  std::string AnswerHead(backend_request const& aRequest,
                         unsigned aStatus,
                         std::size_t aLength) const;

private:
  void Serve(connection& aConnection);
  void Report();

  std::string mIp;
  std::string mService;
  std::string mId;
  std::int64_t mBorn;
  handler mHandler;
  std::atomic<bool> mIsStopped{ false };
  std::unique_ptr<tcp_server> mServer;
  std::thread mReporter;
};

/// Sends one request on a connection of its own and returns status and body.
std::pair<unsigned, std::string>
Call(std::string const& aIp,
     std::uint16_t aPort,
     std::string const& aTarget,
     std::string const& aExtraHeaders,
     std::string const& aBody);

/// A route of the configuration that Mesh::Configure() sends.
struct route
{
  std::string mName;
  std::string mPrefix;
  std::string mType;
  std::string mService;
  int mTimeoutMs = 4000;
  int mAttempts = 2;
};

/// Three control instances and one daemon for each service name given, as
/// processes with the command of the deploy file. Ends them when destroyed.
class mesh
{
public:
  mesh(record& aRecord, std::vector<std::string> const& aServices);
  mesh(mesh const&) = delete;
  mesh& operator=(mesh const&) = delete;
  ~mesh();

  /// IP number of the daemon for the service at aIndex.
  std::string Ip(std::size_t aIndex) const;
  /// Sends a version until it gets an answer of 200 or 4xx; returns it, or 0.
  unsigned Configure(int aVersion,
                     int aBase,
                     std::vector<route> const& aRoutes,
                     std::uint64_t aMaximumBodyBytes);
  void Signal(std::size_t aIndex, int aSignal);
  /// Resident memory of a daemon in MB; 0 if it is gone.
  std::size_t ResidentMb(std::size_t aIndex) const;
  /// Starts a daemon again that has ended.
  void Restart(std::size_t aIndex);
  /// Waits until the daemon has ended.
  void WaitForEnd(std::size_t aIndex);
  /// Returns whether all daemons answer at their ready address in time.
  bool WaitUntilReady();
  std::string Folder() const { return mFolder; }

  static constexpr std::uint16_t kOutboundPort = 8304;
  static constexpr std::uint16_t kControlPort = 8306;
  static constexpr std::uint16_t kReadyPort = 8302;
  static constexpr std::uint16_t kBackendPort = 8301;
  static constexpr char const* kHost = "review.example";

private:
  void WriteSettings(std::string const& aIp, std::string const& aService);
  pid_t Start(std::string const& aIp);

  record& mRecord;
  std::vector<std::string> mServices;
  std::string mFolder;
  std::string mSubnet;
  std::map<std::string, pid_t> mProcesses;
};

/// Bounds of the small deployments on the users' pages.
inline constexpr auto kStableWindow = 3000ms;
inline constexpr auto kConfigurationApplies = 2500ms;
/// MemoryMb of a daemon in the settings that the mesh writes.
inline constexpr std::size_t kMemoryMb = 260;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

}
