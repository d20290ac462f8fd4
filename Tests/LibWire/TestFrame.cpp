#include "LibWire/Frame.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;

BOOST_AUTO_TEST_SUITE(Frame)

BOOST_AUTO_TEST_CASE(SplitsBytesThatArriveOneByOne)
{
  wire::frame_splitter splitter(100);
  auto const bytes = wire::EncodeFrame("one") + wire::EncodeFrame("");
  std::vector<std::string> payloads;
  for (char const byte : bytes) {
    splitter.Append(std::string_view(&byte, 1));
    auto payload = core::Attempt([&] { return splitter.Next(); });
    BOOST_REQUIRE(payload);
    if (payload->has_value()) {
      payloads.push_back(**payload);
    }
  }
  BOOST_TEST(payloads == (std::vector<std::string>{ "one", "" }));
}

// Guards against a peer that makes the process allocate what it announces.
BOOST_AUTO_TEST_CASE(RefusesLengthBeyondTheMaximum)
{
  wire::frame_splitter splitter(100);
  splitter.Append("\xff\xff\xff\xff");
  auto const payload = core::Attempt([&] { return splitter.Next(); });
  BOOST_REQUIRE(!payload);
  BOOST_TEST((payload.mError.mCode == core::error_code::kLimitExceeded));
}

BOOST_AUTO_TEST_SUITE_END()
