#include "Support/EndlessServer.h"

#include <memory>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace cranberryfold::test_support {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view kOk = "HTTP/1.1 200 OK\r\nconnection: close\r\n"
                                 "content-length: 0\r\n\r\n";

tcp::endpoint
EndpointOf(core::address const& aAddress)
{
  return { asio::ip::make_address(aAddress.mHost), aAddress.mPort };
}

std::string
RepeatToSize(std::string const& aText, std::size_t aSize)
{
  std::string repeated;
  while (repeated.size() < aSize) {
    repeated += aText;
  }
  return repeated;
}

}

endless_server::endless_server(core::address const& aListen,
                               endless_bytes aBytes,
                               endless_from aFrom)
  : mBytes(std::move(aBytes))
  , mAcceptor(mContext, EndpointOf(aListen))
  , mIsInTrouble(aFrom == endless_from::kStart)
{
  mThread = std::thread([this] { Accept(); });
}

endless_server::~endless_server()
{
  mIsStopping = true;
  // Ends the blocking accept.
  boost::system::error_code ignored;
  tcp::socket waking(mContext);
  waking.connect(mAcceptor.local_endpoint(), ignored);
  mThread.join();
  for (auto& connection : mConnections) {
    connection.join();
  }
}

void
endless_server::Accept()
{
  while (!mIsStopping) {
    auto accepted = std::make_shared<tcp::socket>(mContext);
    boost::system::error_code code;
    mAcceptor.accept(*accepted, code);
    if (code || mIsStopping) {
      return;
    }
    mConnections.emplace_back([this, accepted] { Serve(*accepted); });
  }
}

void
endless_server::Serve(tcp::socket& aSocket)
{
  std::string request;
  boost::system::error_code code;
  asio::read_until(aSocket, asio::dynamic_buffer(request), "\r\n\r\n", code);
  if (code) {
    return;
  }
  if (!mIsInTrouble || request.starts_with("GET /health")) {
    asio::write(aSocket, asio::buffer(kOk), code);
    return;
  }
  auto const repeated = RepeatToSize(mBytes.mRepeated, mBytes.mWriteBytes);
  mWritten += asio::write(aSocket, asio::buffer(mBytes.mBeginning), code);
  while (!code && !mIsStopping) {
    mWritten += asio::write(aSocket, asio::buffer(repeated), code);
  }
  if (code) {
    ++mClosed;
  }
}

}
