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

// Guards against a request that is overtaken by its release and then keeps the
// key from everyone.
BOOST_AUTO_TEST_CASE(RefusesLateRequestOfReleasedAttempt)
{
  auto const one = RequestFor(mMap, kKey, 1);
  Update(At(1), "a", UpdateFor(one, claim_state::kReleased));
  BOOST_TEST((Claim(At(2), "a", one).mVerdict == claim_verdict::kHeld));
  auto const two = RequestFor(mMap, kKey, 2);
  BOOST_TEST((Claim(At(3), "a", two).mVerdict == claim_verdict::kGranted));
}

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

// Guards against a holder that forgets claims to make room for new ones.
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

// Guards against a restarted holder that grants what it granted before.
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

// A key ran twice in seed 1118 of the traffic run: a copy that a had sent to
// the former life of c, before a grant, reached the new life after the restart.
BOOST_AUTO_TEST_CASE(IgnoresCopySentToItsFormerLife)
{
  Start("c", At(1), 2);
  Install(At(1), "c", mMap, "ab");
  auto const shard = ShardOfKey(mMap, kKey);
  copy_request const request{
    shard, Life("c", 2), mMap.mEpoch, *mMap.Find(shard), ""
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

// Guards against a shard that stays refused for ever after two holders were
// lost together.
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

// A grant of the former life of c and a later grant of a must not make a
// majority: the new life of c may have granted the key to another attempt.
BOOST_AUTO_TEST_CASE(ReportsNewLifeOfAHolderThatCopied)
{
  Start("c", At(2), 2);
  Install(At(2), "c", mMap);
  auto const reply = Claim(At(3), "a", RequestFor(mMap, kKey, 1));
  BOOST_TEST((reply.mKnownLives == std::vector{ Life("c", 2) }));
}

// Guards against an old and a new group that both grant the same key.
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
  // a still has the old map, but has promised not to grant in it any more.
  auto const old = RequestFor(mMap, kKey, 3);
  BOOST_TEST((Claim(At(302), "a", old).mVerdict == claim_verdict::kStaleEpoch));
  BOOST_TEST((Claim(At(303), "b", old).mVerdict == claim_verdict::kStaleEpoch));
}

// Guards against a shard that is refused until the slowest holder has the map:
// up to 10 of 401 orders in the trace rolling_replacement were.
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

// The promise of a holder not to grant in the old group is lost with its
// memory; what it sent before its restart must not count for the handover.
BOOST_AUTO_TEST_CASE(CopyOfAFormerLifeDoesNotCount)
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
  // b tells d of the new life of a, whose copy is then asked for again.
  Tick(At(300), "d", "ac");
  BOOST_TEST(!mHolders["d"]->Votes(one.mShard));
  Tick(At(600), "d", "c");
  auto const two = RequestFor(next, kKey, 2);
  BOOST_TEST((Claim(At(601), "d", two).mVerdict == claim_verdict::kHeld));
}

// Copies that disagree leave a key that two attempts may hold; the release of
// one of them must not free it.
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
