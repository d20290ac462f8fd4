#include "Service.h"

#include "LibCore/Log.h"
#include "LibCore/Reasons.h"

#include <charconv>
#include <cmath>
#include <cstdlib>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/random/lognormal_distribution.hpp>

namespace cranberryfold::stand_in {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using core::refusal_reason;
using std::chrono::steady_clock;

namespace {

constexpr std::string_view kContextPrefix = "x-cranberryfold-";
constexpr std::string_view kDeadlineHeader = "x-cranberryfold-deadline-ms";
constexpr std::string_view kOutcomeHeader = "x-cranberryfold-outcome";
constexpr std::string_view kReasonHeader = "x-cranberryfold-reason";
constexpr std::string_view kRequestIdHeader = "x-cranberryfold-request-id";
constexpr std::string_view kLimitHeader = "x-cranberryfold-requests-per-second";
constexpr std::string_view kLeavingHeader = "x-cranberryfold-leaving";
constexpr std::string_view kKeyHeader = "idempotency-key";
constexpr std::string_view kCrashHeader = "x-stand-in-crash";
constexpr std::string_view kTruncateHeader = "x-stand-in-truncate";
constexpr std::string_view kPatternPath = "/bytes";
/// For requests without a deadline.
constexpr std::chrono::minutes kLongestWork{ 10 };

constexpr unsigned kStatusBadGateway = 502;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusTimeout = 504;

http::response
JsonResponse(unsigned aStatus, boost::json::value const& aValue)
{
  return { { aStatus, { { "content-type", "application/json" } } },
           boost::json::serialize(aValue) + "\n" };
}

/// Tells the daemon which request the answer belongs to.
void
AddRequestId(http::header_list& aHeaders, http::request_head const& aRequest)
{
  std::string const id(http::FindHeader(aRequest.mHeaders, kRequestIdHeader));
  if (!id.empty()) {
    aHeaders.push_back({ std::string(kRequestIdHeader), id });
  }
}

std::uint64_t
ParseNumber(std::string_view aText, std::uint64_t aDefault)
{
  std::uint64_t number = 0;
  auto const [end, code] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return code == std::errc() && !aText.empty() ? number : aDefault;
}

asio::awaitable<void>
SleepUntil(steady_clock::time_point aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::int64_t
MillisecondsLeft(steady_clock::time_point aDeadline)
{
  auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aDeadline - steady_clock::now());
  return std::max<std::int64_t>(left.count(), 0);
}

}

service::service(asio::io_context& aContext, settings aSettings)
  : mSettings(std::move(aSettings))
  , mContext(aContext)
  , mSlots(aContext.get_executor(), mSettings.mSlots)
  , mJournal(mSettings.mJournalFile)
  , mClients(aContext.get_executor())
  , mRandom(mSettings.mSeed)
  , mLoad(std::chrono::milliseconds(mSettings.mLoadLagMilliseconds))
  , mStart(steady_clock::now())
{
  if (!mJournal.IsUsable()) {
    core::LogWarning("journal_unusable").Field("file", mSettings.mJournalFile);
  }
}

void
service::Drain()
{
  mIsDraining = true;
  core::LogInfo("draining").Field("instance", mSettings.mInstance);
}

void
service::Leave()
{
  mIsLeaving = true;
  core::LogInfo("leaving").Field("instance", mSettings.mInstance);
}

bool
service::IsIdle() const
{
  return mSlots.InUse() == 0 && mSlots.Waiting() == 0;
}

asio::awaitable<void>
service::Handle(http::server_exchange& aExchange)
{
  auto const& head = aExchange.Head();
  auto const path = http::PathOf(head.mTarget);
  if (path == mSettings.mHealthPath && head.mMethod == "GET") {
    auto const answer = AnswerHealth();
    co_await aExchange.Respond(answer);
  } else if (path == "/load" && head.mMethod == "GET") {
    auto const answer = AnswerLoad();
    co_await aExchange.Respond(answer);
  } else if (path == "/drain" && head.mMethod == "POST") {
    Drain();
    auto const answer = JsonResponse(200, { { "draining", true } });
    co_await aExchange.Respond(answer);
  } else if (path == "/leave" && head.mMethod == "POST") {
    Leave();
    auto const answer = JsonResponse(200, { { "leaving", true } });
    co_await aExchange.Respond(answer);
  } else {
    co_await HandleWork(aExchange);
  }
}

http::response
service::AnswerHealth() const
{
  bool const isStarted =
    steady_clock::now() - mStart >=
    std::chrono::milliseconds(mSettings.mStartDelayMilliseconds);
  bool isUp = isStarted && !mIsDraining;
  if (!mSettings.mFalseHealth.empty()) {
    isUp = mSettings.mFalseHealth == "up";
  }
  auto const* const state = mIsDraining ? "draining"
                            : isStarted ? "serving"
                                        : "starting";
  return JsonResponse(isUp ? 200 : kStatusUnavailable,
                      { { "instance", mSettings.mInstance },
                        { "ready", isUp },
                        { "state", state } });
}

http::response
service::AnswerLoad() const
{
  auto const load = mLoad.At(steady_clock::now());
  return JsonResponse(
    200,
    { { "instance", mSettings.mInstance },
      { "slots", mSettings.mSlots },
      { "in_flight", mSettings.mFalseLoad.value_or(load.mInFlight) },
      { "waiting", load.mWaiting },
      { "draining", mIsDraining } });
}

void
service::RecordLoad()
{
  mLoad.Record(steady_clock::now(), { mSlots.InUse(), mSlots.Waiting() });
}

service::work_item
service::MakeItem(http::request_head const& aHead)
{
  work_item item;
  auto const value = [&](std::string_view aName) {
    return std::string(http::FindHeader(aHead.mHeaders, aName));
  };
  item.mRecord = { mSettings.mInstance,     0,
                   value(kRequestIdHeader), value(kKeyHeader),
                   aHead.mMethod,           aHead.mTarget };
  for (auto const& header : aHead.mHeaders) {
    if (http::HeaderNameStartsWith(header.mName, kContextPrefix)) {
      item.mContext.push_back(header);
    }
  }
  item.mArrival = steady_clock::now();
  auto const longest =
    std::chrono::duration_cast<std::chrono::milliseconds>(kLongestWork).count();
  auto const milliseconds = ParseNumber(value(kDeadlineHeader), longest);
  item.mDeadline = item.mArrival + std::chrono::milliseconds(milliseconds);
  return item;
}

asio::awaitable<void>
service::HandleWork(http::server_exchange& aExchange)
{
  bool const refusesFull = mSettings.mWhenFull == full_behaviour::kRefuse;
  if (mIsDraining) {
    co_return co_await Refuse(aExchange, ReasonName(refusal_reason::kDraining));
  }
  auto item = MakeItem(aExchange.Head());
  http::body_sink const sink = [&item](std::string_view aBytes) {
    item.mBody.Add(aBytes);
  };
  auto const body = co_await aExchange.ReadBody(sink);
  if (!body) {
    co_return;
  }
  if (refusesFull && !mSlots.HasFree()) {
    co_return co_await Refuse(aExchange,
                              ReasonName(refusal_reason::kQueueFull));
  }
  auto slot = co_await (mSlots.Acquire() || aExchange.WaitForClose() ||
                        SleepUntil(item.mDeadline));
  RecordLoad();
  if (slot.index() == 1) {
    aExchange.Abandon();
    co_return;
  }
  if (slot.index() == 2) {
    co_return co_await Refuse(aExchange,
                              ReasonName(refusal_reason::kDeadlineExceeded));
  }
  co_await RunItem(aExchange, item);
  slot.emplace<1>();
  RecordLoad();
}

asio::awaitable<void>
service::RunItem(http::server_exchange& aExchange, work_item& aItem)
{
  aItem.mRecord.mRun = ++mRuns;
  mJournal.Start(aItem.mRecord);
  auto const& headers = aExchange.Head().mHeaders;
  if (mSettings.mAllowCrash &&
      http::FindHeader(headers, kCrashHeader) == "yes") {
    core::LogError("crash_requested").Field("path", aItem.mRecord.mPath);
    std::abort();
  }
  auto const ended = co_await (Perform(aItem) || aExchange.WaitForClose() ||
                               SleepUntil(aItem.mDeadline));
  if (ended.index() == 1) {
    mJournal.End(aItem.mRecord, "cancelled");
    aExchange.Abandon();
    co_return;
  }
  if (ended.index() == 2) {
    mJournal.End(aItem.mRecord, "deadline");
    auto const answer =
      JsonResponse(kStatusTimeout, { { "error", "deadline exceeded" } });
    co_await aExchange.Respond(answer);
    co_return;
  }
  co_await Answer(aExchange, aItem);
}

asio::awaitable<void>
service::Perform(work_item& aItem)
{
  auto const path = std::string(http::PathOf(aItem.mRecord.mPath));
  for (auto const& call : mSettings.mCalls) {
    if (!path.starts_with(call.mPathPrefix) || aItem.mHasFailedCall) {
      continue;
    }
    auto report = co_await Call(aItem, call);
    aItem.mHasFailedCall = report.mStatus / 100 != 2;
    aItem.mCalls.push_back(std::move(report));
  }
  if (!aItem.mHasFailedCall) {
    co_await SleepUntil(steady_clock::now() + ServiceTime());
  }
}

asio::awaitable<call_report>
service::Call(work_item const& aItem, further_call const& aCall)
{
  http::request_head head{ aCall.mMethod, aCall.mTarget, {} };
  for (auto const& header : aItem.mContext) {
    if (http::FindHeader({ header }, kDeadlineHeader).empty()) {
      head.mHeaders.push_back(header);
    }
  }
  if (!aItem.mRecord.mKey.empty()) {
    // Each call needs a key of its own; the prefix that names the home zone
    // stays.
    head.mHeaders.push_back(
      { std::string(kKeyHeader), aItem.mRecord.mKey + ":" + aCall.mTarget });
  }
  auto const limit = std::min<std::int64_t>(mSettings.mCallTimeoutMilliseconds,
                                            MillisecondsLeft(aItem.mDeadline));
  head.mHeaders.push_back(
    { std::string(kDeadlineHeader), std::to_string(limit) });
  call_report report{ aCall.mTarget, 0, "" };
  for (std::uint32_t tries = 0; tries < mSettings.mCallTries; ++tries) {
    http::body_sink const discard = [](std::string_view) {};
    http::outgoing_body const noBody;
    auto const answer =
      co_await mClients.Exchange(*mSettings.mEgress,
                                 head,
                                 noBody,
                                 discard,
                                 std::chrono::milliseconds(limit));
    report.mStatus = answer ? answer->mStatus : 0;
    report.mOutcome = answer
                        ? http::FindHeader(answer->mHeaders, kOutcomeHeader)
                        : core::ErrorCodeName(answer.mError.mCode);
    if (report.mStatus / 100 == 2) {
      break;
    }
  }
  co_return report;
}

void
service::AddCondition(http::header_list& aHeaders) const
{
  if (mSettings.mRequestsPerSecond) {
    aHeaders.push_back({ std::string(kLimitHeader),
                         std::to_string(*mSettings.mRequestsPerSecond) });
  }
  if (mIsLeaving) {
    aHeaders.push_back({ std::string(kLeavingHeader), "yes" });
  }
}

std::string
service::DescribeItem(work_item const& aItem) const
{
  boost::json::array calls;
  for (auto const& call : aItem.mCalls) {
    calls.push_back({ { "target", call.mTarget },
                      { "status", call.mStatus },
                      { "outcome", call.mOutcome } });
  }
  boost::json::value const value{ { "instance", mSettings.mInstance },
                                  { "service", mSettings.mService },
                                  { "method", aItem.mRecord.mMethod },
                                  { "path", aItem.mRecord.mPath },
                                  { "run", aItem.mRecord.mRun },
                                  { "request_id", aItem.mRecord.mRequestId },
                                  { "key", aItem.mRecord.mKey },
                                  { "body_bytes", aItem.mBody.Size() },
                                  { "body_hash",
                                    http::FormatHash(aItem.mBody.Digest()) },
                                  { "calls", calls } };
  return boost::json::serialize(value) + "\n";
}

asio::awaitable<void>
service::Answer(http::server_exchange& aExchange, work_item const& aItem)
{
  auto const& head = aExchange.Head();
  auto const text = DescribeItem(aItem);
  http::response_head answer{ 200, { { "content-type", "application/json" } } };
  AddRequestId(answer.mHeaders, head);
  AddCondition(answer.mHeaders);
  auto body = http::BodyOf(text);
  if (aItem.mHasFailedCall) {
    answer.mStatus = kStatusBadGateway;
  } else if (http::PathOf(head.mTarget).ends_with(kPatternPath)) {
    auto const size = http::FindQuery(head.mTarget, "size");
    body = http::PatternBody(ParseNumber(size, 0));
    answer.mHeaders[0].mValue = "application/octet-stream";
  }
  std::string_view outcome = aItem.mHasFailedCall ? "failed_call" : "done";
  if (http::FindHeader(head.mHeaders, kTruncateHeader) == "yes") {
    outcome = "truncated";
    body.mRead = [read = body.mRead, left = body.mSize / 2](
                   char* aBuffer, std::size_t aCapacity) mutable {
      auto const count =
        read(aBuffer, std::min<std::uint64_t>(aCapacity, left));
      left -= count;
      return count;
    };
  }
  mJournal.End(aItem.mRecord, outcome);
  co_await aExchange.Respond(answer, body);
}

asio::awaitable<void>
service::Refuse(http::server_exchange& aExchange, std::string_view aReason)
{
  auto answer = JsonResponse(kStatusUnavailable, { { "error", aReason } });
  AddRequestId(answer.mHead.mHeaders, aExchange.Head());
  answer.mHead.mHeaders.push_back({ std::string(kOutcomeHeader), "not_run" });
  answer.mHead.mHeaders.push_back(
    { std::string(kReasonHeader), std::string(aReason) });
  co_await aExchange.Respond(answer);
}

std::chrono::microseconds
service::ServiceTime()
{
  double milliseconds = mSettings.mServiceTimeMilliseconds;
  if (mSettings.mServiceTimeSpread > 0 && milliseconds > 0) {
    // The lognormal distribution takes the logarithm of the median.
    boost::random::lognormal_distribution<double> const distribution(
      std::log(milliseconds), mSettings.mServiceTimeSpread);
    milliseconds = mRandom.Draw(distribution);
  }
  auto const age =
    std::chrono::duration<double, std::milli>(steady_clock::now() - mStart)
      .count();
  double const coldStart = mSettings.mColdStartMilliseconds;
  if (age < coldStart) {
    auto const share = 1 - age / coldStart;
    milliseconds *= 1 + (mSettings.mColdStartFactor - 1) * share;
  }
  return std::chrono::microseconds(std::llround(milliseconds * 1000));
}

}
