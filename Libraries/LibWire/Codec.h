#pragma once

#include "LibCore/Error.h"
#include "LibWire/Archive.h"
#include "LibWire/CoreTypes.h"

#include <exception>
#include <string>
#include <string_view>

/// Encoding and decoding of whole messages. Include in Codec.cpp files only.
namespace cranberryfold::wire {

template<class Message>
std::string
Encode(Message const& aMessage)
{
  output_archive archive;
  archive(aMessage);
  return archive.Take();
}

/// Decodes a message that takes up all of aBytes. Fails with kMalformed.
template<class Message>
core::result<Message>
Decode(std::string_view aBytes, std::string_view aStep)
{
  // std::exception covers what the standard containers throw on a bad size.
  try {
    input_archive archive(aBytes);
    Message message;
    archive(message);
    if (archive.Remaining() == 0) {
      return message;
    }
  } catch (std::exception const&) {
    return core::Fail({ core::error_code::kMalformed,
                        std::string(aStep),
                        "",
                        "the bytes are not a valid message" });
  }
  return core::Fail({ core::error_code::kMalformed,
                      std::string(aStep),
                      "",
                      "bytes follow the end of the message" });
}

}
