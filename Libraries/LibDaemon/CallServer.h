#pragma once

#include "LibDaemon/IncomingCall.h"

#include <functional>
#include <memory>
#include <string>

namespace cranberryfold::daemon {

/// Hooks for frames that are not calls.
struct call_server_hooks
{
  std::function<void(traffic_message const&, hello const&)> mOnTrafficMessage;
  std::function<void(std::string)> mOnControlEnvelope;
};

/// Serves one accepted connection of a peer's daemon to its end.
task<void>
ServePeer(incoming_services& aServices,
          call_server_hooks const& aHooks,
          tcp::socket aSocket);

}
