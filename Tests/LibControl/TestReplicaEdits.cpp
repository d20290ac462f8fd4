#include "TestGroup.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::control;
using namespace cranberryfold::control::test;

BOOST_AUTO_TEST_SUITE(ReplicaEdits)

BOOST_AUTO_TEST_CASE(AcceptedEditReachesAllReplicas)
{
  test_group group(3);
  group.Advance(kElectionTime);
  auto const answer = group.SubmitAndWait(group.Leader(), PoolEdit("e1", 0));
  BOOST_TEST((answer.mStatus == edit_status::kAccepted));
  BOOST_TEST(answer.mRevision.mValue == 1);
  group.Advance(std::chrono::milliseconds(400));
  for (std::size_t index = 0; index < 3; ++index) {
    auto const& committed = group[test_group::InstanceName(index)].mCommitted;
    BOOST_TEST(committed.back().mRevision.mValue == 1);
    BOOST_TEST(committed.back().mEdit.mValue == "e1");
    BOOST_TEST(committed.back().mTables.mPools.size() == 1);
  }
}

// Guards against answering an edit that a power loss of all replicas would
// lose.
BOOST_AUTO_TEST_CASE(AnswerWaitsForTheSyncOfAMajorityAndTheLeader)
{
  test_group group(3);
  group.Advance(kElectionTime);
  auto const leader = group.Leader();
  for (std::size_t index = 0; index < 3; ++index) {
    group[test_group::InstanceName(index)].mHoldSync = true;
  }
  auto const submission = group.Submit(leader, PoolEdit("e1", 0));
  BOOST_TEST(!group.Answer(submission));
  group.Sync(leader);
  group.DeliverAll();
  BOOST_TEST(!group.Answer(submission));
  group.Sync(group.NotLeader());
  group.DeliverAll();
  BOOST_REQUIRE(group.Answer(submission));
  BOOST_TEST((group.Answer(submission)->mStatus == edit_status::kAccepted));
}

BOOST_AUTO_TEST_CASE(LeaderWithoutASyncDoesNotAnswer)
{
  test_group group(3);
  group.Advance(kElectionTime);
  auto const leader = group.Leader();
  group[leader].mHoldSync = true;
  auto const submission = group.Submit(leader, PoolEdit("e1", 0));
  BOOST_TEST(!group.Answer(submission));
  group.Sync(leader);
  BOOST_TEST(static_cast<bool>(group.Answer(submission)));
}

// Guards against an edit that is applied twice because its answer was lost.
BOOST_AUTO_TEST_CASE(ResentEditGetsTheFirstAnswerFromTheNextLeader)
{
  test_group group(3);
  group.Advance(kElectionTime);
  auto const first = group.SubmitAndWait(group.Leader(), PoolEdit("e1", 0));
  auto const old = group.Leader();
  group.Kill(old);
  group.Advance(kElectionTime);
  BOOST_REQUIRE(!group.Leader().IsEmpty());
  group.SubmitAndWait(group.Leader(), PoolEdit("e2", 1, 2));
  auto const again = group.SubmitAndWait(group.Leader(), PoolEdit("e1", 2));
  BOOST_TEST((again.mStatus == edit_status::kAccepted));
  BOOST_TEST(again.mRevision.mValue == first.mRevision.mValue);
  BOOST_TEST(again.mEdit.mValue == "e1");
}

BOOST_AUTO_TEST_CASE(ConflictNamesTheAcceptedEdit)
{
  test_group group(3);
  group.Advance(kElectionTime);
  auto const leader = group.Leader();
  group[leader].mHoldSync = true;
  auto const first = group.Submit(leader, PoolEdit("e1", 0));
  auto const second = group.Submit(leader, PoolEdit("e2", 0, 2));
  group[leader].mHoldSync = false;
  group.Sync(leader);
  group.Advance(std::chrono::milliseconds(400));
  BOOST_TEST((group.Answer(first)->mStatus == edit_status::kAccepted));
  auto const loser = group.Answer(second);
  BOOST_REQUIRE(loser);
  BOOST_TEST((loser->mStatus == edit_status::kConflict));
  BOOST_TEST(loser->mEdit.mValue == "e1");
  BOOST_TEST(loser->mRevision.mValue == 1);
}

