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
#include "LibTraffic/UpstreamCondition.h"
#include "LibTraffic/UpstreamSelection.h"
#include "LibTraffic/WeightedPoolSelector.h"

#include <atomic>
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

/// Why a call has no complete response.
struct call_refusal
{
  /// Whether the call may have run at an upstream.
  traffic::outcome mOutcome = traffic::outcome::kNotRun;
  core::refusal_reason mReason = core::refusal_reason::kInternal;
  /// Suggested wait before the call is sent again; zero if there is none.
  core::duration mRetryAfter{};

  bool operator==(call_refusal const&) const = default;
};

/// How often a request or call that waits for a starting daemon looks again.
inline constexpr core::duration kStartPollInterval =
  std::chrono::milliseconds(20);

/// Which service runs the calls of a pool, by the installed tables.
enum class pool_match
{
  /// Also by tables that were replaced a short time ago.
  kOwnService,
  kOtherService,
  /// The tables do not list the pool, or there are none yet.
  kUnknownPool,
};

/// The refusal, or std::nullopt if the call was admitted.
using admission_decision = std::optional<call_refusal>;

/// Thread-safe access to admission control, upstream selection and retry
/// budgets, shared by all traffic threads. The mutex is held during a decision
/// and never across I/O.
class traffic_policy
{
public:
  /// Runs without the mutex, on the thread whose call led to the decision.
  using admission_callback = std::function<void(admission_decision)>;

  traffic_policy(daemon_settings const& aSettings,
                 core::time_point aNow,
                 std::uint64_t aSeed);

  void SetView(core::time_point aNow,
               std::shared_ptr<routing_view const> aView);
  std::shared_ptr<routing_view const> View() const;

  /// Returns the name of the pool for the next request of aRoute.
  std::string ChoosePool(tables::route const& aRoute);

  /// Returns whether the local upstream runs the calls of aPool.
  pool_match MatchPool(core::time_point aNow, std::string const& aPool) const;

  /// Requests admission to the local upstream. aCallback may run before this
  /// function returns.
  traffic::call_id RequestAdmission(core::time_point aNow,
                                    traffic::call_context const& aContext,
                                    admission_callback aCallback);
  /// Returns the refusal for calls while the local upstream is not serving or
  /// is leaving; std::nullopt if calls that were admitted may be sent to it.
  std::optional<call_refusal> CheckUpstream() const;
  /// Completes an admitted call. aLatency is measured from its admission.
  void FinishCall(core::time_point aNow,
                  traffic::call_id aCall,
                  bool aSucceeded,
                  core::duration aLatency);
  /// Cancels a waiting or admitted call and drops its callback.
  void CancelCall(core::time_point aNow, traffic::call_id aCall);
  /// Refuses calls that have waited for too long and removes expired budgets.
  void Tick(core::time_point aNow);
  /// Returns the longest time that a call may wait for admission.
  core::duration MaximumAdmissionWait() const;
  /// Returns when Tick() may admit a waiting call; empty if it cannot.
  std::optional<core::time_point> NextDispatch(core::time_point aNow) const;

  /// Sets the status of the local upstream. If it starts to serve, or serves
  /// under another id, admission control treats it as restarted.
  void SetUpstream(core::time_point aNow,
                   membership::upstream_status const& aStatus);
  /// Applies what the process aUpstream of the local upstream states about
  /// itself; ignored if another process serves now. Returns whether it states
  /// for the first time that it is leaving.
  bool RecordCondition(core::time_point aNow,
                       membership::upstream_id const& aUpstream,
                       traffic::upstream_condition const& aCondition);
  /// Returns the last recorded condition of the local upstream.
  traffic::upstream_condition Condition() const;
  /// Returns the number of calls that were admitted to the local upstream.
  std::uint64_t AdmittedCalls() const;
  /// Returns the id of the upstream process that calls are meant for; empty if
  /// it is not known.
  membership::upstream_id UpstreamId() const;
  void StartDraining(core::time_point aNow);
  bool IsDraining() const;
  /// Returns whether the time for which a draining daemon still serves callers
  /// has passed.
  bool IsRefusingCallers(core::time_point aNow) const;
  /// Returns when a draining daemon stops; empty while it does not drain.
  std::optional<core::time_point> StopTime() const;
  /// Returns whether a request whose body is complete at aNow can be answered
  /// before a draining daemon stops. One that is complete in the first half of
  /// the grace period, or while callers are served, has time enough; a later
  /// one must reach its deadline before the stop.
  bool CanFinishBeforeStop(core::time_point aNow,
                           core::time_point aDeadline) const;
  /// Returns whether the daemon started so recently that it may still have to
  /// learn tables and members from others.
  bool IsStarting(core::time_point aNow) const;
  bool IsUpstreamReady() const;
  /// Returns the number of calls that run at the local upstream or wait for
  /// admission to it.
  std::size_t CallsInFlight() const;
  /// Returns the load status that is sent with the response to a call of
  /// aRoute.
  traffic::load_status LoadStatus(core::time_point aNow,
                                  std::string const& aRoute) const;

  /// Returns the context of the call of aRequest that runs at the local
  /// upstream or waits for it, or std::nullopt if there is none.
  std::optional<traffic::call_context> FindLocalCallContext(
    core::request_id const& aRequest) const;

