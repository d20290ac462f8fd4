#include "LibMembership/MemberChart.h"

#include "LibCore/Assert.h"

namespace cranberryfold::membership {

namespace {

constexpr std::array<std::string_view, kMemberEventCount> kEventNames{
  "announced",      "suspected", "confirmed_dead",
  "announced_left", "zone_lost", "zone_found"
};

std::optional<member_state>
ParseState(std::string_view aName)
{
  for (std::size_t index = 0; index < kMemberStateCount; ++index) {
    auto const state = static_cast<member_state>(index);
    if (MemberStateName(state) == aName) {
      return state;
    }
  }
  return std::nullopt;
}

transition_actions
ParseActions(std::vector<std::string> const& aNames)
{
  transition_actions actions;
  for (auto const& name : aNames) {
    actions.mSpread |= name == "spread";
    actions.mStartSuspicion |= name == "start_suspicion";
    actions.mStopSuspicion |= name == "stop_suspicion";
  }
  return actions;
}

core::error
ChartError(std::string const& aDetail)
{
  return {
    core::error_code::kInvalidInput, "compile_member_state", "", aDetail
  };
}

}

core::result<member_chart>
member_chart::Compile(core::state_chart const& aChart)
{
  BOOST_LEAF_CHECK(
    aChart.CheckHandlers({ "spread", "start_suspicion", "stop_suspicion" }));
  if (aChart.Initial() != MemberStateName(member_state::kAlive)) {
    return core::Fail(ChartError("expected \"alive\" as initial state"));
  }
  member_chart compiled;
  for (auto const& name : aChart.StateNames()) {
    auto const state = ParseState(name);
    if (!state) {
      return core::Fail(ChartError("unknown state \"" + name + "\""));
    }
    auto& transitions =
      compiled.mTransitions.at(static_cast<std::size_t>(*state));
    for (std::size_t event = 0; event < kMemberEventCount; ++event) {
      auto const* const found = aChart.Find(name, kEventNames.at(event));
      if (found != nullptr) {
        auto const target = ParseState(found->mTarget);
        if (!target) {
          return core::Fail(
            ChartError("unknown state \"" + found->mTarget + "\""));
        }
        transitions.at(event) = { *target, ParseActions(found->mActions) };
      }
    }
  }
  return compiled;
}

member_chart const&
member_chart::BuiltIn()
{
  static member_chart const chart = [] {
    auto const compiled = core::Attempt([]() -> core::result<member_chart> {
      BOOST_LEAF_AUTO(text, core::state_chart::BuiltIn("member_state"));
      return Compile(text);
    });
    CF_ASSERT(compiled, core::FormatError(compiled.mError));
    return *compiled;
  }();
  return chart;
}

std::optional<chart_transition> const&
member_chart::Next(member_state aState, member_event aEvent) const
{
  return mTransitions.at(static_cast<std::size_t>(aState))
    .at(static_cast<std::size_t>(aEvent));
}

member_event
EventForState(member_state aState)
{
  switch (aState) {
    case member_state::kSuspect:
      return member_event::kSuspected;
    case member_state::kDead:
      return member_event::kConfirmedDead;
    case member_state::kLeft:
      return member_event::kAnnouncedLeft;
    case member_state::kUnreachable:
      return member_event::kZoneLost;
    case member_state::kAlive:
      break;
  }
  return member_event::kAnnounced;
}

}
