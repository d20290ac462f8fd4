#include "LibMembership/ConfigurationDistributor.h"
#include "LibTables/TableRules.h"

#include <limits>

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::membership;
using namespace std::chrono_literals;

namespace {

core::time_point const kStart{ 100s };

tables::table_set
Tables(std::uint32_t aQueueLimit)
{
  tables::table_set result;
  result.mPools["stock"] = { .mName = "stock", .mService = { "stock" } };
  result.mPools["stock"].mQueueLimit = aQueueLimit;
  return result;
}

tables_committed
Commit(std::uint64_t aRevision)
{
  auto const limit = static_cast<std::uint32_t>(aRevision);
  return { { aRevision },
           std::make_shared<tables::table_set const>(Tables(limit)),
           true };
}

configuration_snapshot
Snapshot(std::uint64_t aRevision)
{
  auto const result = Tables(static_cast<std::uint32_t>(aRevision));
  return { { aRevision }, tables::ContentHash(result), result, {} };
}

configuration_distributor
Distributor(std::string const& aName = "self")
{
  return { { { { aName }, { aName, 7000 } } }, core::random_source(1) };
}

configuration_message_received
From(std::string const& aName, configuration_message aMessage)
{
  return { { { { aName }, { aName, 7000 } }, std::move(aMessage) } };
}

/// Returns the first sent message of a type, if there is one.
template<class Message>
std::optional<Message>
FirstSent(std::vector<distributor_action> const& aActions)
{
  for (auto const& action : aActions) {
    if (auto const* const send = std::get_if<send_message>(&action)) {
      auto const& body =
        std::get<message_with_sender<configuration_message>>(send->mMessage)
          .mBody;
      if (auto const* const typed = std::get_if<Message>(&body)) {
        return *typed;
      }
    }
  }
  return std::nullopt;
}

}

BOOST_AUTO_TEST_SUITE(Distribution)

// Guards against a second of rejected requests after a power loss of all
// instances: the peers that are asked at the start have no tables either.
BOOST_AUTO_TEST_CASE(DaemonsWithoutTablesSendDigestsMoreOften)
{
  auto distributor = Distributor();
  peer_set peers;
  for (auto const* const name : { "a", "b", "c", "d", "e" }) {
    peers.mZonePeers.push_back({ { name }, { name, 7000 } });
  }
  distributor.Handle(kStart, peers_changed{ peers });
  auto const countDigests = [&](core::time_point aFrom) {
    int digests = 0;
    for (auto now = aFrom; now < aFrom + 500ms; now += 50ms) {
      for (auto const& action : distributor.Handle(now, tick{})) {
        digests += FirstSent<configuration_digest>({ action }) ? 1 : 0;
      }
    }
    return digests;
  };
  BOOST_TEST(countDigests(kStart + 50ms) >= 12);
  distributor.Handle(kStart + 600ms, From("a", Snapshot(5)));
  BOOST_TEST(countDigests(kStart + 650ms) <= 1);
}

// Guards against an active revision that decreases when a restarted peer sends
// an older snapshot.
BOOST_AUTO_TEST_CASE(OlderSnapshotIsIgnored)
{
  auto distributor = Distributor();
  distributor.Handle(kStart, From("x", Snapshot(5)));
  auto const actions = distributor.Handle(kStart, From("x", Snapshot(4)));
  BOOST_TEST(actions.empty());
  BOOST_TEST(distributor.Revision().mValue == 5U);
}

// Guards against daemons that abort, and end their callers' connections,
// because one peer has sent the present revision with other content.
BOOST_AUTO_TEST_CASE(OtherContentOfTheRevisionIsIgnored)
{
  auto distributor = Distributor();
  distributor.Handle(kStart, From("x", Snapshot(5)));
  auto const hash = distributor.Hash();
  auto other = Snapshot(6);
  other.mRevision = { 5 };
  configuration_deltas deltas;
  deltas.mDeltas.push_back({ { 5 }, other.mHash, {} });
  for (configuration_message const& message :
       { configuration_message(other),
         configuration_message(
           configuration_digest{ { 5 }, other.mHash, true }),
         configuration_message(deltas) }) {
    auto const actions = distributor.Handle(kStart, From("y", message));
    BOOST_REQUIRE(actions.size() == 1U);
    auto const* const conflict = std::get_if<content_conflict>(&actions[0]);
    BOOST_REQUIRE(conflict != nullptr);
    BOOST_TEST(conflict->mPeer.mValue == "y");
    BOOST_TEST(distributor.Hash() == hash);
  }
  distributor.Handle(kStart, From("y", Snapshot(6)));
  BOOST_TEST(distributor.Revision().mValue == 6U);
}

