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
  std::vector<std::string> heads;
  for (auto const byte : bytes) {
    for (std::string::size_type const position : { 0, 2, 6 }) {
      std::string line = "x-name: value\r\n";
      line.insert(position, 1, byte);
      for (std::string const first : { "", kLength, "x-first: a\r\n" }) {
        auto head = "HTTP/1.1 200 OK\r\n" + first;
        head += line;
        if (first != kLength) {
          head += kLength;
        }
        heads.push_back(head + "\r\n");
      }
    }
  }
  return heads;
}

}
