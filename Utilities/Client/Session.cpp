#include "Session.h"

#include <algorithm>

#include <boost/json/serialize.hpp>

namespace cranberryfold::client {

namespace {

exit_code
ExitCodeOf(core::error_code aCode)
{
  switch (aCode) {
    case core::error_code::kInvalidInput:
    case core::error_code::kNotFound:
    case core::error_code::kLimitExceeded:
      return exit_code::kInvalidInput;
    case core::error_code::kConflict:
      return exit_code::kConflict;
    case core::error_code::kNoMajority:
      return exit_code::kNoMajority;
    default:
      return exit_code::kUnreachable;
  }
}

/// Maps the result of the admin interface; without one, the status decides.
core::error_code
RefusalCode(admin_answer const& aAnswer)
{
  auto const result = TextOf(aAnswer.mBody, "result");
  if (result == "conflict") {
    return core::error_code::kConflict;
  }
  if (result == "no_majority" || result == "not_leader" ||
      aAnswer.mStatus == 503 || aAnswer.mStatus == 421) {
    return core::error_code::kNoMajority;
  }
  bool const isClientFault = aAnswer.mStatus / 100 == 4;
  return isClientFault ? core::error_code::kInvalidInput
                       : core::error_code::kInternal;
}

std::string
RefusalDetail(admin_answer const& aAnswer)
{
  auto const result = TextOf(aAnswer.mBody, "result");
  if (result == "conflict") {
    return "revision " + TextOf(aAnswer.mBody, "revision") + " by edit " +
           TextOf(aAnswer.mBody, "edit_id") + " came first";
  }
  if (result == "not_leader") {
    return "no control replica leads at the moment; send it again with the "
           "same edit id";
  }
  auto const text = TextOf(aAnswer.mBody, "error");
  return text == "-" ? "status " + std::to_string(aAnswer.mStatus) : text;
}

}

exit_code
ReportError(session& aSession, core::error const& aError)
{
  aSession.mNotes << core::FormatError(aError) << "\n";
  return ExitCodeOf(aError.mCode);
}

exit_code
ReportRefusal(session& aSession, admin_answer const& aAnswer)
{
  if (aSession.mOptions.mJson) {
    aSession.mOut << boost::json::serialize(aAnswer.mBody) << "\n";
  }
  return ReportError(aSession,
                     { RefusalCode(aAnswer),
                       "ask",
                       core::FormatAddress(aAnswer.mPeer),
                       RefusalDetail(aAnswer) });
}

namespace {

asked
ToAsked(session& aSession, core::attempt<admin_answer> aAnswer)
{
  if (!aAnswer) {
    return { std::nullopt, ReportError(aSession, aAnswer.mError) };
  }
  if (aAnswer->mStatus != 200) {
    return { std::nullopt, ReportRefusal(aSession, *aAnswer) };
  }
  return { std::move(*aAnswer), exit_code::kSuccess };
}

}

boost::asio::awaitable<asked>
AskOrReport(session& aSession, http::request const& aRequest)
{
  auto const& client = aSession.mClient;
  auto answer = co_await client.Ask(aRequest);
  co_return ToAsked(aSession, std::move(answer));
}

http::request
GetRequest(std::string aTarget)
{
  return { { "GET", std::move(aTarget), {} }, "" };
}

void
PrintRows(std::ostream& aOut,
          std::vector<std::vector<std::string>> const& aRows)
{
  std::vector<std::size_t> widths;
  for (auto const& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (auto const& row : aRows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      line.append(widths[column] + 2 - row[column].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << "\n";
  }
}

std::string
TextOf(boost::json::value const& aObject, std::string_view aKey)
{
  auto const* const object = aObject.if_object();
  auto const* const value =
    object != nullptr ? object->if_contains(aKey) : nullptr;
  if (value == nullptr || value->is_null()) {
    return "-";
  }
  return value->is_string() ? std::string(value->get_string())
                            : boost::json::serialize(*value);
}

boost::json::array const&
ListOf(boost::json::value const& aObject, std::string_view aKey)
{
  static boost::json::array const kEmpty;
  auto const* const object = aObject.if_object();
  auto const* const value =
    object != nullptr ? object->if_contains(aKey) : nullptr;
  return value != nullptr && value->is_array() ? value->get_array() : kEmpty;
}

}
