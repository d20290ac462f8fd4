#include "ClaimWorld.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::traffic;
using namespace cranberryfold::traffic::test;

namespace {

std::string const kKey = "z/order-1";

/// Three holders that vote in the first map.
struct three_holders : holder_world
{
  claim_map mMap = MapOf({ "a", "b", "c" });

  three_holders()
  {
    for (auto const* name : { "a", "b", "c" }) {
      Start(name, At(0));
      Install(At(0), name, mMap);
    }
  }

  bool Votes(std::string const& aName)
  {
    return mHolders[aName]->Votes(ShardOfKey(mMap, kKey));
  }
};

}

BOOST_FIXTURE_TEST_SUITE(ClaimHolder, three_holders)

// Guards against granting a key to two attempts, and against refusing a resent
// request of the attempt that holds it.
BOOST_AUTO_TEST_CASE(GrantsAKeyToOneAttemptUntilReleased)
{
  auto const one = RequestFor(mMap, kKey, 1);
  auto const two = RequestFor(mMap, kKey, 2);
  BOOST_TEST((Claim(At(1), "a", one).mVerdict == claim_verdict::kGranted));
  BOOST_TEST((Claim(At(2), "a", one).mVerdict == claim_verdict::kGranted));
  BOOST_TEST((Claim(At(3), "a", two).mVerdict == claim_verdict::kHeld));
  Update(At(4), "a", UpdateFor(one, claim_state::kReleased));
  BOOST_TEST((Claim(At(5), "a", two).mVerdict == claim_verdict::kGranted));
}

// Guards against a request that arrives after the release of its attempt and
// then blocks the key.
BOOST_AUTO_TEST_CASE(RefusesLateRequestOfReleasedAttempt)
{
  auto const one = RequestFor(mMap, kKey, 1);
  Update(At(1), "a", UpdateFor(one, claim_state::kReleased));
  BOOST_TEST((Claim(At(2), "a", one).mVerdict == claim_verdict::kHeld));
  auto const two = RequestFor(mMap, kKey, 2);
  BOOST_TEST((Claim(At(3), "a", two).mVerdict == claim_verdict::kGranted));
}

// Guards against losing an outcome before the retention time has passed, and
// against keeping it longer.
BOOST_AUTO_TEST_CASE(AnswersResendWithTheStoredResponseUntilRetentionEnds)
{
  auto const one = RequestFor(mMap, kKey, 1);
  Claim(At(1), "a", one);
  Update(At(2), "a", UpdateFor(one, claim_state::kCompleted, "body"));
  auto const two = RequestFor(mMap, kKey, 2);
  auto const reply = Claim(At(3), "a", two);
  BOOST_TEST((reply.mState == claim_state::kCompleted));
  BOOST_TEST(reply.mResponse == "body");
  auto const after = At(3) + kClaimRetention;
  BOOST_TEST((Claim(after, "a", two).mVerdict == claim_verdict::kGranted));
}

// Guards against a holder that evicts claims to store new ones.
BOOST_AUTO_TEST_CASE(RefusesWhenFullAndRecoversAfterRetention)
{
  Start("a", At(0), 1, 1);
  Install(At(0), "a", mMap);
  auto const one = RequestFor(mMap, kKey, 1);
  auto const two = RequestFor(mMap, "z/order-2", 2);
  BOOST_TEST((Claim(At(1), "a", one).mVerdict == claim_verdict::kGranted));
  BOOST_TEST((Claim(At(2), "a", two).mVerdict == claim_verdict::kFull));
  BOOST_TEST((Claim(At(3), "a", one).mVerdict == claim_verdict::kGranted));
  auto const after = At(3) + kClaimRetention;
  for (int count = 0; count < 3; ++count) {
    Tick(after, "a");
  }
  BOOST_TEST((Claim(after, "a", two).mVerdict == claim_verdict::kGranted));
}

// Guards against a restarted holder that grants a key which it granted to
// another attempt before.
BOOST_AUTO_TEST_CASE(RestartedHolderVotesOnlyAfterCopyingFromBothOthers)
{
  auto const one = RequestFor(mMap, kKey, 1);
  Claim(At(1), "a", one);
  Claim(At(1), "c", one);
  Start("c", At(2), 2);
  Install(At(2), "c", mMap, "a");
  auto const two = RequestFor(mMap, kKey, 2);
  BOOST_TEST((Claim(At(3), "c", two).mVerdict == claim_verdict::kRecovering));
  Tick(At(300), "c");
  BOOST_TEST(Votes("c"));
  BOOST_TEST((Claim(At(301), "c", two).mVerdict == claim_verdict::kHeld));
}

// Guards against counting a copy that was sent to an earlier incarnation. In
// seed 1118 of the traffic run a key ran twice: a copy that a had sent to c
// before a grant arrived after c had restarted.
BOOST_AUTO_TEST_CASE(IgnoresCopySentToItsEarlierIncarnation)
{
  Start("c", At(1), 2);
  Install(At(1), "c", mMap, "ab");
  auto const shard = ShardOfKey(mMap, kKey);
  copy_request const request{
    shard, HolderId("c", 2), mMap.mEpoch, *mMap.Find(shard), ""
  };
  claim_message_received const asked{ { "c" }, request };
  auto const late = mHolders["a"]->Handle(At(2), asked);
  auto const one = RequestFor(mMap, kKey, 1);
  Claim(At(3), "a", one);
  Start("c", At(4), 3);
  Install(At(4), "c", mMap, "ab");
  Deliver(At(5), "a", late);
  Tick(At(300), "c", "a");
  BOOST_TEST(!Votes("c"));
}

