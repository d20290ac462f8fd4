#include "LibTraffic/ClaimCoordinator.h"

#include <algorithm>

/// Telling the holders what became of an attempt.
namespace cranberryfold::traffic {

namespace {

constexpr core::duration kFirstInterval = std::chrono::milliseconds(100);
constexpr core::duration kLongestInterval = std::chrono::seconds(2);

void
AddHolders(claim_group const& aGroup, std::set<core::instance_id>& aTargets)
{
  for (auto const& holder : aGroup.mHolders) {
    aTargets.insert(holder.mInstance);
  }
}

}

void
claim_coordinator::SendUpdate(core::time_point aNow,
                              claim const& aClaim,
                              claim_state aState,
                              std::string aResponse)
{
  update pending;
  pending.mMessage = {
    aClaim.mAttempt, aClaim.mShard, aClaim.mKey, aState, ""
  };
  if (aResponse.size() <= kMaximumStoredResponseBytes) {
    pending.mMessage.mResponse = std::move(aResponse);
  }
  AddHolders(aClaim.mGroup, pending.mMissing);
  if (aState == claim_state::kReleased) {
    // Other refusals may be followed by a grant, when a request was repeated.
    for (auto const& [holder, reply] : aClaim.mReplies) {
      if (reply.mVerdict == claim_verdict::kHeld) {
        pending.mMissing.erase(holder);
      }
    }
  } else {
    AddTargets(pending);
  }
  pending.mInterval = kFirstInterval;
  pending.mGiveUp = aNow + mSettings.mUpdateFor;
  Send(aNow, pending);
  if (!pending.mMissing.empty() &&
      mUpdates.size() < mSettings.mMaximumUpdates) {
    mUpdates.insert_or_assign(aClaim.mAttempt, std::move(pending));
  }
}

/// Adds the present group of the shard to those that are to know an end.
void
claim_coordinator::AddTargets(update& aUpdate)
{
  auto const* shard = mMap.Find(aUpdate.mMessage.mShard);
  if (shard == nullptr) {
    return;
  }
  for (auto const& holder : shard->mGroup.mHolders) {
    if (!aUpdate.mDone.contains(holder.mInstance)) {
      aUpdate.mMissing.insert(holder.mInstance);
    }
  }
}

void
claim_coordinator::Send(core::time_point aNow, update& aUpdate)
{
  aUpdate.mNextSend = aNow + aUpdate.mInterval;
  aUpdate.mInterval = std::min(aUpdate.mInterval * 2, kLongestInterval);
  for (auto const& holder : aUpdate.mMissing) {
    mActions.emplace_back(send_claim_message{ holder, aUpdate.mMessage });
  }
}

void
claim_coordinator::Receive(core::time_point, claim_update_ack const& aAck)
{
  auto const found = mUpdates.find(aAck.mAttempt);
  if (found == mUpdates.end()) {
    return;
  }
  found->second.mMissing.erase(aAck.mHolder);
  found->second.mDone.insert(aAck.mHolder);
  if (found->second.mMissing.empty()) {
    mUpdates.erase(found);
  }
}

void
claim_coordinator::TickUpdates(core::time_point aNow)
{
  for (auto entry = mUpdates.begin(); entry != mUpdates.end();) {
    auto& pending = entry->second;
    if (aNow >= pending.mGiveUp) {
      entry = mUpdates.erase(entry);
      continue;
    }
    if (aNow >= pending.mNextSend) {
      Send(aNow, pending);
    }
    ++entry;
  }
}

}
