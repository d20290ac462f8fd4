#pragma once

#include <cstdint>
#include <string_view>

namespace cranberryfold::core {

/// Returns the 64-bit xxHash of aBytes: the same on every machine and build.
std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

}
