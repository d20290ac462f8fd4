#pragma once

#include "LibCore/Time.h"
#include "LibHttp/Server.h"

#include <thread>

#include <boost/asio/io_context.hpp>

namespace cranberryfold::test_support {

/// An HTTP server on a free port of 127.0.0.1, on a thread of its own.
class fake_server
{
public:
  /// aAnswer runs on that thread for each request that was read completely; its
  /// answer is sent after aDelay, if there is one.
  explicit fake_server(
    std::function<http::response(http::request const&)> aAnswer,
    std::function<core::duration(http::request const&)> aDelay = {});
  ~fake_server();
  fake_server(fake_server const&) = delete;
  fake_server& operator=(fake_server const&) = delete;

  std::string Address() const;

private:
  std::function<http::response(http::request const&)> mAnswer;
  std::function<core::duration(http::request const&)> mDelay;
  boost::asio::io_context mContext{ 1 };
  http::server mServer;
  std::thread mThread;
};

}
