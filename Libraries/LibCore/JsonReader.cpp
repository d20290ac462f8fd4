#include "LibCore/JsonReader.h"

#include <algorithm>
#include <fstream>

#include <boost/json.hpp>

namespace cranberryfold::core {

namespace {

constexpr std::string_view kStep = "read_json";
constexpr std::size_t kMaximumQuotedBytes = 80;

std::string
Quoted(boost::json::value const& aValue)
{
  auto text = boost::json::serialize(aValue);
  if (text.size() > kMaximumQuotedBytes) {
    text.resize(kMaximumQuotedBytes);
    text += "...";
  }
  return text;
}

}

struct json_reader::shared_state
{
  std::string mFile;
  boost::json::value mRoot;
  bool mDescribing = false;
  bool mFailed = false;
  std::string mProblem;
  std::vector<field_description> mFields;
};

json_reader::json_reader(std::shared_ptr<shared_state> aShared,
                         boost::json::value const* aValue,
                         std::string aPath)
  : mShared(std::move(aShared))
  , mValue(aValue)
  , mPath(std::move(aPath))
{
}

json_reader
json_reader::ForText(std::string_view aText, std::string aFile)
{
  auto shared = std::make_shared<shared_state>();
  shared->mFile = std::move(aFile);
  boost::json::error_code code;
  boost::json::stream_parser parser;
  auto const parsed = parser.write_some(aText, code);
  if (!code && parsed < aText.size() &&
      aText.find_first_not_of(" \t\r\n", parsed) != std::string_view::npos) {
    code = boost::json::error::extra_data;
  }
  if (!code) {
    parser.finish(code);
  }
  if (code) {
    auto const line =
      1 + std::count(aText.begin(), aText.begin() + parsed, '\n');
    shared->mFailed = true;
    shared->mProblem = "line " + std::to_string(line) +
                       ": expected valid JSON: " + code.message();
  } else {
    shared->mRoot = parser.release();
    if (!shared->mRoot.is_object()) {
      shared->mFailed = true;
      shared->mProblem = "expected a JSON object at the top";
    }
  }
  auto const* const root = &shared->mRoot;
  return { std::move(shared), root, "" };
}

json_reader
json_reader::Describing()
{
  auto shared = std::make_shared<shared_state>();
  shared->mDescribing = true;
  return { std::move(shared), nullptr, "" };
}

std::string
json_reader::PathOf(std::string_view aKey) const
{
  if (mPath.empty()) {
    return std::string(aKey);
  }
  return aKey.empty() ? mPath : mPath + "." + std::string(aKey);
}

void
json_reader::Reject(std::string_view aKey, std::string_view aExpected)
{
  if (mShared->mFailed || mShared->mDescribing) {
    return;
  }
  mShared->mFailed = true;
  mShared->mProblem = PathOf(aKey) + ": expected " + std::string(aExpected);
}

void
json_reader::RejectValue(std::string_view aKey,
                         std::string_view aExpected,
                         boost::json::value const& aFound)
{
  Reject(aKey, std::string(aExpected) + ", found " + Quoted(aFound));
}

bool
json_reader::Describe(std::string_view aKey,
                      std::string_view aExpected,
                      presence aPresence,
                      std::string_view aDefault,
                      std::string_view aHelp)
{
  if (!mShared->mDescribing) {
    return false;
  }
  mShared->mFields.push_back(
    { PathOf(aKey),
      std::string(aExpected),
      aPresence == presence::kRequired ? "required" : std::string(aDefault),
      std::string(aHelp) });
  return true;
}

boost::json::value const*
json_reader::Find(std::string_view aKey,
                  presence aPresence,
                  std::string_view aExpected)
{
  mKnownKeys.emplace_back(aKey);
  if (mShared->mFailed) {
    return nullptr;
  }
  auto const* const found = mValue->as_object().if_contains(aKey);
  if (found == nullptr && aPresence == presence::kRequired) {
    Reject(aKey, std::string(aExpected) + ", found nothing");
  }
  return found;
}

void
json_reader::Text(std::string_view aKey,
                  std::string& aOut,
                  presence aPresence,
                  std::string_view aHelp)
{
  constexpr std::string_view kExpected = "a non-empty string";
  if (Describe(aKey, kExpected, aPresence, aOut, aHelp)) {
    return;
  }
  auto const* const found = Find(aKey, aPresence, kExpected);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string() || found->get_string().empty()) {
    RejectValue(aKey, kExpected, *found);
    return;
  }
  aOut = std::string(found->get_string());
}

