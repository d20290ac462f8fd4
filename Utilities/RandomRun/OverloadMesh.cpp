#include "OverloadMesh.h"

#include <algorithm>

namespace cranberryfold::random_run {

namespace {

constexpr core::duration kTickInterval{ 10'000 };
constexpr core::duration kZoneLatency{ 100 };
constexpr core::duration kRegionLatency{ 1'000 };
constexpr core::duration kInterRegionLatency{ 20'000 };
/// Long enough for a slowed deep service, whose calls take up to 250 ms.
constexpr std::uint32_t kQueueWaitMilliseconds = 200;
constexpr std::uint16_t kPeerPort = 7000;

std::string
RegionName(std::size_t aZone)
{
  return "region" + std::to_string(aZone / kZonesPerRegion);
}

std::string
ZoneName(std::size_t aZone)
{
  return "zone" + std::to_string(aZone);
}

}

overload_mesh::overload_mesh(overload_shape const& aShape,
                             overload_policy const& aPolicy,
                             core::timer_service& aTimers,
                             core::random_source& aRandom,
                             overload_report& aReport)
  : mShape(aShape)
  , mPolicy(aPolicy)
  , mTimers(aTimers)
  , mRandom(aRandom)
  , mReport(aReport)
{
  for (std::size_t service = 0; service < aShape.mServices.size(); ++service) {
    mServiceOf.emplace(PoolOf(service).mName, service);
    for (std::size_t zone = 0; zone < kOverloadZones; ++zone) {
      AddNode(service, zone);
    }
  }
  for (auto const& entry : mNodes) {
    ConfigureSelectors(*entry);
  }
  mTimers.Every({}, kTickInterval, [this](core::time_point aNow) {
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      HandleAdmission(aNow, index, traffic::admission_tick{});
    }
  });
}

tables::pool
overload_mesh::PoolOf(std::size_t aService) const
{
  tables::pool pool;
  pool.mName = mShape.mServices.at(aService).mName;
  pool.mService.mValue = pool.mName;
  pool.mObjective = mShape.mObjective;
  pool.mQueueWaitMilliseconds = kQueueWaitMilliseconds;
  return pool;
}

void
overload_mesh::AddNode(std::size_t aService, std::size_t aZone)
{
  auto const& service = mShape.mServices.at(aService);
  core::instance_id const instance{ service.mName + std::to_string(aZone) };
  auto entry = std::make_unique<node>(
    node{ aService,
          aZone,
          instance,
          fake_upstream(mTimers, service.mSlots, service.mConnections),
          traffic::admission_controller({}, mPolicy.mController),
          {},
          {},
          {},
          {},
          {} });
  entry->mAdmission.Handle(
    {}, traffic::configuration_changed{ service.mSlots, PoolOf(aService) });
  mNodeOf.emplace(instance, mNodes.size());
  mNodes.push_back(std::move(entry));
}

void
overload_mesh::ConfigureSelectors(node& aNode)
{
  traffic::location const here{ { ZoneName(aNode.mZone) },
                                { RegionName(aNode.mZone) } };
  for (std::size_t service = 0; service < mShape.mServices.size(); ++service) {
    std::vector<traffic::candidate> candidates;
    for (std::size_t zone = 0; zone < kOverloadZones; ++zone) {
      auto const index = NodeIndex(service, zone);
      candidates.push_back({ mNodes.at(index)->mInstance,
                             { 1 },
                             { ZoneName(zone) },
                             { RegionName(zone) },
                             PeerAddress(index),
                             mShape.mServices.at(service).mSlots,
                             false });
    }
    auto selector = std::make_unique<traffic::upstream_selector>(
      here, mRandom, mPolicy.mSelection);
    selector->Configure(PoolOf(service), std::move(candidates));
    aNode.mSelectors.push_back(std::move(selector));
    aNode.mRatios.emplace_back(
      traffic::retry_allowance{ PoolOf(service).mRetryPercent });
  }
}

std::size_t
overload_mesh::NodeIndex(std::size_t aService, std::size_t aZone) const
{
  return aService * kOverloadZones + aZone;
}

core::address
overload_mesh::PeerAddress(std::size_t aNode) const
{
  return { "10.0.0." + std::to_string(aNode), kPeerPort };
}

core::duration
overload_mesh::Latency(std::size_t aFrom, std::size_t aTo) const
{
  auto const from = mNodes.at(aFrom)->mZone;
  auto const to = mNodes.at(aTo)->mZone;
  if (from == to) {
    return kZoneLatency;
  }
  return from / kZonesPerRegion == to / kZonesPerRegion ? kRegionLatency
                                                        : kInterRegionLatency;
}

void
overload_mesh::Later(core::time_point aTime, core::timer_service::callback aRun)
{
  mTimers.Once(aTime, std::move(aRun));
}

void
overload_mesh::OpenBudget(core::time_point aNow,
                          std::size_t aRoot,
                          core::request_id const& aRequest)
{
  constexpr core::duration kLifetime{ 10'000'000 };
  mNodes.at(aRoot)->mBudget.Open(
    aNow, aRequest, tables::route{}.mExtraTries, aNow + kLifetime);
}

void
overload_mesh::CloseBudget(std::size_t aRoot, core::request_id const& aRequest)
{
  mNodes.at(aRoot)->mBudget.Close(aRequest);
}

void
overload_mesh::SetDeepSpeed(core::time_point aNow,
                            double aCoreShare,
                            double aWorkFactor)
{
  auto const deep = mShape.DeepService();
  for (std::size_t zone = 0; zone < kOverloadZones; ++zone) {
    mNodes.at(NodeIndex(deep, zone))
      ->mUpstream.SetSpeed(
        aNow, mShape.mServices.at(deep).mSlots * aCoreShare, aWorkFactor);
  }
}

void
overload_mesh::Settle(core::time_point aNow,
                      request_account& aAccount,
                      bool aSuccess)
{
  aAccount.mEnded = true;
  auto& counts = mReport.At(aNow);
  if (aSuccess) {
    counts.mUsefulWork += aAccount.mWork;
    counts.mUsefulDeepWork += aAccount.mDeepWork;
  } else {
    counts.mWastedWork += aAccount.mWork;
    counts.mWastedDeepWork += aAccount.mDeepWork;
  }
}

std::uint64_t
overload_mesh::OrderViolations() const
{
  std::uint64_t sum = 0;
  for (auto const& entry : mNodes) {
    sum += entry->mOrder.Violations();
  }
  return sum;
}

std::uint64_t
overload_mesh::InFlight() const
{
  std::uint64_t sum = mCalls.size() + mAttempts.size();
  for (auto const& entry : mNodes) {
    sum += entry->mAdmission.Running() + entry->mAdmission.Waiting();
    sum += entry->mUpstream.Accepted() + entry->mBudget.Size();
    for (auto const& selector : entry->mSelectors) {
      sum += selector->InFlight();
    }
  }
  return sum;
}

}
