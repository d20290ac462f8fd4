#pragma once

#include "LibDaemon/IncomingCall.h"

#include <functional>
#include <memory>
#include <string>

namespace cranberryfold::daemon {

/// Callbacks for frames that do not belong to a call.
struct call_server_hooks
{
  std::function<void(traffic_message const&, hello const&)> mOnTrafficMessage;
  std::function<void(std::string)> mOnControlEnvelope;
};

/// Serves an accepted connection of a peer's daemon until it ends.
task<void>
ServePeer(incoming_services& aServices,
          call_server_hooks const& aHooks,
          tcp::socket aSocket);

}
