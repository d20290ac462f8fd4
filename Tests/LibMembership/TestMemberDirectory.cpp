#include "LibMembership/MemberDirectory.h"

#include <deque>
#include <limits>
#include <map>
#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using namespace cranberryfold::membership;
using namespace std::chrono_literals;

namespace {

core::time_point const kStart{ 100s };

announcement
Announce(std::string const& aName, std::uint64_t aIncarnation)
{
  announcement result;
  result.mInstance = { aName };
  result.mIncarnation = { aIncarnation };
  result.mZone = { "zone-a" };
  result.mPeerAddress = { aName, 7000 };
  result.mLifecycle = lifecycle_state::kServing;
  return result;
}

directory_settings
Settings(std::string const& aName)
{
  return { Announce(aName, 1), {}, {} };
}

member_message_received
From(std::string const& aName, member_message aMessage)
{
  return { { { { aName }, { aName, 7000 } }, std::move(aMessage) } };
}

update_batch
Batch(announcement const& aAnnouncement, member_state aState)
{
  return { { { aAnnouncement, aState } }, {}, {} };
}

/// Returns all sent messages of a type with the hosts of their receivers.
template<class Message>
std::vector<std::pair<std::string, Message>>
Sent(std::vector<directory_action> const& aActions)
{
  std::vector<std::pair<std::string, Message>> found;
  for (auto const& action : aActions) {
    auto const* const send = std::get_if<send_message>(&action);
    if (send == nullptr) {
      continue;
    }
    auto const& body =
      std::get<message_with_sender<member_message>>(send->mMessage).mBody;
    if (auto const* const typed = std::get_if<Message>(&body)) {
      found.emplace_back(send->mTo.mHost, *typed);
    }
  }
  return found;
}

member_state
StateOf(member_directory const& aDirectory, std::string const& aName)
{
  for (auto const& entry : aDirectory.Members()) {
    if (entry.mAnnouncement.mInstance.mValue == aName) {
      return entry.mState;
    }
  }
  BOOST_FAIL("member is missing: " + aName);
  return member_state::kDead;
}

/// Sends ticks from aFrom to aEnd and returns all actions. With
/// aReceivesMessages, a zone peer named "other" sends a message before each
/// tick.
std::vector<directory_action>
TickUntil(member_directory& aDirectory,
          core::time_point aFrom,
          core::time_point aEnd,
          bool aReceivesMessages)
{
  std::vector<directory_action> all;
  for (auto now = aFrom; now <= aEnd; now += kTickInterval) {
    if (aReceivesMessages) {
      aDirectory.Handle(now, From("other", ping_ack{ 0, {} }));
    }
    auto const actions = aDirectory.Handle(now, tick{});
    all.insert(all.end(), actions.begin(), actions.end());
  }
  return all;
}

/// Directories that join through "seed" and exchange their messages at once.
class directory_group
{
public:
  /// Starts a directory in place of one with the same id.
  void Start(announcement const& aOwn)
  {
    auto const& name = aOwn.mInstance.mValue;
    directory_settings const settings{ aOwn, { { "seed", 7000 } }, {} };
    mDirectories.erase(name);
    mDirectories.try_emplace(
      name, settings, core::random_source(mDirectories.size()));
  }

  void RunUntil(core::time_point aEnd)
  {
    for (; mNow <= aEnd; mNow += kTickInterval) {
      for (auto& [name, directory] : mDirectories) {
        Deliver(directory.Handle(mNow, tick{}));
      }
    }
  }

