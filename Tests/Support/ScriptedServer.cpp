#include "Support/ScriptedServer.h"

#include <algorithm>
#include <array>
#include <memory>
#include <tuple>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cranberryfold::test_support {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kReaderPoll = std::chrono::milliseconds(1);
constexpr std::string_view kEndOfHead = "\r\n\r\n";
constexpr std::string_view kHealthy = "HTTP/1.1 200 OK\r\n"
                                      "connection: close\r\n"
                                      "content-length: 0\r\n\r\n";

std::size_t
BodySize(scripted_request const& aRequest)
{
  auto const length = aRequest.Header("content-length");
  return length.empty() ? 0 : std::stoul(length);
}

/// Reads and drops bytes while other code writes to the same socket.
class background_reader : public std::enable_shared_from_this<background_reader>
{
public:
  background_reader(tcp::socket& aSocket, std::size_t aSize)
    : mSocket(aSocket)
    , mLeft(aSize)
  {
  }

  bool IsDone() const { return mLeft == 0; }

  void Read()
  {
    if (IsDone()) {
      return;
    }
    mSocket.async_read_some(
      asio::buffer(mBytes),
      [self = shared_from_this()](boost::system::error_code aCode,
                                  std::size_t aSize) {
        self->mLeft -= aCode ? self->mLeft : std::min(self->mLeft, aSize);
        self->Read();
      });
  }

private:
  tcp::socket& mSocket;
  std::size_t mLeft;
  std::array<char, 65'536> mBytes{};
};

}

std::string
scripted_request::Header(std::string const& aName) const
{
  auto const lowered = boost::algorithm::to_lower_copy(mHead);
  auto const name = "\r\n" + aName + ":";
  auto const found = lowered.find(name);
  if (found == std::string::npos) {
    return {};
  }
  auto const start = mHead.find_first_not_of(' ', found + name.size());
  return mHead.substr(start, mHead.find("\r\n", start) - start);
}

scripted_server::scripted_server(core::address const& aListen,
                                 answer_function aAnswer,
                                 bool aAnswersEarly)
  : mAnswer(std::move(aAnswer))
  , mAnswersEarly(aAnswersEarly)
  , mAcceptor(
      mContext,
      tcp::endpoint(asio::ip::make_address(aListen.mHost), aListen.mPort))
{
  asio::co_spawn(
    mContext, [this] { return Accept(); }, asio::detached);
  mThread = std::thread([this] { mContext.run(); });
}

scripted_server::~scripted_server()
{
  mContext.stop();
  mThread.join();
}

asio::awaitable<void>
scripted_server::Accept()
{
  for (;;) {
    auto [code, accepted] = co_await mAcceptor.async_accept(kAsTuple);
    if (code) {
      co_return;
    }
    asio::co_spawn(
      mContext,
      [this, moved = std::move(accepted)]() mutable {
        return Serve(std::move(moved));
      },
      asio::detached);
  }
}

asio::awaitable<void>
scripted_server::Serve(socket aSocket)
{
  mSockets.insert(&aSocket);
  std::shared_ptr<socket> const registration(
    &aSocket, [this](socket* aEnded) { mSockets.erase(aEnded); });
  std::string read;
  for (unsigned number = 1;; ++number) {
    auto const [code, size] = co_await asio::async_read_until(
      aSocket, asio::dynamic_buffer(read), kEndOfHead, kAsTuple);
    if (code) {
      co_return;
    }
    scripted_request const request{ read.substr(0, size), number };
    read.erase(0, size);
    if (request.mHead.starts_with("GET /health")) {
      co_await asio::async_write(aSocket, asio::buffer(kHealthy), kAsTuple);
      co_return;
    }
    ++mRequests;
    auto bodyLeft =
      BodySize(request) - std::min(BodySize(request), read.size());
    while (!mAnswersEarly && bodyLeft > 0) {
      std::array<char, 4096> bytes;
      auto const [bodyCode, bodySize] =
        co_await aSocket.async_read_some(asio::buffer(bytes), kAsTuple);
      if (bodyCode) {
        co_return;
      }
      bodyLeft -= std::min(bodyLeft, bodySize);
    }
    read.clear();
    auto const answer = mAnswer(request);
    auto const reader = std::make_shared<background_reader>(
      aSocket, answer.mReadsOn ? bodyLeft : 0);
    reader->Read();
    auto const [writeCode, written] = co_await asio::async_write(
      aSocket, asio::buffer(answer.mBytes), kAsTuple);
    while (!reader->IsDone()) {
      asio::steady_timer pause(mContext, kReaderPoll);
      co_await pause.async_wait(kAsTuple);
    }
    if (writeCode || answer.mEnd == connection_end::kClose) {
      co_return;
    }
    if (answer.mEnd == connection_end::kCrash) {
      Crash();
      co_return;
    }
    if (answer.mEnd == connection_end::kCloseThenReset) {
      boost::system::error_code ignored;
      aSocket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    if (answer.mEnd != connection_end::kKeepOpen) {
      co_await Reset(aSocket, answer.mResetDelay);
      co_return;
    }
  }
}

void
scripted_server::Crash()
{
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
  for (auto* const open : mSockets) {
    open->set_option(asio::socket_base::linger(true, 0), ignored);
    open->close(ignored);
  }
}

asio::awaitable<void>
scripted_server::Reset(socket& aSocket, core::duration aDelay)
{
  asio::steady_timer delay(aSocket.get_executor(), aDelay);
  co_await delay.async_wait(kAsTuple);
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  // The destructor would close the connection without a reset.
  aSocket.close(ignored);
}

}
