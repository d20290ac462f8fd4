#include "TrafficWorld.h"

#include "LibTraffic/ClaimCodec.h"

#include <algorithm>

/// Fake upstreams: they run, are slow, crash and lose answers.
namespace cranberryfold::random_run {

namespace {

constexpr core::duration kUpstreamRestart = std::chrono::milliseconds(800);
/// Time in which daemons that are not kept from it have told each other of a
/// crash: the report is held back for one second, and repeats take the rest.
constexpr core::duration kSpreadOfSuspicion = std::chrono::milliseconds(1500);

}

void
traffic_world::Apply(std::size_t aDaemon,
                     traffic::send_quarantine_message const& aAction)
{
  auto const to = mIndexes.at(aAction.mTo);
  mDatagrams.Send(
    mNow,
    aDaemon,
    to,
    { false, traffic::EncodeQuarantineMessage(aAction.mMessage) });
}

void
traffic_world::Execute(std::size_t aDaemon, std::uint64_t aLocal, bool aIsTrial)
{
  auto& self = *mDaemons[aDaemon];
  auto const& call = self.mLocals.at(aLocal).mCall;
  auto& request = mRequests[call.mRequest];
  auto& attempt = request.mAttempts[call.mAttempt];
  ++mCounters.mExecutions;
  ++attempt.mExecutions;
  Note(NameOf(aDaemon) + " runs " + request.mName);
  auto const response =
    "response " + request.mName + " " + std::to_string(mCounters.mExecutions);
  request.mResponses.push_back(response);
  if (!request.mKey.empty() && request.mResponses.size() > 1) {
    Fail("key " + request.mKey + " ran twice");
  }
  if (attempt.mTold == told::kNotRun) {
    Fail("a caller was told not_run, and then " + request.mName + " ran");
  }
  if (request.mPoison) {
    CheckPoison(aDaemon, request, aIsTrial);
  }
  self.mExecutions[aLocal] = { call.mRequest,
                               call.mAttempt,
                               mNow + request.mServiceTime,
                               response,
                               aIsTrial };
}

/// After two crashes, a request may run only in trials, and no longer after two
/// trials have crashed. The news of one crash can be lost with a daemon that
/// restarts. A daemon that was kept from hearing of the crashes is excused;
/// such runs are counted.
void
traffic_world::CheckPoison(std::size_t aDaemon,
                           caller_request const& aRequest,
                           bool aIsTrial)
{
  std::vector<core::time_point> crashes;
  for (auto const& crash : aRequest.mCrashes) {
    if (crash.mIsOfTrial || !aIsTrial) {
      crashes.push_back(crash.mTime);
    }
  }
  if (crashes.size() < 2) {
    return;
  }
  auto const known = std::max(crashes[1], mLastDisturbance);
  if (mNow > known + kSpreadOfSuspicion) {
    Fail(aRequest.mName + " runs on " + NameOf(aDaemon) +
         (aIsTrial ? " after two trials of it crashed"
                   : " beside other requests after it crashed two upstreams"));
  }
  ++mCounters.mExcusedCrashes;
}

void
traffic_world::RunUpstream(std::size_t aDaemon)
{
  auto& self = *mDaemons[aDaemon];
  auto const answers = mNow >= self.mLosesAnswersUntil;
  std::vector<std::uint64_t> finished;
  for (auto const& [local, running] : self.mExecutions) {
    if (mNow < running.mFinish) {
      continue;
    }
    auto& request = mRequests[running.mRequest];
    if (request.mPoison) {
      request.mCrashes.push_back({ mNow, running.mIsTrial });
      Note(request.mName + " crashes the upstream of " + NameOf(aDaemon));
      UpstreamDied(aDaemon);
      return;
    }
    finished.push_back(local);
  }
  for (auto const local : finished) {
    auto const response = self.mExecutions.at(local).mResponse;
    self.mExecutions.erase(local);
    if (answers) {
      WhenAwake(aDaemon, [this, aDaemon, local, response] {
        AnswerLocal(aDaemon, local, traffic::dispatch_outcome::kRan, response);
        ToQuarantine(aDaemon, traffic::call_completed{ local });
      });
    }
  }
}

void
traffic_world::EndLateCalls(std::size_t aDaemon)
{
  auto& self = *mDaemons[aDaemon];
  std::vector<std::uint64_t> late;
  for (auto const& [local, call] : self.mLocals) {
    if (mNow >= call.mDeadline) {
      late.push_back(local);
    }
  }
  for (auto const local : late) {
    self.mLocals.erase(local);
    ToQuarantine(aDaemon, traffic::call_unanswered{ local });
  }
}

void
traffic_world::UpstreamDied(std::size_t aDaemon)
{
  auto& self = *mDaemons[aDaemon];
  ++mCounters.mUpstreamCrashes;
  self.mExecutions.clear();
  self.mUpstreamUpAt = mNow + kUpstreamRestart;
  WhenAwake(aDaemon, [this, aDaemon] {
    ToQuarantine(aDaemon, traffic::upstream_crashed{});
  });
}

void
traffic_world::CrashUpstream(std::size_t aDaemon)
{
  if (mNow < mDaemons[aDaemon]->mUpstreamUpAt || !IsUp(*mDaemons[aDaemon])) {
    return;
  }
  Note("upstream of " + NameOf(aDaemon) + " crashes by itself");
  UpstreamDied(aDaemon);
}

void
traffic_world::LoseAnswers(std::size_t aDaemon, core::duration aTime)
{
  Note("upstream of " + NameOf(aDaemon) + " loses answers");
  mDaemons[aDaemon]->mLosesAnswersUntil = mNow + aTime;
}

bool
traffic_world::AllShardsVote() const
{
  auto const& map = mMaps.back();
  for (auto const& [zone, shards] : map.mZones) {
    for (std::uint32_t index = 0; index < shards.size(); ++index) {
      std::size_t votes = 0;
      for (auto const& holder : shards[index].mGroup.mHolders) {
        auto const& self = *mDaemons[mIndexes.at(holder.mInstance)];
        votes += self.mHolder->Votes({ zone, index }) ? 1 : 0;
      }
      if (votes < shards[index].mGroup.mHolders.size()) {
        return false;
      }
    }
  }
  return true;
}

}
