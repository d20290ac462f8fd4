#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryfold::daemon {

/// Bounded buffer between a caller's connection and the attempts at upstreams.
/// Keeps a small body so that a retry can send it again. A larger body is
/// streamed and cannot be replayed.
class request_body
{
public:
  /// Maximum bytes that are buffered and kept for a retry. Large enough for the
  /// uploads of Plumehost and Tanglewick, at most 360 KB.
  static constexpr std::size_t kMaximumBufferedBytes = 512UL * 1024UL;

  void Append(std::string_view aBytes);
  void MarkComplete() { mIsComplete = true; }
  void MarkFailed() { mHasFailed = true; }

  /// Returns how many bytes may be appended at present.
  std::size_t FreeBytes() const;
  /// Consumes and returns up to aMaximum bytes for the current attempt.
  std::string Take(std::size_t aMaximum);
  /// Returns whether the current attempt has consumed the complete body.
  bool IsFullyConsumed() const;
  bool HasFailed() const { return mHasFailed; }
  bool IsComplete() const { return mIsComplete; }
  /// Returns whether a further attempt can send the body from its start.
  bool CanReplay() const { return mDiscardedBytes == 0; }
  void Rewind() { mConsumedBytes = 0; }

private:
  std::string mBytes;
  std::uint64_t mDiscardedBytes = 0;
  std::size_t mConsumedBytes = 0;
  bool mIsComplete = false;
  bool mHasFailed = false;
};

}
