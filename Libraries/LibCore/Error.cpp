#include "LibCore/Error.h"

namespace cranberryfold::core {

std::string_view
ErrorCodeName(error_code aCode)
{
  switch (aCode) {
    case error_code::kInvalidInput:
      return "invalid_input";
    case error_code::kNotFound:
      return "not_found";
    case error_code::kConflict:
      return "conflict";
    case error_code::kNoMajority:
      return "no_majority";
    case error_code::kTimeout:
      return "timeout";
    case error_code::kUnreachable:
      return "unreachable";
    case error_code::kClosed:
      return "closed";
    case error_code::kMalformed:
      return "malformed";
    case error_code::kLimitExceeded:
      return "limit_exceeded";
    case error_code::kStorage:
      return "storage";
    case error_code::kInternal:
      return "internal";
  }
  return "internal";
}

std::string
FormatError(error const& aError)
{
  std::string text = "step=" + aError.mStep;
  if (!aError.mPeer.empty()) {
    text += " peer=" + aError.mPeer;
  }
  text += " code=";
  text += ErrorCodeName(aError.mCode);
  return text + ": " + aError.mDetail;
}

}
