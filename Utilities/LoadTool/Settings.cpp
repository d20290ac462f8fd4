#include "Settings.h"

#include "LibCore/JsonReader.h"

#include <algorithm>
#include <charconv>

namespace cranberryfold::load_tool {

namespace {

using core::presence;

constexpr core::integer_range kRateRange{ 0, 1000000 };
constexpr core::integer_range kSecondsRange{ 1, 86400 };
constexpr core::integer_range kSurgeRange{ 0, 86400 };
constexpr core::integer_range kFactorRange{ 1, 1000 };
constexpr core::integer_range kRetryRange{ 0, 100 };
constexpr core::integer_range kMillisecondRange{ 1, 600000 };
constexpr core::integer_range kBodyRange{ 0, 1LL << 30 };
constexpr core::integer_range kSeedRange{ 0, INT64_MAX };

boost::leaf::error_id
Problem(std::string_view aFlag, std::string const& aExpected)
{
  return core::Fail({ core::error_code::kInvalidInput,
                      "read_flags",
                      std::string(aFlag),
                      "expected " + aExpected });
}

std::vector<std::string_view>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  while (!aText.empty()) {
    auto const end = std::min(aText.find(aSeparator), aText.size());
    parts.push_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return parts;
}

bool
IsIdempotentMethod(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "PUT";
}

load_class
ReadClass(core::json_reader& aReader)
{
  load_class row;
  aReader.Text(
    "name", row.mName, presence::kRequired, "Class name in the report.");
  aReader.Number("rate_per_s",
                 row.mRatePerSecond,
                 kRateRange,
                 presence::kRequired,
                 "Mean number of requests a second.");
  aReader.Text("method", row.mMethod, presence::kOptional, "HTTP method.");
  aReader.Text("path", row.mPath, presence::kRequired, "Request target.");
  row.mIdempotent = IsIdempotentMethod(row.mMethod);
  aReader.Boolean("idempotent",
                  row.mIdempotent,
                  presence::kOptional,
                  "Without it each request gets an idempotency key.");
  aReader.Number("body_bytes",
                 row.mBodyBytes,
                 kBodyRange,
                 presence::kOptional,
                 "Size of the request body.");
  return row;
}

void
ReadSurge(core::json_reader& aReader, surge_window& aSurge)
{
  constexpr auto kRequired = presence::kRequired;
  aReader.Number("start_s",
                 aSurge.mStartSeconds,
                 kSurgeRange,
                 kRequired,
                 "Start after the beginning of the run.");
  aReader.Number(
    "length_s", aSurge.mLengthSeconds, kSurgeRange, kRequired, "Length.");
  aReader.Number(
    "factor", aSurge.mFactor, kFactorRange, kRequired, "Factor on all rates.");
}

void
ReadLimits(core::json_reader& aReader, load_settings& aOut)
{
  constexpr auto kOptional = presence::kOptional;
  aReader.Number(
    "seconds", aOut.mSeconds, kSecondsRange, kOptional, "Length of the run.");
  aReader.Number("seed", aOut.mSeed, kSeedRange, kOptional, "Random seed.");
  aReader.Number(
    "retries", aOut.mRetries, kRetryRange, kOptional, "Tries after a failure.");
  aReader.Number("backoff_ms",
                 aOut.mBackoffMilliseconds,
                 kMillisecondRange,
                 kOptional,
                 "Before the first retry; doubles each time.");
  aReader.Number("timeout_ms",
                 aOut.mTimeoutMilliseconds,
                 kMillisecondRange,
                 kOptional,
                 "Longest wait for one try.");
  aReader.Text("key_prefix",
               aOut.mKeyPrefix,
               kOptional,
               "Prefix of idempotency keys, such as zone-1/.");
}

}

core::result<load_settings>
ReadSettings(std::string_view aText, std::string const& aFile)
{
  load_settings read;
  std::vector<std::string> targets;
  auto reader = core::json_reader::ForText(aText, aFile);
  reader.TextList(
    "targets", targets, presence::kRequired, "Caller addresses of daemons.");
  ReadLimits(reader, read);
  reader.Object(
    "surge",
    presence::kOptional,
    [&read](core::json_reader& aRow) { ReadSurge(aRow, read.mSurge); },
    "Window in which all rates are multiplied.");
  reader.Each(
    "classes",
    presence::kRequired,
    [&read](core::json_reader& aRow) {
      read.mClasses.push_back(ReadClass(aRow));
    },
    "Classes of requests.");
  BOOST_LEAF_CHECK(reader.Finish());
  for (auto const& target : targets) {
    BOOST_LEAF_AUTO(parsed, core::ParseAddress(target));
    read.mTargets.push_back(parsed);
  }
  BOOST_LEAF_CHECK(CheckSettings(read));
  return read;
}

core::result<std::vector<load_class>>
ParseClasses(std::string_view aText)
{
  std::vector<load_class> classes;
  for (auto const entry : Split(aText, ',')) {
    auto const equals = entry.find('=');
    auto const words = Split(
      equals == std::string_view::npos ? "" : entry.substr(equals + 1), ' ');
    load_class row;
    bool isValid = words.size() == 3;
    if (isValid) {
      auto const rate = words[0];
      auto const [end, code] = std::from_chars(
        rate.data(), rate.data() + rate.size(), row.mRatePerSecond);
      isValid = code == std::errc() && end == rate.data() + rate.size();
    }
    if (!isValid) {
      return Problem("--load",
                     "entries such as \"order=10 POST /orders\", found \"" +
                       std::string(entry) + "\"");
    }
    row.mName = entry.substr(0, equals);
    row.mMethod = words[1];
    row.mPath = words[2];
    row.mIdempotent = IsIdempotentMethod(row.mMethod);
    classes.push_back(std::move(row));
  }
  return classes;
}

core::result<std::vector<core::address>>
ParseTargets(std::string_view aText)
{
  std::vector<core::address> targets;
  for (auto const entry : Split(aText, ',')) {
    BOOST_LEAF_AUTO(parsed, core::ParseAddress(entry));
    targets.push_back(parsed);
  }
  return targets;
}

core::result<void>
CheckSettings(load_settings const& aSettings)
{
  if (aSettings.mTargets.empty()) {
    return Problem("targets", "at least one caller address");
  }
  if (aSettings.mClasses.empty()) {
    return Problem("classes", "at least one class");
  }
  return {};
}

}
