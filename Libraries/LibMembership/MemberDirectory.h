#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibMembership/Messages.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// The directory of all members: announcements, failure detection and drain.
namespace cranberryfold::membership {

/// Mechanisms that a randomised run can switch off.
struct directory_mechanisms
{
  bool mRefutation = true;
  bool mSeedRejoin = true;
  bool mDrainPush = true;
  bool mMemberSync = true;
  bool mIndirectProbes = true;
  bool mIsolationGuard = true;
  bool mTombstones = true;

  bool operator==(directory_mechanisms const&) const = default;
};

struct directory_settings
{
  /// The own announcement at the start; its incarnation is the start time.
  announcement mOwn;
  /// Peer addresses of a few daemons.
  std::vector<core::address> mSeeds;
  directory_mechanisms mMechanisms;
};

/// Time has passed. The daemon sends it every kTickInterval.
struct tick
{
  bool operator==(tick const&) const = default;
};

struct member_message_received
{
  message_with_sender<member_message> mMessage;
};

/// The lifecycle of the own instance has changed; draining and left are pushed
/// at once.
struct own_state_changed
{
  lifecycle_state mState = lifecycle_state::kStarting;
  /// Slots of the own upstream; nothing leaves them as they are.
  std::optional<std::uint32_t> mSlots;
};

/// The settings name other seeds.
struct seeds_changed
{
  std::vector<core::address> mSeeds;
};

/// Peer addresses of daemons that have sent work since the last such event. A
/// daemon collects them and passes them on about once a second.
struct requests_received
{
  std::vector<core::address> mSenders;
};

using directory_event = std::variant<tick,
                                     member_message_received,
                                     own_state_changed,
                                     seeds_changed,
                                     requests_received>;

/// The snapshot of members has changed; the daemon publishes a new view and
/// passes Peers() on to the configuration_distributor.
struct members_changed
{
  bool operator==(members_changed const&) const = default;
};

using directory_action = std::variant<send_message, members_changed>;

inline constexpr core::duration kTickInterval = std::chrono::milliseconds(100);

namespace detail {
class directory_state;
}

/// Decides on all membership messages of one daemon.
class member_directory
{
public:
  member_directory(directory_settings aSettings, core::random_source aRandom);
  ~member_directory();
  member_directory(member_directory&&) noexcept;
  member_directory& operator=(member_directory&&) noexcept;

  std::vector<directory_action> Handle(core::time_point aNow,
                                       directory_event const& aEvent);

  /// Every member, sorted by instance, with the own one.
  std::vector<member> Members() const;
  peer_set Peers() const;
  announcement const& OwnAnnouncement() const;
  /// Whether a seed or peer has sent its members since the start.
  bool HasJoined() const;
  bool IsRelay() const;
  /// Approximate size of all containers in bytes.
  std::size_t MemoryBytes() const;

private:
  std::unique_ptr<detail::directory_state> mState;
};

}
