#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryfold::daemon {

/// Bounded buffer between a caller's connection and the attempts at upstreams.
/// Keeps the first bytes so that a small body can be sent again on a retry;
/// larger ones stream through and cannot.
class request_body
{
public:
  /// Bytes that are kept for a retry and buffered at most. Holds the uploads of
  /// Plumehost and Tanglewick, at most 360 KB.
  static constexpr std::size_t kMaximumBufferedBytes = 512UL * 1024UL;

  void Append(std::string_view aBytes);
  void MarkComplete() { mIsComplete = true; }
  void MarkBroken() { mIsBroken = true; }

  /// Returns how many more bytes may be appended now.
  std::size_t Room() const;
  /// Returns up to aMaximum bytes that the current attempt has not taken.
  std::string Take(std::size_t aMaximum);
  /// Whether the current attempt has taken everything.
  bool IsTaken() const;
  bool IsBroken() const { return mIsBroken; }
  bool IsComplete() const { return mIsComplete; }
  /// Whether a further attempt could send the body from its start.
  bool CanReplay() const { return mDiscarded == 0; }
  void Rewind() { mTaken = 0; }

private:
  std::string mBytes;
  std::uint64_t mDiscarded = 0;
  std::size_t mTaken = 0;
  bool mIsComplete = false;
  bool mIsBroken = false;
};

}
