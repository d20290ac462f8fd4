#pragma once

#include <string_view>

namespace cranberryfold::core::detail {

/// Prints one line to standard error and aborts the process.
[[noreturn]] void
ReportViolation(char const* aFile,
                int aLine,
                char const* aCondition,
                std::string_view aDetail);

}

/// Checks an invariant; stays on in release builds. A process that goes on
/// after a violated invariant could break a promise to a caller.
#define CF_ASSERT(aCondition, aDetail)                                         \
  do {                                                                         \
    if (!(aCondition)) [[unlikely]] {                                          \
      ::cranberryfold::core::detail::ReportViolation(                          \
        __FILE__, __LINE__, #aCondition, (aDetail));                           \
    }                                                                          \
  } while (false)
