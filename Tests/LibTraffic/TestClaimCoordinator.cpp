#include "ClaimWorld.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace cranberryfold;
using namespace cranberryfold::traffic;
using namespace cranberryfold::traffic::test;

namespace {

std::string const kKey = "z/order-1";

template<class Action>
std::vector<Action>
Pick(claim_coordinator::actions const& aActions)
{
  std::vector<Action> picked;
  for (auto const& action : aActions) {
    if (auto const* match = std::get_if<Action>(&action)) {
      picked.push_back(*match);
    }
  }
  return picked;
}

struct one_coordinator
{
  claim_map mMap = MapOf({ "a", "b", "c" });
  core::random_source mRandom{ 1 };
  claim_coordinator mCoordinator{ { HolderId("root") }, mRandom };
  claim_request mRequest;

  one_coordinator()
  {
    mCoordinator.Handle(At(0), claim_map_installed{ mMap });
    auto const actions =
      mCoordinator.Handle(At(0), claim_wanted{ 1, kKey, At(2500) });
    mRequest =
      std::get<claim_request>(Pick<send_claim_message>(actions)[0].mMessage);
  }

  claim_reply ReplyOf(std::string const& aHolder,
                      claim_verdict aVerdict,
                      claim_state aState = claim_state::kClaimed,
                      std::string const& aResponse = "")
  {
    return { mRequest.mAttempt,
             HolderId(aHolder),
             mRequest.mEpoch,
             aVerdict,
             aState,
             aResponse,
             {} };
  }

  claim_coordinator::actions Take(int aTime, claim_reply const& aReply)
  {
    return mCoordinator.Handle(
      At(aTime), claim_message_received{ aReply.mHolder.mInstance, aReply });
  }

  /// Ticks until the caller is answered; returns the answers.
  std::vector<claim_answered> TickUntilAnswered()
  {
    for (int time = 100; time < 5000; time += 50) {
      auto answers =
        Pick<claim_answered>(mCoordinator.Handle(At(time), claim_tick{}));
      if (!answers.empty()) {
        return answers;
      }
    }
    return {};
  }
};

std::size_t
Releases(claim_coordinator::actions const& aActions)
{
  auto const sent = Pick<send_claim_message>(aActions);
  return static_cast<std::size_t>(
    std::ranges::count_if(sent, [](send_claim_message const& aSend) {
      auto const* update = std::get_if<claim_update>(&aSend.mMessage);
      return update != nullptr && update->mState == claim_state::kReleased;
    }));
}

}

BOOST_FIXTURE_TEST_SUITE(ClaimCoordinator, one_coordinator)

// Guards against dispatching without a majority, twice, or because of a
// duplicated grant.
BOOST_AUTO_TEST_CASE(DispatchesOnceAtAMajority)
{
  auto const granted = claim_verdict::kGranted;
  BOOST_TEST(Pick<claim_granted>(Take(1, ReplyOf("a", granted))).empty());
  BOOST_TEST(Pick<claim_granted>(Take(1, ReplyOf("a", granted))).empty());
  BOOST_TEST(Pick<claim_granted>(Take(2, ReplyOf("b", granted))).size() == 1U);
  BOOST_TEST(Pick<claim_granted>(Take(3, ReplyOf("c", granted))).empty());
}

// Guards against a caller that waits for its deadline although the group is
// unreachable, and against grants that stay unreleased.
BOOST_AUTO_TEST_CASE(RefusesAsNotRunAndReleasesWithoutAMajority)
{
  Take(1, ReplyOf("a", claim_verdict::kGranted));
  auto const answers = TickUntilAnswered();
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].mAnswer == claim_answer::kNotRun));
  BOOST_TEST((answers[0].mReason == core::refusal_reason::kClaimUnavailable));
  BOOST_TEST(mCoordinator.PendingUpdates() > 0U);
}

// Guards against dispatching under an attempt that has already been released.
BOOST_AUTO_TEST_CASE(IgnoresGrantsAfterTheRound)
{
  Take(1, ReplyOf("a", claim_verdict::kGranted));
  auto const ended = mCoordinator.Handle(At(400), claim_tick{});
  BOOST_TEST(Releases(ended) == 3U);
  BOOST_TEST(
    Pick<claim_granted>(Take(401, ReplyOf("b", claim_verdict::kGranted)))
      .empty());
}

// A holder that has restarted since its grant may have granted the key to
// another attempt.
BOOST_AUTO_TEST_CASE(DoesNotCountTheGrantOfAnEarlierIncarnation)
{
  Take(1, ReplyOf("a", claim_verdict::kGranted));
  auto second = ReplyOf("b", claim_verdict::kGranted);
  second.mKnownIncarnations = { HolderId("a", 2) };
  BOOST_TEST(Pick<claim_granted>(Take(2, second)).empty());
  auto renewed = ReplyOf("a", claim_verdict::kGranted);
  renewed.mHolder = HolderId("a", 2);
  BOOST_TEST(Pick<claim_granted>(Take(3, renewed)).size() == 1U);
}

