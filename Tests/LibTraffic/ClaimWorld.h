#pragma once

#include "LibTraffic/ClaimCoordinator.h"
#include "LibTraffic/ClaimHolder.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

/// Holders a, b, c and d in zone "z". Tests deliver the messages between them
/// one by one.
namespace cranberryfold::traffic::test {

inline core::time_point const kStart{ std::chrono::hours(1) };

inline core::time_point
At(int aMilliseconds)
{
  return kStart + std::chrono::milliseconds(aMilliseconds);
}

inline holder_id
HolderId(std::string const& aName, std::uint64_t aIncarnation = 1)
{
  return { { aName }, { aIncarnation } };
}

inline claim_map
MapOf(std::vector<std::string> const& aNames, claim_map const& aPrevious = {})
{
  std::vector<claim_member> members;
  members.reserve(aNames.size());
  for (auto const& name : aNames) {
    members.push_back({ { "z" }, HolderId(name) });
  }
  return BuildClaimMap(aPrevious, members);
}

struct holder_world
{
  std::map<std::string, std::unique_ptr<claim_holder>> mHolders;
  claim_mechanisms mMechanisms;

  claim_holder& Start(std::string const& aName,
                      core::time_point aNow,
                      std::uint64_t aIncarnation = 1,
                      std::size_t aMaximumRecords = 1000)
  {
    claim_holder_settings settings;
    settings.mSelf = HolderId(aName, aIncarnation);
    settings.mMaximumRecords = aMaximumRecords;
    settings.mMechanisms = mMechanisms;
    mHolders[aName] = std::make_unique<claim_holder>(settings, aNow);
    return *mHolders[aName];
  }

  /// Delivers copy messages between holders until none is left; holders named
  /// in aUnreachable receive none.
  void Deliver(core::time_point aNow,
               std::string const& aFrom,
               claim_holder::actions const& aActions,
               std::string const& aUnreachable = "")
  {
    for (auto const& action : aActions) {
      auto const* send = std::get_if<send_claim_message>(&action);
      if (send == nullptr || !mHolders.contains(send->mTo.mValue) ||
          aUnreachable.find(send->mTo.mValue) != std::string::npos) {
        continue;
      }
      auto const next = mHolders[send->mTo.mValue]->Handle(
        aNow, claim_message_received{ { aFrom }, send->mMessage });
      Deliver(aNow, send->mTo.mValue, next, aUnreachable);
    }
  }

  void Install(core::time_point aNow,
               std::string const& aName,
               claim_map const& aMap,
               std::string const& aUnreachable = "")
  {
    Deliver(aNow,
            aName,
            mHolders[aName]->Handle(aNow, claim_map_installed{ aMap }),
            aUnreachable);
  }

  void Tick(core::time_point aNow,
            std::string const& aName,
            std::string const& aUnreachable = "")
  {
    Deliver(
      aNow, aName, mHolders[aName]->Handle(aNow, claim_tick{}), aUnreachable);
  }

  claim_reply Claim(core::time_point aNow,
                    std::string const& aName,
                    claim_request const& aRequest)
  {
    for (auto const& action : mHolders[aName]->Handle(
           aNow, claim_message_received{ { "root" }, aRequest })) {
      auto const* send = std::get_if<send_claim_message>(&action);
      if (send != nullptr) {
        return std::get<claim_reply>(send->mMessage);
      }
    }
    return {};
  }

  void Update(core::time_point aNow,
              std::string const& aName,
              claim_update const& aUpdate)
  {
    mHolders[aName]->Handle(aNow,
                            claim_message_received{ { "root" }, aUpdate });
  }
};

inline claim_request
RequestFor(claim_map const& aMap,
           std::string const& aKey,
           std::uint64_t aAttempt)
{
  auto const shard = ShardOfKey(aMap, aKey);
  return {
    { HolderId("root"), aAttempt }, shard, aMap.Find(shard)->mGroup.mEpoch, aKey
  };
}

inline claim_update
UpdateFor(claim_request const& aRequest,
          claim_state aState,
          std::string aResponse = "")
{
  return { aRequest.mAttempt,
           aRequest.mShard,
           aRequest.mKey,
           aState,
           std::move(aResponse) };
}

}
