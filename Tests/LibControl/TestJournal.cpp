#include "TestGroup.h"

#include "LibControl/Codec.h"
#include "LibControl/FileJournal.h"
#include "LibWire/Frame.h"

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <filesystem>
#include <fstream>

using namespace cranberryfold;
using namespace cranberryfold::control;
using namespace cranberryfold::control::test;

namespace {

core::instance_id const kA{ "a" };

log_entry
Entry(log_index aIndex)
{
  return { aIndex,
           3,
           std::chrono::seconds(1),
           edit_entry{ PoolEdit("e" + std::to_string(aIndex), aIndex - 2) } };
}

/// A data directory that is removed at the end of the test.
struct journal_fixture
{
  journal_fixture()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "control_XXXXXX").string();
    mPath = ::mkdtemp(pattern.data());
  }
  ~journal_fixture() { std::filesystem::remove_all(mPath); }

  std::string FileName(std::string const& aName) const
  {
    return mPath + "/" + aName;
  }

  std::string Read(std::string const& aName) const
  {
    std::ifstream file(FileName(aName), std::ios::binary);
    return { std::istreambuf_iterator<char>(file), {} };
  }

  void Write(std::string const& aName, std::string const& aBytes) const
  {
    std::ofstream file(FileName(aName), std::ios::binary | std::ios::trunc);
    file << aBytes;
  }

  load_outcome Load() const
  {
    file_journal journal(mPath);
    auto outcome = core::Attempt([&] { return journal.Load(); });
    BOOST_REQUIRE_MESSAGE(outcome, core::FormatError(outcome.mError));
    return *outcome;
  }

  /// Writes a journal with a vote and entries 2 to 4, each synced.
  void WriteSampleJournal() const
  {
    file_journal journal(mPath);
    Require([&] { return journal.Reset(InitialState(kA, { { kA, {} } })); });
    Require([&] {
      return journal.Append({ 1, { hard_state{ 3, kA }, Entry(2) } });
    });
    Require([&] { return journal.Append({ 2, { Entry(3) } }); });
    Require([&] {
      return journal.Append({ 3, { Entry(4), commit_mark{ 4 } } });
    });
  }

  template<class Function>
  static void Require(Function const& aFunction)
  {
    auto const outcome = core::Attempt(aFunction);
    BOOST_REQUIRE_MESSAGE(outcome, core::FormatError(outcome.mError));
  }

  std::string mPath;
};

}

BOOST_FIXTURE_TEST_SUITE(Journal, journal_fixture)

BOOST_AUTO_TEST_CASE(SyncedRecordsAreReadBack)
{
  WriteSampleJournal();
  auto const outcome = Load();
  BOOST_REQUIRE(outcome.mState);
  BOOST_TEST((outcome.mState->mIdentity ==
              replica_identity{ kA, core::incarnation{ 1 } }));
  BOOST_TEST((outcome.mState->mHardState == hard_state{ 3, kA }));
  BOOST_REQUIRE(outcome.mState->mEntries.size() == 3);
  BOOST_TEST((outcome.mState->mEntries.back() == Entry(4)));
  BOOST_TEST(outcome.mState->mCommitted == 4);
}

// Guards against a restart that fails because the last write was incomplete.
BOOST_AUTO_TEST_CASE(TornLastRecordIsTruncated)
{
  WriteSampleJournal();
  auto const whole = Read("journal");
  auto const torn = FrameRecord(Entry(5));
  for (std::size_t size = 1; size < torn.size(); ++size) {
    Write("journal", whole + torn.substr(0, size));
    auto const outcome = Load();
    BOOST_REQUIRE_MESSAGE(outcome.mState, outcome.mLostReason);
    BOOST_TEST(outcome.mState->mEntries.size() == 3);
    BOOST_TEST((Read("journal") == whole));
  }
  Write("journal", whole + std::string(700, '\0'));
  BOOST_TEST(static_cast<bool>(Load().mState));
}

// Guards against damage that silently drops synced records. Changes each byte
// of each file, including the last record.
BOOST_AUTO_TEST_CASE(DamagedByteMeansALostDisk)
{
  WriteSampleJournal();
  for (std::string const name : { "journal", "snapshot", "identity" }) {
    auto const whole = Read(name);
    for (std::size_t position = 0; position < whole.size(); ++position) {
      auto damaged = whole;
      damaged[position] = static_cast<char>(damaged[position] ^ 0x10);
      Write(name, damaged);
      auto const outcome = Load();
      BOOST_TEST(!outcome.mState, name << " byte " << position);
    }
    Write(name, whole);
  }
  BOOST_TEST(static_cast<bool>(Load().mState));
}