BOOST_AUTO_TEST_CASE(EditsThatChangeNothingMakeNoRevision)
{
  test_group group(1);
  group.Advance(kElectionTime);
  auto const leader = group.Leader();
  auto const empty = group.SubmitAndWait(leader, { { "e1" }, { 0 }, {} });
  BOOST_TEST((empty.mStatus == edit_status::kUnchanged));
  group.SubmitAndWait(leader, PoolEdit("e2", 0));
  auto const same = group.SubmitAndWait(leader, PoolEdit("e3", 1));
  BOOST_TEST((same.mStatus == edit_status::kUnchanged));
  BOOST_TEST(same.mRevision.mValue == 1);
  auto const known = group.SubmitAndWait(leader, { { "e2" }, { 0 }, {} });
  BOOST_TEST((known.mStatus == edit_status::kAccepted));
}

BOOST_AUTO_TEST_CASE(InvalidEditsNameTheReason)
{
  test_group group(1);
  group.Advance(kElectionTime);
  auto const leader = group.Leader();
  auto const missing = group.SubmitAndWait(
    leader, { { "e1" }, { 0 }, { tables::remove_pool{ "none" } } });
  BOOST_TEST((missing.mStatus == edit_status::kInvalid));
  BOOST_TEST(missing.mReason == "pool none: expected a row to remove");
  auto const ahead = group.SubmitAndWait(leader, PoolEdit("e2", 7));
  BOOST_TEST((ahead.mStatus == edit_status::kInvalid));
  BOOST_TEST(ahead.mReason == "base revision: expected at most 0, found 7");
}

// Guards against a leader that accepts edits or answers reads as current while
// a partition isolates it.
BOOST_AUTO_TEST_CASE(IsolatedLeaderRefusesEditsAndMarksReadsStale)
{
  test_group group(3);
  group.Advance(kElectionTime);
  auto const old = group.Leader();
  BOOST_TEST(!group.Read(old)->mStale);
  group.Isolate(old);
  auto const pending = group.Submit(old, PoolEdit("e1", 0));
  group.Advance(std::chrono::milliseconds(1200));
  BOOST_TEST((group.Status(old).mRole == replica_role::kLeader));
  BOOST_TEST(!group.Status(old).mLeaseValid);
  auto const refused = group.SubmitAndWait(old, PoolEdit("e2", 0));
  BOOST_TEST((refused.mStatus == edit_status::kNoMajority));
  BOOST_TEST(group.Read(old)->mStale);
  group.Advance(kElectionTime);
  BOOST_REQUIRE(group.Answer(pending));
  BOOST_TEST((group.Answer(pending)->mStatus == edit_status::kUnknown));
  auto const accepted = group.SubmitAndWait(group.Leader(), PoolEdit("e3", 0));
  BOOST_TEST((accepted.mStatus == edit_status::kAccepted));
  group.Rejoin(old);
  group.Advance(kElectionTime);
  BOOST_TEST(group.Status(old).mRevision.mValue == 1);
  BOOST_TEST(group[old].mCommitted.back().mEdit.mValue == "e3");
}

// Guards against a replica that still accepts edits or leads after its disk
// failed.
BOOST_AUTO_TEST_CASE(FailedJournalStopsAcceptance)
{
  test_group group(3);
  group.Advance(kElectionTime);
  auto const failed = group.Leader();
  group.Handle(failed, journal_failed{});
  auto const refused = group.SubmitAndWait(failed, PoolEdit("e1", 0));
  BOOST_TEST((refused.mStatus == edit_status::kStorageFailed));
  BOOST_TEST(group.Read(failed)->mStale);
  group.Advance(kElectionTime);
  BOOST_TEST((group.Status(failed).mRole == replica_role::kFailed));
  BOOST_TEST((group.SubmitAndWait(group.Leader(), PoolEdit("e2", 0)).mStatus ==
              edit_status::kAccepted));
}

