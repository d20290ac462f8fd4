#pragma once

#include "LibCore/Error.h"
#include "LibMembership/Messages.h"

#include <string>
#include <string_view>

/// Binary form of the messages between daemons.
namespace cranberryfold::membership {

std::string
EncodeMessage(message const& aMessage);

/// Fails with kMalformed.
core::result<message>
DecodeMessage(std::string_view aBytes);

/// Returns a send action; messages beyond kMaximumDatagramBytes go by stream.
send_message
MakeSend(core::address const& aTo, message aMessage);

}