BOOST_AUTO_TEST_CASE(MissingFilesMeanALostDisk)
{
  BOOST_TEST(Load().mLostReason == "the data directory is empty");
  for (std::string const name : { "identity", "snapshot", "journal" }) {
    WriteSampleJournal();
    std::filesystem::remove(FileName(name));
    BOOST_TEST(!Load().mState, name);
  }
}

BOOST_AUTO_TEST_CASE(MissingDirectoryIsAnErrorWithStepAndPath)
{
  file_journal journal(mPath + "/none");
  auto const outcome = core::Attempt([&] { return journal.Load(); });
  BOOST_REQUIRE(!outcome);
  BOOST_TEST((outcome.mError.mCode == core::error_code::kStorage));
  BOOST_TEST(outcome.mError.mStep == "open_directory");
  BOOST_TEST(outcome.mError.mPeer == mPath + "/none");
}

// Guards against appending after a failed write or sync, which may have left an
// incomplete record.
BOOST_AUTO_TEST_CASE(FailedWriteOrSyncIsReportedAndFinal)
{
  WriteSampleJournal();
  int writeError = 0;
  int syncError = 0;
  file_hooks const hooks{ [&](std::string const&, std::size_t) {
                           return writeError;
                         },
                          [&](std::string const&) { return syncError; } };
  for (bool const failsToWrite : { true, false }) {
    file_journal journal(mPath, hooks);
    writeError = 0;
    syncError = 0;
    Require([&] { return journal.Load(); });
    (failsToWrite ? writeError : syncError) = failsToWrite ? ENOSPC : EIO;
    auto const failed = core::Attempt([&] {
      return journal.Append({ 4, { Entry(5) } });
    });
    BOOST_REQUIRE(!failed);
    BOOST_TEST((failed.mError.mCode == core::error_code::kStorage));
    BOOST_TEST(failed.mError.mStep ==
               (failsToWrite ? "write_file" : "sync_file"));
    BOOST_TEST(failed.mError.mPeer == FileName("journal"));
    writeError = 0;
    syncError = 0;
    BOOST_TEST(!core::Attempt([&] {
      return journal.Append({ 5, { Entry(5) } });
    }));
    BOOST_TEST(static_cast<bool>(Load().mState));
  }
}

// Guards against a snapshot of a replica that has failed, which was queued
// behind the failed append.
BOOST_AUTO_TEST_CASE(SnapshotAfterAFailedAppendIsRefused)
{
  WriteSampleJournal();
  int writeError = 0;
  file_journal journal(
    mPath, { [&](std::string const&, std::size_t) { return writeError; }, {} });
  Require([&] { return journal.Load(); });
  auto const state = *Load().mState;
  auto const before = Read("snapshot");
  writeError = ENOSPC;
  BOOST_TEST(!core::Attempt([&] {
    return journal.Append({ 4, { Entry(5) } });
  }));
  writeError = 0;
  BOOST_TEST(!core::Attempt([&] {
    return journal.WriteSnapshot(
      { 5, state.mHardState, state.mSnapshot, state.mEntries });
  }));
  BOOST_TEST((Read("snapshot") == before));
}

// Guards against a recovery that keeps a file whose bytes may not be on the
// disk after a failed sync, and against one that loses the vote, the entries or
// the commit mark, also if it fails itself.
BOOST_AUTO_TEST_CASE(RewriteReplacesTheJournalAndKeepsTheState)
{
  WriteSampleJournal();
  int syncError = 0;
  file_journal journal(mPath,
                       { {}, [&](std::string const&) { return syncError; } });
  Require([&] { return journal.Load(); });
  syncError = EIO;
  BOOST_TEST(!core::Attempt([&] {
    return journal.Append({ 4, { Entry(5), commit_mark{ 5 } } });
  }));
  std::filesystem::create_hard_link(FileName("journal"), FileName("unsafe"));
  auto const state = *Load().mState;
  BOOST_TEST(state.mCommitted == 5);
  BOOST_TEST(!core::Attempt([&] { return journal.Rewrite(state); }));
  BOOST_TEST((*Load().mState == state));
  syncError = 0;
  Require([&] { return journal.Load(); });
  Require([&] { return journal.Rewrite(state); });
  BOOST_TEST((*Load().mState == state));
  BOOST_TEST(
    !std::filesystem::equivalent(FileName("journal"), FileName("unsafe")));
  Require([&] { return journal.Append({ 5, { Entry(6) } }); });
  BOOST_TEST(Load().mState->mEntries.size() == state.mEntries.size() + 1);
}

