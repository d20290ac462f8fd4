#include "LibTraffic/UpstreamSelection.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace cranberryfold::traffic {

using core::refusal_reason;

namespace {

constexpr int kSameZone = 0;
constexpr int kSameRegion = 1;
constexpr int kOtherRegion = 2;
constexpr core::duration kOverloadRetryAfter{ 1'000'000 };
/// Additional round trip of a farther upstream in microseconds, from the users'
/// figures of 1 ms between zones and 20 ms between regions, one way.
constexpr double kSameRegionRoundTripMicroseconds = 2'000;
constexpr double kOtherRegionRoundTripMicroseconds = 40'000;
/// Traffic between regions is charged by the byte. Cost in microseconds of one
/// call, and of one byte, that crosses regions: at the users' prices, a call of
/// 4 KB that crosses costs a fifth of what an answered catalogue read is worth.
constexpr double kCrossRegionCallCostMicroseconds = 60'000;
constexpr double kCrossRegionByteCostMicroseconds = 40;
/// Weight of one call in the moving average of its route's bytes.
constexpr double kBytesWeight = 0.05;
/// Maximum random addition to the cost, as a share of it, so that senders with
/// the same information do not all choose the same upstream.
constexpr double kCostJitterRatio = 0.2;
constexpr std::uint64_t kCostJitterSteps = 1024;

}

void
attempt_history::RecordStart(core::instance_id aInstance)
{
  mLast = std::move(aInstance);
  mTried.push_back(mLast);
}

void
attempt_history::RecordEnd(outcome aOutcome, refusal_reason aReason)
{
  if (aOutcome == outcome::kNotRun &&
      aReason == refusal_reason::kUpstreamRefused) {
    mRefusedByUpstream.push_back(mLast);
  }
}

std::vector<core::instance_id> const&
attempt_history::Instances(attempt_scope aScope) const
{
  return aScope == attempt_scope::kTried ? mRefusedByUpstream : mTried;
}

upstream_selector::upstream_selector(location aHere,
                                     core::random_source& aRandom,
                                     selection_mechanisms aMechanisms)
  : mHere(std::move(aHere))
  , mRandom(aRandom)
  , mMechanisms(aMechanisms)
{
}

void
upstream_selector::Configure(tables::pool const& aPool,
                             std::vector<candidate> aCandidates)
{
  mSpill = aPool.mSpill;
  auto const previous = std::exchange(mUpstreams, {});
  for (auto& entry : aCandidates) {
    auto const known = previous.find(entry.mInstance);
    upstream next{ std::move(entry), {} };
    if (known != previous.end() &&
        known->second.mCandidate.mIncarnation == next.mCandidate.mIncarnation) {
      next.mHealth = known->second.mHealth;
      next.mHealthId = known->second.mHealthId;
    } else {
      next.mHealthId = ++mLastHealthId;
    }
    auto const id = next.mCandidate.mInstance;
    mUpstreams.emplace(id, std::move(next));
  }
}

selection
upstream_selector::Select(core::time_point aNow,
                          call_context const& aContext,
                          std::vector<core::instance_id> const& aTried,
                          attempt_scope aScope)
{
  auto const position = ShedPosition(aContext, mMechanisms.mShedRules);
  // Reported thresholds may be outdated, so they refuse only new work here; for
  // a call of work in progress, the upstream's daemon decides.
  bool const isInProgress = IsWorkInProgress(aContext);
  bool const isShedDownstream =
    mMechanisms.mSenderThreshold && !isInProgress &&
    position < DownstreamThreshold(aNow, aContext.mRoute);
  if (isShedDownstream) {
    return MakeRefusal(true);
  }
  auto usable = Classify(aNow, aContext, aTried, aScope);
  if (IsInPanicMode(aNow)) {
    usable.mAccepting.insert(
      usable.mAccepting.end(), usable.mAvoided.begin(), usable.mAvoided.end());
  }
  if (!usable.mAccepting.empty()) {
    return Choose(aNow, aContext.mRoute, usable.mAccepting);
  }
  if (usable.mRefusing.empty() && !usable.mAvoided.empty()) {
    return Choose(aNow, aContext.mRoute, usable.mAvoided);
  }
  if (isInProgress && !usable.mRefusing.empty()) {
    return Choose(aNow, aContext.mRoute, usable.mRefusing);
  }
  return MakeRefusal(!usable.mRefusing.empty());
}

