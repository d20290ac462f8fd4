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
constexpr int kBeyond = 2;
constexpr core::duration kOverloadRetryAfter{ 1'000'000 };
/// Round trips in microseconds that a farther upstream adds, from the users'
/// figures: 1 ms between zones, 20 ms between regions, one way.
constexpr double kRegionRoundTrip = 2'000;
constexpr double kBeyondRoundTrip = 40'000;
/// Bytes between regions are billed. Time in microseconds that is worth saving
/// one call, and one byte, from crossing: at the users' prices a call of 4 KB
/// that crosses costs a fifth of what an answered catalogue read is worth.
constexpr double kBeyondBill = 60'000;
constexpr double kBeyondBillPerByte = 40;
/// Weight of one call in the mean bytes of its route.
constexpr double kBytesWeight = 0.05;
/// Random part of the cost, so that senders with the same knowledge do not all
/// choose the same upstream.
constexpr double kCostSpread = 0.2;
constexpr std::uint64_t kSpreadSteps = 1024;

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
  auto former = std::exchange(mUpstreams, {});
  for (auto& entry : aCandidates) {
    auto const known = former.find(entry.mInstance);
    upstream next{ std::move(entry), {} };
    if (known != former.end() &&
        known->second.mCandidate.mIncarnation == next.mCandidate.mIncarnation) {
      next.mHealth = known->second.mHealth;
      former.erase(known);
    }
    auto const id = next.mCandidate.mInstance;
    mUpstreams.emplace(id, std::move(next));
  }
  for (auto const& [id, left] : former) {
    if (left.mHealth.InFlight() > 0) {
      mLeftInFlight[id] += left.mHealth.InFlight();
    }
  }
}

