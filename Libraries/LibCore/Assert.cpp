#include "LibCore/Assert.h"

#include <cstdio>
#include <cstdlib>

namespace cranberryfold::core::detail {

void
ReportViolation(char const* aFile,
                int aLine,
                char const* aCondition,
                std::string_view aDetail)
{
  std::fprintf(stderr,
               "invariant violated at %s:%d: %s: %.*s\n",
               aFile,
               aLine,
               aCondition,
               static_cast<int>(aDetail.size()),
               aDetail.data());
  std::fflush(stderr);
  std::abort();
}

}
