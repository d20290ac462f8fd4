#include "Commands.h"

#include "LibControl/FileJournal.h"
#include "LibControl/Replica.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>

/// Measures how long a control replica takes to restart from real files after
/// many edits, and how large its files are. --steps is the number of edits.
namespace cranberryfold::random_run {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t kRows = 50;

/// A group of one replica whose actions go to files.
class restart_measurement
{
public:
  explicit restart_measurement(std::string aDirectory)
    : mDirectory(std::move(aDirectory))
    , mJournal(mDirectory)
  {
  }

  core::result<void> Fill(std::uint64_t aEdits)
  {
    BOOST_LEAF_CHECK(
      mJournal.Reset(control::InitialState(mInstance, { { mInstance, {} } })));
    BOOST_LEAF_CHECK(Start());
    while (mReplica->Status(mNow).mRole != control::replica_role::kLeader) {
      BOOST_LEAF_CHECK(Handle(control::tick{}));
    }
    for (std::uint64_t number = 0; number < aEdits; ++number) {
      BOOST_LEAF_CHECK(Handle(
        control::edit_submitted{ { number }, MakeEdit(number), std::nullopt }));
    }
    BOOST_LEAF_CHECK(Handle(control::tick{}));
    mReplica.reset();
    return {};
  }

  core::result<void> Start()
  {
    BOOST_LEAF_AUTO(outcome, mJournal.Load());
    if (!outcome.mState) {
      return core::Fail({ core::error_code::kStorage,
                          "load_journal",
                          mDirectory,
                          outcome.mLostReason });
    }
    BOOST_LEAF_ASSIGN(
      mReplica, control::replica::Create({}, std::move(*outcome.mState), 1));
    return Handle(control::tick{});
  }

  std::uint64_t Revision() const
  {
    return mReplica->Status(mNow).mRevision.mValue;
  }

  std::uintmax_t FileSize(char const* aName) const
  {
    return std::filesystem::file_size(mDirectory + "/" + aName);
  }

private:
  static tables::edit MakeEdit(std::uint64_t aNumber)
  {
    tables::pool pool;
    pool.mName = "pool-" + std::to_string(aNumber % kRows);
    pool.mService = { "service" };
    pool.mQueueLimit = static_cast<std::uint32_t>(aNumber % 1000);
    pool.mRetryPercent = static_cast<std::uint32_t>(aNumber / 1000 % 100);
    auto id = std::to_string(aNumber);
    id.insert(0, 36 - id.size(), '0');
    return { { id }, { aNumber }, { tables::put_pool{ pool } } };
  }

  core::result<void> Handle(control::event const& aEvent)
  {
    mNow += control::kTickInterval;
    std::uint64_t written = 0;
    for (auto const& action : mReplica->Handle(mNow, aEvent)) {
      if (auto const* records = std::get_if<control::append_journal>(&action)) {
        BOOST_LEAF_CHECK(mJournal.Append(*records));
        written = records->mSequence;
      }
      if (auto const* whole = std::get_if<control::write_snapshot>(&action)) {
        BOOST_LEAF_CHECK(mJournal.WriteSnapshot(*whole));
        written = whole->mSequence;
      }
    }
    return written == 0 ? core::result<void>{}
                        : Handle(control::journal_synced{ written });
  }

  core::instance_id const mInstance{ "a" };
  std::string mDirectory;
  control::file_journal mJournal;
  std::unique_ptr<control::replica> mReplica;
  core::time_point mNow{};
};

core::result<void>
Measure(std::string const& aDirectory, std::uint64_t aEdits)
{
  restart_measurement measurement(aDirectory);
  BOOST_LEAF_CHECK(measurement.Fill(aEdits));
  auto const before = clock::now();
  BOOST_LEAF_CHECK(measurement.Start());
  auto const taken = std::chrono::duration_cast<std::chrono::microseconds>(
    clock::now() - before);
  std::printf("edits=%llu revision=%llu restart_us=%lld snapshot_bytes=%llu "
              "journal_bytes=%llu\n",
              static_cast<unsigned long long>(aEdits),
              static_cast<unsigned long long>(measurement.Revision()),
              static_cast<long long>(taken.count()),
              static_cast<unsigned long long>(measurement.FileSize("snapshot")),
              static_cast<unsigned long long>(measurement.FileSize("journal")));
  return {};
}

int
RunRestart(run_options const& aOptions)
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "control_restart_XXXXXX")
      .string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    std::fprintf(stderr, "cannot create %s\n", pattern.c_str());
    return 2;
  }
  auto const outcome =
    core::Attempt([&] { return Measure(pattern, aOptions.mSteps); });
  std::filesystem::remove_all(pattern);
  if (!outcome) {
    std::fprintf(stderr, "%s\n", core::FormatError(outcome.mError).c_str());
    return 1;
  }
  return 0;
}

command_registration const kRegistration(
  "control_restart",
  "time and file sizes of a restart from real files after --steps edits",
  RunRestart);

}

}
