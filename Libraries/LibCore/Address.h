#pragma once

#include "LibCore/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryfold::core {

/// An IP number and a port.
struct address
{
  std::string mHost;
  std::uint16_t mPort = 0;

  // clang-tidy 14 takes comparisons made from a defaulted operator<=> for uses
  // of a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(address const&) const = default;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Fails with kInvalidInput.
result<address>
ParseAddress(std::string_view aText);

/// Returns "host:port", with brackets around an IPv6 number.
std::string
FormatAddress(address const& aAddress);

}