// Guards against a shard that stays unavailable forever after two holders have
// lost their memory at the same time.
BOOST_AUTO_TEST_CASE(HoldersLostTogetherVoteAfterTheRetentionTime)
{
  for (auto const* name : { "a", "b", "c" }) {
    Start(name, At(1000), 2);
  }
  for (auto const* name : { "a", "b", "c" }) {
    Install(At(1000), name, mMap);
  }
  auto const almost = At(900) + kClaimRetention;
  Tick(almost, "a");
  BOOST_TEST(!Votes("a"));
  auto const after = At(1300) + kClaimRetention;
  Tick(after, "a");
  BOOST_TEST(Votes("a"));
}

// A grant of the earlier incarnation of c and a later grant of a must not form
// a majority: the new incarnation of c may have granted the key to another
// attempt.
BOOST_AUTO_TEST_CASE(ReportsNewIncarnationOfAHolderThatCopied)
{
  Start("c", At(2), 2);
  Install(At(2), "c", mMap);
  auto const reply = Claim(At(3), "a", RequestFor(mMap, kKey, 1));
  BOOST_TEST((reply.mKnownIncarnations == std::vector{ HolderId("c", 2) }));
}

// Guards against granting the same key in an old and a new group.
BOOST_AUTO_TEST_CASE(NewGroupCopiesAndFencesTheOldOne)
{
  auto const one = RequestFor(mMap, kKey, 1);
  Claim(At(1), "a", one);
  Claim(At(1), "c", one);
  auto const next = MapOf({ "a", "b", "d" }, mMap);
  Start("d", At(2));
  Install(At(2), "d", next, "bc");
  auto const two = RequestFor(next, kKey, 2);
  BOOST_TEST((Claim(At(3), "d", two).mVerdict == claim_verdict::kRecovering));
  Tick(At(300), "d", "c");
  BOOST_TEST((Claim(At(301), "d", two).mVerdict == claim_verdict::kHeld));
  // a still has the old map, but has promised not to grant in its group any
  // more.
  auto const old = RequestFor(mMap, kKey, 3);
  BOOST_TEST((Claim(At(302), "a", old).mVerdict == claim_verdict::kStaleEpoch));
  BOOST_TEST((Claim(At(303), "b", old).mVerdict == claim_verdict::kStaleEpoch));
}

// Guards against a shard that is unavailable until the slowest holder has the
// new map: up to 10 of 401 orders in the trace rolling_replacement were
// refused.
BOOST_AUTO_TEST_CASE(HoldersLearnTheNewGroupFromEachOther)
{
  auto const next = MapOf({ "a", "b", "d" }, mMap);
  Start("d", At(0));
  Install(At(0), "d", mMap);
  Install(At(2), "b", next);
  auto const one = RequestFor(next, kKey, 1);
  for (auto const* name : { "a", "b", "d" }) {
    BOOST_TEST((Claim(At(3), name, one).mVerdict == claim_verdict::kGranted));
  }
  Install(At(4), "a", mMap);
  BOOST_TEST((Claim(At(5), "a", one).mVerdict == claim_verdict::kGranted));
}

// A restart loses a holder's promise not to grant in the old group, so a copy
// that it sent before must not count for the handover.
BOOST_AUTO_TEST_CASE(CopyOfAnEarlierIncarnationDoesNotCount)
{
  auto const next = MapOf({ "a", "b", "d" }, mMap);
  Start("d", At(1));
  Install(At(1), "d", next, "bc");
  Start("a", At(2), 2);
  Install(At(2), "a", mMap, "d");
  BOOST_TEST(Votes("a"));
  auto const one = RequestFor(mMap, kKey, 1);
  Claim(At(3), "a", one);
  Claim(At(3), "c", one);
  // b reports the new incarnation of a to d, which then requests the copy of a
  // again.
  Tick(At(300), "d", "ac");
  BOOST_TEST(!mHolders["d"]->Votes(one.mShard));
  Tick(At(600), "d", "c");
  auto const two = RequestFor(next, kKey, 2);
  BOOST_TEST((Claim(At(601), "d", two).mVerdict == claim_verdict::kHeld));
}

// If copies disagree, two attempts may hold a key; the release of one of them
// must not make it available.
BOOST_AUTO_TEST_CASE(KeepsBothAttemptsWhenCopiesDisagree)
{
  auto const one = RequestFor(mMap, kKey, 1);
  auto const two = RequestFor(mMap, kKey, 2);
  Claim(At(1), "a", one);
  Claim(At(1), "b", two);
  Start("c", At(2), 2);
  Install(At(2), "c", mMap);
  Update(At(3), "c", UpdateFor(one, claim_state::kReleased));
  auto const three = RequestFor(mMap, kKey, 3);
  BOOST_TEST((Claim(At(4), "c", three).mVerdict == claim_verdict::kHeld));
  Update(At(5), "c", UpdateFor(two, claim_state::kReleased));
  BOOST_TEST((Claim(At(6), "c", three).mVerdict == claim_verdict::kGranted));
}

BOOST_AUTO_TEST_SUITE_END()
