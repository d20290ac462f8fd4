#include "Commands.h"
#include "TrafficWorld.h"

#include "LibCore/JsonReader.h"

#include <algorithm>
#include <cstdio>

#include <gflags/gflags.h>

DEFINE_string(trace, "", "Trace that 'replay' runs, a JSON file.");

/// random_run replay --trace FILE: runs recorded events in the world of the
/// traffic run and compares what callers are told with the trace.
namespace cranberryfold::random_run {

namespace {

constexpr std::int64_t kLongestTrace = 3600L * 1000L;
constexpr std::int64_t kMaximumCount = 100000;

enum class trace_action : std::uint8_t
{
  kRequest,
  kResend,
  kOrders,
  kRestart,
  kIsolateZone,
  kHeal,
  kRemoveMember,
  kAddMember,
  kLoseAnswers,
  kFreeze,
};

constexpr std::array<core::enumeration_name<trace_action>, 10> kActionNames{ {
  { trace_action::kRequest, "request" },
  { trace_action::kResend, "resend" },
  { trace_action::kOrders, "orders" },
  { trace_action::kRestart, "restart" },
  { trace_action::kIsolateZone, "isolate_zone" },
  { trace_action::kHeal, "heal" },
  { trace_action::kRemoveMember, "remove_member" },
  { trace_action::kAddMember, "add_member" },
  { trace_action::kLoseAnswers, "lose_answers" },
  { trace_action::kFreeze, "freeze" },
} };

struct trace_event
{
  std::uint64_t mAt = 0;
  trace_action mAction = trace_action::kRequest;
  std::string mRequest;
  std::string mKey;
  std::string mDaemon;
  std::string mTarget;
  std::string mZone;
  bool mPoison = false;
  std::uint64_t mServiceTime = 10;
  std::uint64_t mFor = 100;
  std::uint64_t mCount = 1;
  std::uint64_t mEvery = 10;
};

struct expected_request
{
  std::string mRequest;
  std::vector<std::string> mTold;
  std::uint64_t mExecutions = 0;
};

struct expected_total
{
  std::string mTold;
  std::uint64_t mCount = 0;
};

struct trace
{
  std::string mDescription;
  std::uint64_t mZones = 2;
  std::uint64_t mDaemonsPerZone = 4;
  std::uint64_t mEnd = 1000;
  std::vector<trace_event> mEvents;
  std::vector<expected_request> mRequests;
  std::vector<expected_total> mTotals;
  std::uint64_t mExecutions = 0;
  std::uint64_t mUpstreamCrashes = 0;
};

using core::presence;

void
ReadEvent(core::json_reader& aReader, trace_event& aEvent)
{
  auto const optional = presence::kOptional;
  aReader.Number("at_ms",
                 aEvent.mAt,
                 { 0, kLongestTrace },
                 presence::kRequired,
                 "Time since the start.");
  aReader.Choice("event",
                 aEvent.mAction,
                 kActionNames,
                 presence::kRequired,
                 "What happens.");
  aReader.Text("request", aEvent.mRequest, optional, "Name of the request.");
  aReader.Text("key", aEvent.mKey, optional, "Idempotency key.");
  aReader.Text("daemon", aEvent.mDaemon, optional, "Daemon concerned.");
  aReader.Text("target", aEvent.mTarget, optional, "First upstream chosen.");
  aReader.Text("zone", aEvent.mZone, optional, "Zone concerned.");
  aReader.Boolean("poison", aEvent.mPoison, optional, "Crashes upstreams.");
  aReader.Number("service_ms",
                 aEvent.mServiceTime,
                 { 1, kLongestTrace },
                 optional,
                 "Time at the upstream.");
  aReader.Number(
    "for_ms", aEvent.mFor, { 1, kLongestTrace }, optional, "Duration.");
  aReader.Number(
    "count", aEvent.mCount, { 1, kMaximumCount }, optional, "Orders to send.");
  aReader.Number("every_ms",
                 aEvent.mEvery,
                 { 1, kLongestTrace },
                 optional,
                 "Time between orders.");
}

void
ReadExpectation(core::json_reader& aReader, trace& aTrace)
{
  aReader.Each(
    "requests",
    presence::kOptional,
    [&](core::json_reader& aEntry) {
      expected_request expected;
      aEntry.Text(
        "request", expected.mRequest, presence::kRequired, "Its name.");
      aEntry.TextList(
        "told", expected.mTold, presence::kRequired, "For each sending.");
      aEntry.Number("executions",
                    expected.mExecutions,
                    { 0, kMaximumCount },
                    presence::kRequired,
                    "How often it ran.");
      aTrace.mRequests.push_back(expected);
    },
    "Requests by name.");
  aReader.Each(
    "totals",
    presence::kOptional,
    [&](core::json_reader& aEntry) {
      expected_total total;
      aEntry.Text("told", total.mTold, presence::kRequired, "An outcome.");
      aEntry.Number("count",
                    total.mCount,
                    { 0, kMaximumCount },
                    presence::kRequired,
                    "How many callers were told so.");
      aTrace.mTotals.push_back(total);
    },
    "Outcomes of all requests.");
  aReader.Number("executions",
                 aTrace.mExecutions,
                 { 0, kMaximumCount },
                 presence::kRequired,
                 "Runs at upstreams in total.");
  aReader.Number("upstream_crashes",
                 aTrace.mUpstreamCrashes,
                 { 0, kMaximumCount },
                 presence::kRequired,
                 "Upstreams that crashed.");
}

/// Fails with kInvalidInput, kNotFound or kLimitExceeded.
core::result<trace>
ReadTrace(std::string const& aFile)
{
  auto text = core::ReadTextFile(aFile);
  if (!text) {
    return text.error();
  }
  trace read;
  auto reader = core::json_reader::ForText(*text, aFile);
  auto const required = presence::kRequired;
  reader.Text("description", read.mDescription, required, "What it is about.");
  reader.Number("zones", read.mZones, { 1, 10 }, required, "Zones.");
  reader.Number("daemons_per_zone",
                read.mDaemonsPerZone,
                { 1, 100 },
                required,
                "Daemons in each zone.");
  reader.Number(
    "end_ms", read.mEnd, { 1, kLongestTrace }, required, "When it ends.");
  reader.Each(
    "events",
    required,
    [&](core::json_reader& aEntry) {
      ReadEvent(aEntry, read.mEvents.emplace_back());
    },
    "Events by time.");
  reader.Object(
    "expected",
    required,
    [&](core::json_reader& aEntry) { ReadExpectation(aEntry, read); },
    "Outcomes.");
  auto finished = reader.Finish();
  if (!finished) {
    return finished.error();
  }
  return read;
}

core::duration
Time(std::uint64_t aMilliseconds)
{
  return std::chrono::milliseconds(static_cast<std::int64_t>(aMilliseconds));
}

class replay
{
public:
  replay(trace aTrace, traffic_settings aSettings)
    : mTrace(std::move(aTrace))
    , mWorld(std::move(aSettings))
    , mStart(mWorld.Now())
  {
  }

