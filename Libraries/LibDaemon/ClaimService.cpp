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

std::uint64_t
claim_service::Claim(core::time_point aNow,
                     std::string aKey,
                     core::time_point aDeadline,
                     callback aCallback)
{
  outcome made;
  std::uint64_t request = 0;
  {
    std::scoped_lock const lock(mMutex);
    request = ++mLastRequest;
    mWaiting.emplace(request, std::move(aCallback));
    Coordinate(aNow, claim_wanted{ request, std::move(aKey), aDeadline }, made);
  }
  Complete(made);
  return request;
}

void
claim_service::Abandon(core::time_point aNow, std::uint64_t aRequest)
{
  outcome made;
  {
    std::scoped_lock const lock(mMutex);
    mWaiting.erase(aRequest);
    Coordinate(aNow, claim_abandoned{ aRequest }, made);
  }
  Complete(made);
}

void
claim_service::Finish(core::time_point aNow,
                      std::uint64_t aRequest,
                      dispatch_outcome aOutcome,
                      std::string aResponse)
{
  outcome made;
  {
    std::scoped_lock const lock(mMutex);
    Coordinate(aNow,
               dispatch_finished{ aRequest, aOutcome, std::move(aResponse) },
               made);
  }
  Complete(made);
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
  outcome made;
  {
    std::scoped_lock const lock(mMutex);
    claim_message_received const event{ aFrom, std::move(*message) };
    if (IsForCoordinator(event.mMessage)) {
      Coordinate(aNow, event, made);
    } else {
      Hold(aNow, event, made);
    }
  }
  Complete(made);
}

void
claim_service::Tick(core::time_point aNow)
{
  outcome made;
  {
    std::scoped_lock const lock(mMutex);
    Hold(aNow, claim_tick{}, made);
    Coordinate(aNow, claim_tick{}, made);
  }
  Complete(made);
}

void
claim_service::InstallMap(core::time_point aNow, claim_map const& aMap)
{
  outcome made;
  {
    std::scoped_lock const lock(mMutex);
    if (aMap.mEpoch <= mMap.mEpoch && aMap == mMap) {
      return;
    }
    mMap = aMap;
    Hold(aNow, claim_map_installed{ aMap }, made);
    Coordinate(aNow, claim_map_installed{ aMap }, made);
  }
  Complete(made);
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
claim_service::Coordinate(core::time_point aNow,
                          claim_coordinator_event const& aEvent,
                          outcome& aOutcome)
{
  for (auto const& action : mCoordinator.Handle(aNow, aEvent)) {
    if (auto const* const send = std::get_if<send_claim_message>(&action)) {
      Route(*send, aOutcome);
      continue;
    }
    auto const* const granted = std::get_if<claim_granted>(&action);
    auto const result =
      granted ? decision(*granted) : decision(std::get<claim_answered>(action));
    auto const request =
      granted ? granted->mRequest : std::get<claim_answered>(action).mRequest;
    if (auto waiting = mWaiting.extract(request)) {
      aOutcome.mDecisions.emplace_back(std::move(waiting.mapped()), result);
    }
  }
  DeliverLocal(aNow, aOutcome);
}

void
claim_service::Hold(core::time_point aNow,
                    claim_holder_event const& aEvent,
                    outcome& aOutcome)
{
  for (auto const& action : mHolder.Handle(aNow, aEvent)) {
    if (auto const* const send = std::get_if<send_claim_message>(&action)) {
      Route(*send, aOutcome);
    }
  }
  DeliverLocal(aNow, aOutcome);
}

void
claim_service::Route(send_claim_message const& aMessage, outcome& aOutcome)
{
  if (aMessage.mTo == mSelf.mInstance) {
    mLocal.push_back(aMessage);
  } else {
    aOutcome.mSends.push_back(aMessage);
  }
}

void
claim_service::DeliverLocal(core::time_point aNow, outcome& aOutcome)
{
  while (!mLocal.empty()) {
    auto const message = std::move(mLocal.front());
    mLocal.pop_front();
    claim_message_received const event{ mSelf.mInstance, message.mMessage };
    if (IsForCoordinator(event.mMessage)) {
      Coordinate(aNow, event, aOutcome);
    } else {
      Hold(aNow, event, aOutcome);
    }
  }
}

void
claim_service::Complete(outcome const& aOutcome)
{
  for (auto const& send : aOutcome.mSends) {
    mMessenger.Send(send.mTo,
                    traffic_message{ traffic_topic::kClaims,
                                     EncodeClaimMessage(send.mMessage) });
  }
  for (auto const& [waiting, result] : aOutcome.mDecisions) {
    waiting(result);
  }
}

}