selection
upstream_selector::Select(core::time_point aNow,
                          call_context const& aContext,
                          std::vector<core::instance_id> const& aTried)
{
  auto const position = ShedPosition(aContext, mMechanisms.mShedRules);
  // Thresholds told some time ago turn away new work only; for a call of work
  // in progress, the daemon beside the upstream decides.
  bool const isInProgress = IsWorkInProgress(aContext);
  bool const isShedBelow =
    mMechanisms.mSenderThreshold && !isInProgress &&
    position < DownstreamThreshold(aNow, aContext.mRoute);
  if (isShedBelow) {
    return Refusal(true);
  }
  auto found = SortAll(aNow, aContext, aTried);
  if (Panics(aNow)) {
    found.mAccepting.insert(
      found.mAccepting.end(), found.mAvoided.begin(), found.mAvoided.end());
  }
  if (!found.mAccepting.empty()) {
    return Choose(aNow, aContext.mRoute, found.mAccepting);
  }
  if (found.mRefusing.empty() && !found.mAvoided.empty()) {
    return Choose(aNow, aContext.mRoute, found.mAvoided);
  }
  if (isInProgress && !found.mRefusing.empty()) {
    return Choose(aNow, aContext.mRoute, found.mRefusing);
  }
  return Refusal(!found.mRefusing.empty());
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
    if (!IsUsable(entry, {}) || !IsWithinSpill(Distance(entry.mCandidate))) {
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
  auto const found = mDownstream.find(aRoute);
  bool const isRecent = found != mDownstream.end() &&
                        aNow < found->second.mTold + kLoadStatusLifetime;
  return isRecent ? found->second.mThreshold : 0;
}

void
upstream_selector::Report(core::time_point aNow, attempt_report const& aReport)
{
  auto const left = mLeftInFlight.find(aReport.mInstance);
  if (left != mLeftInFlight.end()) {
    if (--left->second == 0) {
      mLeftInFlight.erase(left);
    }
    return;
  }
  auto const found = mUpstreams.find(aReport.mInstance);
  CF_ASSERT(found != mUpstreams.end(), "a report names an unknown upstream");
  found->second.mHealth.CountEnd(aNow, aReport);
  if (aReport.mLoadStatus) {
    mDownstream[aReport.mRoute] = { aReport.mLoadStatus->mDownstreamThreshold,
                                    aNow };
  }
  if (aReport.mOutcome == outcome::kRan) {
    auto& mean = mRouteBytes[aReport.mRoute];
    auto const bytes = static_cast<double>(aReport.mBytes);
    mean = mean == 0 ? bytes : mean + kBytesWeight * (bytes - mean);
  }
  if (Distance(found->second.mCandidate) == kBeyond) {
    mInterRegionBytes += aReport.mBytes;
  }
}

std::uint32_t
upstream_selector::InFlight() const
{
  std::uint32_t sum = 0;
  for (auto const& [id, entry] : mUpstreams) {
    sum += entry.mHealth.InFlight();
  }
  for (auto const& [id, count] : mLeftInFlight) {
    sum += count;
  }
  return sum;
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
  return aCandidate.mRegion == mHere.mRegion ? kSameRegion : kBeyond;
}

bool
upstream_selector::IsWithinSpill(int aDistance) const
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
upstream_selector::IsUsable(upstream const& aUpstream,
                            std::vector<core::instance_id> const& aTried) const
{
  if (aUpstream.mCandidate.mDraining || aUpstream.mHealth.IsDraining()) {
    return false;
  }
  return std::find(aTried.begin(),
                   aTried.end(),
                   aUpstream.mCandidate.mInstance) == aTried.end();
}

/// When most of the pool seems to have failed, the sender distrusts its view
/// and distributes load over all of it.
bool
upstream_selector::Panics(core::time_point aNow) const
{
  auto const avoided = std::count_if(
    mUpstreams.begin(), mUpstreams.end(), [&](auto const& aEntry) {
      return aEntry.second.mHealth.IsAvoided(aNow);
    });
  return 2 * static_cast<std::size_t>(avoided) > mUpstreams.size();
}

upstream_selector::choice
upstream_selector::SortAll(core::time_point aNow,
                           call_context const& aContext,
                           std::vector<core::instance_id> const& aTried)
{
  auto const position = ShedPosition(aContext, mMechanisms.mShedRules);
  choice sorted;
  for (auto& [id, entry] : mUpstreams) {
    if (!IsWithinSpill(Distance(entry.mCandidate)) ||
        !IsUsable(entry, aTried)) {
      continue;
    }
    if (mMechanisms.mSenderThreshold &&
        position < entry.mHealth.Threshold(aNow)) {
      sorted.mRefusing.push_back(&entry);
    } else if (mMechanisms.mAvoidance && entry.mHealth.IsAvoided(aNow)) {
      sorted.mAvoided.push_back(&entry);
    } else {
      sorted.mAccepting.push_back(&entry);
    }
  }
  return sorted;
}

pool_average
upstream_selector::Average(core::time_point aNow) const
{
  double services = 0;
  double known = 0;
  double errors = 0;
  for (auto const& [id, entry] : mUpstreams) {
    auto const service = entry.mHealth.Service();
    services += service;
    known += service > 0 ? 1 : 0;
    errors += entry.mHealth.Errors(aNow);
  }
  auto const count = static_cast<double>(mUpstreams.size());
  return { known > 0 ? services / known : 0, errors / std::max(count, 1.0) };
}

double
upstream_selector::BillOf(std::string const& aRoute) const
{
  auto const bytes = mRouteBytes.find(aRoute);
  return bytes == mRouteBytes.end()
           ? kBeyondBill
           : kBeyondBill + kBeyondBillPerByte * bytes->second;
}

double
upstream_selector::CostOf(core::time_point aNow,
                          upstream const& aUpstream,
                          pool_average const& aAverage,
                          double aBill)
{
  auto const step = static_cast<double>(mRandom.Below(kSpreadSteps));
  auto const spread = 1 + kCostSpread * step / kSpreadSteps;
  auto const cost = spread * aUpstream.mHealth.Cost(
                               aNow, aUpstream.mCandidate.mSlots, aAverage);
  switch (Distance(aUpstream.mCandidate)) {
    case kSameZone:
      return cost;
    case kSameRegion:
      return cost + kRegionRoundTrip;
    default:
      return cost + kBeyondRoundTrip + aBill;
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
    auto const bill = BillOf(aRoute);
    auto least = std::numeric_limits<double>::max();
    for (auto* const entry : aFrom) {
      auto const cost = CostOf(aNow, *entry, average, bill);
      if (cost < least) {
        least = cost;
        picked = entry;
      }
    }
  }
  picked->mHealth.CountStart();
  return { picked->mCandidate.mInstance, picked->mCandidate.mPeerAddress };
}

local_refusal
upstream_selector::Refusal(bool aRefusing) const
{
  if (aRefusing) {
    return { refusal_reason::kSenderCutOff, kOverloadRetryAfter };
  }
  return { refusal_reason::kNoUpstream, {} };
}

}
