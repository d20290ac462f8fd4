#include "Support/Process.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <future>
#include <map>
#include <set>

using namespace cranberryfold;
using namespace cranberryfold::test_support;

namespace {

constexpr std::size_t kReplicaCount = 3;
constexpr std::size_t kPortsPerReplica = 5;
constexpr std::size_t kRoundCount = 4;
constexpr std::size_t kEditsPerRound = 3;
/// A conflict means that the other operator's edit was accepted, so each round
/// accepts at least as many edits as one operator submits.
constexpr std::size_t kMinimumAcknowledged = kRoundCount * kEditsPerRound;
constexpr int kAcknowledgedExitStatus = 0;
constexpr int kConflictExitStatus = 3;

/// Three control replicas as processes. Their upstreams are never started.
class control_group
{
public:
  control_group()
    : mPorts(ReservePorts(kReplicaCount * kPortsPerReplica))
  {
    for (std::size_t index = 0; index < kReplicaCount; ++index) {
      WriteFile(mFolder.File(Name(index) + ".json"), Settings(index));
      Start(index, true);
    }
  }

  void Start(std::size_t aIndex, bool aBootstrap)
  {
    std::vector<std::string> flags{ "--settings",
                                    mFolder.File(Name(aIndex) + ".json") };
    if (aBootstrap) {
      flags.emplace_back("--bootstrap_control");
    }
    mDaemons.erase(aIndex);
    mDaemons.emplace(aIndex,
                     child_process("cranberryfold_daemon",
                                   flags,
                                   mFolder.File(Name(aIndex) + ".log")));
  }

  void Kill(std::size_t aIndex)
  {
    mDaemons.at(aIndex).Signal(SIGKILL);
    mDaemons.at(aIndex).WaitForExit();
  }

  /// Applies tables with the command line client and retries under the same
  /// edit id until there is a result. Returns whether the edit was
  /// acknowledged.
  bool ApplyUntilAnswered(std::string const& aId, std::size_t aQueueLimit)
  {
    std::optional<int> status;
    WaitUntil([&] {
      status = Apply(aId, aQueueLimit);
      return status == kAcknowledgedExitStatus || status == kConflictExitStatus;
    });
    return status == kAcknowledgedExitStatus;
  }

  /// Returns the exit status of the command line client.
  std::optional<int> Apply(std::string const& aId, std::size_t aQueueLimit)
  {
    auto const file = mFolder.File(aId + ".json");
    WriteFile(file,
              R"({"routes":[],"pools":[{"name":"stock","service":"stock",)"
              R"("queue_limit":)" +
                std::to_string(aQueueLimit) + "}]}");
    child_process client(
      "cranberryfold",
      { "--admin=" + Admins(), "--edit_id=" + aId, "tables", "apply", file },
      mFolder.File(aId + ".log"));
    return client.WaitForExit();
  }

  /// Returns the replica's edit history; empty if it does not respond with 200.
  std::string History(std::size_t aIndex) const
  {
    auto const response =
      Send(Address(aIndex, 2), { { "GET", "/v1/history", {} }, "" });
    return response && response->mHead.mStatus == 200 ? response->mBody : "";
  }

private:
  static std::string Name(std::size_t aIndex)
  {
    return "replica" + std::to_string(aIndex);
  }

  core::address Address(std::size_t aIndex, std::size_t aOffset) const
  {
    return { "127.0.0.1",
             mPorts.Ports().at(aIndex * kPortsPerReplica + aOffset) };
  }

  std::string Quoted(std::size_t aIndex, std::size_t aOffset) const
  {
    return "\"" + core::FormatAddress(Address(aIndex, aOffset)) + "\"";
  }

  std::string Admins() const
  {
    std::string admins;
    for (std::size_t index = 0; index < kReplicaCount; ++index) {
      admins +=
        (index == 0 ? "" : ",") + core::FormatAddress(Address(index, 2));
    }
    return admins;
  }

  std::string Settings(std::size_t aIndex) const
  {
    std::string seeds;
    std::string group;
    for (std::size_t index = 0; index < kReplicaCount; ++index) {
      auto const* const comma = index == 0 ? "" : ",";
      seeds += comma + Quoted(index, 3);
      group += comma;
      group += R"({"instance":")" + Name(index) + R"(","peer_address":)" +
               Quoted(index, 3) + "}";
    }
    return R"({"instance":")" + Name(aIndex) + R"(","zone":"z","region":"r",)" +
           R"("caller_address":)" + Quoted(aIndex, 0) +
           R"(,"egress_address":)" + Quoted(aIndex, 1) +
           R"(,"admin_address":)" + Quoted(aIndex, 2) + R"(,"peer_address":)" +
           Quoted(aIndex, 3) + R"(,"seeds":[)" + seeds +
           R"(],"upstream":{"address":)" + Quoted(aIndex, 4) +
           R"(,"service":"stock","slots":10},"control":{"data_folder":")" +
           mFolder.File(Name(aIndex)) + R"(","initial_group":[)" + group +
           "]}}";
  }

  temporary_folder mFolder;
  stand_in::port_reservation mPorts;
  std::map<std::size_t, child_process> mDaemons;
};

std::size_t
CountOf(std::string const& aText, std::string const& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

}

BOOST_AUTO_TEST_SUITE(ControlGroup)

// Guards against an acknowledged edit that is lost with a killed replica, and
// against an edit that is accepted twice.
BOOST_AUTO_TEST_CASE(AcknowledgedEditsSurviveKilledReplicas)
{
  control_group group;
  std::set<std::string> acknowledged;
  BOOST_REQUIRE(group.ApplyUntilAnswered("first", 1));
  for (std::size_t round = 0; round < kRoundCount; ++round) {
    auto const operate = [&group, round](std::string const& aName) {
      std::set<std::string> done;
      for (std::size_t number = 0; number < kEditsPerRound; ++number) {
        auto const id =
          aName + std::to_string(round) + "-" + std::to_string(number);
        auto const limit = 10 + 100 * round + number;
        if (group.ApplyUntilAnswered(id, aName == "a" ? limit : limit + 50)) {
          done.insert(id);
        }
      }
      return done;
    };
    auto other = std::async(std::launch::async, operate, "b");
    auto const killedIndex = round % kReplicaCount;
    group.Kill(killedIndex);
    acknowledged.merge(operate("a"));
    group.Start(killedIndex, false);
    acknowledged.merge(other.get());
  }
  BOOST_TEST(acknowledged.size() >= kMinimumAcknowledged);
  BOOST_REQUIRE(group.ApplyUntilAnswered("last", 9));
  for (std::size_t index = 0; index < kReplicaCount; ++index) {
    BOOST_REQUIRE(WaitUntil([&] {
      return group.History(index).find("\"last\"") != std::string::npos;
    }));
    auto const history = group.History(index);
    for (auto const& id : acknowledged) {
      BOOST_TEST(CountOf(history, "\"" + id + "\"") == 1U, id);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