  /// Returns the services of a member in all views.
  std::set<std::string> ServicesOf(std::string const& aInstance) const
  {
    std::set<std::string> services;
    for (auto const& [name, directory] : mDirectories) {
      for (auto const& entry : directory.Members()) {
        if (entry.mAnnouncement.mInstance.mValue == aInstance) {
          services.insert(entry.mAnnouncement.mService.mValue);
        }
      }
    }
    return services;
  }

private:
  void Deliver(std::vector<directory_action> aActions)
  {
    std::deque<directory_action> pending(aActions.begin(), aActions.end());
    for (; !pending.empty(); pending.pop_front()) {
      auto const* const send = std::get_if<send_message>(&pending.front());
      if (send == nullptr || !mDirectories.contains(send->mTo.mHost)) {
        continue;
      }
      auto const replies =
        mDirectories.at(send->mTo.mHost)
          .Handle(
            mNow,
            member_message_received{
              std::get<message_with_sender<member_message>>(send->mMessage) });
      pending.insert(pending.end(), replies.begin(), replies.end());
    }
  }

  core::time_point mNow = kStart;
  std::map<std::string, member_directory> mDirectories;
};

}

BOOST_AUTO_TEST_SUITE(Directory)

// Guards against a member that stays dead in all views after a false suspicion.
BOOST_AUTO_TEST_CASE(SuspicionAgainstItselfIsRefutedWithAHigherIncarnation)
{
  member_directory directory(Settings("self"), core::random_source(1));
  directory.Handle(
    kStart, From("peer", Batch(Announce("self", 5), member_state::kSuspect)));
  BOOST_TEST(directory.OwnAnnouncement().mIncarnation.mValue == 6U);
  directory.Handle(
    kStart, From("peer", Batch(Announce("self", 3), member_state::kDead)));
  BOOST_TEST(directory.OwnAnnouncement().mIncarnation.mValue == 6U);
}

// Guards against outdated updates that override newer ones.
BOOST_AUTO_TEST_CASE(OnlyAHigherIncarnationRevivesADeadMember)
{
  member_directory directory(Settings("self"), core::random_source(1));
  auto const receive = [&](std::uint64_t aIncarnation, member_state aState) {
    directory.Handle(kStart,
                     From("x", Batch(Announce("peer", aIncarnation), aState)));
    return StateOf(directory, "peer");
  };
  BOOST_TEST((receive(4, member_state::kDead) == member_state::kDead));
  BOOST_TEST((receive(4, member_state::kAlive) == member_state::kDead));
  BOOST_TEST((receive(3, member_state::kAlive) == member_state::kDead));
  BOOST_TEST((receive(5, member_state::kAlive) == member_state::kAlive));
}

// Guards against a dead member that is never detected, and against a member
// that is declared dead without time to refute.
BOOST_AUTO_TEST_CASE(SilentMemberIsSuspectedFirstAndDeadLater)
{
  member_directory directory(Settings("self"), core::random_source(1));
  directory.Handle(
    kStart, From("other", Batch(Announce("other", 1), member_state::kAlive)));
  directory.Handle(
    kStart, From("other", Batch(Announce("peer", 1), member_state::kAlive)));
  bool wasSuspect = false;
  for (auto now = kStart; now < kStart + 3s; now += kTickInterval) {
    TickUntil(directory, now, now, true);
    wasSuspect |= StateOf(directory, "peer") == member_state::kSuspect;
    BOOST_TEST((StateOf(directory, "peer") != member_state::kDead));
  }
  BOOST_TEST(wasSuspect);
  TickUntil(directory, kStart + 3s, kStart + 9s, true);
  BOOST_TEST((StateOf(directory, "peer") == member_state::kDead));
}

// Guards against an isolated daemon that declares all other members dead.
BOOST_AUTO_TEST_CASE(IsolatedDaemonDeclaresNoMemberDead)
{
  member_directory directory(Settings("self"), core::random_source(1));
  directory.Handle(
    kStart, From("peer", Batch(Announce("peer", 1), member_state::kAlive)));
  TickUntil(directory, kStart, kStart + 60s, false);
  BOOST_TEST((StateOf(directory, "peer") != member_state::kDead));
}

