#include "LibCore/StateChart.h"

#include "LibCore/JsonReader.h"

#include <algorithm>
#include <set>

namespace cranberryfold::core {

namespace {

/// Returns the line of the first mention of aName in quotes, counted from 1.
std::size_t
LineOf(std::string_view aText, std::string_view aName)
{
  auto const position = aText.find("\"" + std::string(aName) + "\"");
  if (position == std::string_view::npos) {
    return 1;
  }
  return 1 + static_cast<std::size_t>(
               std::count(aText.begin(),
                          aText.begin() + static_cast<std::ptrdiff_t>(position),
                          '\n'));
}

}

result<state_chart>
state_chart::Parse(std::string_view aText, std::string const& aFile)
{
  state_chart chart;
  chart.mFile = aFile;
  chart.mText = aText;
  auto reader = json_reader::ForText(aText, aFile);
  constexpr auto kRequired = presence::kRequired;
  reader.Text("name", chart.mName, kRequired, "name of the chart");
  reader.Text("initial", chart.mInitial, kRequired, "state at the start");
  auto const readState = [&chart](std::string const& aState,
                                  json_reader& aReader) {
    auto& transitions = chart.mStates[aState];
    aReader.EachNamed(
      "on",
      presence::kOptional,
      [&transitions](std::string const& aEvent, json_reader& aTransition) {
        state_transition transition;
        aTransition.Text("to", transition.mTarget, kRequired, "next state");
        aTransition.TextList(
          "do", transition.mActions, presence::kOptional, "actions to run");
        transitions[aEvent] = std::move(transition);
      },
      "transitions by event");
  };
  reader.EachNamed("states", kRequired, readState, "states by name");
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_CHECK(chart.CheckTargets());
  BOOST_LEAF_CHECK(chart.CheckReachable());
  return chart;
}

result<state_chart>
state_chart::BuiltIn(std::string_view aName)
{
  for (auto const& chart : detail::BuiltInCharts()) {
    if (chart.mName == aName) {
      return Parse(chart.mText, "StateCharts/" + std::string(aName) + ".json");
    }
  }
  return Fail({ error_code::kNotFound,
                "find_state_chart",
                std::string(aName),
                "no such chart is compiled in" });
}

std::vector<std::string>
state_chart::BuiltInNames()
{
  std::vector<std::string> names;
  for (auto const& chart : detail::BuiltInCharts()) {
    names.emplace_back(chart.mName);
  }
  return names;
}

std::vector<std::string>
state_chart::StateNames() const
{
  std::vector<std::string> names;
  for (auto const& [name, transitions] : mStates) {
    names.push_back(name);
  }
  return names;
}

state_transition const*
state_chart::Find(std::string_view aState, std::string_view aEvent) const
{
  auto const state = mStates.find(aState);
  if (state == mStates.end()) {
    return nullptr;
  }
  auto const found = state->second.find(aEvent);
  return found == state->second.end() ? nullptr : &found->second;
}

boost::leaf::error_id
state_chart::Problem(std::string_view aName, std::string_view aDetail) const
{
  return Fail({ error_code::kInvalidInput,
                "check_state_chart",
                mFile + ":" + std::to_string(LineOf(mText, aName)),
                std::string(aDetail) + " \"" + std::string(aName) + "\"" });
}

result<void>
state_chart::CheckTargets() const
{
  if (!mStates.contains(mInitial)) {
    return Problem(mInitial, "unknown state");
  }
  for (auto const& [state, transitions] : mStates) {
    for (auto const& [event, transition] : transitions) {
      if (!mStates.contains(transition.mTarget)) {
        return Problem(transition.mTarget, "unknown state");
      }
    }
  }
  return {};
}

result<void>
state_chart::CheckReachable() const
{
  std::set<std::string> reached{ mInitial };
  std::vector<std::string> pending{ mInitial };
  while (!pending.empty()) {
    auto const state = pending.back();
    pending.pop_back();
    for (auto const& [event, transition] : mStates.at(state)) {
      if (reached.insert(transition.mTarget).second) {
        pending.push_back(transition.mTarget);
      }
    }
  }
  for (auto const& [state, transitions] : mStates) {
    if (!reached.contains(state)) {
      return Problem(state, "unreachable state");
    }
  }
  return {};
}

result<void>
state_chart::CheckHandlers(std::vector<std::string> const& aHandlers) const
{
  for (auto const& [state, transitions] : mStates) {
    for (auto const& [event, transition] : transitions) {
      for (auto const& action : transition.mActions) {
        bool const known =
          std::find(aHandlers.begin(), aHandlers.end(), action) !=
          aHandlers.end();
        if (!known) {
          return Problem(action, "missing handler");
        }
      }
    }
  }
  return {};
}

state_machine::state_machine(state_chart aChart, handlers aHandlers)
  : mChart(std::move(aChart))
  , mHandlers(std::move(aHandlers))
  , mState(mChart.Initial())
{
}

result<state_machine>
state_machine::Create(state_chart aChart, handlers aHandlers)
{
  std::vector<std::string> names;
  for (auto const& [name, handler] : aHandlers) {
    names.push_back(name);
  }
  BOOST_LEAF_CHECK(aChart.CheckHandlers(names));
  return state_machine(std::move(aChart), std::move(aHandlers));
}

bool
state_machine::Fire(std::string_view aEvent)
{
  auto const* const transition = mChart.Find(mState, aEvent);
  if (transition == nullptr) {
    return false;
  }
  mState = transition->mTarget;
  for (auto const& action : transition->mActions) {
    mHandlers.find(action)->second();
  }
  return true;
}

}
