#pragma once

#include "LibCore/Address.h"
#include "LibCore/Error.h"

#include <boost/json/fwd.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

/// Checked reading of JSON objects: settings, tables and state charts.
///
/// One function for each kind of object names the fields and their ranges. Run
/// on a JSON text it fills in the values; run on a describing reader it lists
/// the fields, so that reference pages are made from the checks themselves.
namespace cranberryfold::core {

enum class presence
{
  kRequired,
  kOptional,
};

/// One field of a kind of object, for reference pages.
struct field_description
{
  std::string mPath;
  std::string mExpected;
  std::string mDefault;
  std::string mHelp;

  bool operator==(field_description const&) const = default;
};

/// The text of an enumerator, in a file.
template<class Enumeration>
struct enumeration_name
{
  Enumeration mValue;
  std::string_view mName;
};

struct integer_range
{
  std::int64_t mMinimum;
  std::int64_t mMaximum;
};

/// Reads one JSON object. The first problem is kept and returned by Finish();
/// after it, the remaining calls do nothing.
class json_reader
{
public:
  using object_function = std::function<void(json_reader&)>;

  /// Parses aText. aFile names the source in errors.
  static json_reader ForText(std::string_view aText, std::string aFile);

  /// Returns a reader that only lists the fields that it is asked for.
  static json_reader Describing();

  /// Reads a string; an empty one counts as missing.
  void Text(std::string_view aKey,
            std::string& aOut,
            presence aPresence,
            std::string_view aHelp);

  template<class Integer>
  requires std::is_integral_v<Integer>
  void Number(std::string_view aKey,
              Integer& aOut,
              integer_range aRange,
              presence aPresence,
              std::string_view aHelp)
  {
    auto value = static_cast<std::int64_t>(aOut);
    ReadNumber(aKey, value, aRange, aPresence, aHelp);
    aOut = static_cast<Integer>(value);
  }

  void Boolean(std::string_view aKey,
               bool& aOut,
               presence aPresence,
               std::string_view aHelp);

  void TextList(std::string_view aKey,
                std::vector<std::string>& aOut,
                presence aPresence,
                std::string_view aHelp);

  /// Reads an IP number with port.
  void NetworkAddress(std::string_view aKey,
                      address& aOut,
                      presence aPresence,
                      std::string_view aHelp);

  template<class Enumeration, std::size_t Size>
  void Choice(std::string_view aKey,
              Enumeration& aOut,
              std::array<enumeration_name<Enumeration>, Size> const& aNames,
              presence aPresence,
              std::string_view aHelp)
  {
    std::vector<std::string_view> names;
    std::size_t index = 0;
    for (auto const& entry : aNames) {
      if (entry.mValue == aOut) {
        index = names.size();
      }
      names.push_back(entry.mName);
    }
    ReadChoice(aKey, index, names, aPresence, aHelp);
    aOut = aNames[index].mValue;
  }

  /// Reads a nested object. Returns whether it is there.
  bool Object(std::string_view aKey,
              presence aPresence,
              object_function const& aRead,
              std::string_view aHelp);

  /// Reads a list of objects, calling aRead on each in order.
  void Each(std::string_view aKey,
            presence aPresence,
            object_function const& aRead,
            std::string_view aHelp);

  /// Reads an object whose keys are names, calling aRead on each in order.
  void EachNamed(
    std::string_view aKey,
    presence aPresence,
    std::function<void(std::string const&, json_reader&)> const& aRead,
    std::string_view aHelp);

  /// Refuses the object: names aKey and what was expected.
  void Reject(std::string_view aKey, std::string_view aExpected);

  /// Checks for unknown keys. Fails with kInvalidInput: file, key path and what
  /// was expected.
  result<void> Finish();

  /// The fields seen by a describing reader.
  std::vector<field_description> const& Fields() const;

  bool IsDescribing() const;
  bool HasFailed() const;

private:
  struct shared_state;

  json_reader(std::shared_ptr<shared_state> aShared,
              boost::json::value const* aValue,
              std::string aPath);

  void ReadNumber(std::string_view aKey,
                  std::int64_t& aOut,
                  integer_range aRange,
                  presence aPresence,
                  std::string_view aHelp);
  void ReadChoice(std::string_view aKey,
                  std::size_t& aIndex,
                  std::span<std::string_view const> aNames,
                  presence aPresence,
                  std::string_view aHelp);
  boost::json::value const* Find(std::string_view aKey,
                                 presence aPresence,
                                 std::string_view aExpected);
  bool Describe(std::string_view aKey,
                std::string_view aExpected,
                presence aPresence,
                std::string_view aDefault,
                std::string_view aHelp);
  std::string PathOf(std::string_view aKey) const;
  void RejectValue(std::string_view aKey,
                   std::string_view aExpected,
                   boost::json::value const& aFound);
  void CheckUnknownKeys();
  void ReadNested(json_reader aNested, object_function const& aRead);

  std::shared_ptr<shared_state> mShared;
  boost::json::value const* mValue;
  std::string mPath;
  std::vector<std::string> mKnownKeys;
};

/// Reads a whole file. Fails with kNotFound or kLimitExceeded (over aMaximum
/// bytes).
result<std::string>
ReadTextFile(std::string const& aPath, std::size_t aMaximum = 16U << 20U);

}
