#pragma once

#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTables/Tables.h"
#include "LibTraffic/CallContext.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Counters, histograms and gauges of a daemon in the Prometheus text format.
/// Thread-safe.
namespace cranberryfold::daemon {

/// The stage at which a request or call was refused.
enum class refusal_place
{
  kCaller,
  kSender,
  kAdmission,
  kListener,
};

class metrics
{
public:
  metrics();
  ~metrics();
  metrics(metrics const&) = delete;
  metrics& operator=(metrics const&) = delete;

  void CountRefusal(refusal_place aPlace, core::refusal_reason aReason);
  void CountRetry(core::retry_reason aReason);
  /// Counts a finished attempt at an upstream and records its latency.
  void CountAttempt(traffic::outcome aOutcome, core::duration aLatency);
  /// Counts a response to a caller by class and status, and records its latency
  /// since the request was read.
  void CountResponse(tables::work_class aClass,
                     unsigned aStatus,
                     core::duration aLatency);
  void CountInterRegionBytes(std::uint64_t aBytes);
  void CountLateFrame();
  void SetGauge(std::string_view aName, double aValue);

  /// Returns the counts of refusals and retries since the last call, by place
  /// and reason, without zeros. Must be called from one thread only.
  std::vector<std::pair<std::string, std::int64_t>> TakeNewCounts();

  /// Returns all metrics in the Prometheus text exposition format.
  std::string Text() const;

private:
  struct families;
  std::unique_ptr<families> mFamilies;
};

}
