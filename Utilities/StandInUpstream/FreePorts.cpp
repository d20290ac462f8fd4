#include "FreePorts.h"

#include "LibCore/Random.h"

#include <list>
#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace cranberryfold::stand_in {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

/// Below the range from which kernels take the ports of outgoing connections:
/// there, any connection may take a port before a daemon listens on it.
constexpr std::uint16_t kFirstPort = 10'000;
constexpr std::uint16_t kPortCount = 22'000;

}

core::result<std::vector<std::uint16_t>>
FindFreePorts(std::size_t aCount)
{
  asio::io_context context;
  core::random_source random(std::random_device{}());
  // All sockets stay open until the end, so that no port comes twice.
  std::list<tcp::acceptor> streams;
  std::list<udp::socket> datagrams;
  std::vector<std::uint16_t> ports;
  auto const loopback = asio::ip::address_v4::loopback();
  auto const maximumAttempts = 10 * aCount + 10;
  for (std::size_t tries = 0; ports.size() < aCount; ++tries) {
    boost::system::error_code code;
    auto& acceptor = streams.emplace_back(context, tcp::v4());
    auto const port =
      static_cast<std::uint16_t>(kFirstPort + random.Below(kPortCount));
    acceptor.bind({ loopback, port }, code);
    auto& socket = datagrams.emplace_back(context, udp::v4());
    if (!code) {
      socket.bind({ loopback, port }, code);
    }
    if (!code) {
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
