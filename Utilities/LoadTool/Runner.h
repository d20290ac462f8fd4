#pragma once

#include "LibCore/Random.h"
#include "LibHttp/ClientPool.h"
#include "Results.h"
#include "Schedule.h"

#include <chrono>

#include <boost/asio/io_context.hpp>

namespace cranberryfold::load_tool {

/// Sends the load of aSettings: open-loop, each request starts at its time
/// whether or not earlier ones have ended.
class load_runner
{
public:
  load_runner(boost::asio::io_context& aContext, load_settings aSettings);

  /// Completes when the last request has ended.
  boost::asio::awaitable<void> Run();

  load_report const& Report() const { return mReport; }

private:
  /// How one try ended.
  struct try_result
  {
    bool mIsGood = false;
    std::string mOutcome;
  };

  boost::asio::awaitable<void> SendWholeRequest(arrival aArrival);
  boost::asio::awaitable<try_result> SendTry(std::size_t aClass,
                                             http::request_head const& aHead);
  try_result Judge(std::size_t aClass,
                   http::response_head const& aHead,
                   std::string const& aBody);
  http::request_head MakeHead(load_class const& aClass);
  std::chrono::microseconds Backoff(std::uint32_t aTry);

  boost::asio::io_context& mContext;
  load_settings mSettings;
  http::client_pool mClients;
  core::random_source mRandom;
  load_report mReport;
  std::chrono::steady_clock::time_point mStart;
  std::uint64_t mKeys = 0;
  std::size_t mRunning = 0;
};

}
