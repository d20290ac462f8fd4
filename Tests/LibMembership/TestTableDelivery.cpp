#include "LibMembership/Codec.h"
#include "LibMembership/ConfigurationDistributor.h"
#include "LibMembership/MemberTable.h"
#include "LibTables/TableRules.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::membership;
using namespace std::chrono_literals;

namespace {

core::time_point const kStart{ 100s };
constexpr core::duration kStep = 10ms;
/// The users' limit from the acknowledgement of tables to their use on every
/// connected instance.
constexpr core::duration kApplyLimit = 2500ms;
constexpr std::uint64_t kSeeds = 200;

tables::table_set
Tables(std::uint32_t aQueueLimit)
{
  tables::table_set result;
  result.mPools["stock"] = { .mName = "stock", .mService = { "stock" } };
  result.mPools["stock"].mQueueLimit = aQueueLimit;
  return result;
}

/// Distributors of a leader in another zone and of one zone, on virtual time.
/// The members that they believe in are fixed, as they are in the seconds
/// before a failure is detected.
class zone_world
{
public:
  zone_world(std::size_t aZoneSize, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    auto const leader = Contact("leader");
    peer_set view;
    view.mOwnRelays = { Contact("a0"), Contact("a1") };
    for (std::size_t index = 0; index < aZoneSize; ++index) {
      mZone.push_back("a" + std::to_string(index));
      view.mZonePeers.push_back(Contact(mZone.back()));
    }
    for (auto const& name : mZone) {
      auto own = view;
      std::erase(own.mZonePeers, Contact(name));
      own.mRemoteRelays = { leader };
      Add(name, own);
    }
    peer_set leaderView;
    leaderView.mOwnRelays = { leader };
    leaderView.mRemoteRelays = view.mOwnRelays;
    auto candidates = view.mZonePeers;
    candidates.resize(std::min(candidates.size(), kRelayCandidateCount));
    leaderView.mRemoteCandidates = { candidates };
    Add(leader.mInstance.mValue, leaderView);
  }

  /// Loses everything to and from a daemon from now on.
  void Silence(std::string const& aName) { mSilent.insert(aName); }
  /// Called for each message with its sender and receiver; a message for which
  /// it returns false is lost.
  void SetFilter(std::function<bool(std::string const&,
                                    std::string const&,
                                    send_message const&)> aFilter)
  {
    mFilter = std::move(aFilter);
  }

  /// Commits an edit at the control replica of a daemon.
  void Commit(std::string const& aName, std::uint64_t aRevision, bool aIsLeader)
  {
    auto const limit = static_cast<std::uint32_t>(aRevision);
    Handle(aName,
           tables_committed{
             { aRevision },
             std::make_shared<tables::table_set const>(Tables(limit)),
             aIsLeader });
  }

  void Run(core::duration aTime)
  {
    auto const end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      auto arrived = std::exchange(mInFlight, {});
      for (auto const& [to, event] : arrived) {
        Handle(to, event);
      }
      if (mNow.time_since_epoch() % kTickInterval == core::duration{}) {
        for (auto const& [name, distributor] : mDistributors) {
          Handle(name, tick{});
        }
      }
    }
  }

  /// Runs until all daemons of the zone that are not silent have a revision,
  /// but at most for aLimit. Returns the names of those that lack it.
  std::vector<std::string> RunUntilInstalled(std::uint64_t aRevision,
                                             core::duration aLimit)
  {
    auto const end = mNow + aLimit;
    auto late = Lacking(aRevision);
    while (!late.empty() && mNow < end) {
      Run(kStep);
      late = Lacking(aRevision);
    }
    return late;
  }

  configuration_distributor const& At(std::string const& aName) const
  {
    return mDistributors.at(aName);
  }
  core::random_source& Random() { return mRandom; }
  core::time_point Now() const { return mNow; }

private:
  static contact Contact(std::string const& aName)
  {
    return { { aName }, { aName, 7000 } };
  }

  void Add(std::string const& aName, peer_set const& aPeers)
  {
    mDistributors.emplace(
      aName,
      configuration_distributor({ Contact(aName) },
                                core::random_source(mRandom.Below(1U << 30U))));
    Handle(aName, peers_changed{ aPeers });
  }

  std::vector<std::string> Lacking(std::uint64_t aRevision) const
  {
    std::vector<std::string> lacking;
    for (auto const& name : mZone) {
      if (!mSilent.contains(name) &&
          mDistributors.at(name).Revision().mValue < aRevision) {
        lacking.push_back(name);
      }
    }
    return lacking;
  }

  void Handle(std::string const& aName, distributor_event const& aEvent)
  {
    if (mSilent.contains(aName)) {
      return;
    }
    for (auto const& action : mDistributors.at(aName).Handle(mNow, aEvent)) {
      auto const* const send = std::get_if<send_message>(&action);
      if (send == nullptr) {
        continue;
      }
      auto const& to = send->mTo.mHost;
      if (mDistributors.contains(to) &&
          (!mFilter || mFilter(aName, to, *send))) {
        mInFlight.emplace_back(
          to,
          configuration_message_received{
            std::get<message_with_sender<configuration_message>>(
              send->mMessage) });
      }
    }
  }

