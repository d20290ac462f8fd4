#pragma once

#include "LibCore/Random.h"
#include "LibDaemon/PeerMessenger.h"
#include "LibTraffic/ClaimCoordinator.h"
#include "LibTraffic/ClaimHolder.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cranberryfold::daemon {

/// Claims keys of non-idempotent requests. Protects the claim holder and the
/// claim coordinator of this daemon by one mutex. Thread-safe.
class claim_service
{
public:
  using decision =
    std::variant<traffic::claim_granted, traffic::claim_answered>;
  /// Called on the thread whose event leads to the decision, without the lock.
  using callback = std::function<void(decision const&)>;

  claim_service(traffic::holder_id aSelf,
                core::time_point aStart,
                std::uint64_t aSeed,
                peer_messenger& aMessenger);

  /// Returns whether the home zone of a key is in the claim map. A key with an
  /// unknown zone must be refused, since its group would change once the zone
  /// is added. A key without a zone always passes.
  bool IsHomeZoneKnown(std::string_view aKey) const;

  /// Claims aKey and returns the id of the request. aCallback may be called
  /// before Claim() returns.
  std::uint64_t Claim(core::time_point aNow,
                      std::string aKey,
                      core::time_point aDeadline,
                      callback aCallback);
  /// Drops a request whose caller left before the decision.
  void Cancel(core::time_point aNow, std::uint64_t aRequest);
  /// Records the outcome of a granted request and the response to store, which
  /// may be empty.
  void RecordOutcome(core::time_point aNow,
                     std::uint64_t aRequest,
                     traffic::dispatch_outcome aOutcome,
                     std::string aResponse);
  void OnMessage(core::time_point aNow,
                 core::instance_id const& aFrom,
                 std::string_view aPayload);
  void Tick(core::time_point aNow);
  /// Installs a claim map. The holder and the coordinator ignore an older one.
  void InstallMap(core::time_point aNow, traffic::claim_map const& aMap);

  /// Returns the shards in which this daemon votes while the map still lists
  /// earlier groups. They are reported to the control leader until it removes
  /// these groups from the map.
  std::vector<traffic::shard_activated> ActivatedShards() const;

private:
  using message_queue = std::deque<traffic::send_claim_message>;

  /// Messages to send and callbacks to call once the lock is released.
  struct pending_effects
  {
    std::vector<std::pair<callback, decision>> mDecisions;
    std::vector<traffic::send_claim_message> mSends;
  };

  // These pass an event to the coordinator or the holder and deliver the
  // messages between the two. The caller holds the lock.
  void HandleCoordinatorEvent(core::time_point aNow,
                              traffic::claim_coordinator_event const& aEvent,
                              pending_effects& aEffects);
  void HandleHolderEvent(core::time_point aNow,
                         traffic::claim_holder_event const& aEvent,
                         pending_effects& aEffects);
  void Route(traffic::send_claim_message const& aMessage,
             pending_effects& aEffects);
  void DeliverLocalMessages(core::time_point aNow, pending_effects& aEffects);
  /// Sends the messages and calls the callbacks. The caller does not hold the
  /// lock.
  void Perform(pending_effects const& aEffects);

  traffic::holder_id mSelf;
  peer_messenger& mMessenger;
  mutable std::mutex mMutex;
  core::random_source mRandom;
  traffic::claim_holder mHolder;
  traffic::claim_coordinator mCoordinator;
  traffic::claim_map mMap;
  std::uint64_t mLastRequest = 0;
  std::map<std::uint64_t, callback> mPendingCallbacks;
  message_queue mLocalMessages;
};

}
