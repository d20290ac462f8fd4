#pragma once

#include "LibControl/Codec.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Format of the files in a replica's data directory, without file access.
///
/// A frame consists of the payload length, a checksum of that length, a
/// checksum of the payload, the payload and an end marker byte that is not
/// zero. The length has its own checksum, so that a damaged length is not
/// mistaken for a torn last record.
namespace cranberryfold::control {

/// Returns the first frame of a journal file, which holds its generation.
std::string
FrameJournalHeader(std::uint64_t aGeneration);

/// Returns the encoded aRecord as a journal frame.
std::string
FrameRecord(journal_record const& aRecord);

/// Returns a journal file with the hard state, entries and commit mark of
/// aState, for the snapshot of aGeneration.
std::string
FrameJournal(std::uint64_t aGeneration, recovered_state const& aState);

/// Returns aPayload as a frame; the snapshot and identity files hold one frame.
std::string
FrameBytes(std::string_view aPayload);

/// Returns the payload of a file that holds exactly one frame, or std::nullopt
/// if the file is damaged.
std::optional<std::string>
UnframeBytes(std::string_view aBytes);

struct journal_content
{
  std::uint64_t mGeneration = 0;
  std::vector<journal_record> mRecords;
  /// Size in bytes of the complete frames; the rest is a torn last record.
  std::size_t mValidBytes = 0;
  /// Whether the journal is damaged in a way that a torn last record does not
  /// explain.
  bool mDamaged = false;
};

journal_content
ParseJournal(std::string_view aBytes);

/// Contents of the three files; std::nullopt for a file that does not exist.
struct directory_contents
{
  std::optional<std::string> mIdentity;
  std::optional<std::string> mSnapshot;
  std::optional<std::string> mJournal;
};

struct load_outcome
{
  /// Empty if the disk counts as lost.
  std::optional<recovered_state> mState;
  /// Why the disk counts as lost.
  std::string mLostReason;
  std::uint64_t mGeneration = 0;
  /// Size of the journal without a torn last record.
  std::size_t mJournalBytes = 0;
  /// Whether the journal is older than the snapshot and has to be replaced by
  /// an empty one.
  bool mJournalOutdated = false;
};

/// Recovers the state of a replica from its files. A missing or damaged file
/// means that the disk counts as lost.
load_outcome
RecoverState(directory_contents const& aContents);

}
