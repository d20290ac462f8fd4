#include "LibCore/JsonReader.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold::core;

namespace {

std::string
ProblemOf(std::string_view aText)
{
  auto reader = json_reader::ForText(aText, "settings.json");
  int port = 7;
  reader.Object(
    "listen",
    presence::kOptional,
    [&](json_reader& aListen) {
      aListen.Number("port", port, { 1, 100 }, presence::kRequired, "port");
    },
    "listener");
  auto const outcome = Attempt([&] { return reader.Finish(); });
  return outcome ? "" : outcome.mError.mDetail;
}

}

BOOST_AUTO_TEST_SUITE(JsonReader)

BOOST_AUTO_TEST_CASE(NamesKeyPathAndExpectation)
{
  BOOST_TEST(ProblemOf(R"({"listen":{"port":5}})").empty());
  BOOST_TEST(ProblemOf(R"({"listen":{"port":500}})") ==
             "listen.port: expected an integer from 1 to 100, found 500");
  BOOST_TEST(ProblemOf(R"({"listen":{}})") ==
             "listen.port: expected an integer from 1 to 100, found nothing");
  BOOST_TEST(
    ProblemOf(R"({"listen":{"port":5,"prot":6}})") ==
    "listen.prot: expected one of the keys port, found an unknown key");
  BOOST_TEST(ProblemOf(R"({"listen":7})") ==
             "listen: expected a JSON object, found 7");
}

BOOST_AUTO_TEST_CASE(DamagedTextIsRefused)
{
  for (auto const* const text : { "", "{", "[]", "{}x", "{\"a\":1e999999}" }) {
    BOOST_TEST(!ProblemOf(text).empty(), text);
  }
}

BOOST_AUTO_TEST_CASE(DescribesTheFieldsThatItChecks)
{
  auto reader = json_reader::Describing();
  int port = 7;
  reader.Number("port", port, { 1, 100 }, presence::kOptional, "help");
  BOOST_REQUIRE(reader.Fields().size() == 1);
  BOOST_TEST(reader.Fields()[0].mDefault == "7");
}

BOOST_AUTO_TEST_SUITE_END()
