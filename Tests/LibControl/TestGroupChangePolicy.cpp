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

// Guards against a group that stays short when an instance is replaced at
// another address.
BOOST_AUTO_TEST_CASE(StandbyReplacesASilentVoterOfAFullGroup)
{
  auto status = Group({ "a", "b", "c", "d", "e", "f", "g" });
  status.mSilence[{ "c" }] = 2s;
  BOOST_TEST(!ProposeGroupChange(status, Live({ "h" })));
  status.mSilence[{ "c" }] = 4s;
  status.mSilence[{ "e" }] = 5s;
  auto const change = ProposeGroupChange(status, Live({ "h" }));
  BOOST_REQUIRE(change);
  BOOST_TEST(
    (std::get<tables::remove_replica>(*change).mInstance.mValue == "e"));
}

// Guards against removals that gain nothing.
BOOST_AUTO_TEST_CASE(SilentVoterWithoutReplacementKeepsItsPlace)
{
  auto status = Group({ "a", "b", "c" });
  status.mSilence[{ "c" }] = 60s;
  BOOST_TEST(!ProposeGroupChange(status, Live({ "a", "b" })));
}

// Guards against two members that catch up at once, and against a group that
// waits forever for one that is gone.
BOOST_AUTO_TEST_CASE(OneMemberCatchesUpAtATime)
{
  auto status = Group({ "a", "b", "c" });
  status.mGroup[{ "d" }] = { { "d", 1 }, {}, false };
  BOOST_TEST(!ProposeGroupChange(status, Live({ "d", "e" })));
  status.mSilence[{ "d" }] = 4s;
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
