#include "LibDaemon/TrafficPolicy.h"

#include "LibCore/Assert.h"
#include "LibCore/Log.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::daemon {

using core::refusal_reason;
using traffic::outcome;

namespace {

/// Suggested wait if there is no estimate.
constexpr core::duration kDefaultRetryAfter = std::chrono::seconds(1);

/// Within this time after its start a daemon has learned tables and members,
/// also if all others start at once. A hundred daemons that ask the same few
/// peers have been seen to take 1.33 s.
constexpr core::duration kStartTime = std::chrono::seconds(2);

/// An accepted edit is in force everywhere within this time. Until then senders
/// may choose pools of the former tables.
constexpr core::duration kMaximumTablesAge = std::chrono::seconds(9);

traffic::candidate
ToCandidate(routing_member const& aMember)
{
  return { aMember.mInstance,  aMember.mIncarnation, aMember.mZone,
           aMember.mRegion,    aMember.mPeerAddress, aMember.mSlots,
           aMember.mIsDraining };
}

}

traffic_policy::pool_state::pool_state(traffic::location aLocalLocation,
                                       core::random_source& aRandom,
                                       traffic::retry_allowance aAllowance)
  : mSelector(std::move(aLocalLocation), aRandom)
  , mRetryRatio(aAllowance)
{
}