void
json_reader::ReadNumber(std::string_view aKey,
                        std::int64_t& aOut,
                        integer_range aRange,
                        presence aPresence,
                        std::string_view aHelp)
{
  auto const expected = "an integer from " + std::to_string(aRange.mMinimum) +
                        " to " + std::to_string(aRange.mMaximum);
  if (Describe(aKey, expected, aPresence, std::to_string(aOut), aHelp)) {
    return;
  }
  auto const* const found = Find(aKey, aPresence, expected);
  if (found == nullptr) {
    return;
  }
  boost::json::error_code code;
  auto const number = found->to_number<std::int64_t>(code);
  if (code || number < aRange.mMinimum || number > aRange.mMaximum) {
    RejectValue(aKey, expected, *found);
    return;
  }
  aOut = number;
}

void
json_reader::Boolean(std::string_view aKey,
                     bool& aOut,
                     presence aPresence,
                     std::string_view aHelp)
{
  constexpr std::string_view kExpected = "true or false";
  if (Describe(aKey, kExpected, aPresence, aOut ? "true" : "false", aHelp)) {
    return;
  }
  auto const* const found = Find(aKey, aPresence, kExpected);
  if (found == nullptr) {
    return;
  }
  if (!found->is_bool()) {
    RejectValue(aKey, kExpected, *found);
    return;
  }
  aOut = found->get_bool();
}

void
json_reader::TextList(std::string_view aKey,
                      std::vector<std::string>& aOut,
                      presence aPresence,
                      std::string_view aHelp)
{
  constexpr std::string_view kExpected = "a list of non-empty strings";
  if (Describe(aKey, kExpected, aPresence, "[]", aHelp)) {
    return;
  }
  auto const* const found = Find(aKey, aPresence, kExpected);
  if (found == nullptr) {
    return;
  }
  if (!found->is_array()) {
    RejectValue(aKey, kExpected, *found);
    return;
  }
  std::vector<std::string> texts;
  for (auto const& entry : found->get_array()) {
    if (!entry.is_string() || entry.get_string().empty()) {
      RejectValue(aKey, kExpected, *found);
      return;
    }
    texts.emplace_back(entry.get_string());
  }
  aOut = std::move(texts);
}

void
json_reader::NetworkAddress(std::string_view aKey,
                            address& aOut,
                            presence aPresence,
                            std::string_view aHelp)
{
  constexpr std::string_view kExpected =
    "an IP number and port, such as \"127.0.0.1:8080\"";
  if (Describe(aKey, kExpected, aPresence, "none", aHelp)) {
    return;
  }
  auto const* const found = Find(aKey, aPresence, kExpected);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string()) {
    RejectValue(aKey, kExpected, *found);
    return;
  }
  auto const parsed =
    Attempt([&] { return ParseAddress(std::string(found->get_string())); });
  if (!parsed) {
    RejectValue(aKey, kExpected, *found);
    return;
  }
  aOut = *parsed;
}

void
json_reader::ReadChoice(std::string_view aKey,
                        std::size_t& aIndex,
                        std::span<std::string_view const> aNames,
                        presence aPresence,
                        std::string_view aHelp)
{
  std::string expected = "one of";
  for (auto const name : aNames) {
    expected += " \"" + std::string(name) + "\"";
  }
  if (Describe(aKey, expected, aPresence, aNames[aIndex], aHelp)) {
    return;
  }
  auto const* const found = Find(aKey, aPresence, expected);
  if (found == nullptr) {
    return;
  }
  if (found->is_string()) {
    auto const match = std::find(
      aNames.begin(), aNames.end(), std::string_view(found->get_string()));
    if (match != aNames.end()) {
      aIndex = static_cast<std::size_t>(match - aNames.begin());
      return;
    }
  }
  RejectValue(aKey, expected, *found);
}

void
json_reader::ReadNested(json_reader aNested, object_function const& aRead)
{
  if (!aNested.mShared->mDescribing && !aNested.mValue->is_object()) {
    aNested.RejectValue("", "a JSON object", *aNested.mValue);
    return;
  }
  aRead(aNested);
  aNested.CheckUnknownKeys();
}