bool
upstream_selector::WouldRefuse(core::time_point aNow,
                               call_context const& aContext) const
{
  auto const position = ShedPosition(aContext, mMechanisms.mShedRules);
  return position < Threshold(aNow, aContext.mRoute);
}

std::uint32_t
upstream_selector::Threshold(core::time_point aNow,
                             std::string const& aRoute) const
{
  std::optional<std::uint32_t> lowest;
  for (auto const& [id, entry] : mUpstreams) {
    if (!IsUsable(aNow, entry, {}) ||
        !IsWithinSpillScope(Distance(entry.mCandidate))) {
      continue;
    }
    auto const threshold = entry.mHealth.Threshold(aNow);
    lowest = std::min(lowest.value_or(threshold), threshold);
  }
  return std::max(lowest.value_or(0), DownstreamThreshold(aNow, aRoute));
}

std::uint32_t
upstream_selector::DownstreamThreshold(core::time_point aNow,
                                       std::string const& aRoute) const
{
  auto const found = mDownstreamThresholds.find(aRoute);
  bool const isRecent = found != mDownstreamThresholds.end() &&
                        aNow < found->second.mReported + kLoadStatusLifetime;
  return isRecent ? found->second.mThreshold : 0;
}

void
upstream_selector::Report(core::time_point aNow, attempt_report const& aReport)
{
  auto* const upstream = TakeAttempt(aReport.mAttempt);
  if (!upstream) {
    return;
  }
  upstream->mHealth.CountEnd(aNow, aReport);
  if (aReport.mLoadStatus) {
    mDownstreamThresholds[aReport.mRoute] = {
      aReport.mLoadStatus->mDownstreamThreshold, aNow
    };
  }
  if (aReport.mOutcome == outcome::kRan) {
    auto& mean = mMeanBytesByRoute[aReport.mRoute];
    auto const bytes = static_cast<double>(aReport.mBytes);
    mean = mean == 0 ? bytes : mean + kBytesWeight * (bytes - mean);
  }
  if (Distance(upstream->mCandidate) == kOtherRegion) {
    mInterRegionBytes += aReport.mBytes;
  }
}

upstream_selector::upstream*
upstream_selector::TakeAttempt(upstream_attempt_id aAttempt)
{
  auto const started = mAttempts.extract(aAttempt);
  CF_ASSERT(!started.empty(), "an attempt ended that was not started");
  auto const found = mUpstreams.find(started.mapped().mInstance);
  bool const hasLeft = found == mUpstreams.end() ||
                       found->second.mHealthId != started.mapped().mHealthId;
  return hasLeft ? nullptr : &found->second;
}

core::duration
upstream_selector::UsualLatency() const
{
  core::duration best{};
  for (auto const& [id, entry] : mUpstreams) {
    auto const latency = entry.mHealth.Latency();
    if (latency.count() > 0 && (best.count() == 0 || latency < best)) {
      best = latency;
    }
  }
  return best;
}

int
upstream_selector::Distance(candidate const& aCandidate) const
{
  if (aCandidate.mZone == mHere.mZone) {
    return kSameZone;
  }
  return aCandidate.mRegion == mHere.mRegion ? kSameRegion : kOtherRegion;
}

bool
upstream_selector::IsWithinSpillScope(int aDistance) const
{
  switch (mSpill) {
    case tables::spill_scope::kZone:
      return aDistance <= kSameZone;
    case tables::spill_scope::kRegion:
      return aDistance <= kSameRegion;
    case tables::spill_scope::kAll:
      return true;
  }
  return false;
}

bool
upstream_selector::IsUsable(core::time_point aNow,
                            upstream const& aUpstream,
                            std::vector<core::instance_id> const& aTried,
                            attempt_scope aScope) const
{
  if (aUpstream.mCandidate.mDraining || aUpstream.mHealth.IsDraining(aNow)) {
    return false;
  }
  bool const wasTried =
    std::find(aTried.begin(), aTried.end(), aUpstream.mCandidate.mInstance) !=
    aTried.end();
  return wasTried == (aScope == attempt_scope::kTried);
}

