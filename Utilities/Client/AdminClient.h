#pragma once

#include "LibCore/Address.h"
#include "LibCore/Error.h"
#include "LibHttp/Client.h"

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

/// Requests to the admin interface of daemons.
namespace cranberryfold::client {

struct admin_answer
{
  core::address mPeer;
  unsigned mStatus = 0;
  boost::json::value mBody;
};

/// Called with the address that is about to be asked.
using progress_hook = std::function<void(core::address const&)>;

struct admin_limits
{
  /// For one request to one daemon.
  std::chrono::milliseconds mRequest{ 5000 };
  /// For all tries of one question together.
  std::chrono::milliseconds mTotal{ 20000 };
  /// Between rounds when no daemon leads, as during an election.
  std::chrono::milliseconds mPause{ 300 };
  /// Tries of one question; a chain of wrong hints ends here.
  std::size_t mTries = 64;
};

/// Asks one daemon after another until one gives a final answer.
class admin_client
{
public:
  admin_client(std::vector<core::address> aAddresses,
               admin_limits aLimits,
               progress_hook aProgress);

  /// Asks one daemon. Fails with kUnreachable, kTimeout, kClosed or kMalformed
  /// (the body is not JSON).
  boost::asio::awaitable<core::attempt<admin_answer>> AskOne(
    core::address const& aPeer,
    http::request const& aRequest) const;

  /// Follows not_leader hints and goes on to the next address when one can't be
  /// reached or has no majority. Every request must be safe to send twice. The
  /// last error or answer is returned when the limits are used up; without a
  /// leader it is the not_leader answer.
  boost::asio::awaitable<core::attempt<admin_answer>> Ask(
    http::request const& aRequest) const;

private:
  std::vector<core::address> mAddresses;
  admin_limits mLimits;
  progress_hook mProgress;
};

}