traffic_policy::traffic_policy(daemon_settings const& aSettings,
                               core::time_point aNow,
                               std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mView(std::make_shared<routing_view const>())
  , mAdmission(aNow)
  , mStarted(aNow)
{
  mLocalPool.mService = mSettings.mUpstream.mService;
  mUpstream.mSlots = mSettings.mUpstream.mSlots;
  ConfigureAdmission(aNow);
}

void
traffic_policy::SetView(core::time_point aNow,
                        std::shared_ptr<routing_view const> aView)
{
  std::scoped_lock const lock(mMutex);
  RecordFormerPools(aNow, aView->Tables());
  mView = std::move(aView);
  for (auto const& [name, row] : mView->Tables().mPools) {
    // Pools of one service share its upstreams, so only one row can configure
    // admission: the first by name.
    if (row.mService == mSettings.mUpstream.mService) {
      if (row != mLocalPool) {
        mLocalPool = row;
        ConfigureAdmission(aNow);
      }
      break;
    }
  }
  ConfigurePools(aNow);
  mPoolSelector.RemoveRoutesNotIn(mView->Tables());
  mDownstreamDependency.RemoveRoutesNotIn(mView->Tables());
}

bool
traffic_policy::IsOwnPool(tables::table_set const& aTables,
                          std::string const& aPool) const
{
  auto const row = aTables.mPools.find(aPool);
  return row != aTables.mPools.end() &&
         row->second.mService == mSettings.mUpstream.mService;
}

void
traffic_policy::RecordFormerPools(core::time_point aNow,
                                  tables::table_set const& aNext)
{
  auto const& before = mView->Tables();
  for (auto const& [name, row] : before.mPools) {
    if (IsOwnPool(before, name) && !IsOwnPool(aNext, name)) {
      mFormerPools[name] = aNow;
    }
  }
  std::erase_if(mFormerPools, [aNow](auto const& aEntry) {
    return aNow - aEntry.second >= kMaximumTablesAge;
  });
}

std::string
traffic_policy::ChoosePool(tables::route const& aRoute)
{
  std::scoped_lock const lock(mMutex);
  return mPoolSelector.Choose(aRoute);
}

void
traffic_policy::ConfigureAdmission(core::time_point aNow)
{
  mAdmission.Handle(
    aNow, traffic::configuration_changed{ mUpstream.mSlots, mLocalPool });
}

void
traffic_policy::ConfigurePools(core::time_point aNow)
{
  traffic::location const localLocation{ mSettings.mZone, mSettings.mRegion };
  for (auto const& [name, row] : mView->Tables().mPools) {
    std::vector<traffic::candidate> candidates;
    for (auto const& member : mView->mMembers) {
      bool const takesWork = member.mIsServing || member.mIsDraining;
      if (member.mService == row.mService && takesWork) {
        candidates.push_back(ToCandidate(member));
      }
    }
    auto const allowance = RetryAllowanceFor(row);
    auto const [entry, isNew] =
      mPools.try_emplace(name, localLocation, mRandom, allowance);
    entry->second.mRetryRatio.SetAllowance(allowance);
    entry->second.mSelector.Configure(row, std::move(candidates));
  }
  std::erase_if(mPools, [&](auto const& aEntry) {
    auto const& [name, state] = aEntry;
    return !IsListed(name) && state.mSelector.InFlight() == 0 &&
           state.mRetryRatio.IsIdle(aNow);
  });
}

bool
traffic_policy::IsListed(std::string const& aPool) const
{
  return mView->Tables().mPools.contains(aPool);
}

traffic_policy::pool_state*
traffic_policy::FindPool(std::string const& aPool)
{
  auto const found = mPools.find(aPool);
  return found == mPools.end() || !IsListed(aPool) ? nullptr : &found->second;
}

traffic::retry_allowance
traffic_policy::RetryAllowanceFor(tables::pool const& aPool) const
{
  auto const& bounds = mSettings.mRetries;
  traffic::retry_allowance allowance;
  allowance.mPercent = std::min(aPool.mRetryPercent, bounds.mMaximumPercent);
  allowance.mWindow = std::chrono::milliseconds(bounds.mWindowMilliseconds);
  if (!bounds.mOneRetryPerDaemon) {
    // Every daemon beside an upstream may send to the pool, so the slack is
    // divided among them.
    auto const senders = std::count_if(
      mView->mMembers.begin(), mView->mMembers.end(), [](auto const& aMember) {
        return !aMember.mService.IsEmpty();
      });
    allowance.mSlackRepeats = static_cast<double>(bounds.mSlack) /
                              std::max(static_cast<double>(senders), 1.0);
  }
  return allowance;
}

std::shared_ptr<routing_view const>
traffic_policy::View() const
{
  std::scoped_lock const lock(mMutex);
  return mView;
}

traffic_policy::pending_callbacks
traffic_policy::Handle(core::time_point aNow,
                       traffic::admission_event const& aEvent)
{
  pending_callbacks callbacks;
  for (auto const& action : mAdmission.Handle(aNow, aEvent)) {
    admission_decision decision;
    traffic::call_id call;
    if (auto const* const refused =
          std::get_if<traffic::refuse_call>(&action)) {
      call = refused->mCall;
      decision = { outcome::kNotRun, refused->mReason, refused->mRetryAfter };
      RemoveLocalCall(call);
    } else {
      call = std::get<traffic::admit_call>(action).mCall;
      ++mAdmittedCalls;
    }
    if (auto node = mPendingAdmissions.extract(call)) {
      callbacks.emplace_back(std::move(node.mapped()), decision);
    }
  }
  return callbacks;
}

void
traffic_policy::RemoveLocalCall(traffic::call_id aCall)
{
  auto const localCall = mLocalCalls.find(aCall);
  if (localCall == mLocalCalls.end()) {
    return;
  }
  auto const [first, last] =
    mLocalCallsByRequest.equal_range(localCall->second.mContext.mRequest);
  auto const entry = std::find_if(first, last, [aCall](auto const& aEntry) {
    return aEntry.second == aCall;
  });
  if (entry != last) {
    mLocalCallsByRequest.erase(entry);
  }
  mLocalCalls.erase(localCall);
}

std::uint32_t
traffic_policy::DownstreamThreshold(core::time_point aNow,
                                    std::string const& aRoute) const
{
  std::uint32_t highest = 0;
  for (auto const& callee : mDownstreamDependency.RequiredCallees(aRoute)) {
    auto const pool = mPools.find(callee.mPool);
    if (pool != mPools.end() && IsListed(callee.mPool)) {
      highest = std::max(highest,
                         pool->second.mSelector.Threshold(aNow, callee.mRoute));
    }
  }
  return highest;
}

bool
traffic_policy::WouldBeRefusedDownstream(
  core::time_point aNow,
  traffic::call_context const& aContext) const
{
  return !traffic::IsWorkInProgress(aContext) &&
         traffic::ShedPosition(aContext) <
           DownstreamThreshold(aNow, aContext.mRoute);
}

void
traffic_policy::RecordCallee(core::request_id const& aParent,
                             traffic::callee const& aCallee)
{
  auto const [first, last] = mLocalCallsByRequest.equal_range(aParent);
  for (auto entry = first; entry != last; ++entry) {
    mLocalCalls.at(entry->second).mCallees.push_back(aCallee);
  }
}

std::optional<traffic::call_context>
traffic_policy::FindLocalCallContext(core::request_id const& aRequest) const
{
  std::scoped_lock const lock(mMutex);
  auto const found = mLocalCallsByRequest.find(aRequest);
  if (found == mLocalCallsByRequest.end()) {
    return std::nullopt;
  }
  return mLocalCalls.at(found->second).mContext;
}

void
traffic_policy::RunCallbacks(pending_callbacks const& aCallbacks)
{
  for (auto const& [callback, decision] : aCallbacks) {
    callback(decision);
  }
}

pool_match
traffic_policy::MatchPool(core::time_point aNow, std::string const& aPool) const
{
  std::scoped_lock const lock(mMutex);
  auto const& tables = mView->Tables();
  if (tables.mPools.contains(aPool)) {
    return IsOwnPool(tables, aPool) ? pool_match::kOwnService
                                    : pool_match::kOtherService;
  }
  auto const former = mFormerPools.find(aPool);
  bool const wasOwn =
    former != mFormerPools.end() && aNow - former->second < kMaximumTablesAge;
  return wasOwn ? pool_match::kOwnService : pool_match::kUnknownPool;
}

traffic::call_id
traffic_policy::RequestAdmission(core::time_point aNow,
                                 traffic::call_context const& aContext,
                                 admission_callback aCallback)
{
  pending_callbacks callbacks;
  traffic::call_id call;
  {
    std::scoped_lock const lock(mMutex);
    call = { ++mLastCallId };
    if (auto const refused = UpstreamRefusal()) {
      callbacks.emplace_back(std::move(aCallback), *refused);
    } else if (WouldBeRefusedDownstream(aNow, aContext)) {
      callbacks.emplace_back(std::move(aCallback),
                             call_refusal{ outcome::kNotRun,
                                           refusal_reason::kSenderCutOff,
                                           kDefaultRetryAfter });
    } else {
      mLocalCalls[call] = { aContext, {} };
      mLocalCallsByRequest.emplace(aContext.mRequest, call);
      mPendingAdmissions.emplace(call, std::move(aCallback));
      callbacks = Handle(aNow, traffic::call_arrived{ call, aContext });
    }
  }
  RunCallbacks(callbacks);
  return call;
}

void
traffic_policy::FinishCall(core::time_point aNow,
                           traffic::call_id aCall,
                           bool aSucceeded,
                           core::duration aLatency)
{
  pending_callbacks callbacks;
  {
    std::scoped_lock const lock(mMutex);
    callbacks =
      Handle(aNow, traffic::call_finished{ aCall, aSucceeded, aLatency });
    auto const localCall = mLocalCalls.find(aCall);
    if (aSucceeded && localCall != mLocalCalls.end()) {
      mDownstreamDependency.CountRun(localCall->second.mContext.mRoute,
                                     localCall->second.mCallees);
    }
    RemoveLocalCall(aCall);
  }
  RunCallbacks(callbacks);
}

void
traffic_policy::CancelCall(core::time_point aNow, traffic::call_id aCall)
{
  pending_callbacks callbacks;
  {
    std::scoped_lock const lock(mMutex);
    mPendingAdmissions.erase(aCall);
    RemoveLocalCall(aCall);
    callbacks = Handle(aNow, traffic::call_cancelled{ aCall });
  }
  RunCallbacks(callbacks);
}

void
traffic_policy::Tick(core::time_point aNow)
{
  pending_callbacks callbacks;
  {
    std::scoped_lock const lock(mMutex);
    callbacks = Handle(aNow, traffic::admission_tick{});
    mRetryBudget.Advance(aNow);
  }
  RunCallbacks(callbacks);
}

std::optional<core::time_point>
traffic_policy::NextDispatch(core::time_point aNow) const
{
  std::scoped_lock const lock(mMutex);
  return mAdmission.NextDispatch(aNow);
}

core::duration
traffic_policy::MaximumAdmissionWait() const
{
  std::scoped_lock const lock(mMutex);
  return mAdmission.MaximumWait();
}

void
traffic_policy::SetUpstream(core::time_point aNow,
                            membership::upstream_status const& aStatus)
{
  pending_callbacks callbacks;
  {
    std::scoped_lock const lock(mMutex);
    auto const before = std::exchange(mUpstream, aStatus);
    bool const wasServing =
      before.mLifecycle == membership::lifecycle_state::kServing;
    bool const isNewProcess = before.mId != aStatus.mId || !wasServing;
    if (before.mSlots != aStatus.mSlots) {
      ConfigureAdmission(aNow);
    }
    if (IsUpstreamServing() && isNewProcess) {
      mCondition.reset();
      callbacks = Handle(aNow, traffic::upstream_restarted{});
    } else if (IsUpstreamLeaving() && wasServing) {
      callbacks = Handle(aNow, traffic::upstream_leaving{});
    }
  }
  RunCallbacks(callbacks);
}

bool
traffic_policy::RecordCondition(core::time_point aNow,
                                membership::upstream_id const& aUpstream,
                                traffic::upstream_condition const& aCondition)
{
  pending_callbacks callbacks;
  bool isNewlyLeaving = false;
  {
    std::scoped_lock const lock(mMutex);
    if (aUpstream != mUpstream.mId || mCondition == aCondition) {
      return false;
    }
    auto const before = mCondition.value_or(traffic::upstream_condition{});
    mCondition = aCondition;
    // Responses arrive in any order, and an upstream does not return from
    // leaving.
    mCondition->mIsLeaving |= before.mIsLeaving;
    isNewlyLeaving = mCondition->mIsLeaving && !before.mIsLeaving;
    callbacks = Handle(
      aNow, traffic::request_limit_stated{ aCondition.mRequestsPerSecond });
    if (isNewlyLeaving) {
      auto const refused = Handle(aNow, traffic::upstream_leaving{});
      callbacks.insert(callbacks.end(), refused.begin(), refused.end());
    }
    if (before != *mCondition) {
      core::LogInfo("upstream_condition_changed")
        .Field("upstream", aUpstream.mValue)
        .Field("request_limit_before", FormatRequestLimit(before))
        .Field("request_limit", FormatRequestLimit(*mCondition))
        .Field("leaving", mCondition->mIsLeaving ? "yes" : "no");
    }
  }
  RunCallbacks(callbacks);
  return isNewlyLeaving;
}

traffic::upstream_condition
traffic_policy::Condition() const
{
  std::scoped_lock const lock(mMutex);
  return mCondition.value_or(traffic::upstream_condition{});
}

std::uint64_t
traffic_policy::AdmittedCalls() const
{
  std::scoped_lock const lock(mMutex);
  return mAdmittedCalls;
}

membership::upstream_id
traffic_policy::UpstreamId() const
{
  std::scoped_lock const lock(mMutex);
  return mUpstream.mId;
}

std::optional<call_refusal>
traffic_policy::CheckUpstream() const
{
  std::scoped_lock const lock(mMutex);
  return UpstreamRefusal();
}

std::optional<call_refusal>
traffic_policy::UpstreamRefusal() const
{
  bool const isLeaving = IsUpstreamLeaving();
  if (mIsDraining || (IsUpstreamServing() && !isLeaving)) {
    return std::nullopt;
  }
  return call_refusal{ outcome::kNotRun,
                       isLeaving ? refusal_reason::kDraining
                                 : refusal_reason::kNotReady,
                       kDefaultRetryAfter };
}

bool
traffic_policy::IsUpstreamServing() const
{
  return mUpstream.mLifecycle == membership::lifecycle_state::kServing;
}

bool
traffic_policy::IsUpstreamLeaving() const
{
  bool const hasReported =
    mUpstream.mLifecycle == membership::lifecycle_state::kDraining ||
    mUpstream.mLifecycle == membership::lifecycle_state::kLeft;
  return hasReported || (mCondition && mCondition->mIsLeaving);
}

void
traffic_policy::StartDraining(core::time_point aNow)
{
  pending_callbacks callbacks;
  {
    std::scoped_lock const lock(mMutex);
    mDrainStarted = aNow;
    mIsDraining = true;
    callbacks = Handle(aNow, traffic::admission_drain_started{});
  }
  RunCallbacks(callbacks);
}

bool
traffic_policy::IsStarting(core::time_point aNow) const
{
  return aNow < mStarted + kStartTime;
}

bool
traffic_policy::IsDraining() const
{
  return mIsDraining;
}

bool
traffic_policy::IsRefusingCallers(core::time_point aNow) const
{
  return mIsDraining &&
         aNow >= mDrainStarted +
                   std::chrono::milliseconds(mSettings.mDrainServeMilliseconds);
}

std::optional<core::time_point>
traffic_policy::StopTime() const
{
  if (!mIsDraining) {
    return std::nullopt;
  }
  return mDrainStarted +
         std::chrono::milliseconds(mSettings.mDrainGraceMilliseconds);
}

bool
traffic_policy::CanFinishBeforeStop(core::time_point aNow,
                                    core::time_point aDeadline) const
{
  auto const stop = StopTime();
  if (!stop) {
    return true;
  }
  auto const firstHalf = (*stop - mDrainStarted) / 2;
  core::duration const serveTime =
    std::chrono::milliseconds(mSettings.mDrainServeMilliseconds);
  bool const isEarly = aNow < mDrainStarted + std::max(firstHalf, serveTime);
  return isEarly || aDeadline <= *stop;
}

bool
traffic_policy::IsUpstreamReady() const
{
  std::scoped_lock const lock(mMutex);
  return IsUpstreamServing();
}

std::size_t
traffic_policy::CallsInFlight() const
{
  std::scoped_lock const lock(mMutex);
  return mAdmission.Running() + mAdmission.Waiting();
}

traffic::load_status
traffic_policy::LoadStatus(core::time_point aNow,
                           std::string const& aRoute) const
{
  std::scoped_lock const lock(mMutex);
  auto stamp = mAdmission.LoadStatus(aNow);
  stamp.mDraining = stamp.mDraining || IsUpstreamLeaving();
  stamp.mDownstreamThreshold = DownstreamThreshold(aNow, aRoute);
  return stamp;
}

std::variant<traffic::chosen_upstream, call_refusal>
traffic_policy::ChooseUpstream(core::time_point aNow,
                               traffic::call_context const& aContext,
                               std::string const& aPool,
                               std::vector<core::instance_id> const& aTried,
                               traffic::attempt_scope aScope)
{
  std::scoped_lock const lock(mMutex);
  auto* const pool = FindPool(aPool);
  if (!pool) {
    return call_refusal{ outcome::kNotRun,
                         refusal_reason::kNoUpstream,
                         kDefaultRetryAfter };
  }
  if (aTried.empty()) {
    pool->mRetryRatio.CountCall(aNow);
    if (aContext.mIsRepeat) {
      pool->mRetryRatio.CountRepeat(aNow);
    }
  }
  if (!aContext.mParent.IsEmpty() && aTried.empty()) {
    RecordCallee(aContext.mParent, { aPool, aContext.mRoute });
  }
  auto const choice = pool->mSelector.Select(aNow, aContext, aTried, aScope);
  if (auto const* const refused =
        std::get_if<traffic::local_refusal>(&choice)) {
    return call_refusal{ outcome::kNotRun,
                         refused->mReason,
                         refused->mRetryAfter };
  }
  return std::get<traffic::chosen_upstream>(choice);
}

void
traffic_policy::ReportAttempt(core::time_point aNow,
                              std::string const& aPool,
                              traffic::attempt_report const& aReport)
{
  std::scoped_lock const lock(mMutex);
  auto const pool = mPools.find(aPool);
  CF_ASSERT(pool != mPools.end(), "an attempt ended at an unknown pool");
  pool->second.mSelector.Report(aNow, aReport);
}

std::optional<traffic::retry_decision>
traffic_policy::DecideRetry(std::string const& aPool,
                            traffic::retry_facts aFacts)
{
  std::scoped_lock const lock(mMutex);
  auto* const pool = FindPool(aPool);
  if (!pool) {
    return std::nullopt;
  }
  aFacts.mUsualLatency = pool->mSelector.UsualLatency();
  return traffic::DecideRetry(aFacts, pool->mRetryRatio, mRandom);
}

void
traffic_policy::ReturnRetry(core::time_point aNow,
                            std::string const& aPool,
                            std::uint32_t aLevel)
{
  std::scoped_lock const lock(mMutex);
  if (auto* const pool = FindPool(aPool)) {
    pool->mRetryRatio.Return(aNow, aLevel);
  }
}

void
traffic_policy::OpenRetryBudget(core::time_point aNow,
                                traffic::call_context const& aContext,
                                std::uint32_t aExtraTries)
{
  std::scoped_lock const lock(mMutex);
  mRetryBudget.Open(aNow, aContext.mRequest, aExtraTries, aContext.mDeadline);
}

void
traffic_policy::CloseRetryBudget(core::request_id const& aRequest)
{
  std::scoped_lock const lock(mMutex);
  mRetryBudget.Close(aRequest);
}

bool
traffic_policy::TakePermit(core::time_point aNow,
                           core::request_id const& aRequest)
{
  std::scoped_lock const lock(mMutex);
  return mRetryBudget.RequestPermit(aNow, aRequest);
}

void
traffic_policy::RecordSender(core::address const& aPeer)
{
  std::scoped_lock const lock(mMutex);
  mSenders.insert(aPeer);
}

std::vector<core::address>
traffic_policy::TakeSenders()
{
  std::scoped_lock const lock(mMutex);
  std::vector<core::address> senders(mSenders.begin(), mSenders.end());
  mSenders.clear();
  return senders;
}

}
