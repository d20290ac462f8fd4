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

/// Claims of non-idempotent requests: the holder and the coordinator of this
/// daemon behind one lock. Safe to use from all threads.
class claim_service
{
public:
  using decision =
    std::variant<traffic::claim_granted, traffic::claim_answered>;
  /// Runs on whichever thread brings about the decision.
  using callback = std::function<void(decision const&)>;

  claim_service(traffic::holder_id aSelf,
                core::time_point aStart,
                std::uint64_t aSeed,
                peer_messenger& aMessenger);

  /// Claims aKey; returns the number of the request.
  std::uint64_t Claim(core::time_point aNow,
                      std::string aKey,
                      core::time_point aDeadline,
                      callback aCallback);
  /// The caller went away before the decision.
  void Abandon(core::time_point aNow, std::uint64_t aRequest);
  /// Records how a granted request ended.
  void Finish(core::time_point aNow,
              std::uint64_t aRequest,
              traffic::dispatch_outcome aOutcome,
              std::string aResponse);
  void OnMessage(core::time_point aNow,
                 core::instance_id const& aFrom,
                 std::string_view aPayload);
  void Tick(core::time_point aNow);
  /// Takes over a claim map; an older one is ignored.
  void InstallMap(core::time_point aNow, traffic::claim_map const& aMap);

  /// Shards with earlier groups in which this daemon votes by now; the control
  /// leader is told of them until the map forgets the earlier groups.
  std::vector<traffic::shard_activated> ActivatedShards() const;

private:
  using message_queue = std::deque<traffic::send_claim_message>;

  struct outcome
  {
    std::vector<std::pair<callback, decision>> mDecisions;
    std::vector<traffic::send_claim_message> mSends;
  };

  /// Passes an event to the coordinator or holder and follows messages between
  /// the two. The lock is held.
  void Coordinate(core::time_point aNow,
                  traffic::claim_coordinator_event const& aEvent,
                  outcome& aOutcome);
  void Hold(core::time_point aNow,
            traffic::claim_holder_event const& aEvent,
            outcome& aOutcome);
  void Route(traffic::send_claim_message const& aMessage, outcome& aOutcome);
  void DeliverLocal(core::time_point aNow, outcome& aOutcome);
  /// Sends and calls back. The lock is not held.
  void Complete(outcome const& aOutcome);

  traffic::holder_id mSelf;
  peer_messenger& mMessenger;
  mutable std::mutex mMutex;
  core::random_source mRandom;
  traffic::claim_holder mHolder;
  traffic::claim_coordinator mCoordinator;
  traffic::claim_map mMap;
  std::uint64_t mLastRequest = 0;
  std::map<std::uint64_t, callback> mWaiting;
  message_queue mLocal;
};

}
