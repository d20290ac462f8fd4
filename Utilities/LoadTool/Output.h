#pragma once

#include "Results.h"

#include <iosfwd>
#include <optional>
#include <string>

#include <boost/json/value.hpp>

/// The report of a run as text, JSON, CSV and a gnuplot script.
namespace cranberryfold::load_tool {

boost::json::value
ReportJson(load_settings const& aSettings,
           load_report const& aReport,
           std::optional<journal_totals> const& aJournals);

void
PrintReport(std::ostream& aOut, boost::json::value const& aReport);

/// One row for each second and class.
void
WriteCsv(std::ostream& aOut,
         load_settings const& aSettings,
         load_report const& aReport);

/// A script that draws the goodput of aCsvFile into a PNG file beside it.
void
WritePlot(std::ostream& aOut,
          load_settings const& aSettings,
          std::string const& aCsvFile);

}
