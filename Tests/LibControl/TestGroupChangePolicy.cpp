#include "LibControl/GroupChangePolicy.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::control;
using namespace std::chrono_literals;

namespace {

replica_status
Group(std::initializer_list<char const*> aVoters)
{
  replica_status status;
  for (auto const* const name : aVoters) {
    status.mGroup[{ name }] = { { name, 1 }, {}, true };
  }
  return status;
}

std::map<core::instance_id, core::address>
Live(std::initializer_list<char const*> aNames)
{
  std::map<core::instance_id, core::address> live;
  for (auto const* const name : aNames) {
    live[{ name }] = { name, 1 };
  }
  return live;
}

}

BOOST_AUTO_TEST_SUITE(GroupChangePolicy)

BOOST_AUTO_TEST_CASE(LiveInstancesJoinUpToTheLimit)
{
  auto status = Group({ "a", "b", "c" });
  auto const change = ProposeGroupChange(status, Live({ "a", "d" }));
  BOOST_REQUIRE(change);
  BOOST_TEST((std::get<tables::add_replica>(*change).mInstance.mValue == "d"));
  status = Group({ "a", "b", "c", "d", "e", "f", "g" });
  BOOST_TEST(!ProposeGroupChange(status, Live({ "h" })));
}

// Guards against a full group that keeps a failed voter when its instance is
// replaced by one at another address.
BOOST_AUTO_TEST_CASE(StandbyReplacesAnUnresponsiveVoterOfAFullGroup)
{
  auto status = Group({ "a", "b", "c", "d", "e", "f", "g" });
  status.mTimeSinceAcknowledgement[{ "c" }] = 2s;
  BOOST_TEST(!ProposeGroupChange(status, Live({ "h" })));
  status.mTimeSinceAcknowledgement[{ "c" }] = 4s;
  status.mTimeSinceAcknowledgement[{ "e" }] = 5s;
  auto const change = ProposeGroupChange(status, Live({ "h" }));
  BOOST_REQUIRE(change);
  BOOST_TEST(
    (std::get<tables::remove_replica>(*change).mInstance.mValue == "e"));
}

// Guards against removing an unresponsive voter without a standby, which does
// not raise the number of failures that the group survives.
BOOST_AUTO_TEST_CASE(UnresponsiveVoterWithoutStandbyStaysAMember)
{
  auto status = Group({ "a", "b", "c" });
  status.mTimeSinceAcknowledgement[{ "c" }] = 60s;
  BOOST_TEST(!ProposeGroupChange(status, Live({ "a", "b" })));
}

// Guards against two learners at once, and against a failed learner that blocks
// all later additions.
BOOST_AUTO_TEST_CASE(OneMemberCatchesUpAtATime)
{
  auto status = Group({ "a", "b", "c" });
  status.mGroup[{ "d" }] = { { "d", 1 }, {}, false };
  BOOST_TEST(!ProposeGroupChange(status, Live({ "d", "e" })));
  status.mTimeSinceAcknowledgement[{ "d" }] = 4s;
  auto const change = ProposeGroupChange(status, Live({ "e" }));
  BOOST_REQUIRE(change);
  BOOST_TEST(
    (std::get<tables::remove_replica>(*change).mInstance.mValue == "d"));
}

BOOST_AUTO_TEST_CASE(NothingChangesWhileAChangeIsInFlight)
{
  auto status = Group({ "a", "b", "c" });
  status.mGroupChanging = true;
  BOOST_TEST(!ProposeGroupChange(status, Live({ "d" })));
}

BOOST_AUTO_TEST_SUITE_END()
