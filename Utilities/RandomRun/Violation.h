#pragma once

#include <string>

namespace cranberryfold::random_run {

/// Thrown when an invariant does not hold; ends the run.
struct violation
{
  std::string mText;
};

}
