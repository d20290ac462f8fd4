#pragma once

#include "LibCore/Time.h"
#include "LibTables/Tables.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Sizes of the call graphs that the overload run uses.
namespace cranberryfold::random_run {

struct service_shape
{
  std::string mName;
  std::uint32_t mSlots = 1;
  std::uint32_t mConnections = 1;
  /// Mean service time of a call without competition.
  core::duration mServiceTime{};
};

/// One kind of customer request: a service that the caller reaches, and calls
/// that this service then makes to the deep service, one after the other.
struct request_shape
{
  tables::work_class mClass = tables::work_class::kCatalogue;
  /// Part of all customer requests, from 0 to 1.
  double mShare = 0;
  std::size_t mService = 0;
  std::uint32_t mDeepCalls = 0;
  bool mIdempotent = true;
};

struct overload_shape
{
  /// One upstream of each service in each zone; the last service is deep.
  std::vector<service_shape> mServices;
  std::vector<request_shape> mRequests;
  tables::pool_objective mObjective = tables::pool_objective::kGoodput;
  /// Customer requests per second before the surge.
  double mRate = 1000;
  /// Time that a caller gives one try.
  core::duration mTryTimeout{ 2'000'000 };
  /// Part of the runs at the deep service whose response is lost, from 0 to 1.
  double mLostShare = 0;

  std::size_t DeepService() const { return mServices.size() - 1; }
};

inline constexpr std::uint32_t kOverloadZones = 6;
inline constexpr std::uint32_t kZonesPerRegion = 2;

/// Returns the shape named "plumehost" or "tanglewick", or nothing.
std::optional<overload_shape>
FindOverloadShape(std::string_view aName);

}
