#include "Soak/Run.h"

#include "Soak/Faults.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <stdexcept>
#include <thread>

#include <boost/json/parse.hpp>

namespace cranberryfold::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStep{ 20 };
/// Far below the time limits of the routes, so that a frozen daemon does not
/// keep a caller for long.
constexpr core::duration kCallerTimeout = std::chrono::seconds(3);
constexpr core::duration kOperatorTimeout = std::chrono::seconds(1);
constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;

/// The route /move goes to aMoveService.
std::string
Tables(std::string const& aMoveService)
{
  auto const pool = [](std::string const& aName) {
    return R"({ "name": ")" + aName + R"(", "service": ")" + aName +
           R"(", "cold_start_ms": 0 })";
  };
  auto const route = [](std::string const& aName,
                        std::string const& aPool,
                        std::string const& aRest) {
    return R"({ "name": ")" + aName + R"(", "path_prefix": "/)" + aName +
           R"(", "pool": ")" + aPool + R"(", )" + aRest +
           R"(, "timeout_ms": 2000 })";
  };
  std::string const read =
    R"("methods": ["GET"], "class": "catalogue", "idempotent": true)";
  std::string const order =
    R"("methods": ["POST"], "class": "order", "idempotent": false)";
  return R"({ "pools": [)" + pool(kReadService) + ", " + pool(kOrderService) +
         ", " + pool("stock") + R"(], "routes": [)" +
         route("read", kReadService, read) + ", " +
         route("order", kOrderService, order) + ", " +
         route("move", aMoveService, read) + "] }";
}

/// Requests and edits that are observed by several threads.
class record_book
{
public:
  void Add(request_record aRecord)
  {
    std::scoped_lock const lock(mMutex);
    mRequests.push_back(std::move(aRecord));
  }

  void Begin(std::string aId, std::string aService)
  {
    std::scoped_lock const lock(mMutex);
    mEdits.push_back(
      { std::move(aId), std::move(aService), steady_clock::now(), {} });
  }

  void Acknowledge()
  {
    std::scoped_lock const lock(mMutex);
    mEdits.back().mAcknowledged = steady_clock::now();
  }

  std::vector<request_record> const& Requests() const { return mRequests; }
  std::vector<edit_record> const& Edits() const { return mEdits; }

private:
  std::mutex mMutex;
  std::vector<request_record> mRequests;
  std::vector<edit_record> mEdits;
};

/// Sends requests to random daemons over kept connections until it is stopped.
class caller
{
public:
  caller(deployment const& aDeployment,
         record_book& aBook,
         std::size_t aNumber,
         std::uint64_t aSeed)
    : mBook(aBook)
    , mNumber(aNumber)
    , mRandom(aSeed)
  {
    for (std::size_t member = 0; member < aDeployment.Size(); ++member) {
      mConnections.push_back(std::make_unique<test_support::kept_connection>(
        aDeployment.Caller(member)));
    }
  }

  void Run(std::atomic<bool> const& aIsStopped)
  {
    while (!aIsStopped) {
      SendOne();
      std::this_thread::sleep_for(milliseconds(mRandom.Below(20)));
    }
  }

private:
  void SendOne()
  {
    auto const member =
      static_cast<std::size_t>(mRandom.Below(mConnections.size()));
    auto const kind = mRandom.Below(3);
    request_record record;
    record.mInstance = deployment::NameOf(member);
    auto const id = std::to_string(mNumber) + "-" + std::to_string(++mSent);
    http::request request;
    if (kind == 0) {
      record.mKind = request_kind::kOrder;
      record.mPath = "/order/" + id;
      request.mHead.mMethod = "POST";
      request.mHead.mHeaders.push_back({ "idempotency-key", id });
      request.mBody = "order " + id;
    } else {
      bool const isRead = kind == 1;
      record.mKind = isRead ? request_kind::kRead : request_kind::kMove;
      record.mPath = (isRead ? "/read/" : "/move/") + id;
    }
    request.mHead.mTarget = record.mPath;
    record.mSent = steady_clock::now();
    auto const answer = mConnections[member]->Exchange(request, kCallerTimeout);
    record.mEnded = steady_clock::now();
    if (answer) {
      ReadAnswer(*answer, record);
    }
    mBook.Add(std::move(record));
  }

