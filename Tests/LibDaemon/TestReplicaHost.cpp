#include "LibDaemon/ReplicaHost.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <future>

#include <boost/asio/executor_work_guard.hpp>

using namespace cranberryfold;
using control::edit_status;
using control::replica_role;
using daemon::replica_host;
using namespace std::chrono_literals;

namespace {

/// Only bounds a test that fails; no test asserts a duration.
constexpr core::duration kWaitLimit = 60s;

tables::edit
PoolEdit(std::string const& aId, core::revision aBase, std::uint32_t aLimit)
{
  tables::pool pool;
  pool.mName = "stock";
  pool.mService = { "stock" };
  pool.mQueueLimit = aLimit;
  return { { aId }, aBase, { tables::put_pool{ pool } } };
}

/// Control replicas with real journals in one process, without message delay.
class host_group
{
public:
  explicit host_group(std::size_t aSize)
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "replica_host_XXXXXX").string();
    mPath = ::mkdtemp(pattern.data());
    daemon::control_settings control;
    for (std::size_t index = 0; index < aSize; ++index) {
      control.mInitialGroup.push_back({ Name(index), {} });
    }
    for (std::size_t index = 0; index < aSize; ++index) {
      Start(index, control);
    }
  }
  ~host_group()
  {
    mMembers.clear();
    std::filesystem::remove_all(mPath);
  }
  host_group(host_group const&) = delete;
  host_group& operator=(host_group const&) = delete;

  static core::instance_id Name(std::size_t aIndex)
  {
    return { std::string(1, static_cast<char>('a' + aIndex)) };
  }

  replica_host& operator[](std::size_t aIndex)
  {
    return *mMembers.at(Name(aIndex)).mHost;
  }

  std::string FileName(std::size_t aIndex, std::string const& aName) const
  {
    return mPath + "/" + Name(aIndex).mValue + "/" + aName;
  }

  /// Makes all writes of a replica fail with an errno value; 0 ends that.
  void FailWrites(std::size_t aIndex, int aError)
  {
    mMembers.at(Name(aIndex)).mWriteError = aError;
  }

  /// Makes the next sync of a replica wait for the future. It fails then.
  void HangOnce(std::size_t aIndex, std::future<void> aUntil)
  {
    auto& member = mMembers.at(Name(aIndex));
    member.mHangUntil = std::move(aUntil);
    member.mHangs = true;
  }

  /// Runs the replicas for one tick.
  void Step()
  {
    mContext.run_for(control::kTickInterval);
    for (auto& [instance, member] : mMembers) {
      member.mHost->Tick();
    }
  }

  bool RunUntil(std::function<bool()> const& aCondition)
  {
    auto const end = daemon::Now() + kWaitLimit;
    while (!aCondition()) {
      if (daemon::Now() >= end) {
        return false;
      }
      Step();
    }
    return true;
  }

  /// Submits an edit to one replica. Returns its answer, or std::nullopt if
  /// there is none within kWaitLimit.
  std::optional<control::edit_answer> Submit(std::size_t aIndex,
                                             tables::edit const& aEdit)
  {
    auto const answer = std::make_shared<std::optional<control::edit_answer>>();
    (*this)[aIndex].SubmitEdit(
      aEdit,
      [answer](control::edit_answer const& aAnswer) { *answer = aAnswer; });
    RunUntil([answer] { return answer->has_value(); });
    return *answer;
  }

  /// Submits an edit to the leaders until one accepts it.
  bool SubmitUntilAccepted(std::string const& aId, std::uint32_t aLimit)
  {
    return RunUntil([&] {
      for (std::size_t index = 0; index < mMembers.size(); ++index) {
        auto const status = (*this)[index].Status();
        if (status.mRole != replica_role::kLeader) {
          continue;
        }
        auto const answer =
          Submit(index, PoolEdit(aId, status.mRevision, aLimit));
        return answer && answer->mStatus == edit_status::kAccepted;
      }
      return false;
    });
  }

  std::size_t CountInHistory(std::size_t aIndex, std::string const& aId)
  {
    std::size_t count = 0;
    for (auto const& record : (*this)[aIndex].History()) {
      count += record.mId.mValue == aId ? 1 : 0;
    }
    return count;
  }

  bool HasFailed(std::size_t aIndex)
  {
    return (*this)[aIndex].Status().mRole == replica_role::kFailed;
  }

