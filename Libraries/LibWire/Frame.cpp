#include "LibWire/Frame.h"

#include <cstdint>
#include <cstring>

namespace cranberryfold::wire {

std::string
EncodeFrame(std::string_view aPayload)
{
  auto const size = static_cast<std::uint32_t>(aPayload.size());
  std::string frame(kFrameHeaderBytes, '\0');
  std::memcpy(frame.data(), &size, kFrameHeaderBytes);
  frame += aPayload;
  return frame;
}

frame_splitter::frame_splitter(std::size_t aMaximumBytes)
  : mMaximumBytes(aMaximumBytes)
{
}

void
frame_splitter::Append(std::string_view aBytes)
{
  mBuffer.erase(0, mConsumed);
  mConsumed = 0;
  mBuffer += aBytes;
}

core::result<std::optional<std::string>>
frame_splitter::Next()
{
  auto const available = mBuffer.size() - mConsumed;
  if (available < kFrameHeaderBytes) {
    return std::optional<std::string>{};
  }
  std::uint32_t size = 0;
  std::memcpy(&size, mBuffer.data() + mConsumed, kFrameHeaderBytes);
  if (size > mMaximumBytes) {
    return core::Fail({ core::error_code::kLimitExceeded,
                        "split_frames",
                        "",
                        "frame of " + std::to_string(size) + " bytes" });
  }
  if (available < kFrameHeaderBytes + size) {
    return std::optional<std::string>{};
  }
  auto payload = mBuffer.substr(mConsumed + kFrameHeaderBytes, size);
  mConsumed += kFrameHeaderBytes + size;
  return std::optional<std::string>(std::move(payload));
}

}
