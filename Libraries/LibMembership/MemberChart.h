#pragma once

#include "LibCore/StateChart.h"
#include "LibMembership/Member.h"

#include <array>
#include <optional>

/// The state chart member_state, compiled into a table for fast look-up.
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

/// What the directory does on a transition.
struct chart_actions
{
  bool mSpread = false;
  bool mStartSuspicion = false;
  bool mStopSuspicion = false;

  bool operator==(chart_actions const&) const = default;
};

struct chart_step
{
  member_state mTarget = member_state::kAlive;
  chart_actions mActions;

  bool operator==(chart_step const&) const = default;
};

class member_chart
{
public:
  /// Fails with kInvalidInput when the chart has an unknown state or action, or
  /// does not start with "alive".
  static core::result<member_chart> Compile(core::state_chart const& aChart);

  /// Returns the chart that is compiled in. A faulty one is a violated
  /// invariant.
  static member_chart const& BuiltIn();

  /// Returns nothing when aState ignores aEvent.
  std::optional<chart_step> const& Next(member_state aState,
                                        member_event aEvent) const;

private:
  using row = std::array<std::optional<chart_step>, kMemberEventCount>;

  std::array<row, kMemberStateCount> mSteps;
};

/// Returns the event that leads to a recorded state.
member_event
EventFor(member_state aState);

}
