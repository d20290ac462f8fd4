#include "LibTables/Codec.h"

#include "LibTables/Serialize.h"

namespace cranberryfold::tables {

std::string
EncodeTables(table_set const& aTables)
{
  return wire::Encode(aTables);
}

core::result<table_set>
DecodeTables(std::string_view aBytes)
{
  return wire::Decode<table_set>(aBytes, "decode_tables");
}

std::string
EncodeEdit(edit const& aEdit)
{
  return wire::Encode(aEdit);
}

core::result<edit>
DecodeEdit(std::string_view aBytes)
{
  return wire::Decode<edit>(aBytes, "decode_edit");
}

}