private:
  struct member
  {
    daemon::daemon_settings mSettings;
    std::atomic<int> mWriteError{ 0 };
    std::atomic<bool> mHangs{ false };
    std::future<void> mHangUntil;
    std::unique_ptr<replica_host> mHost;
  };

  void Start(std::size_t aIndex, daemon::control_settings aControl)
  {
    auto& started = mMembers[Name(aIndex)];
    aControl.mDataFolder = mPath + "/" + Name(aIndex).mValue;
    std::filesystem::create_directory(aControl.mDataFolder);
    started.mSettings.mInstance = Name(aIndex);
    started.mSettings.mControl = std::move(aControl);
    replica_host::hooks hooks{
      [this](core::instance_id const& aTo, control::message const& aMessage) {
        daemon::asio::post(mContext, [this, aTo, aMessage] {
          mMembers.at(aTo).mHost->OnMessage(aMessage);
        });
      },
      [](control::tables_committed const&, bool) {}
    };
    control::file_hooks fileHooks{ [&started](std::string const&, std::size_t)
                                     -> int { return started.mWriteError; },
                                   [&started](std::string const&) -> int {
                                     if (!started.mHangs.exchange(false)) {
                                       return 0;
                                     }
                                     started.mHangUntil.wait();
                                     return EIO;
                                   } };
    // No replica is elected while the machine's disk takes a second for each
    // sync, which other processes can cause.
    fileHooks.mSkipsSync = true;
    started.mHost = std::make_unique<replica_host>(
      mContext, started.mSettings, std::move(hooks), std::move(fileHooks));
    auto const outcome =
      core::Attempt([&] { return started.mHost->Start(true); });
    BOOST_REQUIRE_MESSAGE(outcome, core::FormatError(outcome.mError));
  }

  std::string mPath;
  daemon::asio::io_context mContext;
  /// Without it, running an idle context takes no time.
  daemon::asio::executor_work_guard<daemon::asio::io_context::executor_type>
    mWork{ mContext.get_executor() };
  std::map<core::instance_id, member> mMembers;
};

}

BOOST_AUTO_TEST_SUITE(ReplicaHost)

// Guards against a replica that stays out after its disk was full for a moment,
// so that a group loses its majority one by one (review/2).
BOOST_AUTO_TEST_CASE(DisksThatAreFullInTurnLeaveAMajority)
{
  host_group group(3);
  BOOST_REQUIRE(group.SubmitUntilAccepted("first", 1));
  for (std::uint32_t index = 0; index < 3; ++index) {
    auto const name = std::to_string(index);
    group.FailWrites(index, ENOSPC);
    BOOST_REQUIRE(group.SubmitUntilAccepted("during" + name, 10 + index));
    BOOST_REQUIRE(group.RunUntil([&] { return group.HasFailed(index); }));
    group.FailWrites(index, 0);
    BOOST_REQUIRE(group.RunUntil([&] { return !group.HasFailed(index); }));
    BOOST_REQUIRE(group.SubmitUntilAccepted("after" + name, 20 + index));
  }
  for (std::size_t index = 0; index < 3; ++index) {
    BOOST_TEST(group.RunUntil(
      [&] { return group.CountInHistory(index, "after2") == 1; }));
    for (std::string const id : { "first", "during0", "after0", "during2" }) {
      BOOST_TEST(group.CountInHistory(index, id) == 1U, id);
    }
  }
}

