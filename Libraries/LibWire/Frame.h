#pragma once

#include "LibCore/Error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Frames on byte streams: a payload after its length (four bytes,
/// little-endian).
namespace cranberryfold::wire {

inline constexpr std::size_t kFrameHeaderBytes = 4;
/// Largest payload of a frame on a call connection, in bytes.
inline constexpr std::size_t kMaximumCallFrameBytes = 64UL * 1024UL;
/// Largest payload of a frame that carries control state, in bytes; a snapshot
/// of the tables must fit.
inline constexpr std::size_t kMaximumControlFrameBytes = 8UL * 1024UL * 1024UL;

/// Returns aPayload with its length in front.
std::string
EncodeFrame(std::string_view aPayload);

/// Cuts a stream of bytes into frames. Buffers at most one frame and what was
/// appended with it.
class frame_splitter
{
public:
  explicit frame_splitter(std::size_t aMaximumBytes);

  void Append(std::string_view aBytes);

  /// Changes the largest payload that is accepted from now on.
  void SetMaximumBytes(std::size_t aBytes) { mMaximumBytes = aBytes; }

  /// Returns the next whole payload, or nothing when more bytes are needed.
  /// Fails with kLimitExceeded on a length beyond the maximum; the stream is
  /// unusable from then on.
  core::result<std::optional<std::string>> Next();

private:
  std::size_t mMaximumBytes;
  std::string mBuffer;
  std::size_t mConsumed = 0;
};

}
