#pragma once

#include "LibCore/Error.h"
#include "LibCore/Ids.h"
#include "LibCore/Reasons.h"
#include "LibTraffic/CallContext.h"
#include "LibTraffic/LoadStatus.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Frames on the TCP connections between daemons. The connecting side sends
/// calls, the accepting side runs them and responds.
namespace cranberryfold::daemon {

inline constexpr std::uint32_t kProtocolVersion = 1;
/// Initial flow-control credit of each direction of a stream, in body bytes.
inline constexpr std::uint32_t kInitialCreditBytes = 256U * 1024U;
/// Maximum body bytes in one frame.
inline constexpr std::size_t kMaximumChunkBytes = 32UL * 1024UL;

/// Identifies a call on a connection. Assigned by the connecting side.
using stream_id = core::number_id<struct stream_tag>;

struct header_field
{
  std::string mName;
  std::string mValue;

  bool operator==(header_field const&) const = default;
};

enum class connection_kind : std::uint8_t
{
  kCalls,
  kControl,
};

/// First frame that the connecting side sends.
struct hello
{
  std::uint32_t mProtocol = kProtocolVersion;
  connection_kind mKind = connection_kind::kCalls;
  core::instance_id mInstance;
  core::region_id mRegion;
  core::address mPeerAddress;

  bool operator==(hello const&) const = default;
};

/// Opens a stream. The deadline is sent as the time left, since clocks differ.
struct call_head
{
  stream_id mStream;
  std::uint32_t mAttempt = 0;
  traffic::call_context mContext;
  core::duration mTimeLeft{};
  std::string mPool;
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mHeaders;
  /// Empty if the length is not known in advance.
  std::optional<std::uint64_t> mContentLength;
  bool mHasBody = false;
  /// Whether the call may safely run more than once.
  bool mIsIdempotent = false;

  bool operator==(call_head const&) const = default;
};

struct body_chunk
{
  stream_id mStream;
  std::uint32_t mAttempt = 0;
  std::string mBytes;
  bool mLast = false;

  bool operator==(body_chunk const&) const = default;
};

/// Grants the other side credit for further body bytes.
struct window_update
{
  stream_id mStream;
  std::uint32_t mBytes = 0;

  bool operator==(window_update const&) const = default;
};

struct call_response_head
{
  stream_id mStream;
  std::uint32_t mAttempt = 0;
  std::uint32_t mStatus = 0;
  std::vector<header_field> mHeaders;
  std::optional<std::uint64_t> mContentLength;
  bool mHasBody = false;
  traffic::load_status mLoadStatus;

  bool operator==(call_response_head const&) const = default;
};

struct call_response_chunk
{
  stream_id mStream;
  std::uint32_t mAttempt = 0;
  std::string mBytes;
  bool mLast = false;

  bool operator==(call_response_chunk const&) const = default;
};

/// Cancels a call whose response is no longer needed.
struct cancel
{
  stream_id mStream;

  bool operator==(cancel const&) const = default;
};

/// Ends a stream that has no complete response.
struct refusal
{
  stream_id mStream;
  std::uint32_t mAttempt = 0;
  traffic::outcome mOutcome = traffic::outcome::kUnknown;
  core::refusal_reason mReason = core::refusal_reason::kInternal;
  core::duration mRetryAfter{};
  traffic::load_status mLoadStatus;

  bool operator==(refusal const&) const = default;
};

/// Selects the traffic module that handles a traffic_message.
enum class traffic_topic : std::uint8_t
{
  kRetryPermits,
  kClaims,
  kQuarantine,
};

/// Carries a decision between the traffic modules of two daemons.
struct traffic_message
{
  traffic_topic mTopic = traffic_topic::kRetryPermits;
  std::string mPayload;

  bool operator==(traffic_message const&) const = default;
};

/// Carries a message between control threads.
struct control_frame
{
  std::string mEnvelope;

  bool operator==(control_frame const&) const = default;
};

/// Checks that the connection still works in both directions. The accepting
/// side sends it back.
struct link_probe
{
  bool operator==(link_probe const&) const = default;
};

using call_frame = std::variant<hello,
                                call_head,
                                body_chunk,
                                window_update,
                                call_response_head,
                                call_response_chunk,
                                cancel,
                                refusal,
                                traffic_message,
                                control_frame,
                                link_probe>;

/// Appends aNext to aLast, which is a body_chunk or a call_response_chunk of
/// the same stream, if both fit into one frame. Returns whether they did.
template<class Chunk>
bool
JoinChunks(Chunk& aLast, Chunk const& aNext)
{
  bool const fits = !aLast.mLast && aLast.mBytes.size() + aNext.mBytes.size() <=
                                      kMaximumChunkBytes;
  if (fits) {
    aLast.mBytes += aNext.mBytes;
    aLast.mLast = aNext.mLast;
  }
  return fits;
}

std::string
EncodeCallFrame(call_frame const& aFrame);

/// Fails with kMalformed.
core::result<call_frame>
DecodeCallFrame(std::string_view aBytes);

}
