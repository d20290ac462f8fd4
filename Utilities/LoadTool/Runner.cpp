#include "Runner.h"

#include "LibHttp/Pattern.h"

#include <cmath>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cranberryfold::load_tool {

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace {

/// Of an answer only this much is kept, to look at what it echoes.
constexpr std::size_t kKeptAnswerBytes = 4096;
constexpr std::chrono::milliseconds kEndPollInterval{ 20 };

}

load_runner::load_runner(asio::io_context& aContext, load_settings aSettings)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mClients(aContext.get_executor())
  , mRandom(mSettings.mSeed)
  , mReport(mSettings)
  , mStart(steady_clock::now())
{
}

asio::awaitable<void>
load_runner::Run()
{
  auto const schedule = MakeSchedule(mSettings);
  asio::steady_timer timer(mContext);
  mStart = steady_clock::now();
  for (auto const& next : schedule) {
    timer.expires_at(mStart + next.mTime);
    co_await timer.async_wait(asio::use_awaitable);
    ++mRunning;
    asio::co_spawn(mContext, SendWholeRequest(next), asio::detached);
  }
  while (mRunning > 0) {
    timer.expires_after(kEndPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

http::request_head
load_runner::MakeHead(load_class const& aClass)
{
  http::request_head head{ aClass.mMethod, aClass.mPath, {} };
  if (!aClass.mIdempotent) {
    auto const key = mSettings.mKeyPrefix + "load-" +
                     std::to_string(mSettings.mSeed) + "-" +
                     std::to_string(mStart.time_since_epoch().count()) + "-" +
                     std::to_string(++mKeys);
    head.mHeaders.push_back({ "idempotency-key", key });
  }
  return head;
}

std::chrono::microseconds
load_runner::Backoff(std::uint32_t aTry)
{
  auto const doubled =
    std::chrono::milliseconds(mSettings.mBackoffMilliseconds) *
    (1U << std::min(aTry, 10U));
  // Half of it is random, so that callers do not retry in step.
  auto const share = 0.5 + mRandom.Fraction();
  return std::chrono::microseconds(
    std::llround(share * 1000 * static_cast<double>(doubled.count())));
}

asio::awaitable<void>
load_runner::SendWholeRequest(arrival aArrival)
{
  auto const& row = mSettings.mClasses[aArrival.mClass];
  auto const head = MakeHead(row);
  auto const due = mStart + aArrival.mTime;
  request_result result;
  result.mClass = aArrival.mClass;
  result.mArrival = aArrival.mTime;
  asio::steady_timer timer(mContext);
  while (!result.mIsGood && result.mTries <= mSettings.mRetries) {
    if (result.mTries > 0) {
      timer.expires_after(Backoff(result.mTries - 1));
      co_await timer.async_wait(asio::use_awaitable);
    }
    ++result.mTries;
    auto const ended = co_await SendTry(aArrival.mClass, head);
    result.mIsGood = ended.mIsGood;
    result.mOutcome = ended.mOutcome;
  }
  result.mLatency =
    std::chrono::duration_cast<core::duration>(steady_clock::now() - due);
  mReport.Add(result);
  --mRunning;
}

asio::awaitable<load_runner::try_result>
load_runner::SendTry(std::size_t aClass, http::request_head const& aHead)
{
  auto const& row = mSettings.mClasses[aClass];
  auto const& target =
    mSettings.mTargets[mRandom.Below(mSettings.mTargets.size())];
  std::string kept;
  http::body_sink const sink = [&kept](std::string_view aBytes) {
    kept += aBytes.substr(0, kKeptAnswerBytes - kept.size());
  };
  auto const body = http::PatternBody(row.mBodyBytes);
  auto const timeout =
    std::chrono::milliseconds(mSettings.mTimeoutMilliseconds);
  auto const head =
    co_await mClients.Exchange(target, aHead, body, sink, timeout);
  if (head) {
    co_return Judge(aClass, *head, kept);
  }
  try_result failed;
  failed.mOutcome = core::ErrorCodeName(head.mError.mCode);
  co_return failed;
}

load_runner::try_result
load_runner::Judge(std::size_t aClass,
                   http::response_head const& aHead,
                   std::string const& aBody)
{
  auto const& row = mSettings.mClasses[aClass];
  auto const status = std::to_string(aHead.mStatus);
  if (aHead.mStatus / 100 != 2) {
    auto const value = [&aHead](std::string_view aName) {
      return std::string(http::FindHeader(aHead.mHeaders, aName));
    };
    auto const outcome = value("x-cranberryfold-outcome");
    auto const reason = value("x-cranberryfold-reason");
    mReport.AddRefusal(aClass, reason.empty() ? "none" : reason);
    return { false, outcome.empty() ? status : status + " " + outcome };
  }
  // Stand-ins echo the target and the size of what they received.
  bool const isEcho = aBody.starts_with("{\"instance\"");
  auto const size = "\"body_bytes\":" + std::to_string(row.mBodyBytes) + ",";
  bool const isRight =
    !isEcho ||
    (aBody.find("\"path\":\"" + row.mPath + "\"") != std::string::npos &&
     aBody.find(size) != std::string::npos);
  return { isRight, isRight ? status : "wrong_answer" };
}

}