/// Panic mode: when more than half of the pool seems to have failed, the sender
/// assumes that its view is wrong and distributes load over the whole pool.
bool
upstream_selector::IsInPanicMode(core::time_point aNow) const
{
  auto const avoided = std::count_if(
    mUpstreams.begin(), mUpstreams.end(), [&](auto const& aEntry) {
      return aEntry.second.mHealth.IsAvoided(aNow);
    });
  return 2 * static_cast<std::size_t>(avoided) > mUpstreams.size();
}

upstream_selector::classified_upstreams
upstream_selector::Classify(core::time_point aNow,
                            call_context const& aContext,
                            std::vector<core::instance_id> const& aTried,
                            attempt_scope aScope)
{
  auto const position = ShedPosition(aContext, mMechanisms.mShedRules);
  classified_upstreams classified;
  for (auto& [id, entry] : mUpstreams) {
    if (!IsWithinSpillScope(Distance(entry.mCandidate)) ||
        !IsUsable(aNow, entry, aTried, aScope)) {
      continue;
    }
    if (mMechanisms.mSenderThreshold &&
        position < entry.mHealth.Threshold(aNow)) {
      classified.mRefusing.push_back(&entry);
    } else if (mMechanisms.mAvoidance && entry.mHealth.IsAvoided(aNow)) {
      classified.mAvoided.push_back(&entry);
    } else {
      classified.mAccepting.push_back(&entry);
    }
  }
  return classified;
}

pool_average
upstream_selector::Average(core::time_point aNow) const
{
  double serviceSum = 0;
  double knownCount = 0;
  double errorShareSum = 0;
  for (auto const& [id, entry] : mUpstreams) {
    auto const service = entry.mHealth.ServiceMicroseconds();
    serviceSum += service;
    knownCount += service > 0 ? 1 : 0;
    errorShareSum += entry.mHealth.ErrorShare(aNow);
  }
  auto const count = static_cast<double>(mUpstreams.size());
  return { knownCount > 0 ? serviceSum / knownCount : 0,
           errorShareSum / std::max(count, 1.0) };
}

double
upstream_selector::CrossRegionCost(std::string const& aRoute) const
{
  auto const bytes = mMeanBytesByRoute.find(aRoute);
  return bytes == mMeanBytesByRoute.end()
           ? kCrossRegionCallCostMicroseconds
           : kCrossRegionCallCostMicroseconds +
               kCrossRegionByteCostMicroseconds * bytes->second;
}

double
upstream_selector::CostAt(core::time_point aNow,
                          upstream const& aUpstream,
                          pool_average const& aAverage,
                          double aCrossRegionCost)
{
  auto const step = static_cast<double>(mRandom.Below(kCostJitterSteps));
  auto const jitter = 1 + kCostJitterRatio * step / kCostJitterSteps;
  auto const cost = jitter * aUpstream.mHealth.Cost(
                               aNow, aUpstream.mCandidate.mSlots, aAverage);
  switch (Distance(aUpstream.mCandidate)) {
    case kSameZone:
      return cost;
    case kSameRegion:
      return cost + kSameRegionRoundTripMicroseconds;
    default:
      return cost + kOtherRegionRoundTripMicroseconds + aCrossRegionCost;
  }
}

chosen_upstream
upstream_selector::Choose(core::time_point aNow,
                          std::string const& aRoute,
                          upstreams const& aFrom)
{
  auto* picked = aFrom.at(mRandom.Below(aFrom.size()));
  if (mMechanisms.mLeastCost) {
    auto const average = Average(aNow);
    auto const crossRegionCost = CrossRegionCost(aRoute);
    auto least = std::numeric_limits<double>::max();
    for (auto* const entry : aFrom) {
      auto const cost = CostAt(aNow, *entry, average, crossRegionCost);
      if (cost < least) {
        least = cost;
        picked = entry;
      }
    }
  }
  picked->mHealth.CountStart();
  upstream_attempt_id const attempt{ ++mLastAttemptId };
  mAttempts.emplace(
    attempt,
    started_attempt{ picked->mCandidate.mInstance, picked->mHealthId });
  return { attempt,
           picked->mCandidate.mInstance,
           picked->mCandidate.mPeerAddress };
}

local_refusal
upstream_selector::MakeRefusal(bool aIsShed) const
{
  if (aIsShed) {
    return { refusal_reason::kSenderCutOff, kOverloadRetryAfter };
  }
  return { refusal_reason::kNoUpstream, {} };
}

}
