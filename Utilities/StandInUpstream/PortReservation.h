#pragma once

#include "LibCore/Error.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

/// Ports for tests and sample meshes.
namespace cranberryfold::stand_in {

/// Ports on 127.0.0.1 that no other reservation on this machine has while this
/// one exists, whether or not a process listens on them.
class port_reservation
{
public:
  /// Reserves aCount different ports that are free for TCP and UDP.
  /// Fails with kUnreachable.
  static core::result<port_reservation> Make(std::size_t aCount);

  std::vector<std::uint16_t> const& Ports() const { return mPorts; }

private:
  port_reservation();

  /// Adds the free ports of a block, up to aCount in all, unless another
  /// reservation has the block.
  void AddBlock(std::uint16_t aFirst, std::size_t aCount);

  std::unique_ptr<boost::asio::io_context> mContext;
  /// Bound to the first port of each block, which marks the block as reserved.
  std::vector<boost::asio::ip::udp::socket> mMarkers;
  std::vector<std::uint16_t> mPorts;
};

}
