#pragma once

#include "LibCore/Error.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/// Ports for tests and sample meshes.
namespace cranberryfold::stand_in {

/// Returns aCount different random ports that are free for TCP and UDP on
/// 127.0.0.1. Another process may listen on one before it is used.
/// Fails with kUnreachable.
core::result<std::vector<std::uint16_t>>
FindFreePorts(std::size_t aCount);

}
