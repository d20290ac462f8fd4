#include "Journal.h"

#include <algorithm>
#include <chrono>

namespace cranberryfold::stand_in {

namespace {

/// Values come from request headers; separators inside them would break the
/// line apart.
std::string
Field(std::string_view aKey, std::string_view aValue)
{
  std::string value(aValue);
  std::replace_if(
    value.begin(),
    value.end(),
    [](char aCharacter) {
      return aCharacter == ' ' || aCharacter == '\n' || aCharacter == '\r';
    },
    '_');
  return " " + std::string(aKey) + "=" + value;
}

}

journal::journal(std::string const& aFile)
{
  if (!aFile.empty()) {
    mFile.reset(std::fopen(aFile.c_str(), "a"));
    mIsUsable = mFile != nullptr;
  }
}

void
journal::Start(run_record const& aRecord)
{
  Write("start", aRecord, "");
}

void
journal::End(run_record const& aRecord, std::string_view aOutcome)
{
  Write("end", aRecord, aOutcome);
}

void
journal::Write(std::string_view aEvent,
               run_record const& aRecord,
               std::string_view aOutcome)
{
  if (!mFile) {
    return;
  }
  auto const now = std::chrono::duration_cast<std::chrono::microseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  std::string line = "event=" + std::string(aEvent);
  line += Field("time_us", std::to_string(now.count()));
  line += Field("instance", aRecord.mInstance);
  line += Field("run", std::to_string(aRecord.mRun));
  line += Field("request_id", aRecord.mRequestId);
  line += Field("key", aRecord.mKey);
  line += Field("method", aRecord.mMethod);
  line += Field("path", aRecord.mPath);
  if (!aOutcome.empty()) {
    line += Field("outcome", aOutcome);
  }
  line += "\n";
  std::fwrite(line.data(), 1, line.size(), mFile.get());
  std::fflush(mFile.get());
}

}
