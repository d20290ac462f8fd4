#include "LibCore/Log.h"

#include <chrono>
#include <mutex>
#include <unordered_map>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace cranberryfold::core {

namespace {

using boost::log::trivial::severity_level;

severity_level
ToSeverity(log_level aLevel)
{
  switch (aLevel) {
    case log_level::kDebug:
      return severity_level::debug;
    case log_level::kInfo:
      return severity_level::info;
    case log_level::kWarning:
      return severity_level::warning;
    case log_level::kError:
      return severity_level::error;
  }
  return severity_level::error;
}

/// Counts the lines of each event in the current second.
class line_limiter
{
public:
  /// Returns -1 when the line is to be dropped, else the lines dropped before.
  std::int64_t Take(std::string const& aEvent)
  {
    auto const second = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::steady_clock::now().time_since_epoch());
    std::scoped_lock const lock(mMutex);
    auto& window = mWindows[aEvent];
    if (window.mSecond != second) {
      window.mSecond = second;
      window.mLines = 0;
    }
    if (++window.mLines > log_line::kMaximumLinesPerSecond) {
      ++window.mDropped;
      return -1;
    }
    return std::exchange(window.mDropped, 0);
  }

private:
  struct window
  {
    std::chrono::seconds mSecond{};
    int mLines = 0;
    std::int64_t mDropped = 0;
  };

  std::mutex mMutex;
  std::unordered_map<std::string, window> mWindows;
};

line_limiter&
Limiter()
{
  static line_limiter limiter;
  return limiter;
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void
AppendValue(std::string& aText, std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    aText += aValue;
    return;
  }
  aText += '"';
  for (char const character : aValue) {
    if (character == '"' || character == '\\') {
      aText += '\\';
    }
    // A line break inside a value would split the event over two lines.
    aText += character == '\n' || character == '\r' ? ' ' : character;
  }
  aText += '"';
}

}

void
InitializeLog(log_level aLevel)
{
  namespace expressions = boost::log::expressions;
  boost::log::add_common_attributes();
  auto const sink =
    boost::log::add_console_log(
      std::clog,
      boost::log::keywords::format =
        expressions::stream
        << "time="
        << expressions::format_date_time<boost::posix_time::ptime>(
             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
        << " level=" << boost::log::trivial::severity << " "
        << expressions::smessage);
  sink->locked_backend()->auto_flush(true);
  boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                      ToSeverity(aLevel));
}

log_line::log_line(log_level aLevel, std::string_view aEvent)
  : mLevel(aLevel)
  , mEvent(aEvent)
  , mText("event=" + std::string(aEvent))
{
}

log_line::~log_line()
{
  auto const dropped = Limiter().Take(mEvent);
  if (dropped < 0) {
    return;
  }
  if (dropped > 0) {
    Field("dropped_lines", dropped);
  }
  BOOST_LOG_STREAM_WITH_PARAMS(
    boost::log::trivial::logger::get(),
    (boost::log::keywords::severity = ToSeverity(mLevel)))
    << mText;
}

log_line&
log_line::Field(std::string_view aKey, std::string_view aValue)
{
  mText += ' ';
  mText += aKey;
  mText += '=';
  AppendValue(mText, aValue);
  return *this;
}

log_line&
log_line::Field(std::string_view aKey, std::int64_t aValue)
{
  return Field(aKey, std::to_string(aValue));
}

}
