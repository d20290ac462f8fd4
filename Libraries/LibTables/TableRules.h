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

/// Checks, comparison and edits of the tables.
namespace cranberryfold::tables {

/// Most rows in each of the two tables.
inline constexpr std::size_t kMaximumRows = 5000;

/// Reads one row; the same functions describe the fields for reference pages.
pool
ReadPool(core::json_reader& aReader);
route
ReadRoute(core::json_reader& aReader);

/// Reads both tables without checking them as a whole.
void
ReadTables(core::json_reader& aReader, table_set& aOut);

/// Parses and checks both tables. Fails with kInvalidInput: file, row, field
/// and what was expected.
core::result<table_set>
ParseTables(std::string_view aText, std::string const& aFile);

/// Returns the tables as indented JSON that ParseTables() reads.
std::string
FormatTables(table_set const& aTables);

/// Checks the tables as a whole: dangling names, overlapping routes, impossible
/// limits. Fails with kInvalidInput; the error names row and field.
core::result<void>
CheckTables(table_set const& aTables);

/// Returns the changes that lead from aFrom to aTo.
std::vector<change>
CompareTables(table_set const& aFrom, table_set const& aTo);

/// Applies all changes or none and checks the outcome. Changes of the control
/// group leave the tables alone. Fails with kInvalidInput or kNotFound.
core::result<table_set>
ApplyChanges(table_set const& aTables, std::vector<change> const& aChanges);

/// Returns the names of the pools that a route's work goes to.
std::vector<std::string>
PoolsOf(route const& aRoute);

/// Returns a hash that is equal for equal tables on every machine.
std::uint64_t
ContentHash(table_set const& aTables);

}
