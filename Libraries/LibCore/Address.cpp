#include "LibCore/Address.h"

#include <charconv>

namespace cranberryfold::core {

namespace {

constexpr int kMaximumPort = 65535;

boost::leaf::error_id
BadAddress(std::string_view aText)
{
  return Fail({ error_code::kInvalidInput,
                "parse_address",
                std::string(aText),
                "expected IP number and port, such as 127.0.0.1:8080" });
}

}

result<address>
ParseAddress(std::string_view aText)
{
  auto const colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return BadAddress(aText);
  }
  auto host = aText.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  auto const portText = aText.substr(colon + 1);
  int port = -1;
  auto const [end, code] =
    std::from_chars(portText.data(), portText.data() + portText.size(), port);
  bool const parsed =
    code == std::errc{} && end == portText.data() + portText.size();
  if (!parsed || port < 0 || port > kMaximumPort || host.empty() ||
      host.find_first_not_of("0123456789abcdefABCDEF.:") !=
        std::string_view::npos) {
    return BadAddress(aText);
  }
  return address{ std::string(host), static_cast<std::uint16_t>(port) };
}

std::string
FormatAddress(address const& aAddress)
{
  bool const isIpv6 = aAddress.mHost.find(':') != std::string::npos;
  std::string const host = isIpv6 ? "[" + aAddress.mHost + "]" : aAddress.mHost;
  return host + ":" + std::to_string(aAddress.mPort);
}

}
