#pragma once

#include "LibCore/Error.h"
#include "LibMembership/Messages.h"

#include <string>
#include <string_view>

/// Binary encoding of the messages between daemons.
namespace cranberryfold::membership {

std::string
EncodeMessage(message const& aMessage);

/// Returns the decoded message; fails with kMalformed when the bytes are not a
/// valid message.
core::result<message>
DecodeMessage(std::string_view aBytes);

/// Returns an action that sends aMessage to aTo: as a datagram up to
/// kMaximumDatagramBytes, over a stream above that.
send_message
MakeSend(core::address const& aTo, message aMessage);

}