// Guards against a crash after writing a snapshot and before replacing the
// journal.
BOOST_AUTO_TEST_CASE(JournalOlderThanTheSnapshotIsIgnored)
{
  WriteSampleJournal();
  auto const old = Read("journal");
  auto state = *Load().mState;
  state.mSnapshot.mIndex = 4;
  state.mSnapshot.mRevision = core::revision{ 3 };
  {
    file_journal journal(mPath);
    Require([&] { return journal.Load(); });
    Require([&] {
      return journal.WriteSnapshot(
        { 4, state.mHardState, state.mSnapshot, { Entry(5) } });
    });
  }
  Write("journal", old);
  auto const outcome = Load();
  BOOST_REQUIRE_MESSAGE(outcome.mState, outcome.mLostReason);
  BOOST_TEST((outcome.mState->mSnapshot == state.mSnapshot));
  BOOST_TEST(outcome.mState->mEntries.size() == 1);
  BOOST_TEST((Read("journal") == FrameJournalHeader(1)));
}

BOOST_AUTO_TEST_CASE(ResetKeepsTheOldFiles)
{
  WriteSampleJournal();
  auto const old = Read("journal");
  file_journal journal(mPath);
  Require(
    [&] { return journal.Reset(EmptyState(kA, core::incarnation{ 9 })); });
  BOOST_TEST(Load().mState->mIdentity.mIncarnation.mValue == 9);
  BOOST_TEST((Read("journal.lost") == old));
}

// Guards against a journal that grows with every edit, which slows down
// restarts.
BOOST_AUTO_TEST_CASE(JournalStaysBoundedOverManyEdits)
{
  replica_options options;
  options.mCompactionRecords = 50;
  test_group group(1, options);
  group.Advance(kElectionTime);
  std::size_t longest = 0;
  for (std::uint32_t number = 0; number < 500; ++number) {
    group.SubmitAndWait(kA,
                        PoolEdit("e" + std::to_string(number), number, number));
    longest = std::max(longest, group[kA].mDisk.mEntries.size());
  }
  BOOST_TEST(group.Status(kA).mRevision.mValue == 500);
  BOOST_TEST(longest <= 50);
}

// Guards against a snapshot that does not fit in one control frame.
BOOST_AUTO_TEST_CASE(LargestSnapshotFitsInAFrame)
{
  snapshot largest;
  for (std::uint64_t number = 1; number <= 20000; ++number) {
    auto id = std::to_string(number);
    id.resize(kMaximumEditIdBytes, 'x');
    largest.mHistory.push_back({ { number }, { id }, {}, 1 });
  }
  message const transfer{ kA, { 1 }, 1, snapshot_transfer{ 0, largest } };
  BOOST_TEST(EncodeMessage(transfer).size() + kMaximumTableBytes <
             wire::kMaximumControlFrameBytes);
}

BOOST_AUTO_TEST_CASE(MessagesAreDecodedAsEncoded)
{
  append_request const append{ 1, 2, 3, 4, { Entry(2), Entry(3) } };
  snapshot const content = InitialState(kA, { { kA, {} } }).mSnapshot;
  std::vector<message_body> const bodies = { pre_vote_request{ 1, 2 },
                                             pre_vote_response{ 3, true },
                                             vote_request{ 4, 5 },
                                             vote_response{ true },
                                             append,
                                             append_response{ true, 6, 7 },
                                             join_request{},
                                             snapshot_transfer{ 8, content } };
  core::random_source random(5);
  for (auto const& body : bodies) {
    message const sent{ kA, { 2 }, 7, body };
    auto bytes = EncodeMessage(sent);
    auto const received = core::Attempt([&] { return DecodeMessage(bytes); });
    BOOST_REQUIRE(received);
    BOOST_TEST((*received == sent));
    for (int round = 0; round < 500; ++round) {
      auto damaged = bytes;
      damaged[random.Below(damaged.size())] =
        static_cast<char>(random.Below(256));
      damaged.resize(damaged.size() - random.Below(2));
      auto const decoded =
        core::Attempt([&] { return DecodeMessage(damaged); });
      BOOST_TEST(
        (decoded || decoded.mError.mCode == core::error_code::kMalformed));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
