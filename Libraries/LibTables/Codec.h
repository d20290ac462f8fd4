#pragma once

#include "LibCore/Error.h"
#include "LibTables/Tables.h"

#include <string>
#include <string_view>

/// Binary encoding of tables and edits, for messages and the journal.
namespace cranberryfold::tables {

std::string
EncodeTables(table_set const& aTables);

/// Fails with kMalformed.
core::result<table_set>
DecodeTables(std::string_view aBytes);

std::string
EncodeEdit(edit const& aEdit);

/// Fails with kMalformed.
core::result<edit>
DecodeEdit(std::string_view aBytes);

}
