#include "PortReservation.h"

#include "LibCore/Random.h"

#include <random>

#include <boost/asio/ip/tcp.hpp>

namespace cranberryfold::stand_in {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

/// Below the range from which kernels take the ports of outgoing connections:
/// there, any connection may take a port before a daemon listens on it.
constexpr std::uint16_t kFirstPort = 10'000;
constexpr std::uint16_t kPortsPerBlock = 50;
constexpr std::uint16_t kBlockCount = 440;

template<class Protocol>
bool
IsFree(asio::io_context& aContext, std::uint16_t aPort)
{
  typename Protocol::socket socket(aContext, Protocol::v4());
  boost::system::error_code code;
  socket.bind({ asio::ip::address_v4::loopback(), aPort }, code);
  return !code;
}

}

port_reservation::port_reservation()
  : mContext(std::make_unique<asio::io_context>())
{
}

void
port_reservation::AddBlock(std::uint16_t aFirst, std::size_t aCount)
{
  udp::socket marker(*mContext, udp::v4());
  boost::system::error_code code;
  marker.bind({ asio::ip::address_v4::loopback(), aFirst }, code);
  if (code) {
    return;
  }
  mMarkers.push_back(std::move(marker));
  for (std::uint16_t offset = 1; offset < kPortsPerBlock; ++offset) {
    auto const port = static_cast<std::uint16_t>(aFirst + offset);
    if (mPorts.size() < aCount && IsFree<tcp>(*mContext, port) &&
        IsFree<udp>(*mContext, port)) {
      mPorts.push_back(port);
    }
  }
}

core::result<port_reservation>
port_reservation::Make(std::size_t aCount)
{
  port_reservation reservation;
  core::random_source random(std::random_device{}());
  auto const start = random.Below(kBlockCount);
  for (std::uint64_t tries = 0; tries < kBlockCount; ++tries) {
    if (reservation.mPorts.size() >= aCount) {
      return reservation;
    }
    auto const block = (start + tries) % kBlockCount;
    reservation.AddBlock(
      static_cast<std::uint16_t>(kFirstPort + block * kPortsPerBlock), aCount);
  }
  return core::Fail({ core::error_code::kUnreachable,
                      "reserve_ports",
                      "127.0.0.1",
                      "too few free ports" });
}

}
