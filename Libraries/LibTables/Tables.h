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
ShedLevelOfClass(work_class aClass);

inline constexpr int kShedLevels = 3;

/// Returns the level of a route's rank: rank 0 is shed last.
int
ShedLevelOfRank(std::uint32_t aRank);

/// What a pool's owner weighs more when the pool is overloaded.
enum class pool_objective : std::uint8_t
{
  kGoodput,
  kRecoveryTime,
};

/// What bounds the calls that an upstream runs at once.
enum class concurrency_policy : std::uint8_t
{
  /// Adapts to measured latency, within the slots.
  kAdaptive,
  /// The announced slots: the upstream runs each call in a slot of its own.
  kSlots,
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
  concurrency_policy mConcurrency = concurrency_policy::kAdaptive;
  /// Calls that may wait for admission at each upstream.
  std::uint32_t mQueueLimit = 50;
  std::uint32_t mQueueWaitMilliseconds = 100;
  /// Repeats allowed for each hundred calls of a daemon, within 10 s.
  std::uint32_t mRetryPercent = 10;
  spill_scope mSpill = spill_scope::kAll;
  std::uint32_t mColdStartMilliseconds = 10000;
  /// Path that tells whether an upstream is healthy; empty means the settings'.
  std::string mHealthPath;
  /// Connections that each upstream accepts; 0 means as announced.
  std::uint32_t mUpstreamConnections = 0;
  /// Protocol of the upstreams; "h1" is HTTP/1.1.
  std::string mUpstreamProtocol = "h1";
  bool mUpstreamTls = false;

  auto operator<=>(pool const&) const = default;
};

/// One part of a route that is divided over several pools.
struct weighted_pool
{
  std::string mPool;
  std::uint32_t mWeight = 0;

  // The check takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(weighted_pool const&) const = default;
};

struct route
{
  std::string mName;
  /// Upper-case HTTP methods, sorted; "*" stands for all.
  std::set<std::string> mMethods;
  /// Host that callers ask for, in lower case; empty stands for all.
  std::string mHost;
  std::string mPathPrefix;
  /// Empty when the route is divided over mSplit.
  std::string mPool;
  std::vector<weighted_pool> mSplit;
  work_class mClass = work_class::kCatalogue;
  /// Priority among routes, 0 being the highest; set, it replaces the class in
  /// the order of shedding.
  std::optional<std::uint32_t> mRank;
  bool mIdempotent = false;
  /// Whether callers send large bodies.
  bool mLargeBodies = false;
  std::uint32_t mTimeoutMilliseconds = 5000;
  /// Time within which a response is worth most; 0 means the timeout.
  std::uint32_t mObjectiveMilliseconds = 0;
  /// Further tries for a whole customer request, at all depths together.
  std::uint32_t mExtraTries = 3;

  auto operator<=>(route const&) const = default;
};

/// What callers may send, and how long they may take.
struct caller_limits
{
  std::uint32_t mHeaderBytes = 16384;
  /// 0 means no limit.
  std::uint64_t mBodyBytes = 0;
  /// Time for the header of a request, from its first byte.
  std::uint32_t mHeaderTimeoutMilliseconds = 10000;
  /// Time that a connection may stay idle between requests.
  std::uint32_t mIdleTimeoutMilliseconds = 60000;

  auto operator<=>(caller_limits const&) const = default;
};

/// Both tables, keyed by row name.
struct table_set
{
  std::map<std::string, pool> mPools;
  std::map<std::string, route> mRoutes;
  caller_limits mLimits;
  /// Number that the operator gave to this version; 0 when there is none.
  std::uint64_t mLabel = 0;
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

struct put_limits
{
  caller_limits mLimits;
  bool operator==(put_limits const&) const = default;
};

struct put_label
{
  std::uint64_t mLabel = 0;
  bool operator==(put_label const&) const = default;
};

using change = std::variant<put_pool,
                            remove_pool,
                            put_route,
                            remove_route,
                            add_replica,
                            remove_replica,
                            put_claim_map,
                            put_limits,
                            put_label>;

/// Tables that replace all rows, built on the version labelled mBaseLabel.
struct table_replacement
{
  std::uint64_t mBaseLabel = 0;
  table_set mTables;

  bool operator==(table_replacement const&) const = default;
};

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
