#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <concepts>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

/// Binary `cereal` archives for messages and journal records: little-endian on
/// every machine, and bounded when reading. cereal's own binary archives trust
/// the sizes that they read, so that a few hostile bytes could make a process
/// allocate gigabytes. Include this header in Codec.cpp files only.
namespace cranberryfold::wire {

static_assert(std::endian::native == std::endian::little,
              "the archives copy numbers as they stand in memory");

/// Appends to a string.
class output_archive
  : public cereal::OutputArchive<output_archive, cereal::AllowEmptyClassElision>
{
public:
  output_archive()
    : cereal::OutputArchive<output_archive, cereal::AllowEmptyClassElision>(
        this)
  {
  }

  void saveBinary(void const* aData, std::size_t aSize)
  {
    mBytes.append(static_cast<char const*>(aData), aSize);
  }

  std::string Take() { return std::move(mBytes); }

private:
  std::string mBytes;
};

/// Reads from a view. Throws cereal::Exception when bytes are missing or a
/// size is larger than what is left.
class input_archive
  : public cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision>
{
public:
  explicit input_archive(std::string_view aBytes)
    : cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision>(this)
    , mRest(aBytes)
  {
  }

  void loadBinary(void* aData, std::size_t aSize)
  {
    if (aSize > mRest.size()) {
      throw cereal::Exception("message ends early");
    }
    std::memcpy(aData, mRest.data(), aSize);
    mRest.remove_prefix(aSize);
  }

  /// Every element takes at least one byte, so a larger size is a lie.
  void CheckSize(std::uint64_t aSize) const
  {
    if (aSize > mRest.size()) {
      throw cereal::Exception("size exceeds the message");
    }
  }

  std::size_t Remaining() const { return mRest.size(); }

private:
  std::string_view mRest;
};

/// Reads or writes an enumeration and refuses values beyond aLast.
template<class Archive, class Enumeration>
void
SerializeEnumeration(Archive& aArchive, Enumeration& aValue, Enumeration aLast)
{
  auto number = static_cast<std::uint8_t>(aValue);
  aArchive(number);
  if (number > static_cast<std::uint8_t>(aLast)) {
    throw cereal::Exception("enumerator out of range");
  }
  aValue = static_cast<Enumeration>(number);
}

template<class T>
requires std::is_arithmetic_v<T>
void
CEREAL_SAVE_FUNCTION_NAME(output_archive& aArchive, T const& aValue)
{
  aArchive.saveBinary(&aValue, sizeof aValue);
}

template<class T>
requires std::is_arithmetic_v<T>
void
CEREAL_LOAD_FUNCTION_NAME(input_archive& aArchive, T& aValue)
{
  if constexpr (std::same_as<T, bool>) {
    std::uint8_t byte = 0;
    aArchive.loadBinary(&byte, sizeof byte);
    aValue = byte != 0;
  } else {
    aArchive.loadBinary(&aValue, sizeof aValue);
  }
}

template<class T>
void
CEREAL_SAVE_FUNCTION_NAME(output_archive& aArchive,
                          cereal::BinaryData<T> const& aData)
{
  aArchive.saveBinary(aData.data, static_cast<std::size_t>(aData.size));
}

template<class T>
void
CEREAL_LOAD_FUNCTION_NAME(input_archive& aArchive, cereal::BinaryData<T>& aData)
{
  aArchive.loadBinary(aData.data, static_cast<std::size_t>(aData.size));
}

template<class T>
void
CEREAL_SERIALIZE_FUNCTION_NAME(output_archive& aArchive,
                               cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
void
CEREAL_SERIALIZE_FUNCTION_NAME(input_archive& aArchive,
                               cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
void
CEREAL_SAVE_FUNCTION_NAME(output_archive& aArchive,
                          cereal::SizeTag<T> const& aTag)
{
  // Messages and records are far below 4 GiB.
  auto const size = static_cast<std::uint32_t>(aTag.size);
  aArchive.saveBinary(&size, sizeof size);
}

template<class T>
void
CEREAL_LOAD_FUNCTION_NAME(input_archive& aArchive, cereal::SizeTag<T>& aTag)
{
  std::uint32_t size = 0;
  aArchive.loadBinary(&size, sizeof size);
  aArchive.CheckSize(size);
  aTag.size = size;
}

}

CEREAL_SETUP_ARCHIVE_TRAITS(cranberryfold::wire::input_archive,
                            cranberryfold::wire::output_archive)
