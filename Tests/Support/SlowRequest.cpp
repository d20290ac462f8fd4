#include "Support/SlowRequest.h"

#include <cstdlib>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace cranberryfold::test_support {

namespace asio = boost::asio;

struct slow_request::state
{
  asio::io_context mContext{ 1 };
  asio::ip::tcp::socket mSocket{ mContext };
};

slow_request::slow_request(core::address const& aPeer)
  : mState(std::make_unique<state>())
{
  boost::system::error_code ignored;
  mState->mSocket.connect({ asio::ip::make_address(aPeer.mHost), aPeer.mPort },
                          ignored);
}

slow_request::~slow_request() = default;

void
slow_request::Write(std::string const& aBytes)
{
  boost::system::error_code ignored;
  asio::write(mState->mSocket, asio::buffer(aBytes), ignored);
}

std::optional<unsigned>
slow_request::Status()
{
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  std::string line;
  boost::system::error_code code;
  asio::read_until(
    mState->mSocket, asio::dynamic_buffer(line), "\r\n\r\n", code);
  if (code || !line.starts_with(kVersion)) {
    return std::nullopt;
  }
  return static_cast<unsigned>(std::atoi(line.c_str() + kVersion.size()));
}

}
