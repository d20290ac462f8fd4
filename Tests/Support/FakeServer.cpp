#include "Support/FakeServer.h"

namespace cranberryfold::test_support {

namespace asio = boost::asio;

namespace {

using answer_function = std::function<http::response(http::request const&)>;

asio::awaitable<void>
AnswerRequest(answer_function const& aAnswer, http::server_exchange& aExchange)
{
  http::request received{ aExchange.Head(), "" };
  http::body_sink const sink = [&received](std::string_view aBytes) {
    received.mBody += aBytes;
  };
  co_await aExchange.ReadBody(sink);
  auto const answer = aAnswer(received);
  co_await aExchange.Respond(answer);
}

}

fake_server::fake_server(answer_function aAnswer)
  : mAnswer(std::move(aAnswer))
  , mServer(mContext.get_executor(), [this](http::server_exchange& aExchange) {
    return AnswerRequest(mAnswer, aExchange);
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
