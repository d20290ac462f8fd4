#include "LibCore/StateChart.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold::core;

BOOST_AUTO_TEST_SUITE(StateChart)

// Guards against a built-in chart that would only fail at the customer's start.
BOOST_AUTO_TEST_CASE(BuiltInChartsAreValid)
{
  BOOST_TEST(!state_chart::BuiltInNames().empty());
  for (auto const& name : state_chart::BuiltInNames()) {
    auto const chart = Attempt([&] { return state_chart::BuiltIn(name); });
    BOOST_TEST(static_cast<bool>(chart), FormatError(chart.mError));
  }
}

// Guards against a typing error in a chart that silently loses a transition.
BOOST_AUTO_TEST_CASE(UnknownStateNamesFileAndLine)
{
  auto const chart = Attempt([] {
    return state_chart::Parse(
      "{\"name\":\"x\",\n\"initial\":\"a\",\n\"states\":"
      "{\"a\":{\"on\":{\"go\":\n{\"to\":\"b\"}}}}}",
      "x.json");
  });
  BOOST_REQUIRE(!chart);
  BOOST_TEST(chart.mError.mPeer == "x.json:4");
  BOOST_TEST(chart.mError.mDetail == "unknown state \"b\"");
}

BOOST_AUTO_TEST_CASE(UnreachableStateIsRefused)
{
  auto const chart = Attempt([] {
    return state_chart::Parse(
      R"({"name":"x","initial":"a","states":{"a":{},"b":{}}})", "x.json");
  });
  BOOST_REQUIRE(!chart);
  BOOST_TEST(chart.mError.mDetail == "unreachable state \"b\"");
}

BOOST_AUTO_TEST_CASE(MissingHandlerIsRefused)
{
  auto chart =
    Attempt([] { return state_chart::BuiltIn("instance_life_cycle"); });
  BOOST_REQUIRE(chart);
  auto const machine = Attempt([&] {
    return state_machine::Create(*chart, { { "stop", [] {} } });
  });
  BOOST_REQUIRE(!machine);
  BOOST_TEST(machine.mError.mDetail.starts_with("missing handler"));
}

BOOST_AUTO_TEST_CASE(TransitionsRunTheirActions)
{
  auto chart =
    Attempt([] { return state_chart::BuiltIn("instance_life_cycle"); });
  BOOST_REQUIRE(chart);
  int announced = 0;
  auto machine = Attempt([&] {
    return state_machine::Create(*chart,
                                 { { "announce", [&] { ++announced; } },
                                   { "start_grace", [] {} },
                                   { "stop", [] {} } });
  });
  BOOST_REQUIRE(machine);
  BOOST_TEST(machine->Fire("upstream_ready"));
  BOOST_TEST(machine->State() == "serving");
  BOOST_TEST(!machine->Fire("idle"));
  BOOST_TEST(announced == 1);
}

BOOST_AUTO_TEST_SUITE_END()
