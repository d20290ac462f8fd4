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

constexpr std::size_t kRefusalPlaces =
  static_cast<std::size_t>(refusal_place::kListener) + 1;
constexpr std::size_t kOutcomes =
  static_cast<std::size_t>(traffic::outcome::kUnknown) + 1;
constexpr std::size_t kStatusClasses = 5;

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

/// Upper bounds in seconds, from a call within a zone to the longest deadline
/// of the users' callers.
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
  Family<Counter>& mOther = CounterFamily(mRegistry,
                                          "cranberryfold_events_total",
                                          "Other counted events and bytes.");
  Family<Gauge>& mGauges = prometheus::BuildGauge()
                             .Name("cranberryfold_state")
                             .Help("Current values, by name.")
                             .Register(mRegistry);
  Counter& mInterRegionBytes =
    mOther.Add({ { "event", "inter_region_bytes" } });
  Counter& mLateFrames = mOther.Add({ { "event", "late_frames" } });
  // Looking a counter up by its labels costs more than counting, so that all
  // are made at the start. A rate over a new reason is right then, too.
  std::array<std::array<Counter*, core::kRefusalReasonCount>, kRefusalPlaces>
    mRefusalCounters{};
  std::array<Counter*, core::kRetryReasonCount> mRetryCounters{};
  std::array<Counter*, kOutcomes> mAttemptCounters{};
  std::array<std::array<Counter*, kStatusClasses>, tables::kWorkClassCount>
    mResponseCounters{};
  std::array<Histogram*, kOutcomes> mAttemptHistograms{};
  std::array<Histogram*, tables::kWorkClassCount> mResponseHistograms{};
  /// What Digest() has told before.
  std::map<std::string, double> mTold;
};

metrics::metrics()
  : mFamilies(std::make_unique<families>())
{
  auto& all = *mFamilies;
  for (std::size_t place = 0; place < kRefusalPlaces; ++place) {
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
  for (std::size_t index = 0; index < kOutcomes; ++index) {
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
    for (std::size_t status = 0; status < kStatusClasses; ++status) {
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
    std::clamp<std::size_t>(aStatus / kStatusClassSize, 1, kStatusClasses);
  mFamilies->mResponseCounters.at(static_cast<std::size_t>(aClass))
    .at(status - 1)
    ->Increment();
  mFamilies->mResponseHistograms.at(static_cast<std::size_t>(aClass))
    ->Observe(ToSeconds(aLatency));
}

std::vector<std::pair<std::string, std::int64_t>>
metrics::Digest()
{
  std::vector<std::pair<std::string, std::int64_t>> changed;
  auto const note = [&](std::string aName, Counter const& aCounter) {
    auto& told = mFamilies->mTold[aName];
    auto const value = aCounter.Value();
    if (value > told) {
      changed.emplace_back(std::move(aName),
                           static_cast<std::int64_t>(value - told));
      told = value;
    }
  };
  for (std::size_t place = 0; place < kRefusalPlaces; ++place) {
    for (std::size_t reason = 0; reason < core::kRefusalReasonCount; ++reason) {
      auto const name =
        std::string(PlaceName(static_cast<refusal_place>(place))) + "." +
        std::string(
          core::ReasonName(static_cast<core::refusal_reason>(reason)));
      note(name, *mFamilies->mRefusalCounters.at(place).at(reason));
    }
  }
  for (std::size_t reason = 0; reason < core::kRetryReasonCount; ++reason) {
    auto const name = core::ReasonName(static_cast<core::retry_reason>(reason));
    note("retry." + std::string(name), *mFamilies->mRetryCounters.at(reason));
  }
  return changed;
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
