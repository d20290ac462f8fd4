#include "TestGroup.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::control;
using namespace cranberryfold::control::test;

namespace {

tables::table_replacement
MakeReplacement(std::uint64_t aBase,
                std::uint64_t aLabel,
                std::string const& aPool)
{
  tables::table_replacement replacement;
  replacement.mBaseLabel = aBase;
  replacement.mTables.mLabel = aLabel;
  tables::pool pool;
  pool.mName = aPool;
  pool.mService = { aPool };
  replacement.mTables.mPools.emplace(aPool, pool);
  return replacement;
}

struct replacement_fixture
{
  test_group mGroup{ 3 };
  std::uint64_t mLastSubmission = 1000;

  replacement_fixture() { mGroup.Advance(kElectionTime); }

  edit_answer Replace(std::string const& aId,
                      tables::table_replacement const& aReplacement)
  {
    submission_id const submission{ ++mLastSubmission };
    tables::edit edit;
    edit.mId = { aId };
    mGroup.Handle(mGroup.Leader(),
                  edit_submitted{ submission, edit, aReplacement });
    mGroup.DeliverAll();
    return mGroup.Answer(submission).value_or(edit_answer{});
  }

  tables::table_set const& Tables()
  {
    return mGroup[mGroup.Leader()].mReplica->Tables();
  }
};

}

BOOST_FIXTURE_TEST_SUITE(TableReplacement, replacement_fixture)

BOOST_AUTO_TEST_CASE(ReplacementRemovesRowsThatItLacks)
{
  BOOST_TEST((Replace("e1", MakeReplacement(0, 2, "stock")).mStatus ==
              edit_status::kAccepted));
  BOOST_TEST((Replace("e2", MakeReplacement(2, 7, "orders")).mStatus ==
              edit_status::kAccepted));
  BOOST_TEST(Tables().mLabel == 7);
  BOOST_TEST(Tables().mPools.size() == 1);
  BOOST_TEST(Tables().mPools.contains("orders"));
}

// Guards against accepting two replacements that are based on the same version.
BOOST_AUTO_TEST_CASE(OnlyOneReplacementIsAcceptedForEachBase)
{
  Replace("e1", MakeReplacement(0, 2, "stock"));
  BOOST_TEST((Replace("e2", MakeReplacement(2, 5, "a")).mStatus ==
              edit_status::kAccepted));
  BOOST_TEST((Replace("e3", MakeReplacement(2, 5, "b")).mStatus ==
              edit_status::kConflict));
  BOOST_TEST(Tables().mPools.contains("a"));
}

// Guards against rejecting an accepted replacement that is resent because its
// answer was lost.
BOOST_AUTO_TEST_CASE(ResentReplacementGetsTheFirstAnswer)
{
  Replace("e1", MakeReplacement(0, 2, "stock"));
  Replace("e2", MakeReplacement(2, 3, "orders"));
  auto const answer = Replace("e1", MakeReplacement(0, 2, "stock"));
  BOOST_TEST((answer.mStatus == edit_status::kAccepted));
  BOOST_TEST(Tables().mLabel == 3);
}

// Guards against labels that repeat or decrease.
BOOST_AUTO_TEST_CASE(LabelMustRise)
{
  Replace("e1", MakeReplacement(0, 2, "stock"));
  BOOST_TEST((Replace("e2", MakeReplacement(2, 2, "orders")).mStatus ==
              edit_status::kInvalid));
  BOOST_TEST((Replace("e3", MakeReplacement(2, 1, "orders")).mStatus ==
              edit_status::kInvalid));
}

// Guards against conflicts between an operator's replacement and an edit of the
// control leader.
BOOST_AUTO_TEST_CASE(SystemEditDoesNotConflictWithAReplacement)
{
  Replace("e1", MakeReplacement(0, 2, "stock"));
  mGroup.SubmitAndWait(
    mGroup.Leader(),
    { { "system/x" }, { 1 }, { tables::put_claim_map{ "map" } } });
  BOOST_TEST((Replace("e2", MakeReplacement(2, 3, "orders")).mStatus ==
              edit_status::kAccepted));
  BOOST_TEST(Tables().mClaimMap == "map");
}

BOOST_AUTO_TEST_SUITE_END()
