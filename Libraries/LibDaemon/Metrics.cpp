#include "LibDaemon/Metrics.h"

#include "LibDaemon/HttpFields.h"

#include <algorithm>
#include <array>
#include <map>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace cranberryfold::daemon {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

constexpr std::size_t kRefusalPlaceCount =
  static_cast<std::size_t>(refusal_place::kListener) + 1;
constexpr std::size_t kOutcomeCount =
  static_cast<std::size_t>(traffic::outcome::kUnknown) + 1;
constexpr std::size_t kStatusClassCount = 5;

std::string_view
PlaceName(refusal_place aPlace)
{
  switch (aPlace) {
    case refusal_place::kCaller:
      return "caller";
    case refusal_place::kSender:
      return "sender";
    case refusal_place::kAdmission:
      return "admission";
    case refusal_place::kListener:
      return "listener";
  }
  return "";
}

/// Upper bounds in seconds, from the latency of a call within a zone to the
/// longest deadline of the users' callers.
Histogram::BucketBoundaries const&
LatencyBounds()
{
  static Histogram::BucketBoundaries const bounds{ 0.01, 0.025, 0.05, 0.1, 0.25,
                                                   0.5,  1.0,   2.5,  6.0 };
  return bounds;
}

double
ToSeconds(core::duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Family<Histogram>&
LatencyFamily(prometheus::Registry& aRegistry,
              char const* aName,
              char const* aHelp)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(
    aRegistry);
}

Family<Counter>&
CounterFamily(prometheus::Registry& aRegistry,
              char const* aName,
              char const* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

}

struct metrics::families
{
  prometheus::Registry mRegistry;
  Family<Counter>& mRefusals =
    CounterFamily(mRegistry,
                  "cranberryfold_refusals_total",
                  "Refused requests and calls, by place and reason.");
  Family<Counter>& mRetries =
    CounterFamily(mRegistry,
                  "cranberryfold_retries_total",
                  "Retries and refused retries, by reason.");
  Family<Counter>& mAttempts =
    CounterFamily(mRegistry,
                  "cranberryfold_attempts_total",
                  "Finished attempts at upstreams, by outcome.");
  Family<Counter>& mResponses =
    CounterFamily(mRegistry,
                  "cranberryfold_responses_total",
                  "Responses to callers, by class and status class.");
  Family<Histogram>& mAttemptSeconds =
    LatencyFamily(mRegistry,
                  "cranberryfold_attempt_seconds",
                  "Time of attempts at upstreams, by outcome.");
  Family<Histogram>& mResponseSeconds =
    LatencyFamily(mRegistry,
                  "cranberryfold_response_seconds",
                  "Time until the response to a caller began, by class.");
  Family<Counter>& mEvents = CounterFamily(mRegistry,
                                           "cranberryfold_events_total",
                                           "Other counted events and bytes.");
  Family<Gauge>& mGauges = prometheus::BuildGauge()
                             .Name("cranberryfold_state")
                             .Help("Current values, by name.")
                             .Register(mRegistry);
  Counter& mInterRegionBytes =
    mEvents.Add({ { "event", "inter_region_bytes" } });
  Counter& mLateFrames = mEvents.Add({ { "event", "late_frames" } });
  // All counters are created at the start, since finding a counter by its
  // labels costs more than incrementing it. A counter that starts at zero also
  // gives the right rate when its reason first occurs.
  std::array<std::array<Counter*, core::kRefusalReasonCount>,
             kRefusalPlaceCount>
    mRefusalCounters{};
  std::array<Counter*, core::kRetryReasonCount> mRetryCounters{};
  std::array<Counter*, kOutcomeCount> mAttemptCounters{};
  std::array<std::array<Counter*, kStatusClassCount>, tables::kWorkClassCount>
    mResponseCounters{};
  std::array<Histogram*, kOutcomeCount> mAttemptHistograms{};
  std::array<Histogram*, tables::kWorkClassCount> mResponseHistograms{};
  /// Counter values at the last TakeNewCounts().
  std::map<std::string, double> mReportedCounts;
};

