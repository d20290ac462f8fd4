#include "LibDaemon/PeerMessenger.h"

namespace cranberryfold::daemon {

peer_messenger::peer_messenger(send_function aSend)
  : mSend(std::move(aSend))
{
}

void
peer_messenger::SetView(routing_view const& aView)
{
  std::map<core::instance_id, core::address> addresses;
  for (auto const& member : aView.mMembers) {
    addresses[member.mInstance] = member.mPeerAddress;
  }
  std::scoped_lock const lock(mMutex);
  mAddresses = std::move(addresses);
}

void
peer_messenger::Send(core::instance_id const& aTo, traffic_message aMessage)
{
  core::address address;
  {
    std::scoped_lock const lock(mMutex);
    auto const found = mAddresses.find(aTo);
    if (found == mAddresses.end()) {
      return;
    }
    address = found->second;
  }
  mSend(address, std::move(aMessage));
}

}
