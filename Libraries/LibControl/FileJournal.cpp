#include "LibControl/FileJournal.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace cranberryfold::control {

namespace {

constexpr std::array<std::string_view, 3> kFileNames = { "identity",
                                                         "snapshot",
                                                         "journal" };
constexpr mode_t kFileMode = 0644;

boost::leaf::error_id
StorageError(std::string aStep, std::string aPath, int aErrno)
{
  return core::Fail({ core::error_code::kStorage,
                      std::move(aStep),
                      std::move(aPath),
                      std::strerror(aErrno) });
}

/// Owns a file descriptor and closes it.
class file_descriptor
{
public:
  explicit file_descriptor(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  ~file_descriptor()
  {
    if (mDescriptor >= 0) {
      ::close(mDescriptor);
    }
  }
  file_descriptor(file_descriptor const&) = delete;
  file_descriptor& operator=(file_descriptor const&) = delete;

  int Value() const { return mDescriptor; }

private:
  int mDescriptor;
};

/// Returns the content of a file, or std::nullopt if it does not exist.
core::result<std::optional<std::string>>
ReadFile(std::string const& aPath)
{
  file_descriptor const file(::open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.Value() < 0 && errno == ENOENT) {
    return std::optional<std::string>{};
  }
  if (file.Value() < 0) {
    return StorageError("open_file", aPath, errno);
  }
  std::string content;
  std::array<char, 65536> buffer{};
  while (true) {
    auto const size = ::read(file.Value(), buffer.data(), buffer.size());
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size < 0) {
      return StorageError("read_file", aPath, errno);
    }
    if (size == 0) {
      return std::optional(std::move(content));
    }
    content.append(buffer.data(), static_cast<std::size_t>(size));
  }
}

}

file_journal::file_journal(std::string aDirectory, file_hooks aHooks)
  : mDirectory(std::move(aDirectory))
  , mHooks(std::move(aHooks))
{
}

file_journal::~file_journal()
{
  CloseJournal();
}

void
file_journal::CloseJournal()
{
  if (mJournalDescriptor >= 0) {
    ::close(mJournalDescriptor);
    mJournalDescriptor = -1;
  }
}

std::string
file_journal::PathOf(std::string_view aName) const
{
  return mDirectory + "/" + std::string(aName);
}

core::result<load_outcome>
file_journal::Load()
{
  CloseJournal();
  struct stat attributes
  {};
  if (::stat(mDirectory.c_str(), &attributes) != 0) {
    return StorageError("open_directory", mDirectory, errno);
  }
  if (!S_ISDIR(attributes.st_mode)) {
    return StorageError("open_directory", mDirectory, ENOTDIR);
  }
  directory_contents contents;
  BOOST_LEAF_ASSIGN(contents.mIdentity, ReadFile(PathOf("identity")));
  BOOST_LEAF_ASSIGN(contents.mSnapshot, ReadFile(PathOf("snapshot")));
  BOOST_LEAF_ASSIGN(contents.mJournal, ReadFile(PathOf("journal")));
  auto outcome = RecoverState(contents);
  if (!outcome.mState) {
    return outcome;
  }
  mGeneration = outcome.mGeneration;
  if (outcome.mJournalOutdated) {
    BOOST_LEAF_CHECK(ReplaceFile("journal", FrameJournalHeader(mGeneration)));
  }
  BOOST_LEAF_CHECK(OpenJournal());
  if (!outcome.mJournalOutdated &&
      outcome.mJournalBytes < contents.mJournal->size()) {
    BOOST_LEAF_CHECK(TruncateJournal(outcome.mJournalBytes));
  }
  return outcome;
}

core::result<void>
file_journal::TruncateJournal(std::size_t aSize)
{
  auto const path = PathOf("journal");
  if (::ftruncate(mJournalDescriptor, static_cast<off_t>(aSize)) != 0) {
    return StorageError("truncate_journal", path, errno);
  }
  return Sync(mJournalDescriptor, path);
}

core::result<void>
file_journal::Reset(recovered_state const& aState)
{
  CloseJournal();
  BOOST_LEAF_CHECK(RenameOldFiles());
  mGeneration = 0;
  BOOST_LEAF_CHECK(
    StoreSnapshot({ 0, aState.mHardState, aState.mSnapshot, aState.mEntries }));
  // Written last: until it exists, an interrupted reset counts as a lost disk.
  return ReplaceFile("identity", FrameBytes(EncodeIdentity(aState.mIdentity)));
}

