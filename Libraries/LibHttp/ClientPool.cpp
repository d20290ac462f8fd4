#include "LibHttp/ClientPool.h"

namespace cranberryfold::http {

namespace asio = boost::asio;

client_pool::client_pool(asio::any_io_executor aExecutor)
  : mExecutor(std::move(aExecutor))
{
}

std::unique_ptr<client_connection>
client_pool::TakeIdle(core::address const& aPeer)
{
  auto& idle = mIdle[aPeer];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->IsReusable()) {
      return connection;
    }
  }
  return nullptr;
}

asio::awaitable<core::attempt<response_head>>
client_pool::Exchange(core::address aPeer,
                      request_head const& aHead,
                      outgoing_body const& aBody,
                      body_sink const& aSink,
                      core::duration aTimeout)
{
  auto connection = TakeIdle(aPeer);
  if (connection != nullptr) {
    auto head = co_await connection->Exchange(aHead, aBody, aSink, aTimeout);
    bool const isStale = !head &&
                         head.mError.mCode == core::error_code::kClosed &&
                         head.mError.mStep == "read_response";
    if (!isStale || aHead.mMethod != "GET" || aBody.mSize > 0) {
      if (connection->IsReusable()) {
        mIdle[aPeer].push_back(std::move(connection));
      }
      co_return head;
    }
  }
  connection = std::make_unique<client_connection>(mExecutor, aPeer);
  auto const connected = co_await connection->Connect(aTimeout);
  if (!connected) {
    core::attempt<response_head> failed;
    failed.mError = connected.mError;
    co_return failed;
  }
  auto head = co_await connection->Exchange(aHead, aBody, aSink, aTimeout);
  if (connection->IsReusable()) {
    mIdle[aPeer].push_back(std::move(connection));
  }
  co_return head;
}

}
