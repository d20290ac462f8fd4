#pragma once

#include "LibCore/Address.h"
#include "LibCore/Time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <thread>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace cranberryfold::test_support {

enum class connection_end : std::uint8_t
{
  kKeepOpen,
  kClose,
  kReset,
  /// The sending side is closed in order; the reset follows.
  kCloseThenReset,
  /// The server stops to listen and resets all connections, as if its process
  /// had crashed.
  kCrash,
};

struct scripted_answer
{
  /// Written as they are.
  std::string mBytes;
  /// What happens to the connection after that.
  connection_end mEnd = connection_end::kKeepOpen;
  /// Time before a reset, for example until the sender of the request waits for
  /// the unread rest of it.
  core::duration mResetDelay{};
  /// Whether the rest of the request is read while the answer is written.
  bool mReadsOn = false;
};

struct scripted_request
{
  /// Request line and headers.
  std::string mHead;
  /// Counts the requests on its connection, from 1.
  unsigned mNumber = 0;

  /// Returns the value of a header, whose name is in lower case; empty if there
  /// is none.
  std::string Header(std::string const& aName) const;
};

/// An upstream that answers its health check, and everything else with the
/// bytes that a function returns.
class scripted_server
{
public:
  using answer_function =
    std::function<scripted_answer(scripted_request const&)>;

  /// aAnswer runs on a thread of the server, once a request was read, or its
  /// head if aAnswersEarly.
  scripted_server(core::address const& aListen,
                  answer_function aAnswer,
                  bool aAnswersEarly = false);
  ~scripted_server();
  scripted_server(scripted_server const&) = delete;
  scripted_server& operator=(scripted_server const&) = delete;

  /// Requests other than health checks.
  unsigned Requests() const { return mRequests; }

private:
  using socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(socket aSocket);
  static boost::asio::awaitable<void> Reset(socket& aSocket,
                                            core::duration aDelay);
  void Crash();

  answer_function mAnswer;
  bool mAnswersEarly;
  std::atomic<unsigned> mRequests = 0;
  /// Open connections.
  std::set<socket*> mSockets;
  boost::asio::io_context mContext{ 1 };
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::thread mThread;
};

}
