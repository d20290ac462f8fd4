#include "LibMembership/FailureDetector.h"

#include "LibMembership/UpdateQueue.h"

#include <algorithm>

namespace cranberryfold::membership::detail {

namespace {

/// Returns the member aSteps positions after aOwn on the ring, or nullptr when
/// aOwn is not on the ring or the ring is too small.
contact const*
RingNeighbour(std::vector<contact> const& aRing,
              core::instance_id const& aOwn,
              std::size_t aSteps)
{
  auto const own =
    std::find_if(aRing.begin(), aRing.end(), [&](contact const& aMember) {
      return aMember.mInstance == aOwn;
    });
  if (own == aRing.end() || aRing.size() <= aSteps) {
    return nullptr;
  }
  auto const index = static_cast<std::size_t>(own - aRing.begin());
  return &aRing[(index + aSteps) % aRing.size()];
}

}

std::vector<failure_detector::probe>
failure_detector::StartRound(core::time_point aNow,
                             core::instance_id const& aOwn,
                             zone_roster const& aRoster,
                             core::random_source& aRandom)
{
  if (!mNextRound) {
    // A random phase spreads the probes of daemons that started simultaneously.
    auto const phase =
      aRandom.Below(static_cast<std::uint64_t>(kProbeInterval.count()));
    mNextRound = aNow + core::duration(static_cast<std::int64_t>(phase));
  }
  if (aNow < *mNextRound || aRoster.mRing.empty()) {
    return {};
  }
  mNextRound = std::max(*mNextRound + kProbeInterval, aNow);
  ++mRound;
  std::vector<probe> probes;
  auto const* const neighbour =
    RingNeighbour(aRoster.mRing, aOwn, 1 + mRound % 2);
  if (neighbour != nullptr) {
    probes.push_back(Start(aNow, *neighbour));
  }
  auto const& other = aRoster.mRing[aRandom.Below(aRoster.mRing.size())];
  bool const isDouble = neighbour != nullptr && *neighbour == other;
  if (other.mInstance != aOwn && !isDouble) {
    probes.push_back(Start(aNow, other));
  }
  return probes;
}

failure_detector::probe
failure_detector::Start(core::time_point aNow, contact const& aTarget)
{
  auto const sequence = ++mLastSequence;
  mProbes[sequence] = { .mTarget = aTarget, .mStarted = aNow };
  return { sequence, aTarget };
}

failure_detector::probe
failure_detector::StartIndirect(core::time_point aNow,
                                contact const& aRequester,
                                ping_request const& aRequest)
{
  auto started = Start(aNow, aRequest.mTarget);
  auto& entry = mProbes[started.mSequence];
  entry.mRequester = aRequester;
  entry.mRequesterSequence = aRequest.mSequence;
  return started;
}

std::vector<contact>
failure_detector::CheckTimeouts(core::time_point aNow,
                                core::instance_id const& aOwn,
                                zone_roster const& aRoster,
                                core::random_source& aRandom,
                                outbox& aOutbox)
{
  std::vector<contact> unresponsive;
  for (auto entry = mProbes.begin(); entry != mProbes.end();) {
    auto& [sequence, pending] = *entry;
    auto const waited = aNow - pending.mStarted;
    if (waited >= kProbeTimeout) {
      if (!pending.mRequester) {
        unresponsive.push_back(pending.mTarget);
      }
      entry = mProbes.erase(entry);
      continue;
    }
    bool const needsIndirectProbes =
      mUseIndirectProbes && !pending.mRequester && !pending.mPingRequestsSent &&
      waited >= kDirectTimeout;
    if (needsIndirectProbes) {
      pending.mPingRequestsSent = true;
      SendPingRequests(sequence, pending, aOwn, aRoster, aRandom, aOutbox);
    }
    ++entry;
  }
  return unresponsive;
}

void
failure_detector::SendPingRequests(std::uint64_t aSequence,
                                   pending_probe const& aProbe,
                                   core::instance_id const& aOwn,
                                   zone_roster const& aRoster,
                                   core::random_source& aRandom,
                                   outbox& aOutbox) const
{
  // Two more candidates than needed, as the own daemon and the target may be
  // among them.
  auto const helpers =
    PickRandom(aRoster.mRing, kIndirectProbeCount + 2, aRandom);
  std::size_t asked = 0;
  for (auto const& helper : helpers) {
    bool const isUsable =
      helper.mInstance != aOwn && helper.mInstance != aProbe.mTarget.mInstance;
    if (isUsable && asked < kIndirectProbeCount) {
      ++asked;
      aOutbox.Send(helper.mAddress, ping_request{ aSequence, aProbe.mTarget });
    }
  }
}

void
failure_detector::HandleAck(std::uint64_t aSequence, outbox& aOutbox)
{
  auto const found = mProbes.find(aSequence);
  if (found == mProbes.end()) {
    return;
  }
  auto const& pending = found->second;
  if (pending.mRequester) {
    aOutbox.Send(pending.mRequester->mAddress,
                 ping_ack{ pending.mRequesterSequence, {} });
  }
  mProbes.erase(found);
}

}
