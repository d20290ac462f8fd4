#include "LibDaemon/ClaimService.h"

#include "LibTraffic/ClaimCodec.h"

namespace cranberryfold::daemon {

using namespace traffic;

namespace {

claim_holder_settings
HolderSettings(holder_id const& aSelf)
{
  claim_holder_settings settings;
  settings.mSelf = aSelf;
  return settings;
}

claim_coordinator_settings
CoordinatorSettings(holder_id const& aSelf)
{
  claim_coordinator_settings settings;
  settings.mSelf = aSelf;
  return settings;
}

}

claim_service::claim_service(holder_id aSelf,
                             core::time_point aStart,
                             std::uint64_t aSeed,
                             peer_messenger& aMessenger)
  : mSelf(std::move(aSelf))
  , mMessenger(aMessenger)
  , mRandom(aSeed)
  , mHolder(HolderSettings(mSelf), aStart)
  , mCoordinator(CoordinatorSettings(mSelf), mRandom)
{
}

bool
claim_service::IsHomeZoneKnown(std::string_view aKey) const
{
  auto const slash = aKey.find('/');
  if (slash == std::string_view::npos) {
    return true;
  }
  std::scoped_lock const lock(mMutex);
  return mMap.mZones.contains({ std::string(aKey.substr(0, slash)) });
}

std::uint64_t
claim_service::Claim(core::time_point aNow,
                     std::string aKey,
                     core::time_point aDeadline,
                     callback aCallback)
{
  pending_effects effects;
  std::uint64_t request = 0;
  {
    std::scoped_lock const lock(mMutex);
    request = ++mLastRequest;
    mPendingCallbacks.emplace(request, std::move(aCallback));
    HandleCoordinatorEvent(
      aNow, claim_wanted{ request, std::move(aKey), aDeadline }, effects);
  }
  Perform(effects);
  return request;
}

void
claim_service::Cancel(core::time_point aNow, std::uint64_t aRequest)
{
  pending_effects effects;
  {
    std::scoped_lock const lock(mMutex);
    mPendingCallbacks.erase(aRequest);
    HandleCoordinatorEvent(aNow, claim_abandoned{ aRequest }, effects);
  }
  Perform(effects);
}

void
claim_service::RecordOutcome(core::time_point aNow,
                             std::uint64_t aRequest,
                             dispatch_outcome aOutcome,
                             std::string aResponse)
{
  pending_effects effects;
  {
    std::scoped_lock const lock(mMutex);
    HandleCoordinatorEvent(
      aNow,
      dispatch_finished{ aRequest, aOutcome, std::move(aResponse) },
      effects);
  }
  Perform(effects);
}

void
claim_service::OnMessage(core::time_point aNow,
                         core::instance_id const& aFrom,
                         std::string_view aPayload)
{
  auto message = core::Attempt([&] { return DecodeClaimMessage(aPayload); });
  if (!message) {
    return;
  }
  pending_effects effects;
  {
    std::scoped_lock const lock(mMutex);
    claim_message_received const event{ aFrom, std::move(*message) };
    if (IsForCoordinator(event.mMessage)) {
      HandleCoordinatorEvent(aNow, event, effects);
    } else {
      HandleHolderEvent(aNow, event, effects);
    }
  }
  Perform(effects);
}

void
claim_service::Tick(core::time_point aNow)
{
  pending_effects effects;
  {
    std::scoped_lock const lock(mMutex);
    HandleHolderEvent(aNow, claim_tick{}, effects);
    HandleCoordinatorEvent(aNow, claim_tick{}, effects);
  }
  Perform(effects);
}

void
claim_service::InstallMap(core::time_point aNow, claim_map const& aMap)
{
  pending_effects effects;
  {
    std::scoped_lock const lock(mMutex);
    if (aMap.mEpoch <= mMap.mEpoch && aMap == mMap) {
      return;
    }
    mMap = aMap;
    HandleHolderEvent(aNow, claim_map_installed{ aMap }, effects);
    HandleCoordinatorEvent(aNow, claim_map_installed{ aMap }, effects);
  }
  Perform(effects);
}

std::vector<shard_activated>
claim_service::ActivatedShards() const
{
  std::scoped_lock const lock(mMutex);
  std::vector<shard_activated> activated;
  for (auto const& [zone, shards] : mMap.mZones) {
    for (std::uint32_t index = 0; index < shards.size(); ++index) {
      shard_id const shard{ zone, index };
      if (!shards[index].mEarlier.empty() && mHolder.Votes(shard)) {
        activated.push_back({ shard, shards[index].mGroup.mEpoch });
      }
    }
  }
  return activated;
}

void
claim_service::HandleCoordinatorEvent(core::time_point aNow,
                                      claim_coordinator_event const& aEvent,
                                      pending_effects& aEffects)
{
  for (auto const& action : mCoordinator.Handle(aNow, aEvent)) {
    if (auto const* const send = std::get_if<send_claim_message>(&action)) {
      Route(*send, aEffects);
      continue;
    }
    auto const* const granted = std::get_if<claim_granted>(&action);
    auto const result =
      granted ? decision(*granted) : decision(std::get<claim_answered>(action));
    auto const request =
      granted ? granted->mRequest : std::get<claim_answered>(action).mRequest;
    if (auto waiting = mPendingCallbacks.extract(request)) {
      aEffects.mDecisions.emplace_back(std::move(waiting.mapped()), result);
    }
  }
  DeliverLocalMessages(aNow, aEffects);
}

void
claim_service::HandleHolderEvent(core::time_point aNow,
                                 claim_holder_event const& aEvent,
                                 pending_effects& aEffects)
{
  for (auto const& action : mHolder.Handle(aNow, aEvent)) {
    if (auto const* const send = std::get_if<send_claim_message>(&action)) {
      Route(*send, aEffects);
    }
  }
  DeliverLocalMessages(aNow, aEffects);
}

void
claim_service::Route(send_claim_message const& aMessage,
                     pending_effects& aEffects)
{
  if (aMessage.mTo == mSelf.mInstance) {
    mLocalMessages.push_back(aMessage);
  } else {
    aEffects.mSends.push_back(aMessage);
  }
}

void
claim_service::DeliverLocalMessages(core::time_point aNow,
                                    pending_effects& aEffects)
{
  while (!mLocalMessages.empty()) {
    auto const message = std::move(mLocalMessages.front());
    mLocalMessages.pop_front();
    claim_message_received const event{ mSelf.mInstance, message.mMessage };
    if (IsForCoordinator(event.mMessage)) {
      HandleCoordinatorEvent(aNow, event, aEffects);
    } else {
      HandleHolderEvent(aNow, event, aEffects);
    }
  }
}

void
claim_service::Perform(pending_effects const& aEffects)
{
  for (auto const& send : aEffects.mSends) {
    mMessenger.Send(send.mTo,
                    traffic_message{ traffic_topic::kClaims,
                                     EncodeClaimMessage(send.mMessage) });
  }
  for (auto const& [waiting, result] : aEffects.mDecisions) {
    waiting(result);
  }
}

}