  core::random_source mRandom;
  core::time_point mNow = kStart;
  std::vector<std::string> mZone;
  std::map<std::string, configuration_distributor> mDistributors;
  std::set<std::string> mSilent;
  std::function<
    bool(std::string const&, std::string const&, send_message const&)>
    mFilter;
  std::vector<std::pair<std::string, distributor_event>> mInFlight;
};

/// Gives revision 1 to all daemons and lets them run until they are caught up.
void
StartWithTables(zone_world& aWorld)
{
  aWorld.Commit("leader", 1, true);
  BOOST_REQUIRE(aWorld.RunUntilInstalled(1, 20s).empty());
  aWorld.Run(std::chrono::milliseconds(1000 + aWorld.Random().Below(1000)));
}

/// Returns in how many of kSeeds worlds a daemon of the zone lacks revision 2
/// when the limit ends after aEdit.
std::size_t
CountLateWorlds(std::size_t aZoneSize,
                std::function<void(zone_world&)> const& aEdit)
{
  std::size_t late = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    zone_world world(aZoneSize, seed);
    StartWithTables(world);
    aEdit(world);
    late += world.RunUntilInstalled(2, kApplyLimit).empty() ? 0 : 1;
  }
  return late;
}

}

BOOST_AUTO_TEST_SUITE(TableDelivery)

// Guards against tables that arrive late in a zone whose relays have just
// failed, although the control replica of the zone has committed them: only
// random comparisons carried them on.
BOOST_AUTO_TEST_CASE(ReplicaSuppliesItsZoneWithoutRelays)
{
  for (std::size_t const size : { 5, 10, 40 }) {
    auto const late = CountLateWorlds(size, [](zone_world& aWorld) {
      aWorld.Silence("a0");
      aWorld.Silence("a1");
      aWorld.Commit("leader", 2, true);
      aWorld.Run(100ms);
      aWorld.Commit("a2", 2, false);
    });
    BOOST_TEST(late == 0U, late << " of " << kSeeds << " zones of " << size);
  }
}

// Guards against a relay that does not forward a push because its own control
// replica has committed the tables before; the other relay has just failed.
BOOST_AUTO_TEST_CASE(RelayThatCommittedFirstSuppliesItsZone)
{
  for (std::size_t const size : { 5, 10, 40 }) {
    auto const late = CountLateWorlds(size, [](zone_world& aWorld) {
      aWorld.Silence("a1");
      aWorld.Commit("a0", 2, false);
      aWorld.Commit("leader", 2, true);
    });
    BOOST_TEST(late == 0U, late << " of " << kSeeds << " zones of " << size);
  }
}

// Guards against a zone without a control replica that depends on random
// comparisons between zones when both relays that the leader knows have just
// failed.
BOOST_AUTO_TEST_CASE(LeaderSuppliesZoneWithoutRelaysAndReplica)
{
  for (std::size_t const size : { 5, 10, 40 }) {
    auto const late = CountLateWorlds(size, [](zone_world& aWorld) {
      aWorld.Silence("a0");
      aWorld.Silence("a1");
      aWorld.Commit("leader", 2, true);
    });
    BOOST_TEST(late == 0U, late << " of " << kSeeds << " zones of " << size);
  }
}

// Guards against tables that arrive late because single datagrams are lost:
// the push was sent once, and a lost request blocked further ones for a second.
BOOST_AUTO_TEST_CASE(LostDatagramsDoNotDelayTables)
{
  constexpr double kLoss = 0.2;
  auto const late = CountLateWorlds(10, [](zone_world& aWorld) {
    aWorld.SetFilter(
      [&aWorld](std::string const&, std::string const&, send_message const&) {
        return !aWorld.Random().Chance(kLoss);
      });
    aWorld.Commit("leader", 2, true);
    aWorld.Run(100ms);
    aWorld.Commit("a2", 2, false);
  });
  BOOST_TEST(late == 0U, late << " of " << kSeeds << " zones");
}

// Guards against a daemon that waits for peers whose connections to it have
// become silent, while others hold the tables as well.
BOOST_AUTO_TEST_CASE(UnansweredRequestIsRepeatedToAnotherPeer)
{
  auto const late = CountLateWorlds(10, [](zone_world& aWorld) {
    // No tables reach a9 from the relays, the replica and a8, which the tree
    // would use.
    std::set<std::string> const silent{ "a0", "a1", "a2", "a8" };
    aWorld.SetFilter([silent](std::string const& aFrom,
                              std::string const& aTo,
                              send_message const& aSent) {
      auto const& body =
        std::get<message_with_sender<configuration_message>>(aSent.mMessage)
          .mBody;
      bool const hasTables =
        std::holds_alternative<configuration_deltas>(body) ||
        std::holds_alternative<configuration_snapshot>(body);
      return !hasTables || aTo != "a9" || !silent.contains(aFrom);
    });
    aWorld.Commit("leader", 2, true);
    aWorld.Run(100ms);
    aWorld.Commit("a2", 2, false);
  });
  BOOST_TEST(late == 0U, late << " of " << kSeeds << " zones");
}

BOOST_AUTO_TEST_SUITE_END()
