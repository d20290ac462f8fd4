#include "LibCore/JsonReader.h"
#include "LibDaemon/Reference.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <sstream>

using namespace cranberryfold;

namespace {

/// Checks that a page contains every line of a reference table.
void
CheckPage(std::string const& aPage, std::string_view aReference)
{
  auto const* const source = std::getenv("CRANBERRYFOLD_SOURCE");
  BOOST_REQUIRE(source != nullptr);
  auto const page = core::Attempt([&] {
    return core::ReadTextFile(std::string(source) + "/docs/operations/" +
                              aPage);
  });
  BOOST_REQUIRE(page);
  std::istringstream lines(daemon::ReferenceTable(aReference));
  std::string line;
  while (std::getline(lines, line)) {
    BOOST_TEST(page->find(line) != std::string::npos,
               aPage << " lacks: " << line);
  }
}

}

BOOST_AUTO_TEST_SUITE(ReferencePages)

// Guards against reference pages that differ from the code.
BOOST_AUTO_TEST_CASE(SettingsPageIsComplete)
{
  CheckPage("settings.md", "settings");
}

BOOST_AUTO_TEST_CASE(TablesPageIsComplete)
{
  CheckPage("tables.md", "tables");
}

BOOST_AUTO_TEST_CASE(ReasonsPageIsComplete)
{
  CheckPage("reasons.md", "reasons");
}

BOOST_AUTO_TEST_SUITE_END()
