#include "LibDaemon/Metrics.h"

#include "LibDaemon/HttpFields.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace cranberryfold::daemon {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;

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
};

metrics::metrics()
  : mFamilies(std::make_unique<families>())
{
  // All reasons exist from the start, so that a rate over a new one is right.
  for (std::size_t index = 0; index < core::kRetryReasonCount; ++index) {
    auto const reason = static_cast<core::retry_reason>(index);
    mFamilies->mRetries.Add(
      { { "reason", std::string(core::ReasonName(reason)) } });
  }
}

metrics::~metrics() = default;

void
metrics::CountRefusal(refusal_place aPlace, core::refusal_reason aReason)
{
  mFamilies->mRefusals
    .Add({ { "place", std::string(PlaceName(aPlace)) },
           { "reason", std::string(core::ReasonName(aReason)) } })
    .Increment();
}

void
metrics::CountRetry(core::retry_reason aReason)
{
  mFamilies->mRetries
    .Add({ { "reason", std::string(core::ReasonName(aReason)) } })
    .Increment();
}

void
metrics::CountAttempt(traffic::outcome aOutcome)
{
  mFamilies->mAttempts
    .Add({ { "outcome", std::string(OutcomeName(aOutcome)) } })
    .Increment();
}

void
metrics::CountResponse(tables::work_class aClass, unsigned aStatus)
{
  constexpr unsigned kStatusClassSize = 100;
  mFamilies->mResponses
    .Add({ { "class", std::string(tables::WorkClassName(aClass)) },
           { "status", std::to_string(aStatus / kStatusClassSize) + "xx" } })
    .Increment();
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
