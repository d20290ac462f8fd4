#pragma once

#include <string>
#include <string_view>

namespace cranberryfold::daemon {

/// Returns a reference table in Markdown: "settings", "tables" or "reasons".
/// Generated from the code that checks the settings and tables and counts the
/// reasons. Returns an empty string for any other name.
std::string
ReferenceTable(std::string_view aName);

}
