#include "LibDaemon/CallFrames.h"

#include "LibDaemon/CallFramesCodec.h"

namespace cranberryfold::daemon {

std::string
EncodeCallFrame(call_frame const& aFrame)
{
  return wire::Encode(aFrame);
}

core::result<call_frame>
DecodeCallFrame(std::string_view aBytes)
{
  return wire::Decode<call_frame>(aBytes, "decode_call_frame");
}

}
