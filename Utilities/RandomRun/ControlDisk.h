#pragma once

#include "LibControl/JournalFormat.h"
#include "LibCore/Random.h"

#include <cstdint>
#include <deque>
#include <variant>

namespace cranberryfold::random_run {

/// The data directory of one replica in memory, with the same bytes as the real
/// one. Writes wait in a queue until they are synced; a power loss drops the
/// queue and may leave a part of the first write behind. Bytes of a failed
/// write can be read, but a power loss drops them even after later syncs, as
/// page caches do.
class control_disk
{
public:
  /// Replaces everything, as control::file_journal::Reset().
  void Reset(control::recovered_state const& aState);

  void Enqueue(control::append_journal const& aAction);
  void Enqueue(control::write_snapshot const& aAction);

  bool IsIdle() const { return mPending.empty(); }

  /// Completes writes up to aSequence.
  void SyncUpTo(std::uint64_t aSequence);

  /// Fails the first write, which may leave a part behind, and drops the
  /// others.
  void FailWrites(core::random_source& aRandom);

  /// Replaces the journal, as control::file_journal::Rewrite().
  void Rewrite(control::recovered_state const& aState);

  /// Fails Rewrite() in the sync after the new journal was renamed into place.
  void FailRewrite(control::recovered_state const& aState);

  /// Loses what was not synced. Returns whether a torn write was left.
  bool LosePower(core::random_source& aRandom);

  /// Loses everything.
  void Wipe();

  /// Changes one byte of what was synced.
  void Damage(core::random_source& aRandom);

  /// Reads the directory back, as control::file_journal::Load().
  control::load_outcome Load();

private:
  struct pending_append
  {
    std::uint64_t mSequence = 0;
    std::string mBytes;
  };

  struct pending_snapshot
  {
    std::uint64_t mSequence = 0;
    std::uint64_t mGeneration = 0;
    std::string mBytes;
  };

  using pending_write = std::variant<pending_append, pending_snapshot>;

  void Complete(pending_append const& aWrite);
  void Complete(pending_snapshot const& aWrite);
  bool LeavePart(pending_append const& aWrite, core::random_source& aRandom);
  bool LeavePart(pending_snapshot const& aWrite, core::random_source& aRandom);

  control::directory_contents mImage;
  /// After a failed write, the files that a power loss leaves.
  std::optional<control::directory_contents> mDurable;
  std::uint64_t mGeneration = 0;
  std::deque<pending_write> mPending;
};

}