// Guards against a process that resumes after a pause and declares suspected
// members dead at once.
BOOST_AUTO_TEST_CASE(PauseOfTheOwnProcessRestartsSuspicionTimers)
{
  member_directory directory(Settings("self"), core::random_source(1));
  directory.Handle(kStart, tick{});
  directory.Handle(
    kStart, From("other", Batch(Announce("peer", 1), member_state::kSuspect)));
  auto const later = kStart + 10s;
  directory.Handle(later, From("other", ping_ack{ 0, {} }));
  directory.Handle(later, tick{});
  BOOST_TEST((StateOf(directory, "peer") == member_state::kSuspect));
}

// Guards against a member that is suspected because of a single broken link.
BOOST_AUTO_TEST_CASE(UnansweredPingIsRetriedIndirectly)
{
  member_directory directory(Settings("self"), core::random_source(1));
  for (auto const* name : { "p1", "p2", "p3", "p4" }) {
    directory.Handle(
      kStart, From(name, Batch(Announce(name, 1), member_state::kAlive)));
  }
  auto const actions = TickUntil(directory, kStart, kStart + 2s, true);
  auto const requests = Sent<ping_request>(actions);
  BOOST_REQUIRE(!requests.empty());
  BOOST_TEST(requests.front().first !=
             requests.front().second.mTarget.mAddress.mHost);
}

// Guards against requests to a draining upstream: recent senders are notified
// at once, and repeatedly because datagrams may be lost.
BOOST_AUTO_TEST_CASE(DrainIsPushedToRecentSenders)
{
  member_directory directory(Settings("self"), core::random_source(1));
  directory.Handle(kStart, requests_received{ { { "old", 7000 } } });
  auto const drained = kStart + 90s;
  directory.Handle(drained - 10s, requests_received{ { { "sender", 7000 } } });
  auto actions =
    directory.Handle(drained, own_state_changed{ lifecycle_state::kDraining });
  auto const later = TickUntil(directory, drained + 100ms, drained + 2s, false);
  actions.insert(actions.end(), later.begin(), later.end());
  int pushes = 0;
  for (auto const& [host, batch] : Sent<update_batch>(actions)) {
    BOOST_TEST(host != "old");
    pushes += host == "sender" ? 1 : 0;
  }
  BOOST_TEST(pushes == 3);
}

// Guards against a removed member that reappears with its old incarnation
// through a peer that was partitioned during the removal.
BOOST_AUTO_TEST_CASE(RemovedMemberReappearsOnlyWithANewIncarnation)
{
  member_directory directory(Settings("self"), core::random_source(1));
  directory.Handle(kStart, tick{});
  auto const dead = Batch(Announce("peer", 4), member_state::kDead);
  directory.Handle(kStart, From("x", dead));
  auto const later = kStart + 11min;
  directory.Handle(later, tick{});
  BOOST_TEST(directory.Members().size() == 1U);
  directory.Handle(later, From("x", dead));
  BOOST_TEST(directory.Members().size() == 1U);
  // The member itself is notified, so that it announces a higher incarnation.
  auto const actions = directory.Handle(
    later, From("peer", digest{ 1, true, Announce("peer", 4), {}, {} }));
  auto const refused = Sent<entry_exchange>(actions);
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST(refused.front().second.mRemovals.size() == 1U);
  directory.Handle(later,
                   From("x", Batch(Announce("peer", 5), member_state::kAlive)));
  BOOST_TEST(directory.Members().size() == 2U);
}

// Guards against a live member that does not refute its own removal.
BOOST_AUTO_TEST_CASE(RemovalOfTheOwnDaemonIsRefuted)
{
  member_directory directory(Settings("self"), core::random_source(1));
  directory.Handle(
    kStart, From("x", entry_exchange{ {}, {}, { { { "self" }, { 7 } } } }));
  BOOST_TEST(directory.OwnAnnouncement().mIncarnation.mValue == 8U);
}

