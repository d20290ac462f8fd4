#include "LibTraffic/ClaimCoordinator.h"

#include <algorithm>

/// Sends the outcome or release of an attempt to the holders until they
/// acknowledge it.
namespace cranberryfold::traffic {

namespace {

constexpr core::duration kFirstInterval = std::chrono::milliseconds(100);
constexpr core::duration kMaximumInterval = std::chrono::seconds(2);

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
  AddHolders(aClaim.mGroup, pending.mUnacknowledged);
  if (aState == claim_state::kReleased) {
    // A holder that answered kHeld has no grant to release. After any other
    // refusal, a resent request may still have been granted.
    for (auto const& [holder, reply] : aClaim.mReplies) {
      if (reply.mVerdict == claim_verdict::kHeld) {
        pending.mUnacknowledged.erase(holder);
      }
    }
  } else {
    AddPresentHolders(pending);
  }
  pending.mInterval = kFirstInterval;
  pending.mGiveUp = aNow + mSettings.mUpdateTimeout;
  Send(aNow, pending);
  if (!pending.mUnacknowledged.empty() &&
      mUpdates.size() < mSettings.mMaximumUpdates) {
    mUpdates.insert_or_assign(aClaim.mAttempt, std::move(pending));
  }
}

/// Adds the holders of the present group of the shard that have not
/// acknowledged the update.
void
claim_coordinator::AddPresentHolders(update& aUpdate)
{
  auto const* shard = mMap.Find(aUpdate.mMessage.mShard);
  if (shard == nullptr) {
    return;
  }
  for (auto const& holder : shard->mGroup.mHolders) {
    if (!aUpdate.mAcknowledged.contains(holder.mInstance)) {
      aUpdate.mUnacknowledged.insert(holder.mInstance);
    }
  }
}

void
claim_coordinator::Send(core::time_point aNow, update& aUpdate)
{
  aUpdate.mNextSend = aNow + aUpdate.mInterval;
  aUpdate.mInterval = std::min(aUpdate.mInterval * 2, kMaximumInterval);
  for (auto const& holder : aUpdate.mUnacknowledged) {
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
  found->second.mUnacknowledged.erase(aAck.mHolder);
  found->second.mAcknowledged.insert(aAck.mHolder);
  if (found->second.mUnacknowledged.empty()) {
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
