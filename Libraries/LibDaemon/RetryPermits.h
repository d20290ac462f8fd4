#pragma once

#include "LibCore/Error.h"
#include "LibCore/Ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

/// Messages for retry permits: a daemon that is not the root of a request needs
/// a permit of the root daemon before it retries.
namespace cranberryfold::daemon {

using permit_id = core::number_id<struct permit_tag>;

struct permit_request
{
  permit_id mId;
  core::request_id mRequest;

  bool operator==(permit_request const&) const = default;
};

struct permit_response
{
  permit_id mId;
  bool mIsGranted = false;

  bool operator==(permit_response const&) const = default;
};

using permit_message = std::variant<permit_request, permit_response>;

std::string
EncodePermitMessage(permit_message const& aMessage);

/// Fails with kMalformed.
core::result<permit_message>
DecodePermitMessage(std::string_view aBytes);

/// Matches permit responses with the calls that wait for them. Thread-safe.
class pending_permits
{
public:
  using callback = std::function<void(bool)>;

  /// Registers a request and returns its id. aCallback runs on the thread that
  /// calls OnPermitResponse().
  permit_id Register(callback aCallback);
  void OnPermitResponse(permit_response const& aResponse);
  /// Removes a request that is no longer waited for; a late response is
  /// ignored.
  void Forget(permit_id aId);

private:
  std::mutex mMutex;
  std::uint64_t mLastId = 0;
  std::map<permit_id, callback> mPending;
};

}
