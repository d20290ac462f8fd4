#include "Fleet.h"

#include "LibMembership/Codec.h"
#include "LibTables/TableRules.h"

#include <cstdio>
#include <ctime>
#include <numeric>

namespace cranberryfold::random_run {

namespace {

constexpr core::duration kStep = std::chrono::milliseconds(1);
/// One-way latency between regions beyond that within a region.
constexpr core::duration kRegionLatency = std::chrono::milliseconds(19);
constexpr std::uint64_t kDatagramOverhead = 28;
constexpr std::uint64_t kStreamOverhead = 44;
constexpr std::size_t kMaximumHeld = 1000;

std::string
Numbered(std::string const& aPrefix, std::size_t aNumber)
{
  auto digits = std::to_string(aNumber);
  constexpr std::size_t kDigits = 3;
  if (digits.size() < kDigits) {
    digits.insert(0, kDigits - digits.size(), '0');
  }
  return aPrefix + digits;
}

membership::announcement
MakeAnnouncement(std::size_t aZone, std::size_t aRegion, std::size_t aNumber)
{
  constexpr std::size_t kServices = 4;
  constexpr std::uint16_t kPeerPort = 7000;
  constexpr std::uint16_t kAdminPort = 7001;
  auto const host =
    "10.0." + std::to_string(aZone) + "." + std::to_string(aNumber);
  membership::announcement made;
  made.mInstance = { Numbered("i-" + std::to_string(aZone) + "-", aNumber) };
  made.mZone = { "zone-" + std::to_string(aZone) };
  made.mRegion = { "region-" + std::to_string(aRegion) };
  made.mPeerAddress = { host, kPeerPort };
  made.mAdminAddress = { host, kAdminPort };
  made.mService = { Numbered("service-", aNumber % kServices) };
  made.mSlots = 50;
  made.mConnections = 400;
  return made;
}

tables::table_set
MakeTables(std::size_t aRows)
{
  tables::table_set made;
  for (std::size_t row = 0; row < aRows; ++row) {
    auto const poolName = Numbered("pool-", row);
    made.mPools[poolName] = { poolName, { Numbered("service-", row) } };
    tables::route route;
    route.mName = Numbered("route-", row);
    route.mMethods = { "GET" };
    route.mPathPrefix = "/" + route.mName;
    route.mPool = poolName;
    route.mIdempotent = true;
    made.mRoutes[route.mName] = route;
  }
  return made;
}

}

std::uint64_t
link_traffic::Total() const
{
  auto const sent =
    std::accumulate(mSent.begin(), mSent.end(), std::uint64_t{});
  return std::accumulate(mReceived.begin(), mReceived.end(), sent);
}

fleet::fleet(fleet_settings const& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mNetwork(mRandom)
  , mNow(std::chrono::seconds(100))
  , mTables(std::make_shared<tables::table_set const>())
  , mOnViolation([](std::string const&) {})
{
  std::vector<std::size_t> numbers(aSettings.mZones, 0);
  for (std::size_t index = 0; index < aSettings.mDaemons; ++index) {
    fleet_node node;
    node.mZone = index % aSettings.mZones;
    node.mRegion = node.mZone * aSettings.mRegions / aSettings.mZones;
    auto const number = numbers[node.mZone]++;
    node.mFirst = MakeAnnouncement(node.mZone, node.mRegion, number);
    mByAddress[node.mFirst.mPeerAddress] = index;
    if (number < aSettings.mSeedsPerZone) {
      mSeeds.push_back(node.mFirst.mPeerAddress);
    }
    mNodes.push_back(std::move(node));
  }
}

void
fleet::Run(core::duration aTime)
{
  auto const end = mNow + aTime;
  while (mNow < end) {
    mNow += kStep;
    Deliver();
    TickDue();
  }
}

void
fleet::TickDue()
{
  auto const ticks =
    static_cast<std::size_t>(membership::kTickInterval / kStep);
  auto const phase =
    static_cast<std::size_t>(mNow.time_since_epoch() / kStep) % ticks;
  for (std::size_t node = phase; node < mNodes.size(); node += ticks) {
    if (mNodes[node].IsRunning()) {
      HandleDirectory(node, membership::tick{});
      HandleDistributor(node, membership::tick{});
    }
  }
}

void
fleet::Deliver()
{
  for (auto& delivery : mNetwork.Take(mNow)) {
    auto& node = mNodes[delivery.mTo];
    bool const isCut = AreZonesCut(mNodes[delivery.mFrom].mZone, node.mZone);
    if (isCut || !node.IsUp()) {
      continue;
    }
    auto const kind =
      static_cast<std::size_t>(KindOf(delivery.mFrom, delivery.mTo));
    node.mTraffic.mReceived.at(kind) +=
      delivery.mMessage.mBytes.size() +
      (delivery.mMessage.mIsStream ? kStreamOverhead : kDatagramOverhead);
    if (!node.mFrozen) {
      Receive(delivery.mTo, delivery.mMessage);
    } else if (node.mHeld.size() < kMaximumHeld) {
      node.mHeld.push_back(std::move(delivery.mMessage));
    }
  }
}

void
fleet::Receive(std::size_t aNode, packet const& aPacket)
{
  core::attempt<membership::message> decoded;
  Measured(aNode, [&] {
    decoded =
      core::Attempt([&] { return membership::DecodeMessage(aPacket.mBytes); });
  });
  if (!decoded) {
    mOnViolation("a message could not be decoded");
    return;
  }
  if (auto const* const forMembers = std::get_if<
        membership::message_with_sender<membership::member_message>>(
        &*decoded)) {
    HandleDirectory(aNode, membership::member_message_received{ *forMembers });
  } else {
    HandleDistributor(
      aNode,
      membership::configuration_message_received{ std::get<
        membership::message_with_sender<membership::configuration_message>>(
        *decoded) });
  }
}

template<class Function>
void
fleet::Measured(std::size_t aNode, Function&& aFunction)
{
  auto const before = std::clock();
  aFunction();
  constexpr std::uint64_t kClocksPerMicrosecond = CLOCKS_PER_SEC / 1000000;
  mNodes[aNode].mProcessorMicroseconds +=
    static_cast<std::uint64_t>(std::clock() - before) / kClocksPerMicrosecond;
}

void
fleet::HandleDirectory(std::size_t aNode,
                       membership::directory_event const& aEvent)
{
  std::vector<membership::directory_action> actions;
  Measured(aNode,
           [&] { actions = mNodes[aNode].mDirectory->Handle(mNow, aEvent); });
  for (auto const& action : actions) {
    if (auto const* const send =
          std::get_if<membership::send_message>(&action)) {
      Send(aNode, *send);
    } else if (std::holds_alternative<membership::members_changed>(action)) {
      membership::peers_changed event;
      Measured(aNode,
               [&] { event.mPeers = mNodes[aNode].mDirectory->Peers(); });
      HandleDistributor(aNode, event);
    }
  }
}

void
fleet::HandleDistributor(std::size_t aNode,
                         membership::distributor_event const& aEvent)
{
  std::vector<membership::distributor_action> actions;
  Measured(aNode,
           [&] { actions = mNodes[aNode].mDistributor->Handle(mNow, aEvent); });
  for (auto const& action : actions) {
    if (auto const* const send =
          std::get_if<membership::send_message>(&action)) {
      Send(aNode, *send);
    } else if (auto const* const installed =
                 std::get_if<membership::tables_installed>(&action)) {
      Installed(aNode, *installed);
    }
  }
}

void
fleet::Send(std::size_t aNode, membership::send_message const& aAction)
{
  auto const to = mByAddress.find(aAction.mTo);
  if (to == mByAddress.end()) {
    mOnViolation("a message to an unknown address");
    return;
  }
  packet sent;
  Measured(aNode,
           [&] { sent.mBytes = membership::EncodeMessage(aAction.mMessage); });
  sent.mIsStream =
    aAction.mPreference == membership::transport_preference::kStream;
  auto const kind = KindOf(aNode, to->second);
  mNodes[aNode].mTraffic.mSent.at(static_cast<std::size_t>(kind)) +=
    sent.mBytes.size() + (sent.mIsStream ? kStreamOverhead : kDatagramOverhead);
  // Streams retransmit by themselves, so that only cuts lose their messages.
  auto faults = mDatagramFaults;
  if (sent.mIsStream) {
    faults.mDrop = 0;
    faults.mDuplicate = 0;
  }
  mNetwork.SetFaults(faults);
  mNetwork.Send(mNow,
                aNode,
                to->second,
                std::move(sent),
                kind == link_kind::kCrossRegion ? kRegionLatency
                                                : core::duration{});
}

void
fleet::Installed(std::size_t aNode, membership::tables_installed const& aAction)
{
  auto& node = mNodes[aNode];
  if (aAction.mRevision <= node.mInstalled) {
    mOnViolation("the revision of " + node.mFirst.mInstance.mValue +
                 " went back to " + std::to_string(aAction.mRevision.mValue));
  }
  if (mContents[aAction.mRevision] != aAction.mHash) {
    mOnViolation("a second content for revision " +
                 std::to_string(aAction.mRevision.mValue));
  }
  node.mInstalled = aAction.mRevision;
  node.mInstalledAt = mNow;
}

link_kind
fleet::KindOf(std::size_t aFrom, std::size_t aTo) const
{
  if (mNodes[aFrom].mZone == mNodes[aTo].mZone) {
    return link_kind::kZone;
  }
  return mNodes[aFrom].mRegion == mNodes[aTo].mRegion ? link_kind::kRegion
                                                      : link_kind::kCrossRegion;
}

void
fleet::Start(std::size_t aNode)
{
  auto& node = mNodes[aNode];
  membership::directory_settings settings{ node.mFirst,
                                           mSeeds,
                                           mSettings.mMechanisms };
  auto const started =
    static_cast<std::uint64_t>(core::Milliseconds(mNow.time_since_epoch()));
  node.mIncarnation = started;
  settings.mOwn.mIncarnation = { started };
  node.mDirectory.emplace(settings,
                          core::random_source(mRandom.Below(1ULL << 62U)));
  membership::distributor_settings const own{ { node.mFirst.mInstance,
                                                node.mFirst.mPeerAddress },
                                              mSettings.mAntiEntropy,
                                              mSettings.mPush };
  node.mDistributor.emplace(own,
                            core::random_source(mRandom.Below(1ULL << 62U)));
  node.mFrozen = false;
  node.mHeld.clear();
  node.mStarted = mNow;
  node.mDisturbed = mNow;
  node.mInstalled = {};
  SetLifecycle(aNode, membership::lifecycle_state::kServing);
}

void
fleet::Kill(std::size_t aNode)
{
  auto& node = mNodes[aNode];
  node.mDirectory.reset();
  node.mDistributor.reset();
  node.mFrozen = false;
  node.mHeld.clear();
  node.mDisturbed = mNow;
}

void
fleet::Freeze(std::size_t aNode)
{
  mNodes[aNode].mFrozen = true;
  mNodes[aNode].mDisturbed = mNow;
}

void
fleet::Thaw(std::size_t aNode)
{
  auto& node = mNodes[aNode];
  node.mFrozen = false;
  node.mDisturbed = mNow;
  for (auto const& held : std::exchange(node.mHeld, {})) {
    Receive(aNode, held);
  }
}

void
fleet::SetLifecycle(std::size_t aNode, membership::lifecycle_state aState)
{
  HandleDirectory(aNode, membership::own_state_changed{ aState });
}

void
fleet::NoteWork(std::size_t aFrom, std::size_t aTo)
{
  HandleDirectory(
    aTo,
    membership::requests_received{ { mNodes[aFrom].mFirst.mPeerAddress } });
}

void
fleet::SetDatagramFaults(network_faults const& aFaults)
{
  mDatagramFaults = aFaults;
}

void
fleet::CutZones(std::size_t aFrom, std::size_t aTo)
{
  if (aFrom != aTo) {
    mZoneCuts.emplace(aFrom, aTo);
  }
}

void
fleet::CommitEdit()
{
  if (!mNodes[mLeader].IsRunning()) {
    return;
  }
  auto changed = mRevision.mValue == 0 ? MakeTables(mSettings.mTableRows)
                                       : tables::table_set(*mTables);
  auto const row = mRandom.Below(mSettings.mTableRows);
  auto& pool = changed.mPools[Numbered("pool-", row)];
  pool.mQueueLimit = 1 + (pool.mQueueLimit + 1) % 1000;
  ++mRevision.mValue;
  mTables = std::make_shared<tables::table_set const>(std::move(changed));
  mContents[mRevision] = tables::ContentHash(*mTables);
  HandleDistributor(mLeader,
                    membership::tables_committed{ mRevision, mTables, true });
}

void
fleet::SetLeader(std::size_t aNode)
{
  mLeader = aNode;
  if (mRevision.mValue > 0) {
    HandleDistributor(mLeader,
                      membership::tables_committed{ mRevision, mTables, true });
  }
}

void
fleet::OnViolation(std::function<void(std::string const&)> aFunction)
{
  mOnViolation = std::move(aFunction);
}

void
fleet::ResetCounters()
{
  for (auto& node : mNodes) {
    node.mTraffic = {};
    node.mProcessorMicroseconds = 0;
  }
}

}