// Guards against a daemon that keeps a peer's content of a revision which its
// own control replica has committed with other content.
BOOST_AUTO_TEST_CASE(CommittedContentReplacesThatOfAPeer)
{
  auto distributor = Distributor();
  auto other = Snapshot(6);
  other.mRevision = { 5 };
  distributor.Handle(kStart, From("x", other));
  distributor.Handle(kStart, Commit(5));
  BOOST_TEST(distributor.Revision().mValue == 5U);
  BOOST_TEST(distributor.Hash() == tables::ContentHash(Tables(5)));
}

// Guards against an active revision that decreases when a control replica has
// recovered from a failed journal with an older commit mark.
BOOST_AUTO_TEST_CASE(OlderCommittedTablesAreIgnored)
{
  auto distributor = Distributor();
  distributor.Handle(kStart, Commit(5));
  BOOST_TEST(distributor.Handle(kStart, Commit(4)).empty());
  BOOST_TEST(distributor.Handle(kStart, Commit(5)).empty());
  BOOST_TEST(distributor.Revision().mValue == 5U);
}

// Guards against the installation of damaged tables.
BOOST_AUTO_TEST_CASE(SnapshotWithAWrongHashIsRefused)
{
  auto distributor = Distributor();
  auto damaged = Snapshot(5);
  damaged.mTables = Tables(77);
  distributor.Handle(kStart, From("x", damaged));
  BOOST_TEST(distributor.Revision().mValue == 0U);
}

// Guards against deltas that are applied to the wrong revision; the receiver
// must request the missing ones.
BOOST_AUTO_TEST_CASE(DeltaBeyondAGapLeadsToARequest)
{
  auto leader = Distributor("leader");
  leader.Handle(kStart, Commit(1));
  leader.Handle(kStart, Commit(2));
  auto const response = FirstSent<configuration_deltas>(
    leader.Handle(kStart, From("self", configuration_request{ { 1 } })));
  BOOST_REQUIRE(response);
  auto distributor = Distributor();
  auto const request = FirstSent<configuration_request>(
    distributor.Handle(kStart, From("leader", *response)));
  BOOST_REQUIRE(request);
  BOOST_TEST(request->mRevision.mValue == 0U);
  auto const both = FirstSent<configuration_deltas>(
    leader.Handle(kStart, From("self", *request)));
  BOOST_REQUIRE(both);
  distributor.Handle(kStart, From("leader", *both));
  BOOST_TEST(distributor.Revision().mValue == 2U);
  BOOST_TEST(distributor.Hash() == leader.Hash());
}

// Guards against a history with a gap after a snapshot to the next revision;
// a peer that received such a history never caught up.
BOOST_AUTO_TEST_CASE(HistoryHasNoGapAfterASnapshot)
{
  auto distributor = Distributor();
  distributor.Handle(kStart, Commit(1));
  distributor.Handle(kStart, From("x", Snapshot(2)));
  distributor.Handle(kStart, Commit(3));
  auto const actions =
    distributor.Handle(kStart, From("peer", configuration_request{ { 0 } }));
  BOOST_TEST(!FirstSent<configuration_deltas>(actions).has_value());
  BOOST_TEST(FirstSent<configuration_snapshot>(actions).has_value());
}

// Guards against a daemon that stays behind after pushes were lost.
BOOST_AUTO_TEST_CASE(DigestOfANewerRevisionIsFollowedByARequest)
{
  auto distributor = Distributor();
  BOOST_TEST(!distributor.IsCaughtUp());
  auto const newer = Snapshot(9);
  auto const actions = distributor.Handle(
    kStart,
    From("x", configuration_digest{ newer.mRevision, newer.mHash, false }));
  BOOST_TEST(FirstSent<configuration_request>(actions).has_value());
  BOOST_TEST(!distributor.IsCaughtUp());
  distributor.Handle(kStart, From("x", newer));
  BOOST_TEST(distributor.IsCaughtUp());
}

