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

/// Keeps requests that crash upstreams away from the local upstream. Protects
/// the quarantine by one mutex. Thread-safe.
class quarantine_service
{
public:
  /// Called with std::nullopt if the call may run now, or with the refusal.
  using run_callback =
    std::function<void(std::optional<traffic::refuse_suspect>)>;
  using release_callback = std::function<void()>;

  quarantine_service(traffic::holder_id aSelf, peer_messenger& aMessenger);

  /// Registers a call that has passed admission and returns its id. aCallback
  /// may be called before OnCallAdmitted() returns.
  std::uint64_t OnCallAdmitted(core::time_point aNow,
                               traffic::suspect_id aSuspect,
                               run_callback aCallback);
  void OnCallCompleted(core::time_point aNow, std::uint64_t aCall);
  /// Handles the end of a call without a response and without a crash, such as
  /// a timeout.
  void OnCallEnded(core::time_point aNow, std::uint64_t aCall);
  /// Handles the end of a call that the upstream has not run.
  void OnCallNotRun(core::time_point aNow, std::uint64_t aCall);
  /// Handles the end of the upstream's process some time after aCall ended
  /// without a response, unless the crash was reported by another call.
  void OnUpstreamGone(core::time_point aNow, std::uint64_t aCall);
  /// Handles a crash of the upstream while aCall was in flight. aCallback is
  /// called once the loss of the call may be reported to its sender.
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

  /// Removes a call that has ended.
  void Forget(std::uint64_t aCall);
  /// Passes an event to the quarantine and performs its actions after the lock
  /// is released.
  void Handle(core::time_point aNow, traffic::quarantine_event const& aEvent);
  void CollectCallback(traffic::quarantine_action const& aAction,
                       callbacks& aCallbacks);

  peer_messenger& mMessenger;
  std::mutex mMutex;
  traffic::quarantine mQuarantine;
  std::uint64_t mLastCall = 0;
  std::map<std::uint64_t, run_callback> mPendingCalls;
  std::map<std::uint64_t, release_callback> mPendingReports;
  /// Calls that are running at the upstream; cleared by a crash.
  std::set<std::uint64_t> mInFlight;
  /// Calls whose loss may be reported before OnUpstreamCrashed() was called for
  /// them, since another call reported the crash.
  std::set<std::uint64_t> mReleased;
};

}
