#pragma once

#include "LibHttp/Message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// Bodies with known bytes, and the hash of a body that is not held whole.
namespace cranberryfold::http {

/// Fills aBuffer with the bytes from aOffset on of an endless fixed sequence.
/// Shifted or repeated blocks differ, so that a comparison finds them.
void
FillPattern(char* aBuffer, std::size_t aSize, std::uint64_t aOffset);

/// Returns a body of aSize bytes of that sequence.
outgoing_body
PatternBody(std::uint64_t aSize);

/// 64-bit xxHash of bytes that arrive in pieces; equal to core::Hash64().
class body_hash
{
public:
  body_hash();
  ~body_hash();
  body_hash(body_hash&&) noexcept;
  body_hash& operator=(body_hash&&) noexcept;

  void Add(std::string_view aBytes);

  std::uint64_t Digest() const;
  std::uint64_t Size() const { return mSize; }

private:
  struct state;
  std::unique_ptr<state> mState;
  std::uint64_t mSize = 0;
};

/// Returns the hash of the first aSize bytes of the sequence.
std::uint64_t
PatternHash(std::uint64_t aSize);

/// Returns aHash as 16 hexadecimal digits.
std::string
FormatHash(std::uint64_t aHash);

}
