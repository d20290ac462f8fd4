#include "LibTraffic/UpstreamSelection.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::traffic {

using core::refusal_reason;

namespace {

constexpr int kSameZone = 0;
constexpr int kSameRegion = 1;
constexpr int kBeyond = 2;
constexpr core::duration kOverloadRetryAfter{ 1'000'000 };

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
  auto const position = ShedPosition(aContext, mMechanisms.mOrder);
  bool const panic = Panics(aNow);
  upstreams refusing;
  upstreams avoided;
  for (int const distance : { kSameZone, kSameRegion, kBeyond }) {
    if (!IsWithinSpill(distance)) {
      break;
    }
    auto found = Sort(aNow, position, distance, aTried);
    if (panic) {
      found.mAccepting.insert(
        found.mAccepting.end(), found.mAvoided.begin(), found.mAvoided.end());
    }
    if (!found.mAccepting.empty()) {
      return Choose(found.mAccepting);
    }
    refusing.insert(
      refusing.end(), found.mRefusing.begin(), found.mRefusing.end());
    avoided.insert(avoided.end(), found.mAvoided.begin(), found.mAvoided.end());
  }
  if (refusing.empty() && !avoided.empty()) {
    return Choose(avoided);
  }
  return Refusal(!refusing.empty());
}

bool
upstream_selector::WouldRefuse(core::time_point aNow,
                               call_context const& aContext) const
{
  auto const position = ShedPosition(aContext, mMechanisms.mOrder);
  bool refusing = false;
  for (auto const& [id, entry] : mUpstreams) {
    if (!IsUsable(entry, {}) || !IsWithinSpill(Distance(entry.mCandidate))) {
      continue;
    }
    if (!entry.mHealth.WouldRefuse(aNow, position)) {
      return false;
    }
    refusing = true;
  }
  return refusing;
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
upstream_selector::Sort(core::time_point aNow,
                        std::uint32_t aPosition,
                        int aDistance,
                        std::vector<core::instance_id> const& aTried)
{
  choice sorted;
  for (auto& [id, entry] : mUpstreams) {
    if (Distance(entry.mCandidate) != aDistance || !IsUsable(entry, aTried)) {
      continue;
    }
    if (mMechanisms.mSenderThreshold &&
        entry.mHealth.WouldRefuse(aNow, aPosition)) {
      sorted.mRefusing.push_back(&entry);
    } else if (mMechanisms.mAvoidance && entry.mHealth.IsAvoided(aNow)) {
      sorted.mAvoided.push_back(&entry);
    } else {
      sorted.mAccepting.push_back(&entry);
    }
  }
  return sorted;
}

chosen_upstream
upstream_selector::Choose(upstreams const& aFrom)
{
  auto* picked = aFrom.at(mRandom.Below(aFrom.size()));
  if (mMechanisms.mTwoChoices) {
    auto* const other = aFrom.at(mRandom.Below(aFrom.size()));
    if (other->mHealth.Cost(other->mCandidate.mSlots) <
        picked->mHealth.Cost(picked->mCandidate.mSlots)) {
      picked = other;
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
