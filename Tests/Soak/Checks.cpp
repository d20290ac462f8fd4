#include "Soak/Checks.h"

#include <algorithm>
#include <set>

namespace cranberryfold::soak {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kFirstError = 400;

class checker
{
public:
  checker(observations const& aObservations, limits const& aLimits)
    : mSeen(aObservations)
    , mLimits(aLimits)
  {
    for (auto const& request : mSeen.mRequests) {
      mRequests.emplace(request.mPath, &request);
    }
    for (auto const& run : mSeen.mRuns) {
      ++mRunCounts[run.mPath];
    }
  }

  std::vector<std::string> Check()
  {
    for (auto const& run : mSeen.mRuns) {
      CheckRun(run);
    }
    for (auto const& request : mSeen.mRequests) {
      CheckRequest(request);
    }
    for (auto const& edit : mSeen.mEdits) {
      CheckHistory(edit);
    }
    return std::move(mViolations);
  }

private:
  void Report(std::string const& aRule,
              std::string const& aPath,
              std::string const& aDetail)
  {
    mViolations.push_back("violation=" + aRule + " path=" + aPath + " " +
                          aDetail);
  }

  /// Services that some tables sent so far allow for the request.
  std::set<std::string> AllowedServices(request_record const& aRequest) const
  {
    switch (aRequest.mKind) {
      case request_kind::kRead:
        return { kReadService };
      case request_kind::kOrder:
        return { kOrderService };
      case request_kind::kMove:
        break;
    }
    std::set<std::string> services;
    for (auto const& edit : mSeen.mEdits) {
      if (edit.mSent <= aRequest.mEnded) {
        services.insert(edit.mService);
      }
    }
    return services;
  }

  /// Services that the tables allow that may be in force when aRequest is
  /// sent: those of the newest edit that must be in force, and later ones.
  std::set<std::string> CurrentServices(request_record const& aRequest) const
  {
    std::set<std::string> services;
    for (auto const& edit : mSeen.mEdits) {
      if (edit.mSent > aRequest.mEnded) {
        break;
      }
      bool const mustBeInForce =
        edit.mAcknowledged &&
        *edit.mAcknowledged + mLimits.mInForce <= aRequest.mSent;
      if (mustBeInForce) {
        services.clear();
      }
      services.insert(edit.mService);
    }
    return services;
  }

  bool IsUndisturbed(request_record const& aRequest) const
  {
    auto const found = mSeen.mDisturbances.find(aRequest.mInstance);
    if (found == mSeen.mDisturbances.end()) {
      return true;
    }
    return std::none_of(
      found->second.begin(), found->second.end(), [&](auto const& aEntry) {
        bool const hasBegun = aEntry.mFrom <= aRequest.mEnded;
        bool const isOver =
          aEntry.mUntil && *aEntry.mUntil + mLimits.mSettled < aRequest.mSent;
        return hasBegun && !isOver;
      });
  }

  void CheckHistory(edit_record const& aEdit)
  {
    if (!mSeen.mHistory) {
      Report("history_not_read", aEdit.mId, "");
      return;
    }
    auto const& history = *mSeen.mHistory;
    auto const count = std::count(history.begin(), history.end(), aEdit.mId);
    if (count > 1 || (count == 0 && aEdit.mAcknowledged)) {
      Report("edit_lost", aEdit.mId, "count=" + std::to_string(count));
    }
  }

  void CheckRun(run_record const& aRun)
  {
    auto const found = mRequests.find(aRun.mPath);
    if (found == mRequests.end()) {
      Report("unasked", aRun.mPath, "service=" + aRun.mService);
      return;
    }
    if (!AllowedServices(*found->second).contains(aRun.mService)) {
      Report("wrong_service",
             aRun.mPath,
             "service=" + aRun.mService + " at=" + found->second->mInstance);
    }
  }

  void CheckRequest(request_record const& aRequest)
  {
    auto const found = mRunCounts.find(aRequest.mPath);
    auto const runs = found == mRunCounts.end() ? 0 : found->second;
    if (aRequest.mKind == request_kind::kOrder && runs > 1) {
      Report("ran_twice", aRequest.mPath, "runs=" + std::to_string(runs));
    }
    bool const mayNotRun =
      aRequest.mIsNotRun && aRequest.mKind == request_kind::kOrder;
    if (mayNotRun && runs > 0) {
      Report("not_run_but_ran",
             aRequest.mPath,
             "status=" + std::to_string(aRequest.mStatus));
    }
    if (aRequest.mStatus == kOk) {
      CheckAnswer(aRequest, runs);
    }
    bool const isRejected = aRequest.mStatus >= kFirstError &&
                            aRequest.mStatus < 500 && aRequest.mStatus != 408 &&
                            aRequest.mStatus != 429;
    if (isRejected && IsUndisturbed(aRequest)) {
      Report("denied",
             aRequest.mPath,
             "status=" + std::to_string(aRequest.mStatus) +
               " at=" + aRequest.mInstance);
    }
  }

  void CheckAnswer(request_record const& aRequest, std::size_t aRuns)
  {
    if (aRequest.mAnsweredPath != aRequest.mPath || aRuns == 0) {
      Report(
        "wrong_answer", aRequest.mPath, "answered=" + aRequest.mAnsweredPath);
      return;
    }
    bool const isCurrent =
      CurrentServices(aRequest).contains(aRequest.mService);
    if (aRequest.mKind == request_kind::kMove && !isCurrent &&
        IsUndisturbed(aRequest)) {
      Report("old_tables",
             aRequest.mPath,
             "service=" + aRequest.mService + " at=" + aRequest.mInstance);
    }
  }

  observations const& mSeen;
  limits const& mLimits;
  std::map<std::string, request_record const*> mRequests;
  std::map<std::string, std::size_t> mRunCounts;
  std::vector<std::string> mViolations;
};

}

std::vector<std::string>
FindViolations(observations const& aObservations, limits const& aLimits)
{
  return checker(aObservations, aLimits).Check();
}

}
