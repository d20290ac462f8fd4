#pragma once

#include "LibHttp/Server.h"

#include <thread>

#include <boost/asio/io_context.hpp>

namespace cranberryfold::test_support {

/// An HTTP server on a free port of 127.0.0.1, on a thread of its own.
class fake_server
{
public:
  /// aAnswer runs on that thread.
  explicit fake_server(
    std::function<http::response(http::request const&)> aAnswer);
  ~fake_server();
  fake_server(fake_server const&) = delete;
  fake_server& operator=(fake_server const&) = delete;

  std::string Address() const;

private:
  std::function<http::response(http::request const&)> mAnswer;
  boost::asio::io_context mContext{ 1 };
  http::server mServer;
  std::thread mThread;
};

}
