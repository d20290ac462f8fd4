#pragma once

#include <string>
#include <string_view>

namespace cranberryfold::daemon {

/// Returns a reference table in Markdown, made from the code that checks and
/// counts: "settings", "tables" or "reasons". Empty for any other name.
std::string
ReferenceTable(std::string_view aName);

}
