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

/// The two tables that operators edit: routes and pools. Routes refer to pools
/// by name.
namespace cranberryfold::tables {

/// Classes of work. Under overload the first class is shed first; the last four
/// are shed last and together.
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

/// Returns the class named aName, such as "catalogue", or std::nullopt if there
/// is none.
std::optional<work_class>
ParseWorkClass(std::string_view aName);

/// Returns the shed level of a class: level 0 is shed first, level 2 last.
int
ShedLevelOfClass(work_class aClass);

inline constexpr int kShedLevels = 3;

/// Returns the shed level of a route's rank: rank 0 has the highest level,
/// which is shed last.
int
ShedLevelOfRank(std::uint32_t aRank);

/// What an overloaded pool optimises for.
enum class pool_objective : std::uint8_t
{
  kGoodput,
  kRecoveryTime,
};

/// What limits the number of calls that an upstream runs at once.
enum class concurrency_policy : std::uint8_t
{
  /// A limit that adapts to the measured latency, up to the number of slots.
  kAdaptive,
  /// The announced number of slots; the upstream runs each call in its own
  /// slot.
  kSlots,
};

/// How far from the caller's zone the calls of a pool may be sent.
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
  /// Maximum concurrent calls for each upstream; 0 means its announced slots.
  std::uint32_t mMaxConcurrency = 0;
  concurrency_policy mConcurrency = concurrency_policy::kAdaptive;
  /// Maximum number of calls that wait for admission at each upstream.
  std::uint32_t mQueueLimit = 50;
  std::uint32_t mQueueWaitMilliseconds = 100;
  /// Retries allowed per hundred calls of a daemon, within 10 s.
  std::uint32_t mRetryPercent = 10;
  spill_scope mSpill = spill_scope::kAll;
  std::uint32_t mColdStartMilliseconds = 10000;
  /// Path of the upstreams' health check; empty means the one in the settings.
  std::string mHealthPath;
  /// Maximum connections to each upstream; 0 means the announced number.
  std::uint32_t mUpstreamConnections = 0;
  /// Protocol of the upstreams; "h1" is HTTP/1.1.
  std::string mUpstreamProtocol = "h1";
  bool mUpstreamTls = false;

  auto operator<=>(pool const&) const = default;
};

/// One part of a route that is split between several pools.
struct weighted_pool
{
  std::string mPool;
  std::uint32_t mWeight = 0;

  // clang-tidy takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(weighted_pool const&) const = default;
};

struct route
{
  std::string mName;
  /// HTTP methods in upper case; "*" matches every method.
  std::set<std::string> mMethods;
  /// Requested host in lower case; empty matches every host.
  std::string mHost;
  std::string mPathPrefix;
  /// Empty if the route uses mSplit.
  std::string mPool;
  std::vector<weighted_pool> mSplit;
  work_class mClass = work_class::kCatalogue;
  /// Priority among routes; 0 is the highest. If set, it determines the shed
  /// level instead of the class.
  std::optional<std::uint32_t> mRank;
  bool mIdempotent = false;
  /// Whether callers send large bodies.
  bool mLargeBodies = false;
  std::uint32_t mTimeoutMilliseconds = 5000;
  /// Target response time, within which a response is worth most; 0 means the
  /// timeout.
  std::uint32_t mObjectiveMilliseconds = 0;
  /// Maximum number of further upstreams for a whole customer request, at all
  /// call depths together. Calls that were not run may be offered again to
  /// upstreams that they were sent to.
  std::uint32_t mExtraTries = 3;

  auto operator<=>(route const&) const = default;
};

/// Limits on the size and duration of requests from callers.
struct caller_limits
{
  std::uint32_t mHeaderBytes = 16384;
  /// 0 means no limit.
  std::uint64_t mBodyBytes = 0;
  /// Maximum time from the first byte of a request to the end of its header.
  std::uint32_t mHeaderTimeoutMilliseconds = 10000;
  /// Maximum time that a connection may stay idle between requests.
  std::uint32_t mIdleTimeoutMilliseconds = 60000;

  auto operator<=>(caller_limits const&) const = default;
};

/// Both tables, keyed by row name, and the settings that are edited with them.
struct table_set
{
  std::map<std::string, pool> mPools;
  std::map<std::string, route> mRoutes;
  caller_limits mLimits;
  /// Version number assigned by the operator; 0 if there is none.
  std::uint64_t mLabel = 0;
  /// Encoded claim map of LibTraffic. Maintained by the control leader, not by
  /// operators, and stored here so that it is distributed to every daemon.
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

/// Adds an instance to the control group as a learner. It becomes a voter once
/// it has caught up.
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

/// Replaces the claim map. Only the control leader makes this change.
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

/// Tables that replace all rows of the version with the label mBaseLabel.
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
  /// The revision that the edit is based on.
  core::revision mBase;
  std::vector<change> mChanges;

  bool operator==(edit const&) const = default;
};

/// Returns whether the control leader made the edit: it only replaces the claim
/// map. Such an edit creates a revision, but an operator's edit can still be
/// accepted on the revision before it.
bool
IsSystemEdit(edit const& aEdit);

}
