#include "Results.h"

#include "LibCore/JsonReader.h"

#include <algorithm>
#include <cmath>

namespace cranberryfold::load_tool {

namespace {

constexpr unsigned kHistogramBins = 480;
constexpr double kLowestMilliseconds = 0.01;
constexpr double kHighestMilliseconds = 1000000;
constexpr double kRecoveredShare = 0.95;
constexpr std::size_t kRecoveredSeconds = 3;
constexpr std::size_t kMaximumJournalBytes = 1U << 30U;

std::string
FieldOf(std::string_view aLine, std::string_view aKey)
{
  auto const mark = " " + std::string(aKey) + "=";
  auto const found = aLine.find(mark);
  if (found == std::string_view::npos) {
    return "";
  }
  auto const rest = aLine.substr(found + mark.size());
  return std::string(rest.substr(0, rest.find(' ')));
}

}

latency_histogram::latency_histogram()
  : mHistogram(boost::histogram::make_histogram(
      axis(kHistogramBins, kLowestMilliseconds, kHighestMilliseconds)))
{
}

void
latency_histogram::Add(core::duration aLatency)
{
  auto const milliseconds =
    std::chrono::duration<double, std::milli>(aLatency).count();
  mHistogram(std::max(milliseconds, kLowestMilliseconds));
  ++mCount;
}

double
latency_histogram::Quantile(double aQuantile) const
{
  if (mCount == 0) {
    return 0;
  }
  auto const wanted = aQuantile * static_cast<double>(mCount);
  double seen = 0;
  auto const& bins = mHistogram.axis();
  for (int index = 0; index < bins.size(); ++index) {
    seen += static_cast<double>(mHistogram.at(index));
    if (seen >= wanted) {
      return bins.bin(index).upper();
    }
  }
  return kHighestMilliseconds;
}

load_report::load_report(load_settings const& aSettings)
  : mSurge(aSettings.mSurge)
  , mClasses(aSettings.mClasses.size())
{
  for (auto& row : mClasses) {
    row.mSeconds.resize(aSettings.mSeconds);
  }
}

void
load_report::AddRefusal(std::size_t aClass, std::string const& aReason)
{
  ++mClasses[aClass].mRefusals[aReason];
}

void
load_report::Add(request_result const& aResult)
{
  auto& row = mClasses[aResult.mClass];
  ++row.mRequests;
  row.mTries += aResult.mTries;
  ++row.mOutcomes[aResult.mOutcome];
  auto const second = static_cast<std::size_t>(
    std::chrono::duration_cast<std::chrono::seconds>(aResult.mArrival).count());
  auto& window = row.mSeconds[std::min(second, row.mSeconds.size() - 1)];
  ++window.mRequests;
  if (aResult.mIsGood) {
    ++row.mGood;
    ++window.mGood;
    row.mGoodLatency.Add(aResult.mLatency);
  }
}

std::optional<std::uint32_t>
load_report::SecondsToRecover() const
{
  if (mSurge.mLengthSeconds == 0) {
    return std::nullopt;
  }
  auto const end = mSurge.mStartSeconds + mSurge.mLengthSeconds;
  std::size_t inARow = 0;
  for (std::size_t second = end; second < mClasses[0].mSeconds.size();
       ++second) {
    second_count all;
    for (auto const& row : mClasses) {
      all.mRequests += row.mSeconds[second].mRequests;
      all.mGood += row.mSeconds[second].mGood;
    }
    bool const isGood = static_cast<double>(all.mGood) >=
                        kRecoveredShare * static_cast<double>(all.mRequests);
    inARow = isGood ? inARow + 1 : 0;
    if (inARow == kRecoveredSeconds) {
      return static_cast<std::uint32_t>(second + 1 - kRecoveredSeconds - end);
    }
  }
  return std::nullopt;
}

core::result<journal_totals>
ReadJournals(std::vector<std::string> const& aFiles)
{
  journal_totals totals;
  std::map<std::string, std::uint64_t> runsByKey;
  std::uint64_t ends = 0;
  for (auto const& file : aFiles) {
    BOOST_LEAF_AUTO(text, core::ReadTextFile(file, kMaximumJournalBytes));
    std::string_view rest = text;
    while (!rest.empty()) {
      auto const size = std::min(rest.find('\n'), rest.size());
      auto const line = rest.substr(0, size);
      rest.remove_prefix(std::min(size + 1, rest.size()));
      if (line.starts_with("event=start")) {
        ++totals.mStarts;
        if (auto const key = FieldOf(line, "key"); !key.empty()) {
          ++runsByKey[key];
        }
      } else if (line.starts_with("event=end")) {
        ++ends;
        ++totals.mOutcomes[FieldOf(line, "outcome")];
      }
    }
  }
  if (totals.mStarts > ends) {
    totals.mOutcomes["no_end"] = totals.mStarts - ends;
  }
  totals.mRepeatedKeys = static_cast<std::uint64_t>(
    std::count_if(runsByKey.begin(), runsByKey.end(), [](auto const& aEntry) {
      return aEntry.second > 1;
    }));
  return totals;
}

}
