#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What callers, upstreams and the operator have seen in a soak, and the
/// promises that it must keep.
namespace cranberryfold::soak {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Which service the requests of a path go to.
enum class request_kind
{
  /// Idempotent, always to the same service.
  kRead,
  /// Not idempotent, always to the same service.
  kOrder,
  /// Idempotent; edits move the route between services.
  kMove,
};

/// One request as its caller saw it. Paths are unique.
struct request_record
{
  request_kind mKind = request_kind::kRead;
  std::string mPath;
  /// The instance whose daemon was asked.
  std::string mInstance;
  time_point mSent;
  time_point mEnded;
  /// 0 if there was no whole response.
  unsigned mStatus = 0;
  /// Whether the response states that the request was not run.
  bool mIsNotRun = false;
  /// Path and service that the response names; empty without one.
  std::string mAnsweredPath;
  std::string mService;

  bool operator==(request_record const&) const = default;
};

/// One edit that moves the route of kMove. Edits follow each other: each is
/// sent again until it is acknowledged.
struct edit_record
{
  std::string mId;
  std::string mService;
  time_point mSent;
  std::optional<time_point> mAcknowledged;

  bool operator==(edit_record const&) const = default;
};

/// One run in the journal of an upstream.
struct run_record
{
  std::string mPath;
  std::string mService;

  bool operator==(run_record const&) const = default;
};

/// A time in which a daemon or its upstream did not run undisturbed.
struct disturbance
{
  time_point mFrom;
  std::optional<time_point> mUntil;

  bool operator==(disturbance const&) const = default;
};

struct observations
{
  std::vector<request_record> mRequests;
  std::vector<edit_record> mEdits;
  std::vector<run_record> mRuns;
  std::map<std::string, std::vector<disturbance>> mDisturbances;
  /// Ids of the edits in the history of the control group at the end; empty if
  /// it could not be read.
  std::optional<std::vector<std::string>> mHistory;
};

struct limits
{
  /// Time after an acknowledgement within which an edit is in force at all
  /// undisturbed daemons.
  duration mInForce = std::chrono::seconds(9);
  /// Time without a disturbance after which a daemon counts as undisturbed.
  duration mSettled = std::chrono::seconds(3);
};

/// Services of the fixed routes.
inline constexpr char const* kReadService = "catalogue";
inline constexpr char const* kOrderService = "order";

/// Returns one line for each violation, with the path of the request.
std::vector<std::string>
FindViolations(observations const& aObservations, limits const& aLimits);

}