// Guards against an unreachable zone whose members are declared dead one by
// one.
BOOST_AUTO_TEST_CASE(SilentZoneBecomesUnreachableAsAWhole)
{
  member_directory directory(Settings("self"), core::random_source(1));
  auto far = Announce("far", 1);
  far.mZone = { "zone-b" };
  directory.Handle(kStart, From("far", Batch(far, member_state::kAlive)));
  TickUntil(directory, kStart, kStart + 6s, false);
  BOOST_TEST((StateOf(directory, "far") == member_state::kUnreachable));
  // A response to a digest makes the zone reachable again.
  auto const actions =
    TickUntil(directory, kStart + 6100ms, kStart + 8s, false);
  auto const digests = Sent<digest>(actions);
  BOOST_REQUIRE(!digests.empty());
  directory.Handle(
    kStart + 8s,
    From("far", digest_response{ digests.back().second.mSequence, {}, {} }));
  TickUntil(directory, kStart + 8100ms, kStart + 8200ms, false);
  BOOST_TEST((StateOf(directory, "far") == member_state::kAlive));
}

// Guards against a response to a ping for an instance that had the address
// before.
BOOST_AUTO_TEST_CASE(PingForAnotherInstanceIsNotAnswered)
{
  member_directory directory(Settings("self"), core::random_source(1));
  auto const actions =
    directory.Handle(kStart, From("x", ping{ 1, { "former" }, {} }));
  BOOST_TEST(Sent<ping_ack>(actions).empty());
}

// Guards against a member that keeps the service of the process that had its
// address before: the clock of the new instance may be behind.
BOOST_DATA_TEST_CASE(NewProcessAtTheAddressReplacesTheFormerOne,
                     boost::unit_test::data::make({ 500U, 1000U, 1500U }),
                     newIncarnation)
{
  constexpr std::uint64_t kFormerIncarnation = 1000;
  directory_group group;
  for (std::string const name : { "seed", "one", "two" }) {
    group.Start(Announce(name, 1));
  }
  auto reused = Announce("reused", kFormerIncarnation);
  reused.mService = { "former" };
  group.Start(reused);
  group.RunUntil(kStart + 20s);
  BOOST_REQUIRE(
    (group.ServicesOf("reused") == std::set<std::string>{ "former" }));
  reused.mIncarnation = { newIncarnation };
  reused.mService = { "present" };
  group.Start(reused);
  group.RunUntil(kStart + 25s);
  BOOST_TEST(
    (group.ServicesOf("reused") == std::set<std::string>{ "present" }));
}

// Guards against one odd number in a member list: the refutation of the highest
// incarnation wrapped to zero, which nobody accepts, and no announcement could
// replace it for another instance.
BOOST_AUTO_TEST_CASE(ImplausibleIncarnationIsRefused)
{
  constexpr auto kHighest = std::numeric_limits<std::uint64_t>::max();
  member_directory directory(Settings("self"), core::random_source(1));
  auto const actions = directory.Handle(
    kStart, From("x", Batch(Announce("self", kHighest), member_state::kDead)));
  BOOST_TEST(directory.OwnAnnouncement().mIncarnation.mValue == 1U);
  BOOST_TEST((std::get<update_refused>(actions.front()) ==
              update_refused{ { "self" }, { kHighest } }));
  directory.Handle(
    kStart, From("x", Batch(Announce("y", kHighest), member_state::kDead)));
  directory.Handle(
    kStart,
    From("x", entry_exchange{ {}, {}, { { { "self" }, { kHighest } } } }));
  BOOST_TEST(directory.OwnAnnouncement().mIncarnation.mValue == 1U);
  directory.Handle(kStart,
                   From("x", Batch(Announce("y", 5), member_state::kAlive)));
  auto const members = directory.Members();
  BOOST_REQUIRE(members.size() == 2U);
  BOOST_TEST((members.back().mState == member_state::kAlive));
}

BOOST_AUTO_TEST_SUITE_END()
