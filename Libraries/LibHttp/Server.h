#pragma once

#include "LibCore/Address.h"
#include "LibCore/Error.h"
#include "LibHttp/Message.h"

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

/// HTTP/1.1 server over Asio coroutines, for stand-ins and tests.
namespace cranberryfold::http {

namespace detail {
struct server_connection;
}

/// One request and its response. Lives as long as the handler runs.
class server_exchange
{
public:
  explicit server_exchange(detail::server_connection& aConnection);

  request_head const& Head() const;

  /// Reads the request body in chunks. Fails with kClosed or kMalformed.
  boost::asio::awaitable<core::attempt<core::nothing>> ReadBody(
    body_sink const& aSink);

  /// Reads what is left of the request body, then responds. A body that ends
  /// before its stated size closes the connection.
  boost::asio::awaitable<core::attempt<core::nothing>> Respond(
    response_head const& aHead,
    outgoing_body const& aBody);

  /// Responds with a text body.
  boost::asio::awaitable<core::attempt<core::nothing>> Respond(
    response const& aResponse);

  /// Completes when the client has closed the connection.
  boost::asio::awaitable<void> WaitForClose();

  /// Closes the connection after the handler, without further bytes.
  void Abandon();

private:
  detail::server_connection& mConnection;
};

using request_handler =
  std::function<boost::asio::awaitable<void>(server_exchange&)>;

/// Accepts connections and runs the handler for each request. Not thread-safe;
/// runs on the single thread of its executor.
class server
{
public:
  server(boost::asio::any_io_executor const& aExecutor,
         request_handler aHandler);
  ~server();
  server(server const&) = delete;
  server& operator=(server const&) = delete;

  /// Listens on aAddress; port 0 lets the kernel choose. Fails with
  /// kUnreachable.
  core::result<void> Listen(core::address const& aAddress);

  /// The address that it listens on.
  core::address LocalAddress() const;

  /// Accepts no more connections; open ones end after their request.
  void Stop();

  std::size_t OpenConnections() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

}