// Guards against running a resent request again, and against losing its stored
// response.
BOOST_AUTO_TEST_CASE(AnswersAResendWithTheStoredResponse)
{
  auto const answers = Pick<claim_answered>(Take(
    1, ReplyOf("a", claim_verdict::kHeld, claim_state::kCompleted, "body")));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].mAnswer == claim_answer::kStoredResponse));
  BOOST_TEST(answers[0].mResponse == "body");
}

// Guards against answering before a majority knows the outcome, since another
// holder may have the response.
BOOST_AUTO_TEST_CASE(AnswersThatTheResponseIsNotStored)
{
  auto const gone = ReplyOf("a", claim_verdict::kHeld, claim_state::kCompleted);
  BOOST_TEST(Pick<claim_answered>(Take(1, gone)).empty());
  auto const answers = Pick<claim_answered>(
    Take(2, ReplyOf("b", claim_verdict::kHeld, claim_state::kCompleted)));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].mAnswer == claim_answer::kRanAnswerGone));
}

// Guards against a second run of a request whose outcome only one holder still
// knows.
BOOST_AUTO_TEST_CASE(DoesNotDispatchWhenOneHolderKnowsTheOutcome)
{
  Take(1, ReplyOf("a", claim_verdict::kGranted));
  Take(2, ReplyOf("b", claim_verdict::kHeld, claim_state::kUnknown));
  auto const answers =
    Pick<claim_answered>(Take(3, ReplyOf("c", claim_verdict::kGranted)));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].mAnswer == claim_answer::kUnknown));
}

// Guards against answering "not run" for a request that another daemon may be
// running.
BOOST_AUTO_TEST_CASE(CompetingAttemptIsUnknownNotNotRun)
{
  Take(1, ReplyOf("a", claim_verdict::kHeld));
  auto const ended = Take(2, ReplyOf("b", claim_verdict::kHeld));
  BOOST_TEST(Releases(ended) == 1U);
  auto const answers = TickUntilAnswered();
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].mAnswer == claim_answer::kUnknown));
  BOOST_TEST((answers[0].mReason == core::refusal_reason::kClaimHeld));
}

// Guards against holders that never learn an outcome because its message was
// lost.
BOOST_AUTO_TEST_CASE(RepeatsTheOutcomeUntilAcknowledged)
{
  Take(1, ReplyOf("a", claim_verdict::kGranted));
  Take(2, ReplyOf("b", claim_verdict::kGranted));
  mCoordinator.Handle(At(10),
                      dispatch_finished{ 1, dispatch_outcome::kRan, "body" });
  for (auto const* name : { "a", "b" }) {
    mCoordinator.Handle(
      At(11),
      claim_message_received{
        { name }, claim_update_ack{ mRequest.mAttempt, { name } } });
  }
  auto const repeated =
    Pick<send_claim_message>(mCoordinator.Handle(At(200), claim_tick{}));
  BOOST_REQUIRE(repeated.size() == 1U);
  BOOST_TEST(repeated[0].mTo.mValue == "c");
  mCoordinator.Handle(
    At(201),
    claim_message_received{ { "c" },
                            claim_update_ack{ mRequest.mAttempt, { "c" } } });
  BOOST_TEST(mCoordinator.PendingUpdates() == 0U);
}

// Guards against a majority that is made up of grants from two groups.
BOOST_AUTO_TEST_CASE(RestartsTheRoundWhenTheGroupChanges)
{
  Take(1, ReplyOf("a", claim_verdict::kGranted));
  auto const next = MapOf({ "a", "b", "d" }, mMap);
  mCoordinator.Handle(At(2), claim_map_installed{ next });
  BOOST_TEST(Pick<claim_granted>(Take(3, ReplyOf("b", claim_verdict::kGranted)))
               .empty());
}

// Guards against a caller that exhausts the memory of holders with long keys.
BOOST_AUTO_TEST_CASE(RefusesAKeyThatIsTooLong)
{
  auto const answers = Pick<claim_answered>(mCoordinator.Handle(
    At(1),
    claim_wanted{ 2, std::string(kMaximumKeyBytes + 1, 'k'), At(2500) }));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].mReason == core::refusal_reason::kBadRequest));
}

// Guards against refusals until the new map reaches the coordinator: 14 of 401
// orders in the trace rolling_replacement were refused.
BOOST_AUTO_TEST_CASE(AdoptsTheNewerGroupFromAHolder)
{
  auto const next = MapOf({ "a", "b", "d" }, mMap);
  auto stale = ReplyOf("a", claim_verdict::kStaleEpoch);
  stale.mNewerGroup = next.Find(mRequest.mShard)->mGroup;
  Take(1, stale);
  auto const sent =
    Pick<send_claim_message>(mCoordinator.Handle(At(100), claim_tick{}));
  std::set<std::string> targets;
  for (auto const& send : sent) {
    auto const* request = std::get_if<claim_request>(&send.mMessage);
    if (request != nullptr && request->mEpoch == next.mEpoch) {
      targets.insert(send.mTo.mValue);
    }
  }
  BOOST_TEST((targets == std::set<std::string>{ "a", "b", "d" }));
}

BOOST_AUTO_TEST_SUITE_END()
