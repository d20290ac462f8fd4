#pragma once

#include "LibControl/Events.h"
#include "LibControl/JournalFormat.h"
#include "LibCore/Error.h"

#include <functional>
#include <string>

namespace cranberryfold::control {

/// Hooks through which a test makes file operations fail. Each returns 0 to go
/// on or an errno value to fail with.
struct file_hooks
{
  std::function<int(std::string const& aPath, std::size_t aSize)> mBeforeWrite;
  std::function<int(std::string const& aPath)> mBeforeSync;
};

/// Keeps the state of one replica in a data directory: `identity`, `snapshot`
/// and `journal`. All calls block until the data is on stable storage. Not
/// thread-safe. After an error no more calls than Load() are useful, since the
/// content of a file is unknown after a failed sync.
class file_journal
{
public:
  explicit file_journal(std::string aDirectory, file_hooks aHooks = {});
  ~file_journal();
  file_journal(file_journal const&) = delete;
  file_journal& operator=(file_journal const&) = delete;

  /// Reads the files and truncates a torn last record. The outcome holds either
  /// the state or the reason why the disk counts as lost. Fails with kStorage
  /// (step and path) when the files cannot be read or truncated.
  core::result<load_outcome> Load();

  /// Replaces whatever is in the directory, such as with InitialState() for a
  /// new group or EmptyState() after a lost disk. The old files are kept with
  /// the suffix ".lost". Fails with kStorage.
  core::result<void> Reset(recovered_state const& aState);

  /// Appends and syncs. Fails with kStorage.
  core::result<void> Append(append_journal const& aRecords);

  /// Writes a new snapshot and starts an empty journal. Fails with kStorage.
  core::result<void> WriteSnapshot(write_snapshot const& aSnapshot);

private:
  core::result<void> ReplaceFile(std::string const& aName,
                                 std::string_view aBytes);
  core::result<void> KeepOldFiles();
  core::result<void> SyncDirectory();
  core::result<void> OpenJournal();
  core::result<void> TruncateJournal(std::size_t aSize);
  core::result<void> Store(stored_snapshot const& aSnapshot);
  core::result<void> WriteAll(int aFile,
                              std::string const& aPath,
                              std::string_view aBytes);
  core::result<void> Sync(int aFile, std::string const& aPath);
  std::string PathOf(std::string_view aName) const;
  void CloseJournal();

  std::string mDirectory;
  file_hooks mHooks;
  int mJournal = -1;
  std::uint64_t mGeneration = 0;
};

}
