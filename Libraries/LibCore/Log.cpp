#include "LibCore/Log.h"

#include <chrono>
#include <climits>
#include <csignal>
#include <mutex>
#include <unordered_map>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>

#include <poll.h>
#include <unistd.h>

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

/// Writes lines to standard output without ever waiting for its reader. One
/// thread at a time: the frontend has a lock.
class standard_output_backend
  : public boost::log::sinks::basic_formatted_sink_backend<
      char,
      boost::log::sinks::synchronized_feeding>
{
public:
  // Boost.Log calls it by this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(boost::log::record_view const&, string_type const& aLine)
  {
    if (!HasRoom()) {
      ++mLost;
      return;
    }
    auto text = aLine.substr(0, kMaximumLineBytes);
    if (mLost > 0) {
      text += " lost_lines=" + std::to_string(mLost);
    }
    text += '\n';
    bool const isWritten = ::write(STDOUT_FILENO, text.data(), text.size()) ==
                           static_cast<ssize_t>(text.size());
    mLost = isWritten ? 0 : mLost + 1;
  }

private:
  /// A pipe that polls as writable takes at least PIPE_BUF bytes at once.
  static constexpr std::size_t kMaximumLineBytes = PIPE_BUF - 64;

  static bool HasRoom()
  {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
  }

  std::int64_t mLost = 0;
};

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
  // A reader that has ended must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  boost::log::add_common_attributes();
  using sink_frontend =
    boost::log::sinks::synchronous_sink<standard_output_backend>;
  auto const sink = boost::make_shared<sink_frontend>();
  sink
    ->set_formatter(expressions::stream
                    << "time="
                    << expressions::format_date_time<boost::posix_time::ptime>(
                         "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                    << " level=" << boost::log::trivial::severity << " "
                    << expressions::smessage);
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(sink);
  boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                      ToSeverity(aLevel));
}

log_line::log_line(log_level aLevel, std::string_view aEvent)
  : mLevel(aLevel)
  , mDropped(Limiter().Take(std::string(aEvent)))
{
  if (mDropped >= 0) {
    mText = "event=" + std::string(aEvent);
  }
}

log_line::~log_line()
{
  if (mDropped < 0) {
    return;
  }
  if (mDropped > 0) {
    Field("dropped_lines", mDropped);
  }
  BOOST_LOG_STREAM_WITH_PARAMS(
    boost::log::trivial::logger::get(),
    (boost::log::keywords::severity = ToSeverity(mLevel)))
    << mText;
}

log_line&
log_line::Field(std::string_view aKey, std::string_view aValue)
{
  if (mDropped < 0) {
    return *this;
  }
  mText += ' ';
  mText += aKey;
  mText += '=';
  AppendValue(mText, aValue);
  return *this;
}

log_line&
log_line::Field(std::string_view aKey, std::int64_t aValue)
{
  return mDropped < 0 ? *this : Field(aKey, std::to_string(aValue));
}

}
