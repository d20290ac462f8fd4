#pragma once

#include "LibTraffic/AdmissionController.h"
#include "LibTraffic/DownstreamDependency.h"
#include "LibTraffic/RetryBudget.h"
#include "LibTraffic/UpstreamSelection.h"
#include "OverloadOrderCheck.h"
#include "OverloadPolicy.h"
#include "OverloadReport.h"
#include "OverloadShape.h"
#include "OverloadUpstream.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberryfold::random_run {

/// Work and runs that one try of a caller led to.
struct request_account
{
  std::uint64_t mRuns = 0;
  /// The most runs that may follow from the try.
  std::uint64_t mMostRuns = 0;
  double mWork = 0;
  double mDeepWork = 0;
  bool mEnded = false;
};

/// A call that a daemon makes for a caller or for its upstream.
struct mesh_call
{
  /// Index of the node whose daemon sends it.
  std::size_t mFrom = 0;
  std::size_t mService = 0;
  std::uint32_t mDeepCalls = 0;
  bool mIdempotent = false;
  traffic::call_context mContext;
  std::shared_ptr<request_account> mAccount;
};

/// The daemons of a run with their decision objects, and the fake upstreams:
/// one node for each service and zone.
class overload_mesh
{
public:
  using call_done = std::function<void(core::time_point, bool)>;

  overload_mesh(overload_shape const& aShape,
                overload_policy const& aPolicy,
                core::timer_service& aTimers,
                core::random_source& aRandom,
                overload_report& aReport);

  /// Starts a call; aDone gets its end, with true for success. Returns its id.
  std::uint64_t Start(core::time_point aNow, mesh_call aCall, call_done aDone);

  /// Opens the retry budget of a customer request at its root daemon.
  void OpenBudget(core::time_point aNow,
                  std::size_t aRoot,
                  core::request_id const& aRequest);
  void CloseBudget(std::size_t aRoot, core::request_id const& aRequest);

  /// Changes cores and work factor of the upstreams of the deep service.
  void SetDeepSpeed(core::time_point aNow,
                    double aCoreShare,
                    double aWorkFactor);

  /// Counts the work of a try that has ended.
  void Settle(core::time_point aNow, request_account& aAccount, bool aSuccess);

  std::size_t NodeIndex(std::size_t aService, std::size_t aZone) const;
  core::address PeerAddress(std::size_t aNode) const;

  /// Returns the windows in which the order of the classes was violated.
  std::uint64_t OrderViolations() const;
  /// Returns the largest number of runs over the bound of a request; 0 if kept.
  std::uint64_t RunsOverBound() const { return mRunsOverBound; }
  /// Returns what is still counted as in flight anywhere.
  std::uint64_t InFlight() const;

private:
  struct node
  {
    std::size_t mService = 0;
    std::size_t mZone = 0;
    core::instance_id mInstance;
    fake_upstream mUpstream;
    traffic::admission_controller mAdmission;
    /// By service.
    std::vector<std::unique_ptr<traffic::upstream_selector>> mSelectors;
    std::vector<traffic::retry_ratio> mRatios;
    traffic::retry_budget mBudget;
    order_check mOrder;
    traffic::downstream_dependency mDependency;
  };

  /// What the sending daemon knows.
  struct sender_call
  {
    mesh_call mCall;
    call_done mDone;
    core::timer_id mDeadlineTimer;
    /// The outstanding attempt; 0 between attempts.
    std::uint64_t mAttempt = 0;
    traffic::upstream_attempt_id mSelected;
    core::time_point mSent;
    std::size_t mTarget = 0;
    std::vector<core::instance_id> mTried;
    std::uint32_t mAttempts = 0;
  };

  /// What the daemon of the upstream knows.
  struct server_attempt
  {
    std::uint64_t mCallId = 0;
    std::size_t mNode = 0;
    mesh_call mCall;
    bool mRunning = false;
    core::time_point mAdmitted;
    std::uint32_t mDeepCallsLeft = 0;
    std::vector<traffic::callee> mCallees;
    /// The deep call that the run waits for; 0 for none.
    std::uint64_t mDeepCall = 0;
  };

  struct attempt_end
  {
    traffic::outcome mOutcome = traffic::outcome::kNotRun;
    std::optional<core::refusal_reason> mReason;
    bool mSuccess = false;
    std::optional<traffic::load_status> mLoadStatus;
  };

  void AddNode(std::size_t aService, std::size_t aZone);
  void ConfigureSelectors(node& aNode);
  tables::pool PoolOf(std::size_t aService) const;
  core::duration Latency(std::size_t aFrom, std::size_t aTo) const;
  void Later(core::time_point aTime, core::timer_service::callback aRun);

  // At the sender.
  void StartAttempt(core::time_point aNow, std::uint64_t aCallId);
  void OnResponse(core::time_point aNow,
                  std::uint64_t aCallId,
                  std::uint64_t aAttempt,
                  attempt_end const& aEnd);
  void OnDeadline(core::time_point aNow, std::uint64_t aCallId);
  void ReportAttempt(core::time_point aNow,
                     sender_call& aCall,
                     attempt_end const& aEnd);
  void EndAttempt(core::time_point aNow,
                  std::uint64_t aCallId,
                  attempt_end const& aEnd);
  void RetryOrEnd(core::time_point aNow,
                  std::uint64_t aCallId,
                  attempt_end const& aEnd);
  void AskPermit(core::time_point aNow,
                 std::uint64_t aCallId,
                 core::retry_reason aReason,
                 core::duration aBackoff);
  bool GrantPermit(core::time_point aNow, sender_call const& aCall);
  void EndCall(core::time_point aNow, std::uint64_t aCallId, bool aSuccess);
  void Abandon(core::time_point aNow, std::uint64_t aCallId);

  // At the daemon of the upstream.
  void OnArrival(core::time_point aNow,
                 std::uint64_t aAttempt,
                 server_attempt aEntry);
  void HandleAdmission(core::time_point aNow,
                       std::size_t aNode,
                       traffic::admission_event const& aEvent);
  bool IsRefusedBeyond(core::time_point aNow, server_attempt const& aEntry);
  void Run(core::time_point aNow, std::uint64_t aAttempt);
  void Compute(core::time_point aNow, std::uint64_t aAttempt);
  void ContinueRun(core::time_point aNow, std::uint64_t aAttempt);
  void FinishRun(core::time_point aNow, std::uint64_t aAttempt, bool aSuccess);
  void Respond(core::time_point aNow, std::uint64_t aAttempt, attempt_end aEnd);
  void CancelAttempt(core::time_point aNow, std::uint64_t aAttempt);
  void CountWork(core::time_point aNow,
                 server_attempt const& aEntry,
                 double aWork);
  double DrawWork(std::size_t aService);

  overload_shape const& mShape;
  overload_policy const& mPolicy;
  core::timer_service& mTimers;
  core::random_source& mRandom;
  overload_report& mReport;
  std::vector<std::unique_ptr<node>> mNodes;
  std::unordered_map<core::instance_id, std::size_t> mNodeOf;
  std::unordered_map<std::string, std::size_t> mServiceOf;
  std::unordered_map<std::uint64_t, sender_call> mCalls;
  std::unordered_map<std::uint64_t, server_attempt> mAttempts;
  std::uint64_t mLastId = 0;
  std::uint64_t mRunsOverBound = 0;
};

}
