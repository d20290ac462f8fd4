#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

/// What the scripts in review/ share: daemons as processes on loopback
/// addresses, stand-ins for the platform's servers and a client. Everything
/// follows the users' pages; plain sockets and threads, no library.
namespace review {

/// Milliseconds of the steady clock since the start of the program.
std::int64_t
NowMs();

std::uint64_t
Hash(std::string_view aBytes);

void
SleepMs(std::int64_t aMilliseconds);

/// Whether the disruption takes place; TROUBLE=0 switches it off.
bool
HasTrouble();

/// Writes lines with the time to the record of the case.
void
Record(std::string const& aLine);

/// Ends all child processes and the program. The status is 0 if the rule held,
/// 1 if it was broken and 2 if the case could not run.
[[noreturn]] void
Finish(int aStatus, std::string const& aReason);

struct message
{
  /// Request line or status line.
  std::string mStart;
  /// Names are in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  std::string Header(std::string const& aName) const;
  int Status() const;
};

/// A part of a request that is sent after a pause.
struct part
{
  std::int64_t mPauseMs = 0;
  std::string mBytes;
};

struct outcome
{
  bool mIsConnected = false;
  /// The whole response has arrived.
  bool mIsComplete = false;
  message mResponse;
  std::int64_t mTookMs = 0;

  std::string Describe() const;
};

/// Content of an answer without a length.
std::string
LongAnswer(std::size_t aBytes);

/// Sends a request on a new connection and reads its response, also while it
/// is still sending.
outcome
Exchange(std::string const& aIp,
         std::uint16_t aPort,
         std::vector<part> const& aParts,
         std::int64_t aTimeoutMs);

/// Builds the head of a request, up to and including the empty line.
std::string
Head(std::string const& aMethod,
     std::string const& aTarget,
     std::string const& aHost,
     std::vector<std::pair<std::string, std::string>> const& aHeaders);

/// A server of the platform beside a daemon. It answers requests, reports by
/// heartbeats and may crash.
class backend
{
public:
  struct run
  {
    std::string mRequest;
    std::string mPath;
    std::int64_t mHeadAt = 0;
    std::size_t mBodyBytes = 0;
    std::string mInstance;
    std::uint64_t mBodyHash = 0;
    /// The id of another request that stands in the body; empty if none does.
    std::string mForeignId;
  };

  backend(std::string aIp, std::string aZone, std::string aService);
  ~backend();

  void Start();
  /// Reports "draining" from now on. Returns when the report is acknowledged,
  /// or -1 if it is not.
  std::int64_t Drain();
  std::vector<run> Runs();
  int Shed() const { return mShed; }
  /// Crashes the server now; it is back after mCrashMs.
  void CrashNow() { Crash(mGeneration); }
  bool IsUp() const { return mIsUp; }
  int Crashes() const { return mCrashes; }
  std::string const& Ip() const { return mIp; }

  /// Requests with this text in their path crash the server; empty for none.
  std::string mCrashingPath;
  std::int64_t mCrashMs = 2000;
  std::int64_t mWorkMs = 50;
  int mSlots = 62;
  /// Of so many requests in a hundred, the server says that it is full and does
  /// not run them.
  std::atomic<int> mShedPercent{ 0 };
  /// The server answers a request with a body before it has read the body,
  /// keeps the connection and reads on.
  std::atomic<bool> mAnswersFirst{ false };
  /// If not 0, uploads get an answer of so many bytes without a length, before
  /// their bodies have been read. The answer ends with the connection.
  std::size_t mEarlyAnswerBytes = 0;
  /// Whether the server crashes in the middle of such an answer.
  bool mCrashesInAnswer = false;
  /// Called as soon as the head of a request has arrived.
  std::function<void(run const&)> mOnHead;

private:
  struct connection;

  void Listen();
  void Accept(int aListener, std::uint64_t aGeneration);
  void Serve(int aSocket, std::uint64_t aGeneration);
  bool AnswerEarly(int aSocket,
                   std::string& aBuffer,
                   message& aRequest,
                   std::string const& aEcho,
                   std::uint64_t aGeneration);
  bool ServeOne(int aSocket, std::string& aBuffer, std::uint64_t aGeneration);
  /// The caller closes the connection aReset.
  void Crash(std::uint64_t aGeneration, int aReset = -1);
  void Heartbeats();
  int SendHeartbeat();
  bool IsCurrent(std::uint64_t aGeneration) const;

  std::string mIp;
  std::string mZone;
  std::string mService;
  std::mutex mMutex;
  std::vector<run> mRuns;
  std::map<int, std::uint64_t> mSockets;
  int mListener = -1;
  std::string mInstance;
  std::int64_t mBorn = 0;
  std::int64_t mSequence = 0;
  std::atomic<std::uint64_t> mGeneration{ 0 };
  std::atomic<bool> mIsUp{ false };
  std::atomic<bool> mIsDraining{ false };
  std::atomic<int> mCrashes{ 0 };
  std::atomic<int> mShed{ 0 };
  std::atomic<int> mRunning{ 0 };
};

/// Three control instances and one daemon beside each server.
class deployment
{
public:
  struct member
  {
    std::string mZone;
    std::string mService;
  };

  explicit deployment(std::vector<member> const& aMembers);

  /// Starts all processes and the servers, applies the first configuration and
  /// waits until every daemon is ready. Ends the program if that fails.
  void Start(std::string const& aConfiguration);
  outcome Put(std::string const& aBase, std::string const& aConfiguration);
  outcome Get();
  backend& Server(std::size_t aIndex) { return *mServers.at(aIndex); }
  std::size_t Servers() const { return mServers.size(); }
  /// Stops a daemon as the platform does: SIGTERM, and SIGKILL after the grace
  /// period. Returns after its end.
  void Stop(std::size_t aIndex);
  /// Sends SIGTERM and returns at once.
  void Terminate(std::size_t aIndex);
  void Restart(std::size_t aIndex);
  bool IsReady(std::size_t aIndex) const;
  std::string const& Ip(std::size_t aIndex) const { return mIps.at(aIndex); }

private:
  void WriteSettings(std::string const& aName,
                     std::string const& aIp,
                     member const* aMember) const;
  pid_t StartDaemon(std::string const& aName) const;
  outcome Operate(std::string const& aCall,
                  std::string const& aBase,
                  std::string const& aBody) const;

  std::vector<member> mMembers;
  std::string mFolder;
  std::vector<std::string> mControlIps;
  std::vector<std::string> mIps;
  std::vector<pid_t> mDaemons;
  std::vector<std::unique_ptr<backend>> mServers;
};

inline constexpr std::uint16_t kInboundPort = 8300;
inline constexpr std::uint16_t kServerPort = 8301;
inline constexpr std::uint16_t kReadyPort = 8302;
inline constexpr std::uint16_t kOutboundPort = 8304;
inline constexpr std::uint16_t kControlPort = 8306;

}
