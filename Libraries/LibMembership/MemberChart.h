#pragma once

#include "LibCore/StateChart.h"
#include "LibMembership/Member.h"

#include <array>
#include <optional>

/// The state chart member_state, compiled into a transition table for fast
/// lookup.
namespace cranberryfold::membership {

enum class member_event : std::uint8_t
{
  /// A higher incarnation was announced: a change, a restart or a refutation.
  kAnnounced,
  kSuspected,
  kConfirmedDead,
  kAnnouncedLeft,
  kZoneLost,
  kZoneFound,
};

inline constexpr std::size_t kMemberEventCount = 6;

/// Actions that the directory executes on a transition.
struct transition_actions
{
  bool mSpread = false;
  bool mStartSuspicion = false;
  bool mStopSuspicion = false;

  bool operator==(transition_actions const&) const = default;
};

struct chart_transition
{
  member_state mTarget = member_state::kAlive;
  transition_actions mActions;

  bool operator==(chart_transition const&) const = default;
};

class member_chart
{
public:
  /// Returns the compiled chart. Fails with kInvalidInput when the chart
  /// contains an unknown state or action, or its initial state is not "alive".
  static core::result<member_chart> Compile(core::state_chart const& aChart);

  /// Returns the built-in chart. Asserts that it is valid.
  static member_chart const& BuiltIn();

  /// Returns the transition, or std::nullopt when aState ignores aEvent.
  std::optional<chart_transition> const& Next(member_state aState,
                                              member_event aEvent) const;

private:
  using row = std::array<std::optional<chart_transition>, kMemberEventCount>;

  std::array<row, kMemberStateCount> mTransitions;
};

/// Returns the event that leads to aState.
member_event
EventForState(member_state aState);

}
