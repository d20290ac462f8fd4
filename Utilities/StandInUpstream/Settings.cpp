#include "Settings.h"

#include <algorithm>

namespace cranberryfold::stand_in {

namespace {

boost::leaf::error_id
Problem(std::string_view aFlag, std::string_view aExpected)
{
  return core::Fail({ core::error_code::kInvalidInput,
                      "read_flags",
                      std::string(aFlag),
                      "expected " + std::string(aExpected) });
}

core::result<further_call>
ParseCall(std::string_view aText)
{
  auto const equals = aText.find('=');
  auto const space = aText.find(' ');
  bool const isComplete = aText.starts_with('/') &&
                          equals != std::string_view::npos &&
                          space != std::string_view::npos && equals < space &&
                          aText.substr(space + 1).starts_with('/');
  if (!isComplete) {
    return Problem("--calls",
                   "entries such as \"/orders=GET /stock/item\", found \"" +
                     std::string(aText) + "\"");
  }
  return further_call{ std::string(aText.substr(0, equals)),
                       std::string(
                         aText.substr(equals + 1, space - equals - 1)),
                       std::string(aText.substr(space + 1)) };
}

}

core::result<std::vector<further_call>>
ParseCalls(std::string_view aText)
{
  std::vector<further_call> calls;
  while (!aText.empty()) {
    auto const end = std::min(aText.find(','), aText.size());
    BOOST_LEAF_AUTO(call, ParseCall(aText.substr(0, end)));
    calls.push_back(std::move(call));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return calls;
}

core::result<full_behaviour>
ParseFullBehaviour(std::string_view aText)
{
  if (aText == "wait") {
    return full_behaviour::kWait;
  }
  if (aText == "refuse") {
    return full_behaviour::kRefuse;
  }
  return Problem("--when_full", "wait or refuse");
}

}
