#pragma once

#include "Journal.h"
#include "LibCore/Random.h"
#include "LibHttp/ClientPool.h"
#include "LibHttp/Pattern.h"
#include "LibHttp/Server.h"
#include "LoadHistory.h"
#include "Settings.h"
#include "WorkSlots.h"

#include <boost/asio/io_context.hpp>

/// The work of the stand-in upstream: one HTTP request at a time per slot.
namespace cranberryfold::stand_in {

/// What a further call through the daemon came to.
struct call_report
{
  std::string mTarget;
  unsigned mStatus = 0;
  std::string mOutcome;

  bool operator==(call_report const&) const = default;
};

class service
{
public:
  service(boost::asio::io_context& aContext, settings aSettings);

  /// Answers one request. Errors end up in the response and the journal.
  boost::asio::awaitable<void> Handle(http::server_exchange& aExchange);

  /// Refuses new work from now on.
  void Drain();

  /// States in further responses that this upstream is leaving. It still runs
  /// work and reports good health.
  void Leave();

  /// Whether no work is running or waiting.
  bool IsIdle() const;

private:
  struct work_item
  {
    run_record mRecord;
    http::header_list mContext;
    http::body_hash mBody;
    std::chrono::steady_clock::time_point mArrival;
    std::chrono::steady_clock::time_point mDeadline;
    std::vector<call_report> mCalls;
    bool mHasFailedCall = false;
  };

  work_item MakeItem(http::request_head const& aHead);
  boost::asio::awaitable<void> HandleWork(http::server_exchange& aExchange);
  boost::asio::awaitable<void> RunItem(http::server_exchange& aExchange,
                                       work_item& aItem);
  boost::asio::awaitable<void> Perform(work_item& aItem);
  boost::asio::awaitable<call_report> Call(work_item const& aItem,
                                           further_call const& aCall);
  boost::asio::awaitable<void> Answer(http::server_exchange& aExchange,
                                      work_item const& aItem);
  boost::asio::awaitable<void> Refuse(http::server_exchange& aExchange,
                                      std::string_view aReason);
  http::response AnswerHealth() const;
  http::response AnswerLoad() const;
  void AddCondition(http::header_list& aHeaders) const;
  std::string DescribeItem(work_item const& aItem) const;
  std::chrono::microseconds ServiceTime();
  void RecordLoad();

  settings mSettings;
  boost::asio::io_context& mContext;
  work_slots mSlots;
  journal mJournal;
  http::client_pool mClients;
  core::random_source mRandom;
  load_history mLoad;
  std::chrono::steady_clock::time_point mStart;
  std::uint64_t mRuns = 0;
  bool mIsDraining = false;
  bool mIsLeaving = false;
};

}
