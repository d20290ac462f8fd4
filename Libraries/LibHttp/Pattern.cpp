#include "LibHttp/Pattern.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <xxhash.h>

namespace cranberryfold::http {

namespace {

constexpr std::size_t kBlockBytes = 8;
constexpr std::size_t kHashChunkBytes = 64U << 10U;

/// The finaliser of SplitMix64: neighbouring numbers give unrelated bits.
std::uint64_t
Mix(std::uint64_t aNumber)
{
  aNumber += 0x9e3779b97f4a7c15U;
  aNumber = (aNumber ^ (aNumber >> 30U)) * 0xbf58476d1ce4e5b9U;
  aNumber = (aNumber ^ (aNumber >> 27U)) * 0x94d049bb133111ebU;
  return aNumber ^ (aNumber >> 31U);
}

}

void
FillPattern(char* aBuffer, std::size_t aSize, std::uint64_t aOffset)
{
  std::uint64_t block = Mix(aOffset / kBlockBytes);
  for (std::size_t index = 0; index < aSize; ++index) {
    auto const position = aOffset + index;
    if (position % kBlockBytes == 0) {
      block = Mix(position / kBlockBytes);
    }
    aBuffer[index] =
      static_cast<char>(block >> (kBlockBytes * (position % kBlockBytes)));
  }
}

outgoing_body
PatternBody(std::uint64_t aSize)
{
  return { aSize,
           [aSize, offset = std::uint64_t{ 0 }](char* aBuffer,
                                                std::size_t aCapacity) mutable {
             auto const count =
               std::min<std::uint64_t>(aCapacity, aSize - offset);
             FillPattern(aBuffer, count, offset);
             offset += count;
             return static_cast<std::size_t>(count);
           } };
}

struct body_hash::state
{
  state()
    : mState(XXH64_createState())
  {
    XXH64_reset(mState, 0);
  }
  ~state() { XXH64_freeState(mState); }
  state(state const&) = delete;
  state& operator=(state const&) = delete;

  XXH64_state_t* mState;
};

body_hash::body_hash()
  : mState(std::make_unique<state>())
{
}

body_hash::~body_hash() = default;
body_hash::body_hash(body_hash&&) noexcept = default;
body_hash&
body_hash::operator=(body_hash&&) noexcept = default;

void
body_hash::Add(std::string_view aBytes)
{
  XXH64_update(mState->mState, aBytes.data(), aBytes.size());
  mSize += aBytes.size();
}

std::uint64_t
body_hash::Digest() const
{
  return XXH64_digest(mState->mState);
}

std::uint64_t
PatternHash(std::uint64_t aSize)
{
  body_hash hash;
  std::string chunk(kHashChunkBytes, '\0');
  auto const body = PatternBody(aSize);
  while (auto const count = body.mRead(chunk.data(), chunk.size())) {
    hash.Add(std::string_view(chunk.data(), count));
  }
  return hash.Digest();
}

std::string
FormatHash(std::uint64_t aHash)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(aHash));
  return text.data();
}

}