// Guards against a definite answer to an edit whose write failed, and against
// requests that get no answer while the replica is out.
BOOST_AUTO_TEST_CASE(RequestsAreAnsweredWhileTheDiskFails)
{
  host_group group(1);
  BOOST_REQUIRE(group.SubmitUntilAccepted("e1", 1));
  group.FailWrites(0, ENOSPC);
  auto const edit = PoolEdit("e2", { 1 }, 2);
  auto const pending = group.Submit(0, edit);
  BOOST_REQUIRE(pending);
  BOOST_TEST((pending->mStatus == edit_status::kUnknown));
  auto const refused = group.Submit(0, edit);
  BOOST_REQUIRE(refused);
  BOOST_TEST((refused->mStatus == edit_status::kStorageFailed));
  bool isStale = false;
  group[0].Read(true, [&isStale](control::answer_read const& aAnswer) {
    isStale = aAnswer.mStale;
  });
  BOOST_TEST(isStale);
  group.FailWrites(0, 0);
  BOOST_REQUIRE(group.SubmitUntilAccepted("e2", 2));
  BOOST_TEST(group.CountInHistory(0, "e1") == 1U);
  BOOST_TEST(group.CountInHistory(0, "e2") == 1U);
}

// Guards against a recovery that ends at the first error: the disk still
// refuses writes when the replica first tries to come back.
BOOST_AUTO_TEST_CASE(RecoveryIsTriedUntilTheDiskTakesWrites)
{
  host_group group(1);
  BOOST_REQUIRE(group.SubmitUntilAccepted("e1", 1));
  group.FailWrites(0, ENOSPC);
  BOOST_REQUIRE(group.Submit(0, PoolEdit("e2", { 1 }, 2)));
  auto const later = daemon::Now() + control::kFirstRecoveryPause +
                     control::kLongestRecoveryPause;
  BOOST_REQUIRE(group.RunUntil([&] { return daemon::Now() >= later; }));
  BOOST_TEST(group.HasFailed(0));
  group.FailWrites(0, 0);
  BOOST_TEST(group.SubmitUntilAccepted("e3", 3));
}

// Guards against a control thread that waits for a hanging disk, and against a
// write that returns late and is taken for one of the next replica.
BOOST_AUTO_TEST_CASE(HangingDiskBlocksOnlyItsOwnReplica)
{
  host_group group(3);
  BOOST_REQUIRE(group.SubmitUntilAccepted("e1", 1));
  std::size_t follower = 0;
  while (group[follower].Status().mRole == replica_role::kLeader) {
    ++follower;
  }
  std::promise<void> returns;
  group.HangOnce(follower, returns.get_future());
  BOOST_TEST(group.SubmitUntilAccepted("e2", 2));
  BOOST_TEST(group.SubmitUntilAccepted("e3", 3));
  BOOST_TEST(!group.HasFailed(follower));
  returns.set_value();
  BOOST_REQUIRE(group.RunUntil([&] { return group.HasFailed(follower); }));
  BOOST_TEST(group.RunUntil([&] {
    return !group.HasFailed(follower) &&
           group.CountInHistory(follower, "e3") == 1;
  }));
}

// Guards against a replica that votes under its old incarnation although its
// journal turns out to be damaged when it recovers.
BOOST_AUTO_TEST_CASE(DamagedJournalCountsAsALostDisk)
{
  host_group group(3);
  BOOST_REQUIRE(group.SubmitUntilAccepted("e1", 1));
  auto const before = group[0].Status().mIdentity.mIncarnation;
  group.FailWrites(0, ENOSPC);
  BOOST_REQUIRE(group.SubmitUntilAccepted("e2", 2));
  BOOST_REQUIRE(group.RunUntil([&] { return group.HasFailed(0); }));
  {
    std::ofstream journal(group.FileName(0, "journal"), std::ios::trunc);
    journal << "damaged";
  }
  group.FailWrites(0, 0);
  BOOST_REQUIRE(group.RunUntil([&] { return !group.HasFailed(0); }));
  BOOST_TEST((group[0].Status().mIdentity.mIncarnation > before));
  BOOST_TEST(group.RunUntil([&] {
    return group[0].Status().mRole != replica_role::kJoining &&
           group.CountInHistory(0, "e2") == 1;
  }));
}

BOOST_AUTO_TEST_SUITE_END()
