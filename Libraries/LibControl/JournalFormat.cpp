#include "LibControl/JournalFormat.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <cstdint>
#include <cstring>

namespace cranberryfold::control {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kFrameHeaderBytes = 16;
constexpr std::size_t kEndMarkerBytes = 1;
/// Not zero, so that an unwritten block is not mistaken for the end of a frame.
constexpr char kEndMarker = '\x5A';
/// Smallest unit in which file systems lose unsynced data.
constexpr std::size_t kBlockBytes = 512;

struct frame_header
{
  std::uint32_t mLength = 0;
  std::uint32_t mLengthChecksum = 0;
  std::uint64_t mPayloadChecksum = 0;
};
static_assert(sizeof(frame_header) == kFrameHeaderBytes);

std::uint32_t
LengthChecksum(std::uint32_t aLength)
{
  std::string bytes(kLengthBytes, '\0');
  std::memcpy(bytes.data(), &aLength, kLengthBytes);
  return static_cast<std::uint32_t>(core::Hash64(bytes, kFrameHeaderBytes));
}

bool
IsZero(std::string_view aBytes)
{
  return std::all_of(
    aBytes.begin(), aBytes.end(), [](char aByte) { return aByte == '\0'; });
}

enum class frame_state
{
  kComplete,
  /// The frame is the last one and was not written completely.
  kTorn,
  kDamaged,
};

struct parsed_frame
{
  frame_state mState = frame_state::kDamaged;
  std::string_view mPayload;
  std::size_t mSize = 0;
};

/// Returns whether the last block of the file lies after aStart and holds only
/// zeros, so that it was never written.
bool
HasUnwrittenTail(std::string_view aBytes, std::size_t aStart)
{
  auto const block = (aBytes.size() - 1) / kBlockBytes * kBlockBytes;
  return block > aStart && IsZero(aBytes.substr(block));
}

parsed_frame
ParseFrame(std::string_view aBytes, std::size_t aStart)
{
  auto const rest = aBytes.substr(aStart);
  if (rest.size() < kFrameHeaderBytes) {
    return { frame_state::kTorn, {}, 0 };
  }
  frame_header header;
  std::memcpy(&header, rest.data(), kFrameHeaderBytes);
  if (header.mLengthChecksum != LengthChecksum(header.mLength)) {
    auto const state =
      IsZero(rest) ? frame_state::kTorn : frame_state::kDamaged;
    return { state, {}, 0 };
  }
  auto const size = kFrameHeaderBytes + header.mLength + kEndMarkerBytes;
  if (size > rest.size()) {
    return { frame_state::kTorn, {}, 0 };
  }
  auto const payload = rest.substr(kFrameHeaderBytes, header.mLength);
  if (core::Hash64(payload) == header.mPayloadChecksum &&
      rest[size - kEndMarkerBytes] == kEndMarker) {
    return { frame_state::kComplete, payload, size };
  }
  bool const torn = size == rest.size() && HasUnwrittenTail(aBytes, aStart);
  return { torn ? frame_state::kTorn : frame_state::kDamaged, {}, 0 };
}

load_outcome
LostDisk(std::string aReason)
{
  load_outcome outcome;
  outcome.mLostReason = std::move(aReason);
  return outcome;
}

template<class Value, class Decoder>
std::optional<Value>
DecodeFile(std::optional<std::string> const& aFile, Decoder const& aDecode)
{
  auto const payload = aFile ? UnframeBytes(*aFile) : std::nullopt;
  if (!payload) {
    return std::nullopt;
  }
  auto decoded = core::Attempt([&] { return aDecode(*payload); });
  return decoded.mValue;
}

load_outcome
ReplayJournal(recovered_state aState,
              std::uint64_t aGeneration,
              journal_content const& aJournal)
{
  load_outcome outcome;
  outcome.mGeneration = aGeneration;
  outcome.mJournalBytes = aJournal.mValidBytes;
  if (aJournal.mDamaged || aJournal.mGeneration > aGeneration) {
    return LostDisk("the journal is damaged");
  }
  outcome.mJournalOutdated = aJournal.mGeneration < aGeneration;
  if (!outcome.mJournalOutdated) {
    for (auto const& record : aJournal.mRecords) {
      if (!ReplayRecord(aState, record)) {
        return LostDisk(
          "the journal has a record that contradicts earlier ones");
      }
    }
  }
  outcome.mState = std::move(aState);
  return outcome;
}

}