  static void ReadAnswer(http::response const& aAnswer, request_record& aRecord)
  {
    aRecord.mStatus = aAnswer.mHead.mStatus;
    aRecord.mIsNotRun =
      http::FindHeader(aAnswer.mHead.mHeaders, "x-cranberryfold-outcome") ==
      "not_run";
    if (aRecord.mStatus != kOk) {
      return;
    }
    boost::json::error_code code;
    auto const body = boost::json::parse(aAnswer.mBody, code);
    if (code || !body.is_object()) {
      return;
    }
    auto const text = [&](char const* aName) {
      auto const* const value = body.get_object().if_contains(aName);
      return value != nullptr && value->is_string()
               ? std::string(value->get_string())
               : std::string();
    };
    aRecord.mAnsweredPath = text("path");
    aRecord.mService = text("service");
  }

  record_book& mBook;
  std::size_t mNumber;
  std::size_t mSent = 0;
  core::random_source mRandom;
  std::vector<std::unique_ptr<test_support::kept_connection>> mConnections;
};

/// Moves a route from one service to the other and back, at times in quick
/// succession. Sends each edit again until it is acknowledged.
class route_operator
{
public:
  route_operator(deployment const& aDeployment,
                 record_book& aBook,
                 std::uint64_t aSeed)
    : mDeployment(aDeployment)
    , mBook(aBook)
    , mRandom(aSeed)
  {
  }

  void Run(std::atomic<bool> const& aIsStopped)
  {
    while (!aIsStopped) {
      bool const moved = mEdits % 2 == 1;
      Apply(moved ? "stock" : kReadService, aIsStopped);
      auto const end = steady_clock::now() + Pause();
      while (!aIsStopped && steady_clock::now() < end) {
        std::this_thread::sleep_for(kStep);
      }
    }
  }

  /// Applies one edit. Returns false if it was stopped before.
  bool Apply(std::string const& aService, std::atomic<bool> const& aIsStopped)
  {
    ++mEdits;
    // An edit keeps its base when it is sent again, so that it is the same.
    mBase.reset();
    mBook.Begin(EditId(), aService);
    while (!aIsStopped) {
      for (std::size_t replica = 0; replica < kZones; ++replica) {
        if (SendTo(replica, aService)) {
          mBook.Acknowledge();
          return true;
        }
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

private:
  std::string EditId() const { return "edit-" + std::to_string(mEdits); }

  milliseconds Pause()
  {
    return milliseconds(mRandom.Chance(0.5) ? mRandom.Below(800)
                                            : 8000 + mRandom.Below(6000));
  }

  /// Sends the present edit to one replica. Returns whether it is acknowledged.
  bool SendTo(std::size_t aReplica, std::string const& aService)
  {
    auto& connection = mConnections[aReplica];
    if (!connection) {
      connection = std::make_unique<test_support::kept_connection>(
        mDeployment.Admin(aReplica));
    }
    if (!mBase) {
      auto const tables = connection->Exchange(
        { { "GET", "/v1/tables?current=true", {} }, "" }, kOperatorTimeout);
      mBase = tables ? RevisionOf(tables->mBody) : std::nullopt;
    }
    if (!mBase) {
      return false;
    }
    http::request const edit{ { "POST", "/v1/edits", {} },
                              R"({"edit_id":")" + EditId() +
                                R"(","base_revision":)" +
                                std::to_string(*mBase) + R"(,"tables":)" +
                                Tables(aService) + "}" };
    auto const answer = connection->Exchange(edit, kOperatorTimeout);
    if (answer && answer->mHead.mStatus == kConflict) {
      mBase.reset();
    }
    return answer && answer->mHead.mStatus == kOk;
  }

  static std::optional<std::uint64_t> RevisionOf(std::string const& aBody)
  {
    boost::json::error_code code;
    auto const body = boost::json::parse(aBody, code);
    if (code || !body.is_object()) {
      return std::nullopt;
    }
    auto const* const value = body.get_object().if_contains("revision");
    if (value == nullptr || !value->is_number()) {
      return std::nullopt;
    }
    return value->to_number<std::uint64_t>();
  }

  deployment const& mDeployment;
  record_book& mBook;
  core::random_source mRandom;
  std::array<std::unique_ptr<test_support::kept_connection>, kZones>
    mConnections;
  std::uint64_t mEdits = 0;
  std::optional<std::uint64_t> mBase;
};

/// Waits until all daemons serve the first tables.
bool
WaitUntilServed(deployment const& aDeployment)
{
  return test_support::WaitUntil([&] {
    for (std::size_t member = 0; member < aDeployment.Size(); ++member) {
      for (auto const* const target : { "/read/ready", "/move/ready" }) {
        auto const answer = test_support::Send(aDeployment.Caller(member),
                                               { { "GET", target, {} }, "" });
        if (!answer || answer->mHead.mStatus != kOk) {
          return false;
        }
      }
    }
    return true;
  });
}

/// Returns the ids of the edits in the history of a replica that knows the
/// newest one, if one of them does in time.
std::optional<std::vector<std::string>>
ReadHistory(deployment const& aDeployment)
{
  std::vector<std::string> ids;
  auto const read = [&](std::size_t aReplica) {
    auto const address = aDeployment.Admin(aReplica);
    // Only a replica that is sure to know the newest tables answers this.
    auto const tables = test_support::Send(
      address, { { "GET", "/v1/tables?current=true", {} }, "" });
    auto const answer =
      test_support::Send(address, { { "GET", "/v1/history", {} }, "" });
    boost::json::error_code code;
    auto const body =
      answer ? boost::json::parse(answer->mBody, code) : boost::json::value();
    if (!tables || tables->mHead.mStatus != kOk || code || !body.is_object()) {
      return false;
    }
    ids.clear();
    for (auto const& edit : body.at("edits").as_array()) {
      ids.emplace_back(edit.at("edit_id").as_string());
    }
    return true;
  };
  bool const isRead = test_support::WaitUntil([&] {
    for (std::size_t replica = 0; replica < kZones; ++replica) {
      if (read(replica)) {
        return true;
      }
    }
    return false;
  });
  return isRead ? std::optional(std::move(ids)) : std::nullopt;
}

/// Returns the logs of the members that aViolations name or that have ended.
std::string
LogsOf(deployment const& aDeployment,
       std::vector<std::string> const& aViolations,
       std::vector<std::size_t> const& aEnded)
{
  std::string logs;
  for (std::size_t member = 0; member < aDeployment.Size(); ++member) {
    auto const name = "at=" + deployment::NameOf(member);
    // A violation that names no instance is one of the control group.
    bool const isNamed = std::any_of(
      aViolations.begin(), aViolations.end(), [&](auto const& aLine) {
        return aLine.find(name) != std::string::npos ||
               (aLine.find("at=") == std::string::npos &&
                aDeployment.IsReplica(member));
      });
    bool const hasEnded =
      std::find(aEnded.begin(), aEnded.end(), member) != aEnded.end();
    if (isNamed || hasEnded) {
      logs += "== " + deployment::NameOf(member) + "\n" +
              aDeployment.DaemonLog(member);
    }
  }
  return logs;
}

}