bool
json_reader::Object(std::string_view aKey,
                    presence aPresence,
                    object_function const& aRead,
                    std::string_view aHelp)
{
  if (Describe(aKey, "an object", aPresence, "none", aHelp)) {
    ReadNested({ mShared, nullptr, PathOf(aKey) }, aRead);
    return true;
  }
  auto const* const found = Find(aKey, aPresence, "an object");
  if (found == nullptr) {
    return false;
  }
  ReadNested({ mShared, found, PathOf(aKey) }, aRead);
  return true;
}

void
json_reader::Each(std::string_view aKey,
                  presence aPresence,
                  object_function const& aRead,
                  std::string_view aHelp)
{
  constexpr std::string_view kExpected = "a list of objects";
  if (Describe(aKey, kExpected, aPresence, "[]", aHelp)) {
    ReadNested({ mShared, nullptr, PathOf(aKey) + "[]" }, aRead);
    return;
  }
  auto const* const found = Find(aKey, aPresence, kExpected);
  if (found == nullptr) {
    return;
  }
  if (!found->is_array()) {
    RejectValue(aKey, kExpected, *found);
    return;
  }
  std::size_t index = 0;
  for (auto const& entry : found->get_array()) {
    ReadNested(
      { mShared, &entry, PathOf(aKey) + "[" + std::to_string(index) + "]" },
      aRead);
    ++index;
  }
}

void
json_reader::EachNamed(
  std::string_view aKey,
  presence aPresence,
  std::function<void(std::string const&, json_reader&)> const& aRead,
  std::string_view aHelp)
{
  constexpr std::string_view kExpected = "an object of named objects";
  if (Describe(aKey, kExpected, aPresence, "{}", aHelp)) {
    ReadNested({ mShared, nullptr, PathOf(aKey) + ".NAME" },
               [&](json_reader& aNested) { aRead("NAME", aNested); });
    return;
  }
  auto const* const found = Find(aKey, aPresence, kExpected);
  if (found == nullptr) {
    return;
  }
  if (!found->is_object()) {
    RejectValue(aKey, kExpected, *found);
    return;
  }
  for (auto const& entry : found->get_object()) {
    std::string const name(entry.key());
    ReadNested({ mShared, &entry.value(), PathOf(aKey) + "." + name },
               [&](json_reader& aNested) { aRead(name, aNested); });
  }
}

void
json_reader::CheckUnknownKeys()
{
  if (mShared->mFailed || mShared->mDescribing) {
    return;
  }
  for (auto const& entry : mValue->as_object()) {
    auto const known =
      std::find(mKnownKeys.begin(), mKnownKeys.end(), entry.key());
    if (known != mKnownKeys.end()) {
      continue;
    }
    std::string expected = "one of the keys";
    for (auto const& key : mKnownKeys) {
      expected += " " + key;
    }
    Reject(std::string(entry.key()), expected + ", found an unknown key");
    return;
  }
}

result<void>
json_reader::Finish()
{
  CheckUnknownKeys();
  if (mShared->mFailed) {
    return Fail({ error_code::kInvalidInput,
                  std::string(kStep),
                  mShared->mFile,
                  mShared->mProblem });
  }
  return {};
}

std::vector<field_description> const&
json_reader::Fields() const
{
  return mShared->mFields;
}

bool
json_reader::IsDescribing() const
{
  return mShared->mDescribing;
}

bool
json_reader::HasFailed() const
{
  return mShared->mFailed;
}

result<std::string>
ReadTextFile(std::string const& aPath, std::size_t aMaximum)
{
  std::ifstream file(aPath, std::ios::binary | std::ios::ate);
  if (!file) {
    return Fail({ error_code::kNotFound,
                  "read_file",
                  aPath,
                  "the file cannot be opened for reading" });
  }
  auto const size = static_cast<std::size_t>(file.tellg());
  if (size > aMaximum) {
    return Fail({ error_code::kLimitExceeded,
                  "read_file",
                  aPath,
                  "expected at most " + std::to_string(aMaximum) + " bytes" });
  }
  std::string text(size, '\0');
  file.seekg(0);
  file.read(text.data(), static_cast<std::streamsize>(size));
  if (!file) {
    return Fail(
      { error_code::kStorage, "read_file", aPath, "reading failed midway" });
  }
  return text;
}

}