  void Run()
  {
    for (auto const& event : mTrace.mEvents) {
      mWorld.Advance(mStart + Time(event.mAt) - mWorld.Now());
      Apply(event);
    }
    mWorld.Advance(mStart + Time(mTrace.mEnd) - mWorld.Now());
  }

  /// Prints each difference and returns their number.
  int Compare()
  {
    for (auto const& expected : mTrace.mRequests) {
      auto const& request = mWorld.Request(mNames.at(expected.mRequest));
      std::vector<std::string> told;
      for (auto const& attempt : request.mAttempts) {
        told.emplace_back(ToldName(attempt.mTold));
      }
      if (told != expected.mTold) {
        Differ(expected.mRequest + " told", Join(expected.mTold), Join(told));
      }
      CompareNumber(expected.mRequest + " executions",
                    expected.mExecutions,
                    request.mResponses.size());
    }
    auto const& counters = mWorld.Counters();
    for (auto const& total : mTrace.mTotals) {
      std::uint64_t found = 0;
      for (std::size_t index = 0; index < kToldCount; ++index) {
        if (ToldName(static_cast<told>(index)) == total.mTold) {
          found = counters.mTold.at(index);
        }
      }
      CompareNumber("total " + total.mTold, total.mCount, found);
    }
    CompareNumber("executions", mTrace.mExecutions, counters.mExecutions);
    CompareNumber(
      "upstream_crashes", mTrace.mUpstreamCrashes, counters.mUpstreamCrashes);
    return mDifferences;
  }

