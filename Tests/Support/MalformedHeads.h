#pragma once

#include <string>
#include <vector>

namespace cranberryfold::test_support {

/// Returns response heads with a status that HTTP does not have. Each states a
/// body of two bytes.
std::vector<std::string>
HeadsWithUnknownStatus();

/// Returns heads of a success in which a blank or a control byte stands in the
/// name of a field: at its begin, inside or at its end, in the first field and
/// in later ones. Each states a body of two bytes.
std::vector<std::string>
HeadsWithMalformedName();

}
