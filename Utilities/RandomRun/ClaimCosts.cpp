#include "Commands.h"
#include "FakeNetwork.h"

#include "LibTraffic/ClaimCodec.h"
#include "LibTraffic/ClaimCoordinator.h"
#include "LibTraffic/ClaimHolder.h"

#include <malloc.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

/// random_run claim_costs: what a claim costs with different placements of its
/// holders. --steps is the number of claims.
namespace cranberryfold::random_run {

namespace {

using namespace traffic;

constexpr core::duration kInZone{ 500 };
constexpr core::duration kInRegion{ 1000 };
constexpr core::duration kBeyond{ 20000 };
constexpr core::duration kStep{ 250 };
constexpr core::duration kTick = std::chrono::milliseconds(100);
constexpr std::size_t kResponseBytes = 400;
constexpr std::uint64_t kCutClaims = 100;

struct placement
{
  std::string mName;
  /// One-way latency from the daemon that claims; zero is the daemon itself.
  std::vector<core::duration> mHolders;
  /// Which holders its zone reaches when it is cut off.
  std::vector<bool> mInZone;
};

std::vector<placement>
Placements()
{
  return {
    { "target's own daemon", { core::duration{} }, { true } },
    { "group in the home zone, claimed there",
      { kInZone, kInZone, kInZone },
      { true, true, true } },
    { "group in the home zone, claimed in another zone of the region",
      { kInRegion, kInRegion, kInRegion },
      { false, false, false } },
    { "group in the home zone, claimed in another region",
      { kBeyond, kBeyond, kBeyond },
      { false, false, false } },
    { "one holder in each of three zones of the region",
      { kInZone, kInRegion, kInRegion },
      { true, false, false } },
    { "five control replicas, claimed where three of them are",
      { kInRegion, kInRegion, kInRegion, kBeyond, kBeyond },
      { false, false, false, false, false } },
    { "five control replicas, claimed where two of them are",
      { kInRegion, kInRegion, kBeyond, kBeyond, kBeyond },
      { false, false, false, false, false } },
  };
}

struct costs
{
  std::uint64_t mGranted = 0;
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  core::duration mLatency{};
  double mProcessorTime = 0;
  double mEstimatedBytes = 0;
  double mHeapBytes = 0;
};

/// One coordinator and the holders of one placement.
class cost_world
{
public:
  cost_world(placement aPlacement, std::uint64_t aSeed)
    : mPlacement(std::move(aPlacement))
    , mRandom(aSeed)
    , mNetwork(mRandom)
    , mNow(std::chrono::hours(1))
    , mCoordinator({ { { "root" }, { 1 } } }, mRandom)
  {
    mNetwork.SetFaults({ 0, 0, core::duration{}, core::duration{} });
    claim_map map;
    map.mEpoch = { 1 };
    claim_shard shard;
    shard.mGroup.mEpoch = { 1 };
    for (std::size_t index = 0; index < mPlacement.mHolders.size(); ++index) {
      shard.mGroup.mHolders.push_back({ { std::to_string(index) }, { 1 } });
    }
    map.mZones[core::zone_id{}].assign(kShardsPerZone, shard);
    for (auto const& id : shard.mGroup.mHolders) {
      claim_holder_settings settings;
      settings.mSelf = id;
      settings.mMaximumRecords = 10000000;
      settings.mMaximumBytes = 8UL << 30U;
      mHolders.push_back(std::make_unique<claim_holder>(settings, mNow));
      mHolders.back()->Handle(mNow, claim_map_installed{ map });
    }
    mCoordinator.Handle(mNow, claim_map_installed{ map });
  }

  void CutOffZone() { mIsCut = true; }

  costs Run(std::uint64_t aClaims)
  {
    auto const heap = mallinfo2().uordblks;
    auto const processor = std::clock();
    for (std::uint64_t claim = 1; claim <= aClaims; ++claim) {
      One(claim);
    }
    mCosts.mProcessorTime =
      static_cast<double>(std::clock() - processor) / CLOCKS_PER_SEC;
    auto const& store = mHolders.front()->Store();
    auto const records =
      static_cast<double>(std::max<std::size_t>(1, store.Records()));
    mCosts.mEstimatedBytes = static_cast<double>(store.Bytes()) / records;
    mCosts.mHeapBytes = static_cast<double>(mallinfo2().uordblks - heap) /
                        records / static_cast<double>(mHolders.size());
    return mCosts;
  }

private:
  void One(std::uint64_t aClaim)
  {
    auto const start = mNow;
    mIsAnswered = false;
    ToCoordinator(
      claim_wanted{ aClaim,
                    "order-" + std::to_string(aClaim) + "-0123456789",
                    mNow + std::chrono::seconds(3) });
    Deliver();
    while (!mIsAnswered) {
      mNow += kStep;
      Deliver();
    }
    if (mIsGranted) {
      mCosts.mLatency += mNow - start;
      ++mCosts.mGranted;
      ToCoordinator(dispatch_finished{
        aClaim, dispatch_outcome::kRan, std::string(kResponseBytes, 'r') });
    }
    // All acknowledgements arrive before the next claim.
    auto const end = mNow + 3 * kBeyond;
    while (mNow < end) {
      mNow += kBeyond / 2;
      Deliver();
    }
  }

