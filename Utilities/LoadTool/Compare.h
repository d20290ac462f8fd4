#pragma once

#include "Settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace cranberryfold::load_tool {

/// Latencies in milliseconds of the same request on two ways.
struct latency_comparison
{
  std::size_t mRequests = 0;
  std::size_t mFailed = 0;
  double mMeshMedian = 0;
  double mMeshP99 = 0;
  double mDirectMedian = 0;
  double mDirectP99 = 0;

  bool operator==(latency_comparison const&) const = default;
};

/// Sends the first class of aSettings one at a time, alternately to the first
/// target and directly to aDirect, over one connection each.
boost::asio::awaitable<latency_comparison>
CompareWithDirect(boost::asio::any_io_executor aExecutor,
                  load_settings aSettings,
                  core::address aDirect,
                  std::size_t aRequests);

}
