#pragma once

#include "LibCore/Address.h"
#include "LibCore/Error.h"
#include "LibCore/Time.h"
#include "LibHttp/Message.h"

#include <cstdint>
#include <limits>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

/// HTTP/1.1 client over Asio coroutines.
///
/// Coroutines return core::attempt: LEAF keeps error objects with the thread's
/// call stack, which a suspended coroutine is not part of.
namespace cranberryfold::http {

/// One connection that carries one request at a time. Not thread-safe.
class client_connection
{
public:
  client_connection(boost::asio::any_io_executor const& aExecutor,
                    core::address aPeer);
  ~client_connection();
  client_connection(client_connection const&) = delete;
  client_connection& operator=(client_connection const&) = delete;

  /// Opens the connection. Fails with kUnreachable or kTimeout.
  boost::asio::awaitable<core::attempt<core::nothing>> Connect(
    core::duration aTimeout);

  /// Sends a request and hands the response body to aSink as it arrives. Fails
  /// with kTimeout, kClosed (also in the midst of a body), kMalformed, or
  /// kLimitExceeded for a body of more than aMaximumBody bytes; the connection
  /// is closed then.
  boost::asio::awaitable<core::attempt<response_head>> Exchange(
    request_head const& aHead,
    outgoing_body const& aBody,
    body_sink const& aSink,
    core::duration aTimeout,
    std::uint64_t aMaximumBody = std::numeric_limits<std::uint64_t>::max());

  /// Whether another Exchange() can follow on this connection.
  bool IsReusable() const;

  void Close();

private:
  struct state;
  std::unique_ptr<state> mState;
};

inline constexpr std::size_t kMaximumResponseBytes = 64U << 20U;

/// Opens a connection, sends aRequest and returns the whole response, with a
/// body of at most aMaximumBody bytes. aTimeout covers all of it.
boost::asio::awaitable<core::attempt<response>>
SendRequest(core::address const& aPeer,
            request const& aRequest,
            core::duration aTimeout,
            std::uint64_t aMaximumBody = kMaximumResponseBytes);

}