  void Deliver()
  {
    while (mNetwork.NextArrival(core::time_point::max()) <= mNow) {
      DeliverArrived();
    }
    if (mNow >= mNextTick) {
      mNextTick = mNow + kTick;
      ToCoordinator(claim_tick{});
    }
  }

  void DeliverArrived()
  {
    for (auto const& arrival : mNetwork.Take(mNow)) {
      auto message =
        core::Attempt([&] { return DecodeClaimMessage(arrival.mMessage); });
      claim_message_received const event{ { std::to_string(arrival.mFrom) },
                                          *message };
      if (IsForCoordinator(*message)) {
        ToCoordinator(event);
      } else {
        ToHolder(arrival.mTo, event);
      }
    }
  }

  void ToCoordinator(claim_coordinator_event const& aEvent)
  {
    for (auto const& action : mCoordinator.Handle(mNow, aEvent)) {
      if (auto const* send = std::get_if<send_claim_message>(&action)) {
        Send(mHolders.size(), std::stoul(send->mTo.mValue), send->mMessage);
      } else {
        mIsAnswered = true;
        mIsGranted = std::holds_alternative<claim_granted>(action);
      }
    }
  }

  void ToHolder(std::size_t aHolder, claim_message_received const& aEvent)
  {
    for (auto const& action : mHolders[aHolder]->Handle(mNow, aEvent)) {
      if (auto const* send = std::get_if<send_claim_message>(&action)) {
        Send(aHolder, mHolders.size(), send->mMessage);
      }
    }
  }

  void Send(std::size_t aFrom, std::size_t aTo, claim_message const& aMessage)
  {
    auto const holder = std::min(aFrom, aTo);
    if (mIsCut && !mPlacement.mInZone[holder]) {
      return;
    }
    auto bytes = EncodeClaimMessage(aMessage);
    auto const latency = mPlacement.mHolders[holder];
    if (latency > core::duration{}) {
      ++mCosts.mMessages;
      mCosts.mBytes += bytes.size();
    }
    mNetwork.Send(mNow, aFrom, aTo, std::move(bytes), latency);
  }

  placement mPlacement;
  core::random_source mRandom;
  fake_network<std::size_t, std::string> mNetwork;
  core::time_point mNow;
  core::time_point mNextTick;
  std::vector<std::unique_ptr<claim_holder>> mHolders;
  claim_coordinator mCoordinator;
  costs mCosts;
  bool mIsAnswered = false;
  bool mIsGranted = false;
  bool mIsCut = false;
};

int
RunCosts(run_options const& aOptions)
{
  for (auto const& placement : Placements()) {
    cost_world connected(placement, aOptions.mSeed);
    auto const whole = connected.Run(aOptions.mSteps);
    cost_world cut(placement, aOptions.mSeed);
    cut.CutOffZone();
    auto const partial = cut.Run(kCutClaims);
    auto const claims = static_cast<double>(aOptions.mSteps);
    std::printf(
      "placement=\"%s\" claims=%lu granted=%lu latency_us=%.0f messages=%.1f "
      "bytes=%.0f heap_bytes_per_key_and_holder=%.0f estimated=%.0f "
      "processor_us=%.1f granted_when_cut_off_percent=%lu\n",
      placement.mName.c_str(),
      aOptions.mSteps,
      whole.mGranted,
      static_cast<double>(whole.mLatency.count()) / claims,
      static_cast<double>(whole.mMessages) / claims,
      static_cast<double>(whole.mBytes) / claims,
      whole.mHeapBytes,
      whole.mEstimatedBytes,
      whole.mProcessorTime * 1e6 / claims,
      partial.mGranted * 100 / kCutClaims);
  }
  return 0;
}

command_registration const kCosts(
  "claim_costs",
  "Latency, messages, memory and processor time of claims by placement.",
  RunCosts);

}

}
