#pragma once

#include <string>
#include <vector>

namespace cranberryfold::test_support {

/// Returns response heads with a status that HTTP does not have. Each states a
/// body of two bytes.
std::vector<std::string>
HeadsWithUnknownStatus();

}
