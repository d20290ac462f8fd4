#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibMembership/Messages.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// Directory of all members: announcements, failure detection and drain
/// notification.
namespace cranberryfold::membership {

/// Mechanisms that a randomised test run can disable.
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
  /// The initial own announcement; its incarnation is the start time.
  announcement mOwn;
  /// Peer addresses of some daemons, used to join and to heal partitions.
  std::vector<core::address> mSeeds;
  directory_mechanisms mMechanisms;
};

/// Timer event; the daemon sends it every kTickInterval.
struct tick
{
  bool operator==(tick const&) const = default;
};

struct member_message_received
{
  message_with_sender<member_message> mMessage;
};

/// The lifecycle of the own instance has changed. kDraining and kLeft are
/// pushed immediately.
struct own_state_changed
{
  lifecycle_state mState = lifecycle_state::kStarting;
  /// Slots of the own upstream; std::nullopt leaves the number unchanged.
  std::optional<std::uint32_t> mSlots;
};

/// The seeds in the settings have changed.
struct seeds_changed
{
  std::vector<core::address> mSeeds;
};

/// Peer addresses of daemons that have sent requests since the last such event.
/// The daemon collects them and sends the event about once a second.
struct requests_received
{
  std::vector<core::address> mSenders;
};

using directory_event = std::variant<tick,
                                     member_message_received,
                                     own_state_changed,
                                     seeds_changed,
                                     requests_received>;

/// Members() has changed. The daemon publishes a new view and passes Peers() to
/// the configuration_distributor.
struct members_changed
{
  bool operator==(members_changed const&) const = default;
};

/// A peer has sent an incarnation above kMaximumIncarnation.
struct update_refused
{
  core::instance_id mInstance;
  core::incarnation mIncarnation;
  bool operator==(update_refused const&) const = default;
};

using directory_action =
  std::variant<send_message, members_changed, update_refused>;

inline constexpr core::duration kTickInterval = std::chrono::milliseconds(100);

namespace detail {
class directory_state;
}

/// Handles the membership messages of one daemon.
class member_directory
{
public:
  member_directory(directory_settings aSettings, core::random_source aRandom);
  ~member_directory();
  member_directory(member_directory&&) noexcept;
  member_directory& operator=(member_directory&&) noexcept;

  /// Processes one event and returns the resulting actions in order.
  std::vector<directory_action> Handle(core::time_point aNow,
                                       directory_event const& aEvent);

  /// Returns all members including the own one, sorted by instance.
  std::vector<member> Members() const;
  peer_set Peers() const;
  announcement const& OwnAnnouncement() const;
  /// Whether a seed or peer has sent its members since the start; always true
  /// without seeds.
  bool HasJoined() const;
  /// Whether the own daemon is a relay of its zone.
  bool IsRelay() const;
  /// Returns the approximate memory use in bytes.
  std::size_t MemoryBytes() const;

private:
  std::unique_ptr<detail::directory_state> mState;
};

}