metrics::metrics()
  : mFamilies(std::make_unique<families>())
{
  auto& all = *mFamilies;
  for (std::size_t place = 0; place < kRefusalPlaceCount; ++place) {
    for (std::size_t reason = 0; reason < core::kRefusalReasonCount; ++reason) {
      all.mRefusalCounters.at(place).at(reason) = &all.mRefusals.Add(
        { { "place",
            std::string(PlaceName(static_cast<refusal_place>(place))) },
          { "reason",
            std::string(
              core::ReasonName(static_cast<core::refusal_reason>(reason))) } });
    }
  }
  for (std::size_t reason = 0; reason < core::kRetryReasonCount; ++reason) {
    auto const name = core::ReasonName(static_cast<core::retry_reason>(reason));
    all.mRetryCounters.at(reason) =
      &all.mRetries.Add({ { "reason", std::string(name) } });
  }
  for (std::size_t index = 0; index < kOutcomeCount; ++index) {
    auto const name = OutcomeName(static_cast<traffic::outcome>(index));
    all.mAttemptCounters.at(index) =
      &all.mAttempts.Add({ { "outcome", std::string(name) } });
    all.mAttemptHistograms.at(index) = &all.mAttemptSeconds.Add(
      { { "outcome", std::string(name) } }, LatencyBounds());
  }
  for (std::size_t index = 0; index < tables::kWorkClassCount; ++index) {
    auto const name =
      tables::WorkClassName(static_cast<tables::work_class>(index));
    all.mResponseHistograms.at(index) = &all.mResponseSeconds.Add(
      { { "class", std::string(name) } }, LatencyBounds());
    for (std::size_t status = 0; status < kStatusClassCount; ++status) {
      all.mResponseCounters.at(index).at(status) = &all.mResponses.Add(
        { { "class", std::string(name) },
          { "status", std::to_string(status + 1) + "xx" } });
    }
  }
}

metrics::~metrics() = default;

void
metrics::CountRefusal(refusal_place aPlace, core::refusal_reason aReason)
{
  mFamilies->mRefusalCounters.at(static_cast<std::size_t>(aPlace))
    .at(static_cast<std::size_t>(aReason))
    ->Increment();
}

void
metrics::CountRetry(core::retry_reason aReason)
{
  mFamilies->mRetryCounters.at(static_cast<std::size_t>(aReason))->Increment();
}

void
metrics::CountAttempt(traffic::outcome aOutcome, core::duration aLatency)
{
  auto const index = static_cast<std::size_t>(aOutcome);
  mFamilies->mAttemptCounters.at(index)->Increment();
  mFamilies->mAttemptHistograms.at(index)->Observe(ToSeconds(aLatency));
}

void
metrics::CountResponse(tables::work_class aClass,
                       unsigned aStatus,
                       core::duration aLatency)
{
  constexpr unsigned kStatusClassSize = 100;
  auto const status =
    std::clamp<std::size_t>(aStatus / kStatusClassSize, 1, kStatusClassCount);
  mFamilies->mResponseCounters.at(static_cast<std::size_t>(aClass))
    .at(status - 1)
    ->Increment();
  mFamilies->mResponseHistograms.at(static_cast<std::size_t>(aClass))
    ->Observe(ToSeconds(aLatency));
}

std::vector<std::pair<std::string, std::int64_t>>
metrics::TakeNewCounts()
{
  std::vector<std::pair<std::string, std::int64_t>> increases;
  auto const addIncrease = [&](std::string aName, Counter const& aCounter) {
    auto& reported = mFamilies->mReportedCounts[aName];
    auto const value = aCounter.Value();
    if (value > reported) {
      increases.emplace_back(std::move(aName),
                             static_cast<std::int64_t>(value - reported));
      reported = value;
    }
  };
  for (std::size_t place = 0; place < kRefusalPlaceCount; ++place) {
    for (std::size_t reason = 0; reason < core::kRefusalReasonCount; ++reason) {
      auto const name =
        std::string(PlaceName(static_cast<refusal_place>(place))) + "." +
        std::string(
          core::ReasonName(static_cast<core::refusal_reason>(reason)));
      addIncrease(name, *mFamilies->mRefusalCounters.at(place).at(reason));
    }
  }
  for (std::size_t reason = 0; reason < core::kRetryReasonCount; ++reason) {
    auto const name = core::ReasonName(static_cast<core::retry_reason>(reason));
    addIncrease("retry." + std::string(name),
                *mFamilies->mRetryCounters.at(reason));
  }
  return increases;
}

void
metrics::CountInterRegionBytes(std::uint64_t aBytes)
{
  mFamilies->mInterRegionBytes.Increment(static_cast<double>(aBytes));
}

void
metrics::CountLateFrame()
{
  mFamilies->mLateFrames.Increment();
}

void
metrics::SetGauge(std::string_view aName, double aValue)
{
  mFamilies->mGauges.Add({ { "name", std::string(aName) } }).Set(aValue);
}

std::string
metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mFamilies->mRegistry.Collect());
}

}
