#pragma once

#include "LibDaemon/PeerMessenger.h"
#include "LibTraffic/Quarantine.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace cranberryfold::daemon {

/// Keeps requests that crash upstreams away from the local one: the quarantine
/// behind one lock. Safe to use from all threads.
class quarantine_service
{
public:
  /// Nothing to run the call now, else why it is refused.
  using run_callback =
    std::function<void(std::optional<traffic::refuse_suspect>)>;
  using release_callback = std::function<void()>;

  quarantine_service(traffic::holder_id aSelf, peer_messenger& aMessenger);

  /// A call has passed admission. Returns the number by which it is known.
  std::uint64_t OnCallAdmitted(core::time_point aNow,
                               traffic::suspect_id aSuspect,
                               run_callback aCallback);
  void OnCallCompleted(core::time_point aNow, std::uint64_t aCall);
  /// The call ended without an answer and without a crash.
  void OnCallEnded(core::time_point aNow, std::uint64_t aCall);
  /// The upstream crashed while aCall was in flight; aCallback runs when the
  /// loss may be reported to the sender.
  void OnUpstreamCrashed(core::time_point aNow,
                         std::uint64_t aCall,
                         release_callback aCallback);
  void SetPeers(core::time_point aNow, std::set<traffic::holder_id> aPeers);
  void OnMessage(core::time_point aNow,
                 core::instance_id const& aFrom,
                 std::string_view aPayload);
  void Tick(core::time_point aNow);

private:
  using callbacks = std::vector<std::function<void()>>;

  /// Passes an event on and carries out what follows, after the lock.
  void Handle(core::time_point aNow, traffic::quarantine_event const& aEvent);
  void Collect(traffic::quarantine_action const& aAction,
               callbacks& aCallbacks);

  peer_messenger& mMessenger;
  std::mutex mMutex;
  traffic::quarantine mQuarantine;
  std::uint64_t mLastCall = 0;
  std::map<std::uint64_t, run_callback> mWaiting;
  std::map<std::uint64_t, release_callback> mHeld;
  /// Calls that were in flight at a crash that was already reported.
  std::set<std::uint64_t> mInFlight;
  std::set<std::uint64_t> mReleased;
};

}
