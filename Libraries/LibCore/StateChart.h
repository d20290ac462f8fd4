#pragma once

#include "LibCore/Error.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// State charts: JSON files that name states, events, transitions and the
/// actions to run on a transition. The code interprets them.
namespace cranberryfold::core {

struct state_transition
{
  std::string mTarget;
  /// Names of the handlers to run, in order.
  std::vector<std::string> mActions;

  bool operator==(state_transition const&) const = default;
};

/// A checked chart: every target exists and every state can be reached.
class state_chart
{
public:
  /// Parses and checks a chart. Fails with kInvalidInput; the error names file
  /// and line.
  static result<state_chart> Parse(std::string_view aText,
                                   std::string const& aFile);

  /// Returns the chart compiled in under aName, such as "control_role". Fails
  /// with kNotFound, or as Parse() does.
  static result<state_chart> BuiltIn(std::string_view aName);

  /// Names of all charts that are compiled in.
  static std::vector<std::string> BuiltInNames();

  std::string const& Name() const { return mName; }
  std::string const& Initial() const { return mInitial; }
  std::vector<std::string> StateNames() const;
  /// Returns the transition, or nullptr when aState ignores aEvent.
  state_transition const* Find(std::string_view aState,
                               std::string_view aEvent) const;
  /// Fails with kInvalidInput when the chart names an action that is missing
  /// in aHandlers; the error names file and line.
  result<void> CheckHandlers(std::vector<std::string> const& aHandlers) const;

  bool operator==(state_chart const&) const = default;

private:
  using transitions = std::map<std::string, state_transition, std::less<>>;

  result<void> CheckTargets() const;
  result<void> CheckReachable() const;
  boost::leaf::error_id Problem(std::string_view aName,
                                std::string_view aDetail) const;

  std::string mFile;
  std::string mText;
  std::string mName;
  std::string mInitial;
  std::map<std::string, transitions, std::less<>> mStates;
};

/// One running instance of a chart. Handlers are bound by name.
class state_machine
{
public:
  using handlers = std::map<std::string, std::function<void()>, std::less<>>;

  /// Binds aHandlers to the actions of aChart. Fails as CheckHandlers() does.
  static result<state_machine> Create(state_chart aChart, handlers aHandlers);

  /// Takes the transition of the current state for aEvent and runs its
  /// actions. Returns whether there was one; else nothing changes.
  bool Fire(std::string_view aEvent);

  std::string const& State() const { return mState; }

private:
  state_machine(state_chart aChart, handlers aHandlers);

  state_chart mChart;
  handlers mHandlers;
  std::string mState;
};

namespace detail {

struct built_in_chart
{
  std::string_view mName;
  std::string_view mText;
};

std::vector<built_in_chart> const&
BuiltInCharts();

}

}
