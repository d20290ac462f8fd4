#pragma once

#include "LibHttp/Client.h"

#include <map>
#include <memory>
#include <vector>

/// Client connections that are kept open between requests.
namespace cranberryfold::http {

/// Opens connections as needed and keeps idle ones for the next request. Not
/// thread-safe.
class client_pool
{
public:
  explicit client_pool(boost::asio::any_io_executor aExecutor);

  /// Sends a request over an idle or new connection; errors as with
  /// client_connection. A request is sent once, except that a GET without a
  /// body goes over a new connection when the idle one turned out closed.
  boost::asio::awaitable<core::attempt<response_head>> Exchange(
    core::address aPeer,
    request_head const& aHead,
    outgoing_body const& aBody,
    body_sink const& aSink,
    core::duration aTimeout);

private:
  std::unique_ptr<client_connection> TakeIdle(core::address const& aPeer);

  boost::asio::any_io_executor mExecutor;
  std::map<core::address, std::vector<std::unique_ptr<client_connection>>>
    mIdle;
};

}
