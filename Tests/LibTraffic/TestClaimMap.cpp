#include "LibTraffic/ClaimCodec.h"
#include "LibTraffic/ClaimMap.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cranberryfold;
using namespace cranberryfold::traffic;

namespace {

std::vector<claim_member>
Members(std::vector<std::string> const& aZones, int aPerZone)
{
  std::vector<claim_member> members;
  for (auto const& zone : aZones) {
    for (int index = 0; index < aPerZone; ++index) {
      members.push_back(
        { { zone }, { { zone + std::to_string(index) }, { 1 } } });
    }
  }
  return members;
}

}

BOOST_AUTO_TEST_SUITE(ClaimMap)

// Guards against a resend whose key maps to another group than the first
// request's.
BOOST_AUTO_TEST_CASE(KeyStaysInItsShardWhenZonesAreAdded)
{
  auto const one = BuildClaimMap({}, Members({ "a", "b" }, 4));
  auto const two = BuildClaimMap(one, Members({ "a", "b", "c" }, 4));
  BOOST_TEST((ShardOfKey(one, "b/key").mZone.mValue == "b"));
  for (std::string const key : { "a/1", "b/2", "plain", "unknown/3" }) {
    BOOST_TEST((ShardOfKey(one, key) == ShardOfKey(two, key)));
    BOOST_TEST(
      (*one.Find(ShardOfKey(one, key)) == *two.Find(ShardOfKey(two, key))));
  }
}

// Guards against unnecessary handovers, during which shards are unavailable.
BOOST_AUTO_TEST_CASE(MovesOnlyShardsOfTheRemovedHolder)
{
  auto members = Members({ "a" }, 6);
  auto const before = BuildClaimMap({}, members);
  BOOST_TEST((BuildClaimMap(before, members) == before));
  auto const removed = members.front().mHolder.mInstance;
  members.erase(members.begin());
  auto const after = BuildClaimMap(before, members);
  for (auto const& [zone, shards] : before.mZones) {
    for (std::uint32_t index = 0; index < shards.size(); ++index) {
      auto const& next = *after.Find({ zone, index });
      auto const moved = next.mGroup.mEpoch != shards[index].mGroup.mEpoch;
      BOOST_TEST(moved == shards[index].mGroup.Contains(removed));
      BOOST_TEST(next.mGroup.mHolders.size() == kHoldersPerShard);
      BOOST_TEST(!next.mGroup.Contains(removed));
      BOOST_TEST((!moved || next.mEarlier.front() == shards[index].mGroup));
    }
  }
}

// Guards against dropping a group that may have granted keys.
BOOST_AUTO_TEST_CASE(KeepsGroupsOfAZoneWithoutMembers)
{
  auto const before = BuildClaimMap({}, Members({ "a", "b" }, 3));
  auto const after = BuildClaimMap(before, Members({ "a" }, 3));
  BOOST_TEST((after.mZones.at({ "b" }) == before.mZones.at({ "b" })));
}

// Guards against removing earlier groups on an outdated activation report.
BOOST_AUTO_TEST_CASE(KeepsEarlierGroupsOfAnotherEpoch)
{
  auto const one = BuildClaimMap({}, Members({ "a" }, 3));
  auto members = Members({ "a" }, 4);
  members.erase(members.begin());
  auto const two = BuildClaimMap(one, members);
  shard_id const shard{ { "a" }, 0 };
  BOOST_TEST((ForgetEarlierGroups(two, shard, one.mEpoch) == two));
  auto const three = ForgetEarlierGroups(two, shard, two.mEpoch);
  BOOST_TEST(three.Find(shard)->mEarlier.empty());
  BOOST_TEST((three.mEpoch > two.mEpoch));
}

// Guards against a claim map or a copied record that changes when it is encoded
// and decoded.
BOOST_AUTO_TEST_CASE(CodecRoundTripsMapsAndMessages)
{
  auto const map = BuildClaimMap({}, Members({ "a", "b" }, 4));
  auto const decoded =
    core::Attempt([&] { return DecodeClaimMap(EncodeClaimMap(map)); });
  BOOST_REQUIRE(decoded);
  BOOST_TEST((*decoded == map));
  copy_reply reply;
  reply.mRecords.push_back({ "k", { {}, {}, claim_state::kUnknown, "r" } });
  claim_message const message = reply;
  auto const back = core::Attempt(
    [&] { return DecodeClaimMessage(EncodeClaimMessage(message)); });
  BOOST_REQUIRE(back);
  BOOST_TEST((*back == message));
}

// Guards against a truncated message from a peer that crashes the daemon.
BOOST_AUTO_TEST_CASE(CodecRefusesEveryTruncation)
{
  quarantine_message const message = suspicion_notice{
    7, { { { 1 }, { { { { "d" }, { 1 } }, 2 } }, core::duration(5) } }, {}
  };
  auto const bytes = EncodeQuarantineMessage(message);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    auto const decoded = core::Attempt(
      [&] { return DecodeQuarantineMessage(bytes.substr(0, size)); });
    BOOST_TEST(!decoded);
  }
  BOOST_TEST((*core::Attempt([&] { return DecodeQuarantineMessage(bytes); }) ==
              message));
}

BOOST_AUTO_TEST_SUITE_END()
