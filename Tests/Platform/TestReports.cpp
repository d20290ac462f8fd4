#include "platform/Dialect.h"
#include "platform/Reports.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace std::chrono_literals;

namespace {

constexpr char const* kHeartbeat =
  R"({"Address":"10.1.0.8:8301","born":1700000000000,
  "Info":{"Service":"desk","Version":"v1","Zone":"a","Slots":62},
  "Status":{"State":"draining","Sequence":4,"ColdRemainingMs":250}})";

daemon::http_fields
Fields(std::initializer_list<std::pair<char const*, char const*>> aFields)
{
  daemon::http_fields fields;
  for (auto const& [name, value] : aFields) {
    fields.set(name, value);
  }
  return fields;
}

}

BOOST_AUTO_TEST_SUITE(PlatformReports)

BOOST_AUTO_TEST_CASE(HeartbeatBecomesAReport)
{
  auto const report =
    core::Attempt([] { return platform::DecodeHeartbeat("i-1", kHeartbeat); });
  BOOST_REQUIRE(report);
  BOOST_TEST(report->mId.mValue == "i-1");
  BOOST_TEST(report->mStartMilliseconds == 1700000000000U);
  BOOST_TEST(report->mSequence == 4);
  BOOST_TEST(report->mSlots == 62);
  BOOST_TEST((report->mLifecycle == membership::lifecycle_state::kDraining));
  BOOST_TEST((report->mColdStartRemaining == 250ms));
}

// Guards against reports of other writers that would name an upstream.
BOOST_AUTO_TEST_CASE(UnreadableHeartbeatsAreRefused)
{
  for (auto const* const body :
       { "",
         "[]",
         "{",
         R"({"Address":"10.1.0.8:8301","Info":{},"Status":{}})",
         R"({"Address":"10.1.0.8:8301",
             "Info":{"Service":"desk","Slots":"many"},
             "Status":{"State":"ready","Sequence":4,"ColdRemainingMs":0}})",
         R"({"Address":"10.1.0.8:8301","Info":{"Service":"desk","Slots":1},
             "Status":{"State":"odd","Sequence":4,"ColdRemainingMs":0}})" }) {
    auto const report =
      core::Attempt([&] { return platform::DecodeHeartbeat("i-1", body); });
    BOOST_TEST(!report, body);
  }
}

// Guards against ids that cannot be sent in a header, and slots that would draw
// all calls of the mesh to one upstream.
BOOST_AUTO_TEST_CASE(OddIdsAndSlotsAreRefused)
{
  auto const decode = [](std::string const& aId, std::string const& aSlots) {
    auto const body = R"({"Address":"10.1.0.8:8301","Info":{"Service":"desk",
      "Slots":)" + aSlots +
                      R"(},"Status":{"State":"ready","Sequence":4,
      "ColdRemainingMs":0}})";
    return core::Attempt([&] { return platform::DecodeHeartbeat(aId, body); });
  };
  BOOST_TEST(!!decode("i-1", "100000"));
  for (auto const* const slots :
       { "0", "100001", "4294967295", "4294967296" }) {
    BOOST_TEST(!decode("i-1", slots), slots);
  }
  for (auto const& id : { std::string(),
                          std::string("i-1\r\nDeadline-Ms: 1"),
                          std::string("i 1"),
                          std::string(4096, 'i') }) {
    BOOST_TEST(!decode(id, "8"), id);
    BOOST_TEST(!core::Attempt([&] { return platform::DecodeFarewell(id, ""); }),
               id);
    BOOST_TEST(
      platform::DecodeHealth({ { 200, { { "instance-id", id } } }, {} })
        .mId.IsEmpty(),
      id);
  }
}

// Guards against times that overflow a duration, such as a keep-alive time that
// becomes negative.
BOOST_AUTO_TEST_CASE(LongTimesAreCut)
{
  auto const dialect = platform::MakeDialect();
  constexpr auto* kHighest = "9223372036854775807";
  auto const caller =
    dialect.mReadCaller(Fields({ { "Deadline-Ms", kHighest } }));
  BOOST_TEST((*caller.mTimeLeft == 24h));
  auto const response = dialect.mReadResponse(
    200, Fields({ { "Keep-Alive", "timeout=9223372036854775807" } }));
  BOOST_TEST((*response.mKeepAlive == 24h));
}

BOOST_AUTO_TEST_CASE(FarewellNeedsNoBody)
{
  for (auto const* const body : { "", "{}", R"({"born":5})" }) {
    auto const report =
      core::Attempt([&] { return platform::DecodeFarewell("i-1", body); });
    BOOST_REQUIRE(report);
    BOOST_TEST((report->mLifecycle == membership::lifecycle_state::kLeft));
  }
}

