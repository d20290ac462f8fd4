#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Logging as one line of key=value pairs for each event.
namespace cranberryfold::core {

enum class log_level
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/// Sends log lines of aLevel and above to standard output. A line that the
/// reader has no room for is dropped, so that a reader that has stopped never
/// blocks the process; the next line that is written tells how many were lost.
void
InitializeLog(log_level aLevel);

/// Builds one line and writes it at the end of its life. Lines of one event
/// beyond kMaximumLinesPerSecond are dropped; the next one tells how many.
class log_line
{
public:
  static constexpr int kMaximumLinesPerSecond = 20;

  log_line(log_level aLevel, std::string_view aEvent);
  ~log_line();
  log_line(log_line const&) = delete;
  log_line& operator=(log_line const&) = delete;

  log_line& Field(std::string_view aKey, std::string_view aValue);
  log_line& Field(std::string_view aKey, std::int64_t aValue);

private:
  log_level mLevel;
  /// Lines of the event that were dropped before this one; -1 when this one is
  /// dropped, too, so that nothing is spent on its text.
  std::int64_t mDropped;
  std::string mText;
};

inline log_line
LogDebug(std::string_view aEvent)
{
  return { log_level::kDebug, aEvent };
}

inline log_line
LogInfo(std::string_view aEvent)
{
  return { log_level::kInfo, aEvent };
}

inline log_line
LogWarning(std::string_view aEvent)
{
  return { log_level::kWarning, aEvent };
}

inline log_line
LogError(std::string_view aEvent)
{
  return { log_level::kError, aEvent };
}

}
