#include "LibDaemon/TrafficPolicy.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::daemon {

using core::refusal_reason;
using traffic::outcome;

namespace {

/// Suggested wait when there is nothing to derive it from.
constexpr core::duration kDefaultRetryAfter = std::chrono::seconds(1);

traffic::candidate
ToCandidate(routing_member const& aMember)
{
  return { aMember.mInstance,  aMember.mIncarnation, aMember.mZone,
           aMember.mRegion,    aMember.mPeerAddress, aMember.mSlots,
           aMember.mIsDraining };
}

}

traffic_policy::pool_state::pool_state(traffic::location aHere,
                                       core::random_source& aRandom,
                                       traffic::retry_allowance aAllowance)
  : mSelector(std::move(aHere), aRandom)
  , mRatio(aAllowance)
{
}

traffic_policy::traffic_policy(daemon_settings const& aSettings,
                               core::time_point aNow,
                               std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mView(std::make_shared<routing_view const>())
  , mAdmission(aNow)
{
  mOwnPool.mService = mSettings.mUpstream.mService;
  mUpstream.mSlots = mSettings.mUpstream.mSlots;
  ConfigureAdmission(aNow);
}

void
traffic_policy::SetView(core::time_point aNow,
                        std::shared_ptr<routing_view const> aView)
{
  std::scoped_lock const lock(mMutex);
  mView = std::move(aView);
  for (auto const& [name, row] : mView->Tables().mPools) {
    // Pools of one service share its upstreams; the first by name governs
    // admission.
    if (row.mService == mSettings.mUpstream.mService) {
      if (row != mOwnPool) {
        mOwnPool = row;
        ConfigureAdmission(aNow);
      }
      break;
    }
  }
  ConfigurePools();
  mSplits.RemoveRoutesNotIn(mView->Tables());
  mDependency.RemoveRoutesNotIn(mView->Tables());
}

std::string
traffic_policy::ChoosePool(tables::route const& aRoute)
{
  std::scoped_lock const lock(mMutex);
  return mSplits.Choose(aRoute);
}

void
traffic_policy::ConfigureAdmission(core::time_point aNow)
{
  mAdmission.Handle(
    aNow, traffic::configuration_changed{ mUpstream.mSlots, mOwnPool });
}

void
traffic_policy::ConfigurePools()
{
  traffic::location const here{ mSettings.mZone, mSettings.mRegion };
  for (auto const& [name, row] : mView->Tables().mPools) {
    std::vector<traffic::candidate> candidates;
    for (auto const& member : mView->mMembers) {
      bool const takesWork = member.mIsServing || member.mIsDraining;
      if (member.mService == row.mService && takesWork) {
        candidates.push_back(ToCandidate(member));
      }
    }
    auto const allowance = AllowanceOf(row);
    auto const [entry, isNew] =
      mPools.try_emplace(name, here, mRandom, allowance);
    entry->second.mRatio.SetAllowance(allowance);
    entry->second.mSelector.Configure(row, std::move(candidates));
  }
  std::erase_if(mPools, [this](auto const& aEntry) {
    return !mView->Tables().mPools.contains(aEntry.first);
  });
}

traffic::retry_allowance
traffic_policy::AllowanceOf(tables::pool const& aPool) const
{
  auto const& bounds = mSettings.mRetries;
  traffic::retry_allowance allowance;
  allowance.mPercent = std::min(aPool.mRetryPercent, bounds.mMaximumPercent);
  allowance.mWindow = std::chrono::milliseconds(bounds.mWindowMilliseconds);
  if (!bounds.mOneRetryPerDaemon) {
    // Every daemon beside an upstream may send to the pool.
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

traffic_policy::decisions
traffic_policy::Handle(core::time_point aNow,
                       traffic::admission_event const& aEvent)
{
  decisions made;
  for (auto const& action : mAdmission.Handle(aNow, aEvent)) {
    admission_decision decision;
    traffic::call_id call;
    if (auto const* const refused =
          std::get_if<traffic::refuse_call>(&action)) {
      call = refused->mCall;
      decision = { outcome::kNotRun, refused->mReason, refused->mRetryAfter };
      ForgetRun(call);
    } else {
      call = std::get<traffic::admit_call>(action).mCall;
    }
    if (auto waiting = mWaiting.extract(call)) {
      made.emplace_back(std::move(waiting.mapped()), decision);
    }
  }
  return made;
}

void
traffic_policy::ForgetRun(traffic::call_id aCall)
{
  auto const run = mRuns.find(aCall);
  if (run == mRuns.end()) {
    return;
  }
  auto const [first, last] =
    mRunsOfRequest.equal_range(run->second.mContext.mRequest);
  auto const entry = std::find_if(first, last, [aCall](auto const& aEntry) {
    return aEntry.second == aCall;
  });
  if (entry != last) {
    mRunsOfRequest.erase(entry);
  }
  mRuns.erase(run);
}

std::uint32_t
traffic_policy::DownstreamThreshold(core::time_point aNow,
                                    std::string const& aRoute) const
{
  std::uint32_t highest = 0;
  for (auto const& needed : mDependency.RequiredCallees(aRoute)) {
    auto const pool = mPools.find(needed.mPool);
    if (pool != mPools.end()) {
      highest = std::max(highest,
                         pool->second.mSelector.Threshold(aNow, needed.mRoute));
    }
  }
  return highest;
}

bool
traffic_policy::WouldBeRefusedBelow(core::time_point aNow,
                                    traffic::call_context const& aContext) const
{
  return !traffic::IsWorkInProgress(aContext) &&
         traffic::ShedPosition(aContext) <
           DownstreamThreshold(aNow, aContext.mRoute);
}

void
traffic_policy::NoteCallee(core::request_id const& aParent,
                           traffic::callee const& aCallee)
{
  auto const [first, last] = mRunsOfRequest.equal_range(aParent);
  for (auto entry = first; entry != last; ++entry) {
    mRuns.at(entry->second).mCallees.push_back(aCallee);
  }
}

std::optional<traffic::call_context>
traffic_policy::ContextOfRun(core::request_id const& aRequest) const
{
  std::scoped_lock const lock(mMutex);
  auto const found = mRunsOfRequest.find(aRequest);
  if (found == mRunsOfRequest.end()) {
    return std::nullopt;
  }
  return mRuns.at(found->second).mContext;
}

void
traffic_policy::RunCallbacks(decisions const& aDecisions)
{
  for (auto const& [callback, decision] : aDecisions) {
    callback(decision);
  }
}

traffic::call_id
traffic_policy::Arrive(core::time_point aNow,
                       traffic::call_context const& aContext,
                       admission_callback aCallback)
{
  decisions made;
  traffic::call_id call;
  {
    std::scoped_lock const lock(mMutex);
    call = { ++mLastCall };
    bool const isLeaving =
      mUpstream.mLifecycle == membership::lifecycle_state::kDraining;
    if (!IsServing() && !mIsDraining) {
      made.emplace_back(std::move(aCallback),
                        call_refusal{ outcome::kNotRun,
                                      isLeaving ? refusal_reason::kDraining
                                                : refusal_reason::kNotReady,
                                      kDefaultRetryAfter });
    } else if (WouldBeRefusedBelow(aNow, aContext)) {
      made.emplace_back(std::move(aCallback),
                        call_refusal{ outcome::kNotRun,
                                      refusal_reason::kSenderCutOff,
                                      kDefaultRetryAfter });
    } else {
      mRuns[call] = { aContext, {} };
      mRunsOfRequest.emplace(aContext.mRequest, call);
      mWaiting.emplace(call, std::move(aCallback));
      made = Handle(aNow, traffic::call_arrived{ call, aContext });
    }
  }
  RunCallbacks(made);
  return call;
}

void
traffic_policy::Finish(core::time_point aNow,
                       traffic::call_id aCall,
                       bool aSucceeded,
                       core::duration aLatency)
{
  decisions made;
  {
    std::scoped_lock const lock(mMutex);
    made = Handle(aNow, traffic::call_finished{ aCall, aSucceeded, aLatency });
    auto const run = mRuns.find(aCall);
    if (aSucceeded && run != mRuns.end()) {
      mDependency.CountRun(run->second.mContext.mRoute, run->second.mCallees);
    }
    ForgetRun(aCall);
  }
  RunCallbacks(made);
}

void
traffic_policy::Cancel(core::time_point aNow, traffic::call_id aCall)
{
  decisions made;
  {
    std::scoped_lock const lock(mMutex);
    mWaiting.erase(aCall);
    ForgetRun(aCall);
    made = Handle(aNow, traffic::call_cancelled{ aCall });
  }
  RunCallbacks(made);
}

void
traffic_policy::Tick(core::time_point aNow)
{
  decisions made;
  {
    std::scoped_lock const lock(mMutex);
    made = Handle(aNow, traffic::admission_tick{});
    mBudget.Advance(aNow);
  }
  RunCallbacks(made);
}

core::duration
traffic_policy::LongestAdmissionWait() const
{
  std::scoped_lock const lock(mMutex);
  return mAdmission.MaximumWait();
}

void
traffic_policy::SetUpstream(core::time_point aNow,
                            membership::upstream_status const& aFacts)
{
  decisions made;
  {
    std::scoped_lock const lock(mMutex);
    auto const before = std::exchange(mUpstream, aFacts);
    bool const wasServing =
      before.mLifecycle == membership::lifecycle_state::kServing;
    bool const isNewLife = before.mId != aFacts.mId || !wasServing;
    if (before.mSlots != aFacts.mSlots) {
      ConfigureAdmission(aNow);
    }
    if (IsServing() && isNewLife) {
      made = Handle(aNow, traffic::upstream_restarted{});
    }
  }
  RunCallbacks(made);
}

membership::upstream_id
traffic_policy::UpstreamId() const
{
  std::scoped_lock const lock(mMutex);
  return mUpstream.mId;
}

bool
traffic_policy::IsServing() const
{
  return mUpstream.mLifecycle == membership::lifecycle_state::kServing;
}

void
traffic_policy::StartDraining(core::time_point aNow)
{
  decisions made;
  {
    std::scoped_lock const lock(mMutex);
    mIsDraining = true;
    mDrainStarted = aNow;
    made = Handle(aNow, traffic::admission_drain_started{});
  }
  RunCallbacks(made);
}

bool
traffic_policy::IsDraining() const
{
  std::scoped_lock const lock(mMutex);
  return mIsDraining;
}

bool
traffic_policy::RefusesCallers(core::time_point aNow) const
{
  std::scoped_lock const lock(mMutex);
  return mIsDraining &&
         aNow >= mDrainStarted +
                   std::chrono::milliseconds(mSettings.mDrainServeMilliseconds);
}

bool
traffic_policy::IsUpstreamReady() const
{
  std::scoped_lock const lock(mMutex);
  return IsServing();
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
  stamp.mDownstreamThreshold = DownstreamThreshold(aNow, aRoute);
  return stamp;
}

std::variant<traffic::chosen_upstream, call_refusal>
traffic_policy::Choose(core::time_point aNow,
                       traffic::call_context const& aContext,
                       std::string const& aPool,
                       std::vector<core::instance_id> const& aTried)
{
  std::scoped_lock const lock(mMutex);
  auto const pool = mPools.find(aPool);
  if (pool == mPools.end()) {
    return call_refusal{ outcome::kNotRun,
                         refusal_reason::kNoUpstream,
                         kDefaultRetryAfter };
  }
  if (aTried.empty()) {
    pool->second.mRatio.CountCall(aNow);
    if (aContext.mIsRepeat) {
      pool->second.mRatio.CountRepeat(aNow);
    }
  }
  if (!aContext.mParent.IsEmpty() && aTried.empty()) {
    NoteCallee(aContext.mParent, { aPool, aContext.mRoute });
  }
  auto const choice = pool->second.mSelector.Select(aNow, aContext, aTried);
  if (auto const* const refused =
        std::get_if<traffic::local_refusal>(&choice)) {
    return call_refusal{ outcome::kNotRun,
                         refused->mReason,
                         refused->mRetryAfter };
  }
  return std::get<traffic::chosen_upstream>(choice);
}

void
traffic_policy::Report(core::time_point aNow,
                       std::string const& aPool,
                       traffic::attempt_report const& aReport)
{
  std::scoped_lock const lock(mMutex);
  auto const pool = mPools.find(aPool);
  if (pool == mPools.end()) {
    return;
  }
  pool->second.mSelector.Report(aNow, aReport);
}

std::optional<traffic::retry_decision>
traffic_policy::DecideRetry(std::string const& aPool,
                            traffic::retry_facts aFacts)
{
  std::scoped_lock const lock(mMutex);
  auto const pool = mPools.find(aPool);
  if (pool == mPools.end()) {
    return std::nullopt;
  }
  aFacts.mUsualLatency = pool->second.mSelector.UsualLatency();
  return traffic::DecideRetry(aFacts, pool->second.mRatio, mRandom);
}

void
traffic_policy::OpenBudget(core::time_point aNow,
                           traffic::call_context const& aContext,
                           std::uint32_t aExtraTries)
{
  std::scoped_lock const lock(mMutex);
  mBudget.Open(aNow, aContext.mRequest, aExtraTries, aContext.mDeadline);
}

void
traffic_policy::CloseBudget(core::request_id const& aRequest)
{
  std::scoped_lock const lock(mMutex);
  mBudget.Close(aRequest);
}

bool
traffic_policy::TakePermit(core::time_point aNow,
                           core::request_id const& aRequest)
{
  std::scoped_lock const lock(mMutex);
  return mBudget.RequestPermit(aNow, aRequest);
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