// Guards against "not run" for a response that does not say so.
BOOST_AUTO_TEST_CASE(OnlyTheUpstreamsWordMeansNotRun)
{
  auto const dialect = platform::MakeDialect();
  BOOST_TEST(
    dialect.mReadResponse(503, Fields({ { "Not-Executed", "1" } })).mIsNotRun);
  BOOST_TEST(dialect.mReadResponse(421, Fields({})).mIsNotRun);
  BOOST_TEST(!dialect.mReadResponse(503, Fields({})).mIsNotRun);
  BOOST_TEST(!dialect.mReadResponse(500, Fields({})).mIsNotRun);
}

// Guards against a daemon that sends work to an upstream that is leaving, or of
// which it does not know the process, after its own restart.
BOOST_AUTO_TEST_CASE(HealthNamesProcessAndSlots)
{
  auto const decode = [](unsigned aStatus, http::header_list aHeaders) {
    return platform::DecodeHealth({ { aStatus, std::move(aHeaders) }, {} });
  };
  using membership::upstream_health;
  http::header_list const usual{ { "instance-id", "i-7f" },
                                 { "server-load", "3,0,8" } };
  auto leaving = usual;
  leaving.push_back({ "server-leaving", "1" });
  BOOST_TEST(
    (decode(200, usual) == upstream_health{ { "i-7f" }, 8, true, false }));
  BOOST_TEST(
    (decode(503, usual) == upstream_health{ { "i-7f" }, 8, false, false }));
  BOOST_TEST(
    (decode(200, leaving) == upstream_health{ { "i-7f" }, 8, true, true }));
  BOOST_TEST(decode(200, { { "server-load", "3,0,8" } }).mId.IsEmpty());
  for (auto const* const load :
       { "", "8", "3,0,", "3,0,x", "3,0,-8", "3,0,0" }) {
    http::header_list const odd{ { "instance-id", "i-7f" },
                                 { "server-load", load } };
    BOOST_TEST(decode(200, odd).mSlots == 0U, load);
  }
}

// Guards against a limit or a departure in a response that nobody reads.
BOOST_AUTO_TEST_CASE(ConditionOfTheUpstreamIsRead)
{
  auto const dialect = platform::MakeDialect();
  auto const read = [&](auto aFields) {
    return dialect.mReadResponse(200, Fields(aFields)).mCondition;
  };
  using fields = std::initializer_list<std::pair<char const*, char const*>>;
  using traffic::upstream_condition;
  BOOST_TEST((read(fields{ { "Server-Limit", "32.5" } }) ==
              upstream_condition{ 32.5, false }));
  BOOST_TEST((read(fields{ { "Server-Leaving", "1" } }) ==
              upstream_condition{ std::nullopt, true }));
  BOOST_TEST(
    (read(fields{ { "Server-Leaving", "1" }, { "Server-Limit", "few" } }) ==
     upstream_condition{ std::nullopt, true }));
  BOOST_TEST((read(fields{ { "Response-Stamp", "x" } }) ==
              upstream_condition{ std::nullopt, false }));
}

// Guards against damaged responses that lift a limit.
BOOST_AUTO_TEST_CASE(DamagedResponsesTellNoCondition)
{
  auto const dialect = platform::MakeDialect();
  BOOST_TEST(!dialect.mReadResponse(200, Fields({})).mCondition.has_value());
  for (auto const* const limit : { "few", "-1", "nan", "inf", "3x", "1e3" }) {
    auto const fields =
      Fields({ { "Response-Stamp", "x" }, { "Server-Limit", limit } });
    BOOST_TEST(!dialect.mReadResponse(200, fields).mCondition.has_value(),
               limit);
  }
}

// Guards against bytes of a faulty upstream that are passed on as a success.
BOOST_AUTO_TEST_CASE(SuccessWithoutStampIsDamaged)
{
  auto const dialect = platform::MakeDialect();
  BOOST_TEST(dialect.mReadResponse(200, Fields({})).mIsMalformed);
  BOOST_TEST(!dialect.mReadResponse(200, Fields({ { "Response-Stamp", "x" } }))
                .mIsMalformed);
  BOOST_TEST(!dialect.mReadResponse(500, Fields({})).mIsMalformed);
}

BOOST_AUTO_TEST_CASE(CallerFactsAndContext)
{
  auto const dialect = platform::MakeDialect();
  auto const facts = dialect.mReadCaller(
    Fields({ { "Request-Id", "9c41" }, { "Deadline-Ms", "6000" } }));
  BOOST_TEST(facts.mRequest.mValue == "9c41");
  BOOST_TEST((*facts.mTimeLeft == 6s));
  daemon::http_fields out;
  traffic::call_context context;
  context.mDeadline = core::time_point(2s);
  context.mOrigin = { "desk" };
  dialect.mWriteContext(out, context, { "i-1" }, core::time_point(1500ms));
  BOOST_TEST(out["Deadline-Ms"] == "500");
  BOOST_TEST(out["Caller-Service"] == "desk");
  BOOST_TEST(out["Expect-Instance"] == "i-1");
  BOOST_TEST(dialect.mIsOwnHeader("caller-service"));
  BOOST_TEST(!dialect.mIsOwnHeader("Request-Id"));
}

BOOST_AUTO_TEST_SUITE_END()
