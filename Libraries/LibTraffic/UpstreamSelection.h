#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTables/Tables.h"
#include "LibTraffic/AdmissionThreshold.h"
#include "LibTraffic/UpstreamHealth.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

/// Chooses the upstream for each attempt of a call.
namespace cranberryfold::traffic {

/// A member of the cluster that runs the service of the pool.
struct candidate
{
  core::instance_id mInstance;
  /// A higher incarnation starts without the health of the earlier one.
  core::incarnation mIncarnation;
  core::zone_id mZone;
  core::region_id mRegion;
  core::address mPeerAddress;
  std::uint32_t mSlots = 1;
  bool mDraining = false;

  bool operator==(candidate const&) const = default;
};

/// Zone and region of the sender.
struct location
{
  core::zone_id mZone;
  core::region_id mRegion;

  bool operator==(location const&) const = default;
};

struct chosen_upstream
{
  upstream_attempt_id mAttempt;
  core::instance_id mInstance;
  core::address mPeerAddress;

  bool operator==(chosen_upstream const&) const = default;
};

/// Which upstreams an attempt may use, by the earlier attempts of its call.
enum class attempt_scope
{
  kUntried,
  /// Offers the call again to an upstream that has refused it as not run.
  kTried,
};

/// The instances of the attempts of one call.
class attempt_history
{
public:
  void RecordStart(core::instance_id aInstance);
  /// Records how the last started attempt ended.
  void RecordEnd(outcome aOutcome, core::refusal_reason aReason);

  /// Returns the instances that an attempt of this scope must avoid (kUntried)
  /// or choose from (kTried). The latter are those whose upstream has refused
  /// the call: one whose daemon refused it would be a further upstream.
  std::vector<core::instance_id> const& Instances(attempt_scope aScope) const;

private:
  std::vector<core::instance_id> mTried;
  std::vector<core::instance_id> mRefusedByUpstream;
  core::instance_id mLast;
};

/// The call was not sent to any upstream, so it was not run.
struct local_refusal
{
  core::refusal_reason mReason = core::refusal_reason::kNoUpstream;
  core::duration mRetryAfter{};

  bool operator==(local_refusal const&) const = default;
};

using selection = std::variant<chosen_upstream, local_refusal>;

/// Mechanisms that randomised runs can disable to show the effect of each.
struct selection_mechanisms
{
  bool mSenderThreshold = true;
  bool mLeastCost = true;
  bool mAvoidance = true;
  shed_rules mShedRules;

  bool operator==(selection_mechanisms const&) const = default;
};

/// The upstreams of one pool as seen by one daemon. For each chosen upstream,
/// the owner calls Report() exactly once, also if the upstream or the pool has
/// left the tables and returned since.
class upstream_selector
{
public:
  upstream_selector(location aHere,
                    core::random_source& aRandom,
                    selection_mechanisms aMechanisms = {});

  /// Sets the pool's configuration and members. Upstreams that remain in the
  /// pool with the same incarnation keep their health.
  void Configure(tables::pool const& aPool, std::vector<candidate> aCandidates);

  /// Chooses an upstream and counts the attempt as in flight. aTried lists the
  /// upstreams of earlier attempts of the same call; aScope tells whether the
  /// upstream must be one of them or must not.
  selection Select(core::time_point aNow,
                   call_context const& aContext,
                   std::vector<core::instance_id> const& aTried,
                   attempt_scope aScope = attempt_scope::kUntried);

  /// Returns whether, according to recent load statuses, every usable upstream
  /// would refuse the call.
  bool WouldRefuse(core::time_point aNow, call_context const& aContext) const;

  /// Returns the shed position below which calls of aRoute are refused by all
  /// upstreams of this pool or downstream of it; 0 if none are.
  std::uint32_t Threshold(core::time_point aNow,
                          std::string const& aRoute) const;

  /// Ends an attempt. The result of an attempt at an upstream that has left the
  /// pool since is ignored, also if the upstream has returned.
  void Report(core::time_point aNow, attempt_report const& aReport);

  /// Returns the bytes of reported attempts that were sent to and received from
  /// other regions.
  std::uint64_t InterRegionBytes() const { return mInterRegionBytes; }

  /// Returns the number of attempts that have not been reported yet.
  std::size_t InFlight() const { return mAttempts.size(); }

  /// Returns the recent latency of the fastest upstream; 0 when unknown.
  core::duration UsualLatency() const;

private:
  struct upstream
  {
    candidate mCandidate;
    upstream_health mHealth;
    /// Differs between stays of one instance in the pool whose health is kept
    /// apart.
    std::uint64_t mHealthId = 0;
  };

  /// An attempt that has not been reported yet.
  struct started_attempt
  {
    core::instance_id mInstance;
    std::uint64_t mHealthId = 0;
  };

  /// A threshold and when it was reported.
  struct reported_threshold
  {
    std::uint32_t mThreshold = 0;
    core::time_point mReported;
  };

  using upstreams = std::vector<upstream*>;

  /// The usable upstreams, by how they would treat the call.
  struct classified_upstreams
  {
    upstreams mAccepting;
    /// Would refuse the call because of their admission threshold.
    upstreams mRefusing;
    upstreams mAvoided;
  };

  int Distance(candidate const& aCandidate) const;
  bool IsWithinSpillScope(int aDistance) const;
  bool IsUsable(core::time_point aNow,
                upstream const& aUpstream,
                std::vector<core::instance_id> const& aTried,
                attempt_scope aScope = attempt_scope::kUntried) const;
  bool IsInPanicMode(core::time_point aNow) const;
  /// Removes an attempt. Returns the upstream that it was started at, or null
  /// if that has left the pool since.
  upstream* TakeAttempt(upstream_attempt_id aAttempt);
  /// Returns the downstream threshold of aRoute; 0 if it is unknown or has
  /// expired.
  std::uint32_t DownstreamThreshold(core::time_point aNow,
                                    std::string const& aRoute) const;
  /// Classifies the usable upstreams within the spill scope.
  classified_upstreams Classify(core::time_point aNow,
                                call_context const& aContext,
                                std::vector<core::instance_id> const& aTried,
                                attempt_scope aScope);
  chosen_upstream Choose(core::time_point aNow,
                         std::string const& aRoute,
                         upstreams const& aFrom);
  /// Returns by how many microseconds a call of aRoute may take longer in this
  /// region before another region is preferred.
  double CrossRegionCost(std::string const& aRoute) const;
  pool_average Average(core::time_point aNow) const;
  double CostAt(core::time_point aNow,
                upstream const& aUpstream,
                pool_average const& aAverage,
                double aCrossRegionCost);
  local_refusal MakeRefusal(bool aIsShed) const;

  location mHere;
  core::random_source& mRandom;
  selection_mechanisms mMechanisms;
  tables::spill_scope mSpill = tables::spill_scope::kAll;
  /// Ordered, so that runs with the same seed are identical.
  std::map<core::instance_id, upstream> mUpstreams;
  std::map<upstream_attempt_id, started_attempt> mAttempts;
  std::uint64_t mLastAttemptId = 0;
  std::uint64_t mLastHealthId = 0;
  /// Downstream threshold by route, from the last load status of any upstream.
  std::map<std::string, reported_threshold> mDownstreamThresholds;
  /// Moving average of the bytes of a call, by route.
  std::map<std::string, double> mMeanBytesByRoute;
  std::uint64_t mInterRegionBytes = 0;
};

}
