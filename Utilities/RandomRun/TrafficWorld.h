#pragma once

#include "Violation.h"

#include "FakeNetwork.h"

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibTraffic/ClaimCoordinator.h"
#include "LibTraffic/ClaimHolder.h"
#include "LibTraffic/Quarantine.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

/// Daemons with their claim and quarantine objects, fake upstreams and callers
/// on virtual time. Shared by the randomised run and the replay of traces.
namespace cranberryfold::random_run {

/// Times are scaled down from those of the daemon, so that a run of a minute
/// covers retention and quarantine several times.
struct traffic_settings
{
  std::uint64_t mSeed = 1;
  std::size_t mZones = 2;
  std::size_t mDaemonsPerZone = 4;
  std::string mWithout;
  core::duration mRetention = std::chrono::seconds(20);
  core::duration mLongestResend = std::chrono::seconds(8);
  core::duration mQuarantineTime = std::chrono::seconds(20);

  bool operator==(traffic_settings const&) const = default;
};

enum class told : std::uint8_t
{
  kNothing,
  kRan,
  kStored,
  kRanAnswerGone,
  kUnknown,
  kNotRun,
};

inline constexpr std::size_t kToldCount = 6;

std::string_view
ToldName(told aTold);

/// One try of a caller through one daemon.
struct caller_attempt
{
  std::size_t mDaemon = 0;
  told mTold = told::kNothing;
  std::uint32_t mExecutions = 0;
};

/// A crash of an upstream by a request.
struct crash_by_request
{
  core::time_point mTime;
  /// Whether no other request ran at the upstream.
  bool mIsOfTrial = false;
};

struct caller_request
{
  std::string mName;
  /// Empty for an idempotent request without a key.
  std::string mKey;
  bool mPoison = false;
  /// Target of the first dispatch; random without one.
  std::optional<std::size_t> mTarget;
  core::duration mServiceTime{};
  bool mResends = true;

  core::time_point mFirstSent;
  std::vector<caller_attempt> mAttempts;
  std::vector<std::string> mResponses;
  std::vector<crash_by_request> mCrashes;
  std::optional<core::time_point> mResendAt;
  bool mDone = false;
};

struct traffic_counters
{
  std::map<std::string, std::uint64_t> mFaults;
  std::array<std::uint64_t, kToldCount> mTold{};
  std::uint64_t mExecutions = 0;
  std::uint64_t mUpstreamCrashes = 0;
  std::uint64_t mTrials = 0;
  std::uint64_t mExcusedCrashes = 0;
  std::uint64_t mClaimMessages = 0;
  std::uint64_t mClaimBytes = 0;
  std::uint64_t mClaims = 0;
  core::duration mClaimTime{};
  core::duration mLongestClaimTime{};
};

/// A call between two daemons, or its answer. Call connections lose messages
/// only when they break and repeat none.
struct call_message
{
  bool mIsAnswer = false;
  std::uint64_t mRootLife = 0;
  std::uint64_t mRootCall = 0;
  std::size_t mRequest = 0;
  std::size_t mAttempt = 0;
  traffic::dispatch_outcome mOutcome = traffic::dispatch_outcome::kUnknown;
  std::string mResponse;
};

/// A datagram as it is on the wire.
struct datagram
{
  bool mIsClaim = false;
  std::string mBytes;
};

class traffic_world
{
public:
  explicit traffic_world(traffic_settings aSettings);

  core::time_point Now() const { return mNow; }
  core::random_source& Random() { return mRandom; }
  std::size_t DaemonCount() const { return mDaemons.size(); }
  traffic_settings const& Settings() const { return mSettings; }
  traffic_counters& Counters() { return mCounters; }
  std::deque<std::string> const& Events() const { return mEvents; }

  void Advance(core::duration aTime);

  /// Sends aRequest through aDaemon; returns its index.
  std::size_t Submit(caller_request aRequest, std::size_t aDaemon);
  void Resend(std::size_t aRequest, std::size_t aDaemon);
  caller_request const& Request(std::size_t aIndex) const
  {
    return mRequests.at(aIndex);
  }
  std::size_t RequestCount() const { return mRequests.size(); }
  std::size_t DaemonOf(std::string const& aInstance) const;
  std::string NameOf(std::size_t aDaemon) const;
  std::string ZoneName(std::size_t aZone) const;

  void SetNetworkFaults(network_faults const& aFaults);
  /// Chance that an answer to a caller is lost.
  void SetAnswerLoss(double aChance) { mAnswerLoss = aChance; }
  /// Chance that a daemon stops between a grant and its dispatch.
  void SetStalls(double aChance) { mStallChance = aChance; }
  void Cut(std::size_t aFrom, std::size_t aTo);
  void IsolateZone(std::size_t aZone);
  void HealAll();
  void Restart(std::size_t aDaemon, core::duration aDownTime);
  void Freeze(std::size_t aDaemon, core::duration aTime);
  void CrashUpstream(std::size_t aDaemon);
  /// The upstream runs what it gets, but answers nothing until aTime is over.
  void LoseAnswers(std::size_t aDaemon, core::duration aTime);
  /// Adds or removes a daemon from those that may hold claims.
  void SetMember(std::size_t aDaemon, bool aIsMember);
  bool IsMember(std::size_t aDaemon) const;
  /// Records per daemon and their memory, for measurements.
  std::pair<std::size_t, std::size_t> StoredClaims() const;
  std::size_t SuspectsLeft() const;
  bool AllShardsVote() const;

private:
  struct root_request
  {
    std::size_t mRequest = 0;
    std::size_t mAttempt = 0;
    std::size_t mTries = 0;
    bool mClaimed = false;
    core::time_point mWanted;
    std::optional<core::time_point> mCallDeadline;
  };

