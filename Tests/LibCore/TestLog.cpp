#include "LibCore/Log.h"

#include <algorithm>
#include <array>
#include <string>

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

using namespace cranberryfold;

namespace {

/// Standard output as a pipe that is read only when a test asks for it.
class captured_output
{
public:
  captured_output()
    : mBefore(::dup(STDOUT_FILENO))
  {
    BOOST_REQUIRE(::pipe(mEnds.data()) == 0);
    ::fcntl(mEnds[0], F_SETFL, O_NONBLOCK);
    ::dup2(mEnds[1], STDOUT_FILENO);
  }

  ~captured_output()
  {
    ::dup2(mBefore, STDOUT_FILENO);
    for (int const end : { mBefore, mEnds[0], mEnds[1] }) {
      ::close(end);
    }
  }

  captured_output(captured_output const&) = delete;
  captured_output& operator=(captured_output const&) = delete;

  std::string Read() const
  {
    std::string text;
    std::array<char, 4096> bytes{};
    for (;;) {
      auto const size = ::read(mEnds[0], bytes.data(), bytes.size());
      if (size <= 0) {
        return text;
      }
      text.append(bytes.data(), static_cast<std::size_t>(size));
    }
  }

  void CloseReader()
  {
    ::close(mEnds[0]);
    mEnds[0] = -1;
  }

private:
  int mBefore;
  std::array<int, 2> mEnds{};
};

/// Writes one line of an event of its own, so that the limit for each event
/// does not apply.
void
WriteLine(int aNumber)
{
  core::LogInfo("event_" + std::to_string(aNumber))
    .Field("text", std::string(100, 'x'));
}

}

BOOST_AUTO_TEST_SUITE(Log)

BOOST_AUTO_TEST_CASE(LinesGoToStandardOutput)
{
  captured_output const output;
  core::InitializeLog(core::log_level::kInfo);
  core::LogInfo("started").Field("zone", "zone a");
  core::LogDebug("hidden");
  auto const text = output.Read();
  BOOST_TEST(text.starts_with("time="));
  BOOST_TEST(text.ends_with(" level=info event=started zone=\"zone a\"\n"));
}

// Guards against a daemon that stops serving because nobody reads its log: a
// write to a full pipe would block for good.
BOOST_AUTO_TEST_CASE(AReaderThatHasStoppedDoesNotBlock)
{
  captured_output const output;
  core::InitializeLog(core::log_level::kInfo);
  constexpr int kMoreThanAPipeHolds = 5000;
  for (int number = 0; number < kMoreThanAPipeHolds; ++number) {
    WriteLine(number);
  }
  auto const before = output.Read();
  auto const written = std::count(before.begin(), before.end(), '\n');
  BOOST_TEST(written > 0);
  BOOST_TEST(written < kMoreThanAPipeHolds);
  WriteLine(kMoreThanAPipeHolds);
  auto const lost =
    " lost_lines=" + std::to_string(kMoreThanAPipeHolds - written) + "\n";
  BOOST_TEST(output.Read().ends_with(lost));
}

// Guards against the end of the daemon by SIGPIPE.
BOOST_AUTO_TEST_CASE(AReaderThatHasEndedDoesNotEndTheProcess)
{
  captured_output output;
  core::InitializeLog(core::log_level::kInfo);
  output.CloseReader();
  WriteLine(1);
  BOOST_TEST(true);
}

BOOST_AUTO_TEST_SUITE_END()
