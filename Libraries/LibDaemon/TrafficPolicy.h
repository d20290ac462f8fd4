#pragma once

#include "LibCore/Random.h"
#include "LibCore/Reasons.h"
#include "LibDaemon/RoutingView.h"
#include "LibDaemon/Settings.h"
#include "LibMembership/UpstreamTracker.h"
#include "LibTraffic/AdmissionController.h"
#include "LibTraffic/CallContext.h"
#include "LibTraffic/DownstreamDependency.h"
#include "LibTraffic/LoadStatus.h"
#include "LibTraffic/RetryBudget.h"
#include "LibTraffic/UpstreamSelection.h"
#include "LibTraffic/WeightedPoolSelector.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cranberryfold::daemon {

struct call_refusal
{
  traffic::outcome mOutcome = traffic::outcome::kNotRun;
  core::refusal_reason mReason = core::refusal_reason::kInternal;
  core::duration mRetryAfter{};

  bool operator==(call_refusal const&) const = default;
};

/// Nothing when admitted.
using admission_decision = std::optional<call_refusal>;

/// The traffic decision objects behind one lock, shared by all traffic
/// threads. The lock is held for a decision, never across I/O.
class traffic_policy
{
public:
  /// Runs on whichever thread brings about the decision.
  using admission_callback = std::function<void(admission_decision)>;

  traffic_policy(daemon_settings const& aSettings,
                 core::time_point aNow,
                 std::uint64_t aSeed);

  void SetView(core::time_point aNow,
               std::shared_ptr<routing_view const> aView);
  std::shared_ptr<routing_view const> View() const;

  /// Returns the pool that the next request of aRoute goes to.
  std::string ChoosePool(tables::route const& aRoute);

  /// Asks for admission to the local upstream. The answer may come at once.
  traffic::call_id Arrive(core::time_point aNow,
                          traffic::call_context const& aContext,
                          admission_callback aCallback);
  /// Ends an admitted call. aLatency runs from admission.
  void Finish(core::time_point aNow,
              traffic::call_id aCall,
              bool aSucceeded,
              core::duration aLatency);
  /// Ends a call that nobody waits for any longer.
  void Cancel(core::time_point aNow, traffic::call_id aCall);
  /// Ends calls that have waited for too long.
  void Tick(core::time_point aNow);
  /// Returns how long a call waits for admission at most.
  core::duration LongestAdmissionWait() const;

  /// Takes over what is known about the local upstream. One that begins to
  /// serve, or serves under another id, has started anew.
  void SetUpstream(core::time_point aNow,
                   membership::upstream_status const& aFacts);
  /// The process that calls are meant for; empty when it has no name.
  membership::upstream_id UpstreamId() const;
  void StartDraining(core::time_point aNow);
  bool IsDraining() const;
  /// Whether a drain has gone so far that callers are no longer served.
  bool RefusesCallers(core::time_point aNow) const;
  bool IsUpstreamReady() const;
  /// Calls at the local upstream, running or waiting.
  std::size_t CallsInFlight() const;
  /// Returns the stamp for the response to a call of aRoute.
  traffic::load_status LoadStatus(core::time_point aNow,
                                  std::string const& aRoute) const;

  /// Returns the context of a call that the local upstream runs; nothing when
  /// it runs none of that id.
  std::optional<traffic::call_context> ContextOfRun(
    core::request_id const& aRequest) const;

  /// Chooses the upstream for an attempt; aTried are earlier attempts of the
  /// same call. Each choice is followed by exactly one Report().
  std::variant<traffic::chosen_upstream, call_refusal> Choose(
    core::time_point aNow,
    traffic::call_context const& aContext,
    std::string const& aPool,
    std::vector<core::instance_id> const& aTried);
  void Report(core::time_point aNow,
              std::string const& aPool,
              traffic::attempt_report const& aReport);

  /// Decides on a further attempt, apart from the root's permit. Nothing when
  /// the attempt needs none.
  std::optional<traffic::retry_decision> DecideRetry(
    std::string const& aPool,
    traffic::retry_facts aFacts);
  /// Starts and ends the retry budget of a customer request at its root.
  void OpenBudget(core::time_point aNow,
                  traffic::call_context const& aContext,
                  std::uint32_t aExtraTries);
  void CloseBudget(core::request_id const& aRequest);
  bool TakePermit(core::time_point aNow, core::request_id const& aRequest);

  /// Remembers that a peer sends work, for the push of a drain.
  void RecordSender(core::address const& aPeer);
  /// Returns the peers noted since the last call.
  std::vector<core::address> TakeSenders();

private:
  struct pool_state
  {
    pool_state(traffic::location aHere,
               core::random_source& aRandom,
               traffic::retry_allowance aAllowance);

    traffic::upstream_selector mSelector;
    traffic::retry_ratio mRatio;
  };

  /// A call that the local upstream runs, and what it has called.
  struct local_run
  {
    traffic::call_context mContext;
    std::vector<traffic::callee> mCallees;
  };

  /// Callbacks to run after the lock is released.
  using decisions =
    std::vector<std::pair<admission_callback, admission_decision>>;

  decisions Handle(core::time_point aNow,
                   traffic::admission_event const& aEvent);
  void ForgetRun(traffic::call_id aCall);
  static void RunCallbacks(decisions const& aDecisions);
  /// Whether a pool that calls like this one need would refuse them, so that
  /// running the first part would be wasted.
  bool WouldBeRefusedBelow(core::time_point aNow,
                           traffic::call_context const& aContext) const;
  /// Returns the threshold that calls of aRoute would meet further down.
  std::uint32_t DownstreamThreshold(core::time_point aNow,
                                    std::string const& aRoute) const;
  void NoteCallee(core::request_id const& aParent,
                  traffic::callee const& aCallee);
  bool IsServing() const;
  void ConfigureAdmission(core::time_point aNow);
  void ConfigurePools();
  /// Returns what the pool's row and the settings allow this daemon.
  traffic::retry_allowance AllowanceOf(tables::pool const& aPool) const;

  daemon_settings const& mSettings;
  mutable std::mutex mMutex;
  core::random_source mRandom;
  std::shared_ptr<routing_view const> mView;
  traffic::admission_controller mAdmission;
  tables::pool mOwnPool;
  std::uint64_t mLastCall = 0;
  std::map<traffic::call_id, admission_callback> mWaiting;
  std::map<traffic::call_id, local_run> mRuns;
  std::multimap<core::request_id, traffic::call_id> mRunsOfRequest;
  traffic::downstream_dependency mDependency;
  std::map<std::string, pool_state> mPools;
  traffic::retry_budget mBudget;
  std::set<core::address> mSenders;
  traffic::weighted_pool_selector mSplits;
  membership::upstream_status mUpstream;
  bool mIsDraining = false;
  core::time_point mDrainStarted;
};

}