  struct local_call
  {
    std::size_t mRoot = 0;
    call_message mCall;
    core::time_point mDeadline;
  };

  struct execution
  {
    std::size_t mRequest = 0;
    std::size_t mAttempt = 0;
    core::time_point mFinish;
    std::string mResponse;
    bool mIsTrial = false;
  };

  struct daemon
  {
    core::instance_id mInstance;
    std::size_t mZone = 0;
    std::uint64_t mLife = 1;
    bool mIsMember = true;
    core::time_point mUpAt;
    core::time_point mFrozenUntil;
    core::time_point mNextTick;
    core::time_point mUpstreamUpAt;
    core::time_point mLosesAnswersUntil;
    traffic::claim_epoch mMapEpoch;
    std::unique_ptr<traffic::claim_holder> mHolder;
    std::unique_ptr<traffic::claim_coordinator> mCoordinator;
    std::unique_ptr<traffic::quarantine> mQuarantine;
    std::map<std::uint64_t, root_request> mRoots;
    std::map<std::uint64_t, local_call> mLocals;
    std::map<std::uint64_t, execution> mExecutions;
    /// Events that wait until a frozen daemon goes on.
    std::deque<std::function<void()>> mBacklog;
  };

  bool Has(std::string_view aMechanism) const
  {
    return mSettings.mWithout != aMechanism;
  }
  bool IsUp(daemon const& aDaemon) const { return mNow >= aDaemon.mUpAt; }
  void Step();
  void StartProcess(std::size_t aDaemon);
  void TickDaemon(std::size_t aDaemon);
  void WhenAwake(std::size_t aDaemon, std::function<void()> aFunction);
  void Note(std::string aText);
  [[noreturn]] void Fail(std::string const& aText);

  // Claims.
  void ToHolder(std::size_t aDaemon, traffic::claim_holder_event const& aEvent);
  void ToCoordinator(std::size_t aDaemon,
                     traffic::claim_coordinator_event const& aEvent);
  void SendClaim(std::size_t aDaemon, traffic::send_claim_message const& aSend);
  void TakeDatagram(std::size_t aFrom, std::size_t aTo, datagram const& aBytes);
  void InstallMap(std::size_t aDaemon, traffic::claim_epoch aEpoch);
  void RebuildMap();
  void ShardActivated(std::size_t aDaemon,
                      traffic::shard_activated const& aAction);
  void SpreadMap();

  // Calls.
  void Arrive(std::size_t aDaemon, std::size_t aRequest, std::size_t aAttempt);
  void Granted(std::size_t aDaemon, traffic::claim_granted const& aAction);
  void Answered(std::size_t aDaemon, traffic::claim_answered const& aAction);
  void Dispatch(std::size_t aDaemon, std::uint64_t aRoot);
  void TakeCall(std::size_t aFrom, std::size_t aTo, call_message const& aCall);
  void TakeAnswer(std::size_t aDaemon, call_message const& aAnswer);
  void FinishRoot(std::size_t aDaemon,
                  std::uint64_t aRoot,
                  traffic::dispatch_outcome aOutcome,
                  std::string const& aResponse);
  void CheckRootDeadlines(std::size_t aDaemon);
  void Tell(std::size_t aRequest,
            std::size_t aAttempt,
            told aTold,
            std::string const& aResponse);
  void CheckTold(caller_request const& aRequest,
                 caller_attempt const& aAttempt,
                 std::string const& aResponse);
  void ResendDue();

  // Upstreams and quarantine.
  void ToQuarantine(std::size_t aDaemon,
                    traffic::quarantine_event const& aEvent);
  void Apply(std::size_t aDaemon, traffic::run_call const& aAction);
  void Apply(std::size_t aDaemon, traffic::refuse_suspect const& aAction);
  void Apply(std::size_t aDaemon, traffic::report_lost_call const& aAction);
  void Apply(std::size_t aDaemon,
             traffic::send_quarantine_message const& aAction);
  void Execute(std::size_t aDaemon, std::uint64_t aLocal, bool aIsTrial);
  void CheckPoison(std::size_t aDaemon,
                   caller_request const& aRequest,
                   bool aIsTrial);
  void AnswerLocal(std::size_t aDaemon,
                   std::uint64_t aLocal,
                   traffic::dispatch_outcome aOutcome,
                   std::string const& aResponse);
  void RunUpstream(std::size_t aDaemon);
  void EndLateCalls(std::size_t aDaemon);
  void UpstreamDied(std::size_t aDaemon);
  void AnnouncePeers();
  void Disturb();

  traffic_settings mSettings;
  core::random_source mRandom;
  core::time_point mNow;
  traffic_counters mCounters;
  std::deque<std::string> mEvents;
  fake_network<std::size_t, datagram> mDatagrams;
  fake_network<std::size_t, call_message> mCalls;
  std::vector<std::unique_ptr<daemon>> mDaemons;
  std::map<core::instance_id, std::size_t> mIndexes;
  std::vector<caller_request> mRequests;
  double mAnswerLoss = 0;
  double mStallChance = 0;
  /// The newest map, as the control replicas have it, and all before it.
  std::vector<traffic::claim_map> mMaps;
  std::map<std::pair<traffic::shard_id, traffic::claim_epoch>,
           std::set<std::size_t>>
    mActivated;
  core::time_point mNextSpread;
  core::time_point mNextPeers;
  /// Last time at which a cut, a freeze or a restart kept a daemon of the
  /// service from hearing of a crash.
  core::time_point mLastDisturbance;
  bool mHasCuts = false;
  std::uint64_t mLastNumber = 0;
};

}