core::result<void>
file_journal::RenameOldFiles()
{
  for (auto const name : kFileNames) {
    auto const path = PathOf(name);
    if (::rename(path.c_str(), (path + ".lost").c_str()) != 0 &&
        errno != ENOENT) {
      return StorageError("rename_file", path, errno);
    }
    // The identity is renamed first. The sync keeps later renames from reaching
    // the disk before it.
    BOOST_LEAF_CHECK(SyncDirectory());
  }
  return {};
}

core::result<void>
file_journal::Rewrite(recovered_state const& aState)
{
  CloseJournal();
  BOOST_LEAF_CHECK(ReplaceFile("journal", FrameJournal(mGeneration, aState)));
  return OpenJournal();
}

core::result<void>
file_journal::Append(append_journal const& aRecords)
{
  if (mJournalDescriptor < 0) {
    return StorageError("append_journal", PathOf("journal"), EBADF);
  }
  std::string bytes;
  for (auto const& record : aRecords.mRecords) {
    bytes += FrameRecord(record);
  }
  auto const path = PathOf("journal");
  auto outcome = WriteAll(mJournalDescriptor, path, bytes);
  if (outcome) {
    outcome = Sync(mJournalDescriptor, path);
  }
  if (!outcome) {
    // The last record may be incomplete; appending after it would damage the
    // journal.
    CloseJournal();
  }
  return outcome;
}

core::result<void>
file_journal::WriteSnapshot(write_snapshot const& aSnapshot)
{
  if (mJournalDescriptor < 0) {
    return StorageError("write_snapshot", PathOf("snapshot"), EBADF);
  }
  return StoreSnapshot({ mGeneration + 1,
                         aSnapshot.mHardState,
                         aSnapshot.mSnapshot,
                         aSnapshot.mEntries });
}

core::result<void>
file_journal::StoreSnapshot(stored_snapshot const& aSnapshot)
{
  // The journal stays closed on an error, since it may belong to an older
  // snapshot by then.
  CloseJournal();
  // After a crash between the two replacements, the journal still has the
  // generation of the previous snapshot and is ignored.
  BOOST_LEAF_CHECK(
    ReplaceFile("snapshot", FrameBytes(EncodeSnapshot(aSnapshot))));
  mGeneration = aSnapshot.mGeneration;
  BOOST_LEAF_CHECK(ReplaceFile("journal", FrameJournalHeader(mGeneration)));
  return OpenJournal();
}

core::result<void>
file_journal::ReplaceFile(std::string const& aName, std::string_view aBytes)
{
  auto const path = PathOf(aName);
  auto const newPath = path + ".new";
  file_descriptor const file(::open(
    newPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (file.Value() < 0) {
    return StorageError("create_file", newPath, errno);
  }
  BOOST_LEAF_CHECK(WriteAll(file.Value(), newPath, aBytes));
  BOOST_LEAF_CHECK(Sync(file.Value(), newPath));
  if (::rename(newPath.c_str(), path.c_str()) != 0) {
    return StorageError("rename_file", newPath, errno);
  }
  return SyncDirectory();
}

core::result<void>
file_journal::SyncDirectory()
{
  file_descriptor const directory(
    ::open(mDirectory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (directory.Value() < 0) {
    return StorageError("open_directory", mDirectory, errno);
  }
  return Sync(directory.Value(), mDirectory);
}

core::result<void>
file_journal::OpenJournal()
{
  CloseJournal();
  auto const path = PathOf("journal");
  mJournalDescriptor = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (mJournalDescriptor < 0) {
    return StorageError("open_journal", path, errno);
  }
  return {};
}

core::result<void>
file_journal::WriteAll(int aDescriptor,
                       std::string const& aPath,
                       std::string_view aBytes)
{
  int const injectedError =
    mHooks.mBeforeWrite ? mHooks.mBeforeWrite(aPath, aBytes.size()) : 0;
  if (injectedError != 0) {
    return StorageError("write_file", aPath, injectedError);
  }
  while (!aBytes.empty()) {
    auto const written = ::write(aDescriptor, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return StorageError("write_file", aPath, errno);
    }
    aBytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

core::result<void>
file_journal::Sync(int aDescriptor, std::string const& aPath)
{
  int const injectedError = mHooks.mBeforeSync ? mHooks.mBeforeSync(aPath) : 0;
  if (injectedError != 0) {
    return StorageError("sync_file", aPath, injectedError);
  }
  if (!mHooks.mSkipsSync && ::fsync(aDescriptor) != 0) {
    return StorageError("sync_file", aPath, errno);
  }
  return {};
}

}
