#pragma once

#include "LibCore/Address.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace cranberryfold::test_support {

/// What an upstream in trouble sends: a beginning, and then the same bytes
/// again until the connection is closed.
struct endless_bytes
{
  std::string mBeginning;
  std::string mRepeated;
  /// Bytes that are written at once, rounded up to a multiple of mRepeated.
  std::size_t mWriteBytes = 64UL * 1024UL;
};

/// When an endless_server begins to send bytes without end.
enum class endless_from : std::uint8_t
{
  kStart,
  /// It answers requests properly until BeginTrouble().
  kBeginTrouble,
};

/// An upstream that answers its health check and sends bytes without end as the
/// answer to everything else. Each connection has a thread of its own.
class endless_server
{
public:
  endless_server(core::address const& aListen,
                 endless_bytes aBytes,
                 endless_from aFrom = endless_from::kStart);
  ~endless_server();
  endless_server(endless_server const&) = delete;
  endless_server& operator=(endless_server const&) = delete;

  void BeginTrouble() { mIsInTrouble = true; }

  /// Connections with an endless answer that the other side has closed.
  unsigned Closed() const { return mClosed; }
  /// Bytes written on all of them.
  std::uint64_t Written() const { return mWritten; }

private:
  using socket = boost::asio::ip::tcp::socket;

  void Accept();
  void Serve(socket& aSocket);

  endless_bytes mBytes;
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::atomic<bool> mIsInTrouble;
  std::atomic<bool> mIsStopping = false;
  std::atomic<unsigned> mClosed = 0;
  std::atomic<std::uint64_t> mWritten = 0;
  std::vector<std::thread> mConnections;
  std::thread mThread;
};

}
