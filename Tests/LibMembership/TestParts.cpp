#include "LibCore/Random.h"
#include "LibMembership/Codec.h"
#include "LibMembership/DisseminationTree.h"
#include "LibMembership/MemberChart.h"
#include "LibMembership/MemberFilter.h"
#include "LibMembership/MemberTable.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace cranberryfold;
using namespace cranberryfold::membership;

namespace {

std::vector<contact>
Peers(std::size_t aCount)
{
  std::vector<contact> peers;
  for (std::size_t index = 0; index < aCount; ++index) {
    auto const name = std::to_string(1000 + index);
    peers.push_back({ { name }, { name, 7000 } });
  }
  return peers;
}

member
Member(std::string const& aName,
       member_state aState,
       lifecycle_state aLifecycle)
{
  member result;
  result.mAnnouncement.mInstance = { aName };
  result.mAnnouncement.mService = { "stock" };
  result.mAnnouncement.mLifecycle = aLifecycle;
  result.mState = aState;
  return result;
}

}

BOOST_AUTO_TEST_SUITE(Parts)

// Guards against a dissemination tree that omits a member or reaches it twice.
BOOST_AUTO_TEST_CASE(TreeReachesEveryPeerOnce)
{
  for (std::size_t const count : { 1U, 7U, 8U, 9U, 100U, 283U }) {
    for (bool const reversed : { false, true }) {
      auto const peers = Peers(count);
      std::vector<tree_range> pending{ *WholeRange(peers, reversed) };
      std::multiset<contact> reached;
      while (!pending.empty()) {
        auto const range = pending.back();
        pending.pop_back();
        auto const branches = SplitRange(peers, range);
        BOOST_TEST(branches.size() <= kTreeFanOut);
        for (auto const& branch : branches) {
          reached.insert(branch.mHead);
          if (branch.mRange) {
            pending.push_back(*branch.mRange);
          }
        }
      }
      BOOST_TEST(
        (reached == std::multiset<contact>(peers.begin(), peers.end())));
    }
  }
}

// Guards against a state chart with states that the code does not know.
BOOST_AUTO_TEST_CASE(ChartWithAnUnknownStateIsRefused)
{
  auto const compiled = core::Attempt([]() -> core::result<member_chart> {
    BOOST_LEAF_AUTO(chart,
                    core::state_chart::Parse(
                      R"({ "name": "x", "initial": "alive", "states": {
          "alive": { "on": { "suspected": { "to": "lost" } } }, "lost": {} } })",
                      "x.json"));
    return member_chart::Compile(chart);
  });
  BOOST_TEST(compiled.mError.mDetail == "unknown state \"lost\"");
}

// Guards against digests that depend on the order of updates.
BOOST_AUTO_TEST_CASE(DigestDependsOnlyOnTheContent)
{
  member_table first(true);
  member_table second(true);
  std::vector<member_update> updates;
  for (int index = 0; index < 20; ++index) {
    announcement result;
    result.mInstance = { std::to_string(index % 10) };
    result.mIncarnation = { static_cast<std::uint64_t>(index) };
    result.mZone = { "zone" };
    updates.push_back(
      { result,
        index % 3 == 0 ? member_state::kSuspect : member_state::kAlive });
  }
  for (auto const& update : updates) {
    first.Merge({}, update);
  }
  std::reverse(updates.begin(), updates.end());
  for (auto const& update : updates) {
    second.Merge({}, update);
  }
  BOOST_TEST((first.Digests() == second.Digests()));
}

// Guards against a service without usable members because of a faulty view.
BOOST_AUTO_TEST_CASE(ViewWithMostMembersDeadIsDistrusted)
{
  constexpr auto kServing = lifecycle_state::kServing;
  std::vector<member> members{
    Member("a", member_state::kAlive, kServing),
    Member("b", member_state::kSuspect, kServing),
    Member("c", member_state::kDead, kServing),
    Member("d", member_state::kAlive, lifecycle_state::kDraining),
  };
  BOOST_TEST(UsableMembers(members, { "stock" }).mMembers.size() == 2U);
  members.push_back(Member("e", member_state::kDead, kServing));
  members.push_back(Member("f", member_state::kDead, kServing));
  members.push_back(Member("g", member_state::kDead, kServing));
  auto const usable = UsableMembers(members, { "stock" });
  BOOST_TEST(usable.mPanic);
  BOOST_TEST(usable.mMembers.size() == 6U);
}

// Guards against crashes and huge allocations on damaged messages.
BOOST_AUTO_TEST_CASE(DamagedMessagesAreRefusedOrDecoded)
{
  announcement result;
  result.mInstance = { "instance" };
  result.mFeatures = { "spill" };
  message const original = message_with_sender<member_message>{
    { { "from" }, { "127.0.0.1", 7000 } },
    digest{
      7, true, result, { { { "zone" }, 3, 4 } }, { { { "r" }, {}, 1, {} } } }
  };
  auto const bytes = EncodeMessage(original);
  auto const whole = core::Attempt([&] { return DecodeMessage(bytes); });
  BOOST_REQUIRE(whole);
  BOOST_TEST((*whole == original));
  core::random_source random(7);
  for (int round = 0; round < 5000; ++round) {
    auto damaged = bytes;
    damaged[random.Below(damaged.size())] =
      static_cast<char>(random.Below(256));
    damaged.resize(damaged.size() - random.Below(3));
    auto const decoded = core::Attempt([&] { return DecodeMessage(damaged); });
    BOOST_TEST(
      (decoded || decoded.mError.mCode == core::error_code::kMalformed));
  }
}

// Guards against datagrams that are too large for one packet.
BOOST_AUTO_TEST_CASE(LargeMessagesAreSentOverAStream)
{
  update_batch batch;
  message_with_sender<member_message> const small{ {}, batch };
  BOOST_TEST(
    (MakeSend({}, small).mPreference == transport_preference::kDatagram));
  batch.mUpdates.resize(100);
  message_with_sender<member_message> const large{ {}, batch };
  BOOST_TEST(
    (MakeSend({}, large).mPreference == transport_preference::kStream));
}

BOOST_AUTO_TEST_SUITE_END()
