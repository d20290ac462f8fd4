#include "AdminClient.h"

#include <deque>
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

namespace cranberryfold::client {

namespace asio = boost::asio;

namespace {

constexpr unsigned kStatusNotLeader = 421;
constexpr unsigned kStatusUnavailable = 503;

/// Addresses still to be asked in a round; hints of a daemon come first.
class address_queue
{
public:
  explicit address_queue(std::vector<core::address> const& aAddresses)
    : mWaiting(aAddresses.begin(), aAddresses.end())
  {
  }

  std::optional<core::address> Next()
  {
    while (!mWaiting.empty()) {
      auto next = mWaiting.front();
      mWaiting.pop_front();
      if (mAsked.insert(next).second) {
        return next;
      }
    }
    return std::nullopt;
  }

  void AddHints(boost::json::value const& aBody)
  {
    auto const* const object = aBody.if_object();
    auto const* const hints =
      object != nullptr ? object->if_contains("candidates") : nullptr;
    if (hints == nullptr || !hints->is_array()) {
      return;
    }
    auto const& list = hints->get_array();
    for (auto hint = list.rbegin(); hint != list.rend(); ++hint) {
      if (!hint->is_string()) {
        continue;
      }
      auto const parsed =
        core::Attempt([&] { return core::ParseAddress(hint->get_string()); });
      if (parsed) {
        mWaiting.push_front(*parsed);
      }
    }
  }

private:
  std::deque<core::address> mWaiting;
  std::set<core::address> mAsked;
};

}

admin_client::admin_client(std::vector<core::address> aAddresses,
                           admin_limits aLimits,
                           progress_hook aProgress)
  : mAddresses(std::move(aAddresses))
  , mLimits(aLimits)
  , mProgress(std::move(aProgress))
{
}

asio::awaitable<core::attempt<admin_answer>>
admin_client::AskOne(core::address const& aPeer,
                     http::request const& aRequest) const
{
  if (mProgress) {
    mProgress(aPeer);
  }
  core::attempt<admin_answer> result;
  auto const received =
    co_await http::SendRequest(aPeer, aRequest, mLimits.mRequest);
  if (!received) {
    result.mError = received.mError;
    co_return result;
  }
  boost::json::error_code code;
  auto body = boost::json::parse(received->mBody, code);
  if (code || !body.is_object()) {
    result.mError = { core::error_code::kMalformed,
                      "read_answer",
                      core::FormatAddress(aPeer),
                      "expected a JSON object with status " +
                        std::to_string(received->mHead.mStatus) };
    co_return result;
  }
  result.mValue =
    admin_answer{ aPeer, received->mHead.mStatus, std::move(body) };
  co_return result;
}

asio::awaitable<core::attempt<admin_answer>>
admin_client::Ask(http::request const& aRequest) const
{
  core::attempt<admin_answer> last{
    std::nullopt, { core::error_code::kUnreachable, "ask", "", "no address" }
  };
  auto const end = std::chrono::steady_clock::now() + mLimits.mTotal;
  asio::steady_timer pause(co_await asio::this_coro::executor);
  std::size_t tries = 0;
  bool isWithoutLeader = true;
  while (isWithoutLeader) {
    isWithoutLeader = false;
    address_queue queue(mAddresses);
    for (auto next = queue.Next(); next.has_value(); next = queue.Next()) {
      if (++tries > mLimits.mTries || std::chrono::steady_clock::now() >= end) {
        co_return last;
      }
      auto answer = co_await AskOne(*next, aRequest);
      bool const isFinal = answer && answer->mStatus != kStatusNotLeader &&
                           answer->mStatus != kStatusUnavailable;
      if (isFinal) {
        co_return answer;
      }
      if (answer) {
        queue.AddHints(answer->mBody);
        isWithoutLeader |= answer->mStatus == kStatusNotLeader;
      }
      // An answer says more about the system than a failed connection.
      if (answer || !last) {
        last = std::move(answer);
      }
    }
    pause.expires_after(mLimits.mPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
  co_return last;
}

}