BOOST_AUTO_TEST_CASE(RestartedGroupRecoversTheLatestEdit)
{
  replica_options options;
  options.mCompactionRecords = 20;
  options.mTrailingEntries = 5;
  test_group group(3, options);
  group.Advance(kElectionTime);
  for (std::uint32_t number = 0; number < 50; ++number) {
    group.SubmitAndWait(group.Leader(),
                        PoolEdit("e" + std::to_string(number), number, number));
  }
  for (std::size_t index = 0; index < 3; ++index) {
    auto const instance = test_group::InstanceName(index);
    group.Kill(instance);
    group[instance].mCommitted.clear();
    group.Start(instance);
  }
  group.Advance(kElectionTime);
  for (std::size_t index = 0; index < 3; ++index) {
    auto const& committed = group[test_group::InstanceName(index)].mCommitted;
    BOOST_TEST(committed.back().mRevision.mValue == 50);
  }
  BOOST_TEST(group[group.Leader()].mReplica->History().size() == 50);
}

// Guards against a restart that recovers older tables while there is no
// majority to confirm the last accepted edit.
BOOST_AUTO_TEST_CASE(LastEditIsRecoveredBeforeAnElection)
{
  test_group group(3);
  group.Advance(kElectionTime);
  auto const leader = group.Leader();
  group.SubmitAndWait(leader, PoolEdit("e1", 0));
  group.Advance(kTickInterval);
  group.Kill(leader);
  group.Start(leader);
  BOOST_TEST(group.Status(leader).mRevision.mValue == 1);
}

// Guards against a replica that waits forever for entries that the leader has
// compacted.
BOOST_AUTO_TEST_CASE(LaggingReplicaGetsASnapshot)
{
  replica_options options;
  options.mCompactionRecords = 20;
  options.mTrailingEntries = 5;
  test_group group(3, options);
  group.Advance(kElectionTime);
  auto const lagging = group.NotLeader();
  group.Isolate(lagging);
  for (std::uint32_t number = 0; number < 60; ++number) {
    group.SubmitAndWait(group.Leader(),
                        PoolEdit("e" + std::to_string(number), number, number));
  }
  BOOST_TEST(group.Status(lagging).mRevision.mValue == 0);
  group.Rejoin(lagging);
  group.Advance(std::chrono::seconds(2));
  BOOST_TEST(group.Status(lagging).mRevision.mValue == 60);
}

// Guards against dropping an answer before it exceeds both retention limits.
BOOST_AUTO_TEST_CASE(AnswersAreKeptUntilBothLimitsAreExceeded)
{
  applied_state state({}, { std::chrono::hours(24), 3 });
  auto const apply = [&state](std::uint64_t aNumber, std::int64_t aHours) {
    state.Apply(
      { aNumber,
        1,
        std::chrono::hours(aHours),
        edit_entry{ PoolEdit("e" + std::to_string(aNumber),
                             aNumber - 1,
                             static_cast<std::uint32_t>(aNumber)) } });
  };
  for (std::uint64_t number = 1; number <= 5; ++number) {
    apply(number, 0);
  }
  BOOST_TEST(state.FindEdit({ "e1" }) != nullptr);
  apply(6, 25);
  BOOST_TEST(state.FindEdit({ "e3" }) == nullptr);
  BOOST_TEST(state.FindEdit({ "e4" })->mRevision.mValue == 4);
}

// Guards against claim map edits that conflict with an operator's edit, and
// against a claim map that replaces a newer one.
BOOST_AUTO_TEST_CASE(SystemEditDoesNotConflictWithAnOperatorsEdit)
{
  auto const systemEdit = [](char const* aId, std::uint64_t aBase) {
    return tables::edit{ { aId }, { aBase }, { tables::put_claim_map{ aId } } };
  };
  test_group group(3);
  group.Advance(kElectionTime);
  auto const leader = group.Leader();
  auto const status = [&](tables::edit const& aEdit) {
    return group.SubmitAndWait(leader, aEdit);
  };
  BOOST_TEST((status(PoolEdit("e1", 0)).mStatus == edit_status::kAccepted));
  BOOST_TEST((status(systemEdit("s1", 1)).mStatus == edit_status::kAccepted));
  BOOST_TEST((status(systemEdit("s2", 1)).mStatus == edit_status::kConflict));
  auto const operatorEdit = status(PoolEdit("e2", 1, 2));
  BOOST_TEST((operatorEdit.mStatus == edit_status::kAccepted));
  BOOST_TEST(operatorEdit.mRevision.mValue == 3);
  auto const loser = status(PoolEdit("e3", 1, 3));
  BOOST_TEST((loser.mStatus == edit_status::kConflict));
  BOOST_TEST(loser.mEdit.mValue == "e2");
}

BOOST_AUTO_TEST_SUITE_END()
