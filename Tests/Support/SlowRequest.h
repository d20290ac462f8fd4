#pragma once

#include "LibCore/Address.h"

#include <memory>
#include <optional>
#include <string>

namespace cranberryfold::test_support {

/// A request whose bytes are written in parts, on a connection of its own that
/// is closed at the end of its life.
class slow_request
{
public:
  explicit slow_request(core::address const& aPeer);
  ~slow_request();
  slow_request(slow_request const&) = delete;
  slow_request& operator=(slow_request const&) = delete;

  /// Errors are ignored; Status() tells the result.
  void Write(std::string const& aBytes);

  /// Waits for the status line. Returns its status, or nothing if the
  /// connection ended before.
  std::optional<unsigned> Status();

private:
  struct state;
  std::unique_ptr<state> mState;
};

}
