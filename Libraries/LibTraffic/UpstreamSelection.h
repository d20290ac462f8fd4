#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTables/Tables.h"
#include "LibTraffic/AdmissionThreshold.h"
#include "LibTraffic/UpstreamHealth.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

/// Chooses the upstream for each attempt of a call.
namespace cranberryfold::traffic {

/// A member that runs the service of the pool.
struct candidate
{
  core::instance_id mInstance;
  /// A higher one starts without what is known about the earlier life.
  core::incarnation mIncarnation;
  core::zone_id mZone;
  core::region_id mRegion;
  core::address mPeerAddress;
  std::uint32_t mSlots = 1;
  bool mDraining = false;

  bool operator==(candidate const&) const = default;
};

/// Where the sender is.
struct location
{
  core::zone_id mZone;
  core::region_id mRegion;

  bool operator==(location const&) const = default;
};

struct chosen_upstream
{
  core::instance_id mInstance;
  core::address mPeerAddress;

  bool operator==(chosen_upstream const&) const = default;
};

/// No upstream was tried, so the call was not run.
struct local_refusal
{
  core::refusal_reason mReason = core::refusal_reason::kNoUpstream;
  core::duration mRetryAfter{};

  bool operator==(local_refusal const&) const = default;
};

using selection = std::variant<chosen_upstream, local_refusal>;

/// Parts that randomised runs switch off to show what each is good for.
struct selection_mechanisms
{
  bool mSenderThreshold = true;
  bool mLeastCost = true;
  bool mAvoidance = true;
  shed_rules mShedRules;

  bool operator==(selection_mechanisms const&) const = default;
};

/// The upstreams of one pool as one daemon sees them. Each chosen upstream is
/// followed by exactly one Report().
class upstream_selector
{
public:
  upstream_selector(location aHere,
                    core::random_source& aRandom,
                    selection_mechanisms aMechanisms = {});

  /// Takes over the pool row and its members; what is known about upstreams
  /// that stay is kept.
  void Configure(tables::pool const& aPool, std::vector<candidate> aCandidates);

  /// Chooses an upstream that is not in aTried, the earlier attempts of the
  /// same call, and counts the attempt as in flight.
  selection Select(core::time_point aNow,
                   call_context const& aContext,
                   std::vector<core::instance_id> const& aTried);

  /// Returns true when the last stamps say that every usable upstream would
  /// refuse the call.
  bool WouldRefuse(core::time_point aNow, call_context const& aContext) const;

  /// Returns the threshold that calls of aRoute meet here or further down; 0
  /// when some upstream takes all of them.
  std::uint32_t Threshold(core::time_point aNow,
                          std::string const& aRoute) const;

  /// Ends an attempt. Upstreams that have left the pool are ignored.
  void Report(core::time_point aNow, attempt_report const& aReport);

  /// Bytes of reported attempts that crossed the border of the region.
  std::uint64_t InterRegionBytes() const { return mInterRegionBytes; }

  /// Returns the attempts without a report.
  std::uint32_t InFlight() const;

  /// Returns the recent latency of the upstream that answers fastest.
  core::duration UsualLatency() const;

private:
  struct upstream
  {
    candidate mCandidate;
    upstream_health mHealth;
  };

  /// A threshold and when it was told.
  struct told_threshold
  {
    std::uint32_t mThreshold = 0;
    core::time_point mTold;
  };

  using upstreams = std::vector<upstream*>;

  /// The usable upstreams.
  struct choice
  {
    upstreams mAccepting;
    /// Held back only because of their admission threshold.
    upstreams mRefusing;
    upstreams mAvoided;
  };

  int Distance(candidate const& aCandidate) const;
  bool IsWithinSpill(int aDistance) const;
  bool IsUsable(upstream const& aUpstream,
                std::vector<core::instance_id> const& aTried) const;
  bool Panics(core::time_point aNow) const;
  /// Returns the threshold further down, as far as it is recent.
  std::uint32_t DownstreamThreshold(core::time_point aNow,
                                    std::string const& aRoute) const;
  /// Sorts the usable upstreams of all distances within the spill.
  choice SortAll(core::time_point aNow,
                 call_context const& aContext,
                 std::vector<core::instance_id> const& aTried);
  chosen_upstream Choose(core::time_point aNow,
                         std::string const& aRoute,
                         upstreams const& aFrom);
  /// Returns the microseconds that a call of aRoute may take longer before it
  /// is better sent to another region.
  double BillOf(std::string const& aRoute) const;
  pool_average Average(core::time_point aNow) const;
  double CostOf(core::time_point aNow,
                upstream const& aUpstream,
                pool_average const& aAverage,
                double aBill);
  local_refusal Refusal(bool aRefusing) const;

  location mHere;
  core::random_source& mRandom;
  selection_mechanisms mMechanisms;
  tables::spill_scope mSpill = tables::spill_scope::kAll;
  /// Ordered, so that runs with the same seed are the same.
  std::map<core::instance_id, upstream> mUpstreams;
  /// Attempts at upstreams that have left the pool.
  std::map<core::instance_id, std::uint32_t> mLeftInFlight;
  /// By route, from the last stamp of any upstream.
  std::map<std::string, told_threshold> mDownstream;
  /// Mean bytes of recent calls, by route.
  std::map<std::string, double> mRouteBytes;
  std::uint64_t mInterRegionBytes = 0;
};

}
