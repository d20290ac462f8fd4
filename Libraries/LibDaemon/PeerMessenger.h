#pragma once

#include "LibDaemon/CallFrames.h"
#include "LibDaemon/RoutingView.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cranberryfold::daemon {

/// Sends traffic messages to instances by name. Thread-safe. Delivery is not
/// guaranteed.
class peer_messenger
{
public:
  /// Sends a message to a peer address. Must be thread-safe.
  using send_function =
    std::function<void(core::address const&, traffic_message)>;

  explicit peer_messenger(send_function aSend);

  /// Updates the addresses of the members.
  void SetView(routing_view const& aView);
  /// Sends a message, or drops it if aTo is not a member.
  void Send(core::instance_id const& aTo, traffic_message aMessage);

private:
  send_function mSend;
  std::mutex mMutex;
  std::map<core::instance_id, core::address> mAddresses;
};

}