// Guards against logs that cannot tell from whom late tables came and since
// when the daemon has known that they exist.
BOOST_AUTO_TEST_CASE(InstallationNamesItsSourceAndDelay)
{
  auto const last = [](std::vector<distributor_action> const& aActions) {
    return std::get<tables_installed>(aActions.front());
  };
  auto distributor = Distributor();
  auto const pushed = last(distributor.Handle(kStart, From("x", Snapshot(5))));
  BOOST_TEST((pushed.mSource == table_source::kPush));
  BOOST_TEST(pushed.mFrom.mValue == "x");
  BOOST_TEST(pushed.mIsSnapshot);
  BOOST_TEST((pushed.mBehindFor == core::duration{}));
  auto const newer = Snapshot(7);
  auto const outdated = distributor.Handle(
    kStart + 1s,
    From("y", configuration_digest{ newer.mRevision, newer.mHash, false }));
  auto const& line = std::get<tables_outdated>(outdated.front());
  BOOST_TEST(line.mRevision.mValue == 5U);
  BOOST_TEST(line.mNewest.mValue == 7U);
  BOOST_TEST(line.mPeer.mValue == "y");
  BOOST_TEST((distributor.BehindFor(kStart + 3s) == core::duration(2s)));
  auto const requested =
    last(distributor.Handle(kStart + 3s, From("y", newer)));
  BOOST_TEST((requested.mSource == table_source::kRequest));
  BOOST_TEST((requested.mBehindFor == core::duration(2s)));
  BOOST_TEST((distributor.BehindFor(kStart + 4s) == core::duration{}));
  auto const committed = last(distributor.Handle(kStart + 4s, Commit(8)));
  BOOST_TEST((committed.mSource == table_source::kReplica));
}

// Guards against a relay that does not forward changes to its zone.
BOOST_AUTO_TEST_CASE(RelayForwardsChangesToItsZone)
{
  auto relay = Distributor();
  contact const self{ { "self" }, { "self", 7000 } };
  contact const peer{ { "peer" }, { "peer", 7000 } };
  relay.Handle(kStart, peers_changed{ { { peer }, {}, { self } } });
  auto const actions = relay.Handle(kStart, From("x", Snapshot(1)));
  BOOST_TEST(FirstSent<configuration_snapshot>(actions).has_value());
}

// Guards against endless requests for the same deltas when they do not produce
// the announced content, as between builds with different rules.
BOOST_AUTO_TEST_CASE(DeltaThatDoesNotApplyLeadsToASnapshot)
{
  auto leader = Distributor("leader");
  leader.Handle(kStart, Commit(1));
  configuration_deltas broken{
    { { { 1 }, tables::ContentHash(Tables(1)), {} } }, {}
  };
  auto distributor = Distributor();
  auto const request = FirstSent<configuration_request>(
    distributor.Handle(kStart, From("leader", broken)));
  BOOST_REQUIRE(request);
  BOOST_TEST(request->mSnapshotRequested);
  auto const whole = FirstSent<configuration_snapshot>(
    leader.Handle(kStart, From("self", *request)));
  BOOST_REQUIRE(whole);
  distributor.Handle(kStart, From("leader", *whole));
  BOOST_TEST(distributor.Revision().mValue == 1U);
}

// Guards against one odd revision, after which a daemon requests tables forever
// or installs tables that no later ones can replace.
BOOST_AUTO_TEST_CASE(ImplausibleRevisionIsRefused)
{
  constexpr auto kHighest = std::numeric_limits<std::uint64_t>::max();
  auto distributor = Distributor();
  distributor.Handle(kStart, From("x", Snapshot(5)));
  auto odd = Snapshot(6);
  odd.mRevision = { kHighest };
  auto const actions = distributor.Handle(
    kStart, From("x", configuration_digest{ odd.mRevision, odd.mHash, false }));
  BOOST_TEST(!FirstSent<configuration_request>(actions).has_value());
  BOOST_TEST(std::get<revision_refused>(actions.front()).mPeer.mValue == "x");
  distributor.Handle(kStart, From("x", odd));
  distributor.Handle(
    kStart,
    From("x", configuration_deltas{ { { odd.mRevision, 0, {} } }, {} }));
  BOOST_TEST(distributor.Revision().mValue == 5U);
  BOOST_TEST((distributor.BehindFor(kStart + 1s) == core::duration{}));
}

// Guards against a daemon that counts as behind forever, and requests tables
// forever, because a peer that is gone has shown a revision that no other has.
BOOST_AUTO_TEST_CASE(RevisionThatNoPeerRepeatsIsForgotten)
{
  auto distributor = Distributor();
  distributor.Handle(kStart, From("x", Snapshot(5)));
  auto const digest = Snapshot(6);
  distributor.Handle(
    kStart,
    From("x", configuration_digest{ digest.mRevision, digest.mHash, false }));
  BOOST_TEST(!distributor.IsCaughtUp());
  distributor.Handle(kStart + 20s, tick{});
  BOOST_TEST(distributor.IsCaughtUp());
  BOOST_TEST((distributor.BehindFor(kStart + 20s) == core::duration{}));
}

BOOST_AUTO_TEST_SUITE_END()