std::string
FrameBytes(std::string_view aPayload)
{
  auto const length = static_cast<std::uint32_t>(aPayload.size());
  frame_header const header{ length,
                             LengthChecksum(length),
                             core::Hash64(aPayload) };
  std::string frame(kFrameHeaderBytes, '\0');
  std::memcpy(frame.data(), &header, kFrameHeaderBytes);
  frame += aPayload;
  frame += kEndMarker;
  return frame;
}

std::optional<std::string>
UnframeBytes(std::string_view aBytes)
{
  auto const frame = ParseFrame(aBytes, 0);
  if (frame.mState != frame_state::kComplete || frame.mSize != aBytes.size()) {
    return std::nullopt;
  }
  return std::string(frame.mPayload);
}

std::string
FrameJournalHeader(std::uint64_t aGeneration)
{
  std::string payload(sizeof aGeneration, '\0');
  std::memcpy(payload.data(), &aGeneration, sizeof aGeneration);
  return FrameBytes(payload);
}

std::string
FrameRecord(journal_record const& aRecord)
{
  return FrameBytes(EncodeRecord(aRecord));
}

std::string
FrameJournal(std::uint64_t aGeneration, recovered_state const& aState)
{
  auto bytes = FrameJournalHeader(aGeneration);
  bytes += FrameRecord(aState.mHardState);
  for (auto const& entry : aState.mEntries) {
    bytes += FrameRecord(entry);
  }
  bytes += FrameRecord(commit_mark{ aState.mCommitted });
  return bytes;
}

journal_content
ParseJournal(std::string_view aBytes)
{
  journal_content content;
  auto const header = ParseFrame(aBytes, 0);
  // A new file is renamed into place with a complete header, so the header is
  // never torn.
  if (header.mState != frame_state::kComplete ||
      header.mPayload.size() != sizeof content.mGeneration) {
    content.mDamaged = true;
    return content;
  }
  std::memcpy(
    &content.mGeneration, header.mPayload.data(), sizeof content.mGeneration);
  content.mValidBytes = header.mSize;
  while (content.mValidBytes < aBytes.size()) {
    auto const frame = ParseFrame(aBytes, content.mValidBytes);
    if (frame.mState == frame_state::kTorn) {
      return content;
    }
    auto record = core::Attempt([&] { return DecodeRecord(frame.mPayload); });
    if (frame.mState == frame_state::kDamaged || !record) {
      content.mDamaged = true;
      return content;
    }
    content.mRecords.push_back(std::move(*record));
    content.mValidBytes += frame.mSize;
  }
  return content;
}

load_outcome
RecoverState(directory_contents const& aContents)
{
  if (!aContents.mIdentity && !aContents.mSnapshot && !aContents.mJournal) {
    return LostDisk("the data directory is empty");
  }
  auto identity =
    DecodeFile<replica_identity>(aContents.mIdentity, DecodeIdentity);
  if (!identity) {
    return LostDisk("the replica identity is missing or damaged");
  }
  auto stored =
    DecodeFile<stored_snapshot>(aContents.mSnapshot, DecodeSnapshot);
  if (!stored) {
    return LostDisk("the snapshot is missing or damaged");
  }
  if (!aContents.mJournal) {
    return LostDisk("the journal is missing");
  }
  recovered_state state{ std::move(*identity),
                         std::move(stored->mHardState),
                         std::move(stored->mSnapshot),
                         std::move(stored->mEntries),
                         0 };
  state.mCommitted = state.mSnapshot.mIndex;
  return ReplayJournal(
    std::move(state), stored->mGeneration, ParseJournal(*aContents.mJournal));
}

}
