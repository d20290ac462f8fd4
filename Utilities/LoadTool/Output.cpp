#include "Output.h"

#include <array>
#include <cstdio>
#include <ostream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace cranberryfold::load_tool {

namespace {

boost::json::object
CountsJson(std::map<std::string, std::uint64_t> const& aCounts)
{
  boost::json::object counts;
  for (auto const& [name, count] : aCounts) {
    counts[name] = count;
  }
  return counts;
}

/// Boost.JSON writes 12.5 as 1.25E1, which is hard to read in a report.
std::string
ReadableText(boost::json::value const& aValue)
{
  if (aValue.is_double()) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", aValue.get_double());
    return text.data();
  }
  if (!aValue.is_object()) {
    return boost::json::serialize(aValue);
  }
  std::string text;
  for (auto const& [key, value] : aValue.get_object()) {
    text +=
      (text.empty() ? "" : ", ") + std::string(key) + " " + ReadableText(value);
  }
  return text.empty() ? "-" : text;
}

boost::json::object
ClassJson(load_class const& aClass,
          class_report const& aReport,
          std::uint32_t aSeconds)
{
  auto const& latency = aReport.mGoodLatency;
  boost::json::object row;
  row["class"] = aClass.mName;
  row["path"] = aClass.mPath;
  row["requests"] = aReport.mRequests;
  row["good"] = aReport.mGood;
  row["goodput_per_s"] = static_cast<double>(aReport.mGood) / aSeconds;
  row["tries"] = aReport.mTries;
  row["latency_ms"] = { { "p50", latency.Quantile(0.5) },
                        { "p90", latency.Quantile(0.9) },
                        { "p99", latency.Quantile(0.99) },
                        { "p999", latency.Quantile(0.999) } };
  row["outcomes"] = CountsJson(aReport.mOutcomes);
  row["refusals"] = CountsJson(aReport.mRefusals);
  return row;
}

}

boost::json::value
ReportJson(load_settings const& aSettings,
           load_report const& aReport,
           std::optional<journal_totals> const& aJournals)
{
  boost::json::object report;
  boost::json::array rows;
  std::uint64_t requests = 0;
  for (std::size_t index = 0; index < aSettings.mClasses.size(); ++index) {
    auto const& row = aReport.Classes()[index];
    requests += row.mRequests;
    rows.push_back(
      ClassJson(aSettings.mClasses[index], row, aSettings.mSeconds));
  }
  report["seed"] = aSettings.mSeed;
  report["seconds"] = aSettings.mSeconds;
  report["classes"] = std::move(rows);
  auto const recovery = aReport.SecondsToRecover();
  if (aSettings.mSurge.mLengthSeconds > 0) {
    report["recovered"] = recovery.has_value();
    report["seconds_to_recover"] =
      recovery ? boost::json::value(*recovery) : boost::json::value();
  }
  if (aJournals) {
    auto const starts = static_cast<double>(aJournals->mStarts);
    report["upstream_runs"] = aJournals->mStarts;
    report["amplification"] =
      requests > 0 ? starts / static_cast<double>(requests) : 0.0;
    report["run_outcomes"] = CountsJson(aJournals->mOutcomes);
    report["keys_run_more_than_once"] = aJournals->mRepeatedKeys;
  }
  return report;
}

void
PrintReport(std::ostream& aOut, boost::json::value const& aReport)
{
  for (auto const& [key, value] : aReport.get_object()) {
    if (key != "classes") {
      aOut << key << ": " << ReadableText(value) << "\n";
    }
  }
  for (auto const& row : aReport.at("classes").get_array()) {
    for (auto const& [key, value] : row.get_object()) {
      aOut << (key == "class" ? "" : "  ") << key << ": " << ReadableText(value)
           << "\n";
    }
  }
}

void
WriteCsv(std::ostream& aOut,
         load_settings const& aSettings,
         load_report const& aReport)
{
  aOut << "second,class,requests,good\n";
  for (std::size_t index = 0; index < aSettings.mClasses.size(); ++index) {
    auto const& seconds = aReport.Classes()[index].mSeconds;
    for (std::size_t second = 0; second < seconds.size(); ++second) {
      aOut << second << "," << aSettings.mClasses[index].mName << ","
           << seconds[second].mRequests << "," << seconds[second].mGood << "\n";
    }
  }
}

void
WritePlot(std::ostream& aOut,
          load_settings const& aSettings,
          std::string const& aCsvFile)
{
  aOut << "set datafile separator ','\n"
       << "set terminal png size 1000,600\n"
       << "set output '" << aCsvFile << ".png'\n"
       << "set xlabel 'second of arrival'\n"
       << "set ylabel 'good requests per second'\n"
       << "plot";
  for (std::size_t index = 0; index < aSettings.mClasses.size(); ++index) {
    auto const& name = aSettings.mClasses[index].mName;
    aOut << (index == 0 ? " " : ", \\\n  ") << "'" << aCsvFile
         << "' using 1:(strcol(2) eq '" << name
         << "' ? $4 : 1/0) with linespoints title '" << name << "'";
  }
  aOut << "\n";
}

}