run_report
Run(run_settings const& aSettings)
{
  deployment processes(aSettings.mInstances);
  record_book book;
  std::atomic<bool> isStopped = false;
  route_operator plans(processes, book, aSettings.mSeed);
  plans.Apply(kReadService, isStopped);
  if (!WaitUntilServed(processes)) {
    throw std::runtime_error("the deployment does not get ready");
  }
  std::vector<std::thread> threads;
  for (std::size_t number = 0; number < aSettings.mCallers; ++number) {
    threads.emplace_back([&, number] {
      caller(processes, book, number, aSettings.mSeed + number + 1)
        .Run(isStopped);
    });
  }
  threads.emplace_back([&] { plans.Run(isStopped); });
  fault_injector faults(processes, aSettings.mSeed, aSettings.mDisksFail);
  auto const end = steady_clock::now() + aSettings.mLength;
  while (steady_clock::now() < end) {
    faults.Step();
    std::this_thread::sleep_for(kStep);
  }
  faults.Finish();
  isStopped = true;
  for (auto& thread : threads) {
    thread.join();
  }
  observations seen{ book.Requests(),
                     book.Edits(),
                     processes.Runs(),
                     faults.Disturbances(),
                     ReadHistory(processes) };
  std::erase_if(seen.mRuns, [](run_record const& aRun) {
    return aRun.mPath.ends_with("/ready");
  });
  run_report report;
  report.mViolations = FindViolations(seen, aSettings.mLimits);
  for (auto const member : faults.Ended()) {
    report.mViolations.push_back("violation=process_ended at=" +
                                 deployment::NameOf(member));
  }
  report.mRequests = seen.mRequests.size();
  report.mServed = static_cast<std::size_t>(std::count_if(
    seen.mRequests.begin(), seen.mRequests.end(), [](auto const& aRequest) {
      return aRequest.mStatus == kOk;
    }));
  report.mEdits = seen.mEdits.size();
  report.mAcknowledgedEdits = static_cast<std::size_t>(std::count_if(
    seen.mEdits.begin(), seen.mEdits.end(), [](auto const& aEdit) {
      return aEdit.mAcknowledged.has_value();
    }));
  report.mFaults = faults.Log();
  report.mLogs = LogsOf(processes, report.mViolations, faults.Ended());
  return report;
}

}
