#pragma once

#include "LibControl/Events.h"
#include "LibControl/JournalFormat.h"
#include "LibCore/Error.h"

#include <functional>
#include <string>

namespace cranberryfold::control {

/// Hooks with which tests inject errors into file operations. Each returns 0 to
/// continue, or the errno value of the error.
struct file_hooks
{
  std::function<int(std::string const& aPath, std::size_t aSize)> mBeforeWrite;
  std::function<int(std::string const& aPath)> mBeforeSync;
  /// Leaves out the syncs themselves, for tests that would otherwise depend on
  /// how busy the machine's disk is.
  bool mSkipsSync = false;
};

/// Stores the state of one replica in the files `identity`, `snapshot` and
/// `journal` of a data directory. All calls block until the data is on stable
/// storage. Not thread-safe. After an error, Append() and WriteSnapshot() fail
/// until Load(), since the content of a file is unknown after a failed sync.
class file_journal
{
public:
  explicit file_journal(std::string aDirectory, file_hooks aHooks = {});
  ~file_journal();
  file_journal(file_journal const&) = delete;
  file_journal& operator=(file_journal const&) = delete;

  /// Reads the files, truncates a torn last record and opens the journal for
  /// appending. The outcome holds either the state or the reason why the disk
  /// counts as lost. Fails with kStorage (step and path) if the files cannot be
  /// read or truncated.
  core::result<load_outcome> Load();

  /// Replaces the content of the directory, with InitialState() for a new group
  /// or with EmptyState() after a lost disk. The old files are renamed with the
  /// suffix ".lost". Fails with kStorage.
  core::result<void> Reset(recovered_state const& aState);

  /// Replaces the journal by a new file with the state that Load() returned.
  /// Needed after an error: bytes of a failed write can often be read, but are
  /// not on the disk, and a later sync does not write them. The other files are
  /// only renamed into place once they are synced. Fails with kStorage.
  core::result<void> Rewrite(recovered_state const& aState);

  /// Appends the records and syncs the journal. Fails with kStorage.
  core::result<void> Append(append_journal const& aRecords);

  /// Writes a new snapshot and starts an empty journal. Fails with kStorage.
  core::result<void> WriteSnapshot(write_snapshot const& aSnapshot);

private:
  core::result<void> ReplaceFile(std::string const& aName,
                                 std::string_view aBytes);
  core::result<void> RenameOldFiles();
  core::result<void> SyncDirectory();
  core::result<void> OpenJournal();
  core::result<void> TruncateJournal(std::size_t aSize);
  core::result<void> StoreSnapshot(stored_snapshot const& aSnapshot);
  core::result<void> WriteAll(int aDescriptor,
                              std::string const& aPath,
                              std::string_view aBytes);
  core::result<void> Sync(int aDescriptor, std::string const& aPath);
  std::string PathOf(std::string_view aName) const;
  void CloseJournal();

  std::string mDirectory;
  file_hooks mHooks;
  int mJournalDescriptor = -1;
  std::uint64_t mGeneration = 0;
};

}
