#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The two tables that operators edit: routes and pools, joined by pool names.
namespace cranberryfold::tables {

/// Classes of work; the first is shed first, the last four are shed together
/// and last.
enum class work_class : std::uint8_t
{
  kCatalogue,
  kStatus,
  kOrder,
  kDeposit,
  kBooking,
  kUpload,
};

inline constexpr std::size_t kWorkClassCount = 6;

std::string_view
WorkClassName(work_class aClass);

/// Returns the class named aName, such as "catalogue", or nothing.
std::optional<work_class>
ParseWorkClass(std::string_view aName);

/// Priority under overload: 0 is shed first, 2 last.
int
ShedOrder(work_class aClass);

inline constexpr int kShedLevels = 3;

/// What a pool's owner weighs more when the pool is overloaded.
enum class pool_objective : std::uint8_t
{
  kGoodput,
  kRecoveryTime,
};

/// How far from the caller's zone a pool's work may go.
enum class spill_scope : std::uint8_t
{
  kZone,
  kRegion,
  kAll,
};

struct pool
{
  std::string mName;
  core::service_id mService;
  pool_objective mObjective = pool_objective::kGoodput;
  /// Calls at once for each upstream; 0 means its announced slots.
  std::uint32_t mMaxConcurrency = 0;
  /// Calls that may wait for admission at each upstream.
  std::uint32_t mQueueLimit = 50;
  std::uint32_t mQueueWaitMilliseconds = 100;
  /// Retries allowed for each hundred successes of a daemon.
  std::uint32_t mRetryPercent = 10;
  spill_scope mSpill = spill_scope::kAll;
  std::uint32_t mColdStartMilliseconds = 10000;

  auto operator<=>(pool const&) const = default;
};

struct route
{
  std::string mName;
  /// Upper-case HTTP methods, sorted.
  std::set<std::string> mMethods;
  std::string mPathPrefix;
  std::string mPool;
  work_class mClass = work_class::kCatalogue;
  bool mIdempotent = false;
  std::uint32_t mTimeoutMilliseconds = 5000;
  /// Further tries for a whole customer request, at all depths together.
  std::uint32_t mExtraTries = 3;

  auto operator<=>(route const&) const = default;
};

/// Both tables, keyed by row name.
struct table_set
{
  std::map<std::string, pool> mPools;
  std::map<std::string, route> mRoutes;
  /// Encoded claim map of LibTraffic. Kept by the control leader, not by
  /// operators, and carried along so that it reaches every daemon.
  std::string mClaimMap;

  bool operator==(table_set const&) const = default;
};

struct put_pool
{
  pool mPool;
  bool operator==(put_pool const&) const = default;
};

struct remove_pool
{
  std::string mName;
  bool operator==(remove_pool const&) const = default;
};

struct put_route
{
  route mRoute;
  bool operator==(put_route const&) const = default;
};

struct remove_route
{
  std::string mName;
  bool operator==(remove_route const&) const = default;
};

/// Makes an instance a control replica; it votes once it has caught up.
struct add_replica
{
  core::instance_id mInstance;
  core::address mPeerAddress;
  bool operator==(add_replica const&) const = default;
};

struct remove_replica
{
  core::instance_id mInstance;
  bool operator==(remove_replica const&) const = default;
};

/// Replaces the claim map; made by the control leader only.
struct put_claim_map
{
  std::string mEncoded;
  bool operator==(put_claim_map const&) const = default;
};

using change = std::variant<put_pool,
                            remove_pool,
                            put_route,
                            remove_route,
                            add_replica,
                            remove_replica,
                            put_claim_map>;

/// A set of changes that is accepted as a whole or not at all.
struct edit
{
  core::edit_id mId;
  /// The revision that the operator saw when making the edit.
  core::revision mBase;
  std::vector<change> mChanges;

  bool operator==(edit const&) const = default;
};

/// Whether the control leader made the edit. Such an edit makes a revision,
/// but does not take the base revision away from an operator's edit.
bool
IsSystemEdit(edit const& aEdit);

}
