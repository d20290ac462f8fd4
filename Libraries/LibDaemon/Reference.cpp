#include "LibDaemon/Reference.h"

#include "LibCore/Reasons.h"
#include "LibDaemon/Settings.h"
#include "LibTables/TableRules.h"

namespace cranberryfold::daemon {

namespace {

std::string
FieldTable(std::vector<core::field_description> const& aFields)
{
  std::string text =
    "| key | expected | default | meaning |\n|---|---|---|---|\n";
  for (auto const& field : aFields) {
    text += "| `" + field.mPath + "` | " + field.mExpected + " | " +
            field.mDefault + " | " + field.mHelp + " |\n";
  }
  return text;
}

std::string
TableFields()
{
  auto reader = core::json_reader::Describing();
  tables::table_set ignored;
  tables::ReadTables(reader, ignored);
  return FieldTable(reader.Fields());
}

template<class Reason>
std::string
ReasonRows(std::string_view aFamily, std::size_t aCount)
{
  std::string text;
  for (std::size_t index = 0; index < aCount; ++index) {
    auto const& reason = core::Describe(static_cast<Reason>(index));
    text += "| " + std::string(aFamily) + " | `" + std::string(reason.mName) +
            "` | " + std::string(reason.mHelp) + " |\n";
  }
  return text;
}

}

std::string
ReferenceTable(std::string_view aName)
{
  if (aName == "settings") {
    return FieldTable(DescribeSettings());
  }
  if (aName == "tables") {
    return TableFields();
  }
  if (aName == "reasons") {
    return "| family | reason | meaning |\n|---|---|---|\n" +
           ReasonRows<core::refusal_reason>("refusal",
                                            core::kRefusalReasonCount) +
           ReasonRows<core::retry_reason>("retry", core::kRetryReasonCount);
  }
  return {};
}

}
