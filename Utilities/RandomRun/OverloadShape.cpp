#include "OverloadShape.h"

namespace cranberryfold::random_run {

using tables::work_class;

namespace {

constexpr core::duration kFrontServiceTime{ 20'000 };
constexpr core::duration kStockServiceTime{ 30'000 };
constexpr core::duration kJobServiceTime{ 50'000 };
constexpr std::uint32_t kPlumehostFrontSlots = 50;
constexpr std::uint32_t kPlumehostFrontConnections = 400;
constexpr std::uint32_t kStockSlots = 10;
constexpr std::uint32_t kStockConnections = 160;
constexpr std::uint32_t kTanglewickFrontSlots = 75;
constexpr std::uint32_t kTanglewickFrontConnections = 540;
constexpr std::uint32_t kJobSlots = 17;
constexpr std::uint32_t kJobConnections = 200;

service_shape
Front(std::string aName, std::uint32_t aSlots, std::uint32_t aConnections)
{
  return { std::move(aName), aSlots, aConnections, kFrontServiceTime };
}

overload_shape
Plumehost()
{
  enum : std::size_t
  {
    kCatalogue,
    kOrder,
    kGallery,
    kStock
  };
  overload_shape shape;
  for (auto const* const name : { "catalogue", "order", "gallery" }) {
    shape.mServices.push_back(
      Front(name, kPlumehostFrontSlots, kPlumehostFrontConnections));
  }
  shape.mServices.push_back(
    { "stock", kStockSlots, kStockConnections, kStockServiceTime });
  shape.mRequests = {
    { work_class::kCatalogue, 0.45, kCatalogue, 1, true },
    { work_class::kCatalogue, 0.15, kStock, 0, true },
    { work_class::kStatus, 0.13, kOrder, 1, true },
    { work_class::kStatus, 0.13, kStock, 0, true },
    { work_class::kOrder, 0.06, kOrder, 2, false },
    { work_class::kDeposit, 0.03, kOrder, 1, false },
    { work_class::kUpload, 0.05, kGallery, 0, false },
  };
  shape.mObjective = tables::pool_objective::kGoodput;
  return shape;
}

overload_shape
Tanglewick()
{
  enum : std::size_t
  {
    kStrandCondition,
    kBooking,
    kPhoto,
    kJobTracking
  };
  overload_shape shape;
  for (auto const* const name : { "strand_condition", "booking", "photo" }) {
    shape.mServices.push_back(
      Front(name, kTanglewickFrontSlots, kTanglewickFrontConnections));
  }
  shape.mServices.push_back(
    { "job_tracking", kJobSlots, kJobConnections, kJobServiceTime });
  shape.mRequests = {
    { work_class::kCatalogue, 0.10, kStrandCondition, 1, true },
    { work_class::kStatus, 0.40, kStrandCondition, 1, true },
    { work_class::kStatus, 0.30, kJobTracking, 0, true },
    { work_class::kBooking, 0.07, kBooking, 2, false },
    { work_class::kUpload, 0.13, kPhoto, 0, false },
  };
  shape.mObjective = tables::pool_objective::kRecoveryTime;
  return shape;
}

}

std::optional<overload_shape>
FindOverloadShape(std::string_view aName)
{
  if (aName == "plumehost") {
    return Plumehost();
  }
  if (aName == "tanglewick") {
    return Tanglewick();
  }
  return std::nullopt;
}

}
