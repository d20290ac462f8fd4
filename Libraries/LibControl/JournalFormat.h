#pragma once

#include "LibControl/Codec.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The bytes of journal files, apart from how they reach a disk.
///
/// A record is a header (payload length and a checksum of the header itself), a
/// checksum of the payload, the payload and an end byte that is not zero. The
/// header has a checksum of its own, so that a damaged length cannot pass for a
/// torn last record.
namespace cranberryfold::control {

/// Returns the record that a journal file begins with.
std::string
FrameJournalHeader(std::uint64_t aGeneration);

/// Returns aRecord framed for the journal.
std::string
FrameRecord(journal_record const& aRecord);

/// Returns aPayload with checksums, for the snapshot and identity files.
std::string
FrameBytes(std::string_view aPayload);

/// Returns the payload of a file that holds one frame; nothing when damaged.
std::optional<std::string>
UnframeBytes(std::string_view aBytes);

struct journal_content
{
  std::uint64_t mGeneration = 0;
  std::vector<journal_record> mRecords;
  /// Length up to which the records are complete; what follows is torn.
  std::size_t mValidBytes = 0;
  /// Set when something other than the end of the journal is damaged.
  bool mDamaged = false;
};

journal_content
ParseJournal(std::string_view aBytes);

/// The three files; nothing for a missing one.
struct directory_contents
{
  std::optional<std::string> mIdentity;
  std::optional<std::string> mSnapshot;
  std::optional<std::string> mJournal;
};

struct load_outcome
{
  /// Empty when the disk counts as lost.
  std::optional<recovered_state> mState;
  std::string mLostReason;
  std::uint64_t mGeneration = 0;
  /// Length of the journal without a torn last record.
  std::size_t mJournalBytes = 0;
  /// The journal is older than the snapshot and has to be started anew.
  bool mJournalOutdated = false;
};

/// Decides what the files amount to.
load_outcome
RecoverState(directory_contents const& aImage);

}