  /// Selects the upstream for an attempt. aTried lists the instances of earlier
  /// attempts of the same call; aScope tells whether one of them must be
  /// chosen. The caller must follow each selected upstream by exactly one
  /// ReportAttempt().
  std::variant<traffic::chosen_upstream, call_refusal> ChooseUpstream(
    core::time_point aNow,
    traffic::call_context const& aContext,
    std::string const& aPool,
    std::vector<core::instance_id> const& aTried,
    traffic::attempt_scope aScope = traffic::attempt_scope::kUntried);
  void ReportAttempt(core::time_point aNow,
                     std::string const& aPool,
                     traffic::attempt_report const& aReport);

  /// Decides whether a call may be retried; the permit of the root daemon is
  /// requested separately. Returns std::nullopt if no retry is possible: the
  /// call ran, would be refused again, or its pool no longer exists.
  std::optional<traffic::retry_decision> DecideRetry(
    std::string const& aPool,
    traffic::retry_facts aFacts);
  /// Gives back the retry of a positive DecideRetry() that is not made.
  void ReturnRetry(core::time_point aNow,
                   std::string const& aPool,
                   std::uint32_t aLevel);
  /// Opens or closes the retry budget of a caller's request at its root daemon.
  void OpenRetryBudget(core::time_point aNow,
                       traffic::call_context const& aContext,
                       std::uint32_t aExtraTries);
  void CloseRetryBudget(core::request_id const& aRequest);
  /// Takes a retry permit from the budget of aRequest. Returns false if the
  /// budget has none left or does not exist.
  bool TakePermit(core::time_point aNow, core::request_id const& aRequest);

  /// Records that a peer sends calls, so that a drain is announced to it
  /// directly.
  void RecordSender(core::address const& aPeer);
  /// Returns and clears the peers recorded since the last call.
  std::vector<core::address> TakeSenders();

private:
  struct pool_state
  {
    pool_state(traffic::location aLocalLocation,
               core::random_source& aRandom,
               traffic::retry_allowance aAllowance);

    traffic::upstream_selector mSelector;
    traffic::retry_ratio mRetryRatio;
  };

  /// A call that runs at the local upstream or waits for admission, and the
  /// calls made on its behalf.
  struct local_call
  {
    traffic::call_context mContext;
    std::vector<traffic::callee> mCallees;
  };

  /// Callbacks to run after the mutex is released.
  using pending_callbacks =
    std::vector<std::pair<admission_callback, admission_decision>>;

  pending_callbacks Handle(core::time_point aNow,
                           traffic::admission_event const& aEvent);
  void RemoveLocalCall(traffic::call_id aCall);
  static void RunCallbacks(pending_callbacks const& aCallbacks);
  /// Returns whether a pool that calls like this one depend on would refuse
  /// them. Running the call up to there would be wasted work.
  bool WouldBeRefusedDownstream(core::time_point aNow,
                                traffic::call_context const& aContext) const;
  /// Returns the highest admission threshold of the pools that calls of aRoute
  /// depend on; 0 if there is none.
  std::uint32_t DownstreamThreshold(core::time_point aNow,
                                    std::string const& aRoute) const;
  void RecordCallee(core::request_id const& aParent,
                    traffic::callee const& aCallee);
  bool IsUpstreamServing() const;
  std::optional<call_refusal> UpstreamRefusal() const;
  /// Returns whether the local upstream takes no new calls because it is about
  /// to stop.
  bool IsUpstreamLeaving() const;
  void ConfigureAdmission(core::time_point aNow);
  /// Returns whether aTables give the calls of aPool to the local service.
  bool IsOwnPool(tables::table_set const& aTables,
                 std::string const& aPool) const;
  /// Records the pools that the next tables take from the local service.
  void RecordFormerPools(core::time_point aNow, tables::table_set const& aNext);
  void ConfigurePools(core::time_point aNow);
  bool IsListed(std::string const& aPool) const;
  /// Returns the state of a pool, or null if the tables do not list the pool.
  pool_state* FindPool(std::string const& aPool);
  /// Returns the retries at aPool that its table row and the settings allow
  /// this daemon.
  traffic::retry_allowance RetryAllowanceFor(tables::pool const& aPool) const;

  daemon_settings const& mSettings;
  mutable std::mutex mMutex;
  core::random_source mRandom;
  std::shared_ptr<routing_view const> mView;
  traffic::admission_controller mAdmission;
  tables::pool mLocalPool;
  std::uint64_t mLastCallId = 0;
  std::map<traffic::call_id, admission_callback> mPendingAdmissions;
  std::map<traffic::call_id, local_call> mLocalCalls;
  std::multimap<core::request_id, traffic::call_id> mLocalCallsByRequest;
  traffic::downstream_dependency mDownstreamDependency;
  /// The state of a pool that has left the tables stays until its attempts have
  /// been reported and its retries no longer count, so that they are not
  /// forgotten if the pool returns.
  std::map<std::string, pool_state> mPools;
  /// Pools that the local service lost to newer tables, and when.
  std::map<std::string, core::time_point> mFormerPools;
  traffic::retry_budget mRetryBudget;
  std::set<core::address> mSenders;
  traffic::weighted_pool_selector mPoolSelector;
  membership::upstream_status mUpstream;
  /// Empty until the present process of the upstream has responded.
  std::optional<traffic::upstream_condition> mCondition;
  std::uint64_t mAdmittedCalls = 0;
  core::time_point mStarted;
  /// Set after mDrainStarted, so that StopTime() needs no lock.
  std::atomic<bool> mIsDraining = false;
  core::time_point mDrainStarted;
};

}
