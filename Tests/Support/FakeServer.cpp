#include "Support/FakeServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cranberryfold::test_support {

namespace asio = boost::asio;

namespace {

using answer_function = std::function<http::response(http::request const&)>;
using delay_function = std::function<core::duration(http::request const&)>;

asio::awaitable<void>
AnswerRequest(answer_function const& aAnswer,
              delay_function const& aDelay,
              http::server_exchange& aExchange)
{
  http::request received{ aExchange.Head(), "" };
  http::body_sink const sink = [&received](std::string_view aBytes) {
    received.mBody += aBytes;
  };
  auto const read = co_await aExchange.ReadBody(sink);
  if (!read) {
    co_return;
  }
  auto const answer = aAnswer(received);
  if (aDelay) {
    asio::steady_timer delay(co_await asio::this_coro::executor,
                             aDelay(received));
    co_await delay.async_wait(asio::use_awaitable);
  }
  co_await aExchange.Respond(answer);
}

}

fake_server::fake_server(answer_function aAnswer, delay_function aDelay)
  : mAnswer(std::move(aAnswer))
  , mDelay(std::move(aDelay))
  , mServer(mContext.get_executor(), [this](http::server_exchange& aExchange) {
    return AnswerRequest(mAnswer, mDelay, aExchange);
  })
{
  core::Attempt([this] { return mServer.Listen({ "127.0.0.1", 0 }); });
  mThread = std::thread([this] { mContext.run(); });
}

fake_server::~fake_server()
{
  mContext.stop();
  mThread.join();
}

std::string
fake_server::Address() const
{
  return core::FormatAddress(mServer.LocalAddress());
}

}
