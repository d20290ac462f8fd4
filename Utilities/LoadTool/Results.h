#pragma once

#include "LibCore/Time.h"
#include "Settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

/// Collected outcomes of a load run.
namespace cranberryfold::load_tool {

/// How one whole request of a caller ended, after all its tries.
struct request_result
{
  std::size_t mClass = 0;
  core::duration mArrival{};
  core::duration mLatency{};
  bool mIsGood = false;
  std::uint32_t mTries = 0;
  /// Of the last try: "200", "503 not_run", "timeout", "wrong_answer".
  std::string mOutcome;

  bool operator==(request_result const&) const = default;
};

/// Latencies with a relative error of about 3 percent over six decades.
class latency_histogram
{
public:
  latency_histogram();

  void Add(core::duration aLatency);

  /// Returns the latency in milliseconds that a share aQuantile of all does not
  /// exceed; 0 when there are none.
  double Quantile(double aQuantile) const;

private:
  using axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using histogram =
    decltype(boost::histogram::make_histogram(std::declval<axis>()));

  histogram mHistogram;
  std::uint64_t mCount = 0;
};

struct second_count
{
  std::uint64_t mRequests = 0;
  std::uint64_t mGood = 0;

  bool operator==(second_count const&) const = default;
};

struct class_report
{
  std::uint64_t mRequests = 0;
  std::uint64_t mGood = 0;
  std::uint64_t mTries = 0;
  latency_histogram mGoodLatency;
  std::map<std::string, std::uint64_t> mOutcomes;
  /// Refused tries by reason.
  std::map<std::string, std::uint64_t> mRefusals;
  /// By second of arrival.
  std::vector<second_count> mSeconds;
};

/// All classes of a run.
class load_report
{
public:
  explicit load_report(load_settings const& aSettings);

  void AddRefusal(std::size_t aClass, std::string const& aReason);
  void Add(request_result const& aResult);

  std::vector<class_report> const& Classes() const { return mClasses; }

  /// Returns the seconds from the end of the surge to the first of three
  /// seconds in a row in which at least 95 of 100 requests were good; nothing
  /// without a surge or a recovery.
  std::optional<std::uint32_t> SecondsToRecover() const;

private:
  surge_window mSurge;
  std::vector<class_report> mClasses;
};

/// What the execution journals of the stand-ins hold together.
struct journal_totals
{
  std::uint64_t mStarts = 0;
  /// Runs by the outcome in their end line; runs without one: "no_end".
  std::map<std::string, std::uint64_t> mOutcomes;
  /// Keys of non-idempotent requests that were run more than once.
  std::uint64_t mRepeatedKeys = 0;

  bool operator==(journal_totals const&) const = default;
};

/// Reads execution journals. Fails with kNotFound.
core::result<journal_totals>
ReadJournals(std::vector<std::string> const& aFiles);

}
