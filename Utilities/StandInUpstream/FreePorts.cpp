#include "FreePorts.h"

#include <list>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace cranberryfold::stand_in {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

core::result<std::vector<std::uint16_t>>
FindFreePorts(std::size_t aCount)
{
  asio::io_context context;
  // All sockets stay open until the end, so that no port comes twice.
  std::list<tcp::acceptor> streams;
  std::list<udp::socket> datagrams;
  std::vector<std::uint16_t> ports;
  auto const loopback = asio::ip::address_v4::loopback();
  auto const maximumAttempts = 10 * aCount + 10;
  for (std::size_t tries = 0; ports.size() < aCount; ++tries) {
    boost::system::error_code code;
    auto& acceptor = streams.emplace_back(context, tcp::v4());
    acceptor.bind({ loopback, 0 }, code);
    auto const port = code ? std::uint16_t{} : acceptor.local_endpoint().port();
    auto& socket = datagrams.emplace_back(context, udp::v4());
    socket.bind({ loopback, port }, code);
    if (!code && port != 0) {
      ports.push_back(port);
    } else if (tries >= maximumAttempts) {
      return core::Fail({ core::error_code::kUnreachable,
                          "find_free_ports",
                          "127.0.0.1",
                          code.message() });
    }
  }
  return ports;
}

}
