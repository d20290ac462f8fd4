#include "TrafficWorld.h"

#include "LibTraffic/ClaimCodec.h"

#include <algorithm>

namespace cranberryfold::random_run {

namespace {

constexpr core::duration kStep = std::chrono::milliseconds(1);
constexpr core::duration kTick = std::chrono::milliseconds(100);
constexpr core::duration kSpreadInterval = std::chrono::milliseconds(200);
constexpr core::duration kMembershipDelay = std::chrono::milliseconds(500);
constexpr std::size_t kTraceLength = 60;
constexpr double kSpreadChance = 0.5;

}

std::string_view
ToldName(told aTold)
{
  static constexpr std::array<std::string_view, kToldCount> kNames{
    "nothing", "ran", "stored", "ran_answer_gone", "unknown", "not_run"
  };
  return kNames.at(static_cast<std::size_t>(aTold));
}

traffic_world::traffic_world(traffic_settings aSettings)
  : mSettings(std::move(aSettings))
  , mRandom(mSettings.mSeed)
  , mDatagrams(mRandom)
  , mCalls(mRandom)
{
  // Time zero would make the first grant look like one from before the start.
  mNow = core::time_point(std::chrono::hours(1));
  for (std::size_t zone = 0; zone < mSettings.mZones; ++zone) {
    for (std::size_t index = 0; index < mSettings.mDaemonsPerZone; ++index) {
      auto entry = std::make_unique<daemon>();
      entry->mInstance = { ZoneName(zone) + "-d" + std::to_string(index) };
      entry->mZone = zone;
      mIndexes[entry->mInstance] = mDaemons.size();
      mDaemons.push_back(std::move(entry));
    }
  }
  for (std::size_t index = 0; index < mDaemons.size(); ++index) {
    StartProcess(index);
  }
  mMaps.emplace_back();
  RebuildMap();
  for (std::size_t index = 0; index < mDaemons.size(); ++index) {
    InstallMap(index, mMaps.back().mEpoch);
  }
  AnnouncePeers();
  Advance(std::chrono::milliseconds(50));
}

std::string
traffic_world::ZoneName(std::size_t aZone) const
{
  return "z" + std::to_string(aZone);
}

std::string
traffic_world::NameOf(std::size_t aDaemon) const
{
  return mDaemons[aDaemon]->mInstance.mValue;
}

std::size_t
traffic_world::DaemonOf(std::string const& aInstance) const
{
  return mIndexes.at({ aInstance });
}

void
traffic_world::StartProcess(std::size_t aDaemon)
{
  auto& self = *mDaemons[aDaemon];
  traffic::holder_id const id{ self.mInstance, { self.mLife } };
  traffic::claim_mechanisms mechanisms;
  mechanisms.mMajority = Has("majority");
  mechanisms.mEpochFence = Has("epoch_fence");
  mechanisms.mHolderRecovery = Has("holder_recovery");
  mechanisms.mIncarnationFence = Has("life_fence");
  traffic::claim_holder_settings holder;
  holder.mSelf = id;
  holder.mRetention =
    Has("retention") ? mSettings.mRetention : std::chrono::milliseconds(500);
  holder.mMechanisms = mechanisms;
  traffic::claim_coordinator_settings coordinator;
  coordinator.mSelf = id;
  coordinator.mMechanisms = mechanisms;
  traffic::quarantine_settings settings;
  settings.mSelf = id;
  settings.mQuarantineTime = mSettings.mQuarantineTime;
  settings.mTrialLease = std::chrono::seconds(6);
  settings.mMaximumTrialWait = std::chrono::seconds(1);
  settings.mEnabled = Has("quarantine");
  self.mMapEpoch = {};
  self.mHolder = std::make_unique<traffic::claim_holder>(holder, mNow);
  self.mCoordinator =
    std::make_unique<traffic::claim_coordinator>(coordinator, mRandom);
  self.mQuarantine = std::make_unique<traffic::quarantine>(settings);
  self.mRoots.clear();
  self.mLocals.clear();
  self.mExecutions.clear();
  self.mBacklog.clear();
}

void
traffic_world::Advance(core::duration aTime)
{
  auto const end = mNow + aTime;
  while (mNow < end) {
    mNow += kStep;
    Step();
  }
}

void
traffic_world::Step()
{
  if (mHasCuts) {
    Disturb();
  }
  for (auto const& arrival : mDatagrams.Take(mNow)) {
    WhenAwake(arrival.mTo, [this, arrival] {
      TakeDatagram(arrival.mFrom, arrival.mTo, arrival.mMessage);
    });
  }
  for (auto const& arrival : mCalls.Take(mNow)) {
    WhenAwake(arrival.mTo, [this, arrival] {
      if (arrival.mMessage.mIsAnswer) {
        TakeAnswer(arrival.mTo, arrival.mMessage);
      } else {
        TakeCall(arrival.mFrom, arrival.mTo, arrival.mMessage);
      }
    });
  }
  if (mNow >= mNextPeers) {
    mNextPeers = mNow + kMembershipDelay;
    AnnouncePeers();
  }
  if (mNow >= mNextSpread) {
    mNextSpread = mNow + kSpreadInterval;
    SpreadMap();
  }
  for (std::size_t index = 0; index < mDaemons.size(); ++index) {
    TickDaemon(index);
  }
  ResendDue();
}

void
traffic_world::TickDaemon(std::size_t aDaemon)
{
  auto& self = *mDaemons[aDaemon];
  if (!IsUp(self)) {
    return;
  }
  RunUpstream(aDaemon);
  if (mNow < self.mFrozenUntil) {
    return;
  }
  while (!self.mBacklog.empty()) {
    auto const next = std::move(self.mBacklog.front());
    self.mBacklog.pop_front();
    next();
  }
  CheckRootDeadlines(aDaemon);
  EndLateCalls(aDaemon);
  if (mNow >= self.mNextTick) {
    self.mNextTick = mNow + kTick;
    ToHolder(aDaemon, traffic::claim_tick{});
    ToCoordinator(aDaemon, traffic::claim_tick{});
    ToQuarantine(aDaemon, traffic::quarantine_tick{});
  }
}

void
traffic_world::WhenAwake(std::size_t aDaemon, std::function<void()> aFunction)
{
  auto& self = *mDaemons[aDaemon];
  if (!IsUp(self)) {
    return;
  }
  if (mNow < self.mFrozenUntil) {
    self.mBacklog.push_back(std::move(aFunction));
    return;
  }
  aFunction();
}

void
traffic_world::Note(std::string aText)
{
  auto const since = mNow - core::time_point(std::chrono::hours(1));
  mEvents.push_back(std::to_string(core::Milliseconds(since)) + " ms " +
                    std::move(aText));
  if (mEvents.size() > kTraceLength) {
    mEvents.pop_front();
  }
}

void
traffic_world::Fail(std::string const& aText)
{
  throw violation{ aText };
}

void
traffic_world::ToHolder(std::size_t aDaemon,
                        traffic::claim_holder_event const& aEvent)
{
  auto& self = *mDaemons[aDaemon];
  for (auto const& action : self.mHolder->Handle(mNow, aEvent)) {
    if (auto const* send = std::get_if<traffic::send_claim_message>(&action)) {
      SendClaim(aDaemon, *send);
    } else {
      ShardActivated(aDaemon, std::get<traffic::shard_activated>(action));
    }
  }
}

void
traffic_world::ToCoordinator(std::size_t aDaemon,
                             traffic::claim_coordinator_event const& aEvent)
{
  auto& self = *mDaemons[aDaemon];
  for (auto const& action : self.mCoordinator->Handle(mNow, aEvent)) {
    if (auto const* send = std::get_if<traffic::send_claim_message>(&action)) {
      SendClaim(aDaemon, *send);
    } else if (auto const* granted =
                 std::get_if<traffic::claim_granted>(&action)) {
      Granted(aDaemon, *granted);
    } else {
      Answered(aDaemon, std::get<traffic::claim_answered>(action));
    }
  }
}

void
traffic_world::SendClaim(std::size_t aDaemon,
                         traffic::send_claim_message const& aSend)
{
  auto const to = mIndexes.at(aSend.mTo);
  datagram message{ true, traffic::EncodeClaimMessage(aSend.mMessage) };
  ++mCounters.mClaimMessages;
  mCounters.mClaimBytes += message.mBytes.size();
  mDatagrams.Send(mNow, aDaemon, to, std::move(message));
}

void
traffic_world::TakeDatagram(std::size_t aFrom,
                            std::size_t aTo,
                            datagram const& aBytes)
{
  auto const& sender = mDaemons[aFrom]->mInstance;
  if (!aBytes.mIsClaim) {
    auto message = core::Attempt(
      [&] { return traffic::DecodeQuarantineMessage(aBytes.mBytes); });
    ToQuarantine(aTo, traffic::quarantine_message_received{ sender, *message });
    return;
  }
  auto message =
    core::Attempt([&] { return traffic::DecodeClaimMessage(aBytes.mBytes); });
  traffic::claim_message_received const event{ sender, *message };
  if (traffic::IsForCoordinator(*message)) {
    ToCoordinator(aTo, event);
  } else {
    ToHolder(aTo, event);
  }
}

void
traffic_world::RebuildMap()
{
  std::vector<traffic::claim_member> members;
  for (auto const& entry : mDaemons) {
    if (entry->mIsMember) {
      members.push_back(
        { { ZoneName(entry->mZone) }, { entry->mInstance, { entry->mLife } } });
    }
  }
  auto next = traffic::BuildClaimMap(mMaps.back(), members);
  if (next.mEpoch != mMaps.back().mEpoch) {
    Note("claim map " + std::to_string(next.mEpoch.mValue));
    mMaps.push_back(std::move(next));
  }
}

void
traffic_world::InstallMap(std::size_t aDaemon, traffic::claim_epoch aEpoch)
{
  auto& self = *mDaemons[aDaemon];
  if (self.mMapEpoch >= aEpoch) {
    return;
  }
  self.mMapEpoch = aEpoch;
  // Maps are numbered from the empty one on.
  traffic::claim_map_installed const event{ mMaps.at(aEpoch.mValue) };
  ToHolder(aDaemon, event);
  ToCoordinator(aDaemon, event);
}

/// A daemon gets the map of another one that it can talk to; the first daemon
/// of each zone that is up gets the newest one from the control replicas.
void
traffic_world::SpreadMap()
{
  std::set<std::size_t> zones;
  for (std::size_t index = 0; index < mDaemons.size(); ++index) {
    auto& self = *mDaemons[index];
    if (!IsUp(self) || mNow < self.mFrozenUntil ||
        self.mMapEpoch == mMaps.back().mEpoch) {
      continue;
    }
    if (!mHasCuts && zones.insert(self.mZone).second) {
      InstallMap(index, mMaps.back().mEpoch);
      continue;
    }
    auto const other = static_cast<std::size_t>(mRandom.Below(mDaemons.size()));
    auto const talks =
      !mDatagrams.IsCut(index, other) && !mDatagrams.IsCut(other, index);
    if (talks && mRandom.Chance(kSpreadChance)) {
      InstallMap(index, mDaemons[other]->mMapEpoch);
    }
  }
}

void
traffic_world::ShardActivated(std::size_t aDaemon,
                              traffic::shard_activated const& aAction)
{
  auto& active = mActivated[{ aAction.mShard, aAction.mEpoch }];
  active.insert(aDaemon);
  if (mMaps.empty()) {
    return;
  }
  auto const* shard = mMaps.back().Find(aAction.mShard);
  if (shard == nullptr || shard->mGroup.mEpoch != aAction.mEpoch ||
      shard->mEarlier.empty() || active.size() < shard->mGroup.Majority()) {
    return;
  }
  mMaps.push_back(
    traffic::ForgetEarlierGroups(mMaps.back(), aAction.mShard, aAction.mEpoch));
}

void
traffic_world::SetNetworkFaults(network_faults const& aFaults)
{
  mDatagrams.SetFaults(aFaults);
  auto calls = aFaults;
  calls.mDrop = 0;
  calls.mDuplicate = 0;
  mCalls.SetFaults(calls);
}

void
traffic_world::Cut(std::size_t aFrom, std::size_t aTo)
{
  Note("cut " + NameOf(aFrom) + " to " + NameOf(aTo));
  mDatagrams.Cut(aFrom, aTo);
  mCalls.Cut(aFrom, aTo);
  mHasCuts = true;
}

void
traffic_world::IsolateZone(std::size_t aZone)
{
  for (std::size_t one = 0; one < mDaemons.size(); ++one) {
    for (std::size_t two = 0; two < mDaemons.size(); ++two) {
      if ((mDaemons[one]->mZone == aZone) != (mDaemons[two]->mZone == aZone)) {
        mDatagrams.Cut(one, two);
        mCalls.Cut(one, two);
      }
    }
  }
  Note("isolate zone " + ZoneName(aZone));
  mHasCuts = true;
}

void
traffic_world::HealAll()
{
  Note("heal all cuts");
  mDatagrams.HealAll();
  mCalls.HealAll();
  mHasCuts = false;
}

void
traffic_world::Restart(std::size_t aDaemon, core::duration aDownTime)
{
  auto& self = *mDaemons[aDaemon];
  Note("restart " + NameOf(aDaemon));
  // Callers see their connection break; the upstream goes with its instance.
  std::vector<root_request> broken;
  for (auto const& [number, root] : self.mRoots) {
    broken.push_back(root);
  }
  ++self.mLife;
  self.mUpAt = mNow + aDownTime;
  self.mFrozenUntil = mNow;
  self.mUpstreamUpAt = self.mUpAt;
  StartProcess(aDaemon);
  for (auto const& root : broken) {
    Tell(root.mRequest, root.mAttempt, told::kUnknown, "");
  }
  Disturb();
  mLastDisturbance = std::max(mLastDisturbance, self.mUpAt + kMembershipDelay);
}

void
traffic_world::Freeze(std::size_t aDaemon, core::duration aTime)
{
  Note("freeze " + NameOf(aDaemon));
  mDaemons[aDaemon]->mFrozenUntil = mNow + aTime;
  mLastDisturbance = std::max(mLastDisturbance, mNow + aTime);
}

void
traffic_world::SetMember(std::size_t aDaemon, bool aIsMember)
{
  Note((aIsMember ? "add member " : "remove member ") + NameOf(aDaemon));
  mDaemons[aDaemon]->mIsMember = aIsMember;
  RebuildMap();
}

bool
traffic_world::IsMember(std::size_t aDaemon) const
{
  return mDaemons[aDaemon]->mIsMember;
}

void
traffic_world::AnnouncePeers()
{
  for (std::size_t index = 0; index < mDaemons.size(); ++index) {
    traffic::service_peers_changed event;
    for (auto const& peer : mDaemons) {
      if (peer.get() != mDaemons[index].get() && IsUp(*peer)) {
        event.mPeers.insert({ peer->mInstance, { peer->mLife } });
      }
    }
    WhenAwake(index, [this, index, event] { ToQuarantine(index, event); });
  }
}

void
traffic_world::Disturb()
{
  mLastDisturbance = std::max(mLastDisturbance, mNow);
}

std::pair<std::size_t, std::size_t>
traffic_world::StoredClaims() const
{
  std::pair<std::size_t, std::size_t> total;
  for (auto const& entry : mDaemons) {
    total.first += entry->mHolder->Store().Records();
    total.second += entry->mHolder->Store().Bytes();
  }
  return total;
}

std::size_t
traffic_world::SuspectsLeft() const
{
  std::size_t count = 0;
  for (auto const& entry : mDaemons) {
    count += entry->mQuarantine->Suspects();
  }
  return count;
}

}
