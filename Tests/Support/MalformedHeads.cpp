#include "Support/MalformedHeads.h"

namespace cranberryfold::test_support {

namespace {

constexpr auto kLength = "content-length: 2\r\n";

}

std::vector<std::string>
HeadsWithUnknownStatus()
{
  std::vector<std::string> heads;
  for (std::string const status : { "000", "001", "099" }) {
    heads.push_back("HTTP/1.1 " + status + " Trouble\r\n" + kLength + "\r\n");
  }
  return heads;
}

}