  void PrintTrace() const
  {
    for (auto const& line : mWorld.Events()) {
      std::printf("  %s\n", line.c_str());
    }
  }

private:
  void Apply(trace_event const& aEvent)
  {
    switch (aEvent.mAction) {
      case trace_action::kRequest:
        return Submit(aEvent);
      case trace_action::kResend:
        return mWorld.Resend(mNames.at(aEvent.mRequest), Daemon(aEvent));
      case trace_action::kOrders:
        return SendOrders(aEvent);
      case trace_action::kRestart:
        return mWorld.Restart(Daemon(aEvent), Time(aEvent.mFor));
      case trace_action::kIsolateZone:
        return IsolateZone(aEvent);
      case trace_action::kHeal:
        return mWorld.HealAll();
      case trace_action::kRemoveMember:
        return mWorld.SetMember(Daemon(aEvent), false);
      case trace_action::kAddMember:
        return mWorld.SetMember(Daemon(aEvent), true);
      case trace_action::kLoseAnswers:
        return mWorld.LoseAnswers(Daemon(aEvent), Time(aEvent.mFor));
      case trace_action::kFreeze:
        return mWorld.Freeze(Daemon(aEvent), Time(aEvent.mFor));
    }
  }

  std::size_t Daemon(trace_event const& aEvent) const
  {
    return mWorld.DaemonOf(aEvent.mDaemon);
  }

  void Submit(trace_event const& aEvent)
  {
    caller_request request;
    request.mName = aEvent.mRequest;
    request.mKey = aEvent.mKey;
    request.mPoison = aEvent.mPoison;
    request.mServiceTime = Time(aEvent.mServiceTime);
    request.mResends = false;
    if (!aEvent.mTarget.empty()) {
      request.mTarget = mWorld.DaemonOf(aEvent.mTarget);
    }
    mNames[aEvent.mRequest] = mWorld.Submit(request, Daemon(aEvent));
  }

  /// Fresh keys of one zone through all daemons in turn.
  void SendOrders(trace_event const& aEvent)
  {
    for (std::uint64_t count = 0; count < aEvent.mCount; ++count) {
      caller_request request;
      request.mName = "order-" + std::to_string(mWorld.RequestCount());
      request.mKey = aEvent.mZone + "/" + request.mName;
      request.mServiceTime = Time(aEvent.mServiceTime);
      request.mResends = false;
      mWorld.Submit(request, count % mWorld.DaemonCount());
      mWorld.Advance(Time(aEvent.mEvery));
    }
  }

  void IsolateZone(trace_event const& aEvent)
  {
    for (std::size_t zone = 0; zone < mWorld.Settings().mZones; ++zone) {
      if (mWorld.ZoneName(zone) == aEvent.mZone) {
        mWorld.IsolateZone(zone);
      }
    }
  }

  static std::string Join(std::vector<std::string> const& aTexts)
  {
    std::string joined;
    for (auto const& text : aTexts) {
      joined += (joined.empty() ? "" : ",") + text;
    }
    return joined;
  }

  void CompareNumber(std::string const& aWhat,
                     std::uint64_t aExpected,
                     std::uint64_t aFound)
  {
    if (aExpected != aFound) {
      Differ(aWhat, std::to_string(aExpected), std::to_string(aFound));
    }
  }

  void Differ(std::string const& aWhat,
              std::string const& aExpected,
              std::string const& aFound)
  {
    ++mDifferences;
    std::printf("DIFFERENCE: %s: expected %s, found %s\n",
                aWhat.c_str(),
                aExpected.c_str(),
                aFound.c_str());
  }

  trace mTrace;
  traffic_world mWorld;
  core::time_point mStart;
  std::map<std::string, std::size_t> mNames;
  int mDifferences = 0;
};

int
RunReplay(run_options const& aOptions)
{
  auto read = core::Attempt([] { return ReadTrace(FLAGS_trace); });
  if (!read) {
    std::fprintf(stderr, "%s\n", core::FormatError(read.mError).c_str());
    return 2;
  }
  traffic_settings settings;
  settings.mSeed = aOptions.mSeed;
  settings.mZones = read->mZones;
  settings.mDaemonsPerZone = read->mDaemonsPerZone;
  settings.mWithout = aOptions.mWithout;
  std::printf("trace=%s without=%s\n%s\n",
              FLAGS_trace.c_str(),
              aOptions.mWithout.empty() ? "-" : aOptions.mWithout.c_str(),
              read->mDescription.c_str());
  replay run(*read, settings);
  int differences = 0;
  try {
    run.Run();
    differences = run.Compare();
  } catch (violation const& problem) {
    std::printf("VIOLATION: %s\n", problem.mText.c_str());
    run.PrintTrace();
    return 1;
  } catch (std::out_of_range const&) {
    std::fprintf(stderr, "the trace names an unknown daemon or request\n");
    return 2;
  }
  if (differences > 0) {
    run.PrintTrace();
    return 1;
  }
  std::printf("all outcomes as recorded\n");
  return 0;
}

command_registration const kReplay("replay",
                                   "Replay of a trace: --trace FILE.",
                                   RunReplay);

}

}
