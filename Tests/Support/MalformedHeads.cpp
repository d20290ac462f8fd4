#include "Support/MalformedHeads.h"

namespace cranberryfold::test_support {

namespace {

constexpr char kFirstVisible = 0x21;
constexpr char kDelete = 0x7f;
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

std::vector<std::string>
HeadsWithMalformedName()
{
  std::string bytes(1, kDelete);
  for (char byte = 0; byte < kFirstVisible; ++byte) {
    bytes += byte;
  }
  std::string const start = "HTTP/1.1 200 OK\r\n";
  std::vector<std::string> heads;
  for (auto const byte : bytes) {
    for (auto const& name : { byte + std::string("x-name"),
                              std::string("x-") + byte + "name",
                              std::string("x-name") + byte }) {
      auto const line = name + ": value\r\n";
      heads.push_back(start + line + kLength + "\r\n");
      heads.push_back(start + kLength + line + "\r\n");
      heads.push_back(start + kLength + "x-first: a\r\n" + line + "\r\n");
    }
  }
  return heads;
}

}
