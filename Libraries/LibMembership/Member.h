#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Members of the mesh: their announcements and their state as seen by others.
namespace cranberryfold::membership {

/// Lifecycle that an instance announces about itself.
enum class lifecycle_state : std::uint8_t
{
  kStarting,
  kServing,
  kDraining,
  kLeft,
};

/// State of a member as seen by others. Messages between daemons never contain
/// kUnreachable, because each zone determines by itself which other zones it
/// can reach.
enum class member_state : std::uint8_t
{
  kAlive,
  kSuspect,
  kDead,
  kLeft,
  kUnreachable,
};

inline constexpr std::size_t kMemberStateCount = 5;

/// Returns the external name of a state, such as "draining" or "unreachable".
std::string_view
LifecycleStateName(lifecycle_state aState);
std::string_view
MemberStateName(member_state aState);

/// The properties that an instance announces about itself. Every change uses a
/// new incarnation.
struct announcement
{
  core::instance_id mInstance;
  /// Start time of the process in milliseconds since 1970, incremented with
  /// each change and refutation.
  core::incarnation mIncarnation;
  /// Start time of the process in the same unit; unlike mIncarnation it is
  /// constant for the lifetime of the process.
  core::incarnation mProcessStart;
  core::zone_id mZone;
  core::region_id mRegion;
  core::address mPeerAddress;
  core::address mAdminAddress;
  core::service_id mService;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  lifecycle_state mLifecycle = lifecycle_state::kStarting;
  /// Table features that the instance supports, sorted.
  std::vector<std::string> mFeatures;
  bool mControlReplica = false;

  bool operator==(announcement const&) const = default;
};

/// An announcement and the state that failure detection in the member's zone
/// has determined.
struct member_update
{
  announcement mAnnouncement;
  member_state mState = member_state::kAlive;

  bool operator==(member_update const&) const = default;
};

/// One member in a snapshot that the directory returns.
struct member
{
  announcement mAnnouncement;
  member_state mState = member_state::kAlive;

  bool operator==(member const&) const = default;
};

/// Highest incarnation that is accepted, in milliseconds since 1970: the year
/// 10889. No later announcement of the instance could replace one with the
/// highest value of the type.
inline constexpr core::incarnation kMaximumIncarnation{ (1ULL << 48U) - 1 };

/// The id of a member and the address at which its daemon receives messages.
struct contact
{
  core::instance_id mInstance;
  core::address mAddress;

  // The check mistakes the zero in a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(contact const&) const = default;
};

/// Peers to which the configuration is disseminated.
struct peer_set
{
  /// Live members of the own zone without the own daemon, sorted by instance.
  std::vector<contact> mZonePeers;
  /// Relays of all other zones, ordered by zone.
  std::vector<contact> mRemoteRelays;
  /// Relays of the own zone; may contain the own daemon.
  std::vector<contact> mOwnRelays;
  /// For each other zone, its relays and then the members that replace them
  /// while they do not respond.
  std::vector<std::vector<contact>> mRemoteCandidates{};

  bool operator==(peer_set const&) const = default;
};

}
