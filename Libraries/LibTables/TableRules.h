#pragma once

#include "LibCore/Error.h"
#include "LibTables/Tables.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryfold::core {
class json_reader;
}

/// Validates, compares and edits the tables.
namespace cranberryfold::tables {

/// Maximum number of rows in each of the two tables.
inline constexpr std::size_t kMaximumRows = 5000;

/// Reads one row. The same functions describe the fields for reference pages.
pool
ReadPool(core::json_reader& aReader);
route
ReadRoute(core::json_reader& aReader);

/// Reads both tables and the caller limits, without the checks of
/// CheckTables().
void
ReadTables(core::json_reader& aReader, table_set& aOut);

/// Parses and checks both tables. Fails with kInvalidInput; the error names the
/// file, row, field and the expected value.
core::result<table_set>
ParseTables(std::string_view aText, std::string const& aFile);

/// Returns the tables as indented JSON that ParseTables() accepts.
std::string
FormatTables(table_set const& aTables);

/// Checks the tables as a whole: references to missing pools, overlapping
/// routes and values out of range. Fails with kInvalidInput; the error names
/// the row and field.
core::result<void>
CheckTables(table_set const& aTables);

/// Returns the changes that turn aFrom into aTo.
std::vector<change>
CompareTables(table_set const& aFrom, table_set const& aTo);

/// Returns a copy of aTables with all changes applied. Ignores changes of the
/// control group. Fails with kNotFound if a row to remove does not exist, and
/// with kInvalidInput if the result fails CheckTables().
core::result<table_set>
ApplyChanges(table_set const& aTables, std::vector<change> const& aChanges);

/// Returns the names of the pools that aRoute sends calls to.
std::vector<std::string>
PoolsOf(route const& aRoute);

/// Returns a hash of the encoded tables, the same on every machine.
std::uint64_t
ContentHash(table_set const& aTables);

}
