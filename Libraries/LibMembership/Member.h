#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Members of the mesh: what they announce and how others see them.
namespace cranberryfold::membership {

/// What an instance says about itself.
enum class lifecycle_state : std::uint8_t
{
  kStarting,
  kServing,
  kDraining,
  kLeft,
};

/// How others see a member. Updates between daemons never carry kUnreachable,
/// because each zone judges for itself which other zones it reaches.
enum class member_state : std::uint8_t
{
  kAlive,
  kSuspect,
  kDead,
  kLeft,
  kUnreachable,
};

inline constexpr std::size_t kMemberStateCount = 5;

/// Returns names such as "draining" and "unreachable".
std::string_view
LifecycleStateName(lifecycle_state aState);
std::string_view
MemberStateName(member_state aState);

/// What an instance tells about itself. Every change has a new incarnation.
struct announcement
{
  core::instance_id mInstance;
  /// Start time of the process in milliseconds since 1970, incremented with
  /// each change and refutation.
  core::incarnation mIncarnation;
  /// Start of the process; unlike mIncarnation it stays the same for its life.
  core::incarnation mProcessStart;
  core::zone_id mZone;
  core::region_id mRegion;
  core::address mPeerAddress;
  core::address mAdminAddress;
  core::service_id mService;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  lifecycle_state mLifecycle = lifecycle_state::kStarting;
  /// Table features that the instance understands, sorted.
  std::vector<std::string> mFeatures;
  bool mControlReplica = false;

  bool operator==(announcement const&) const = default;
};

/// An announcement and what its zone found out about the member.
struct member_update
{
  announcement mAnnouncement;
  member_state mState = member_state::kAlive;

  bool operator==(member_update const&) const = default;
};

/// One member in a snapshot that the daemon publishes.
struct member
{
  announcement mAnnouncement;
  member_state mState = member_state::kAlive;

  bool operator==(member const&) const = default;
};

/// Where a member can be reached.
struct contact
{
  core::instance_id mInstance;
  core::address mAddress;

  // The check takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(contact const&) const = default;
};

/// Peers for the dissemination of the configuration.
struct peer_set
{
  /// Live members of the own zone without the own daemon, sorted by instance.
  std::vector<contact> mZonePeers;
  /// Relays of every zone that is not the own one, in order of zones.
  std::vector<contact> mRemoteRelays;
  /// Relays of the own zone; may contain the own daemon.
  std::vector<contact> mOwnRelays;

  bool operator==(peer_set const&) const = default;
};

}
