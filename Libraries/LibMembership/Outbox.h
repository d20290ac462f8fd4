#pragma once

#include "LibMembership/Codec.h"
#include "LibMembership/MemberDirectory.h"

#include <utility>
#include <vector>

/// Collects the actions of one member_directory::Handle() call.
namespace cranberryfold::membership::detail {

class outbox
{
public:
  explicit outbox(contact aOwn)
    : mOwn(std::move(aOwn))
  {
  }

  void Send(core::address const& aTo, member_message aMessage)
  {
    mActions.emplace_back(MakeSend(
      aTo, message_with_sender<member_message>{ mOwn, std::move(aMessage) }));
  }

  void Refuse(core::instance_id const& aInstance,
              core::incarnation aIncarnation)
  {
    mActions.emplace_back(update_refused{ aInstance, aIncarnation });
  }

  void MarkMembersChanged() { mChanged = true; }

  std::vector<directory_action> TakeActions()
  {
    if (std::exchange(mChanged, false)) {
      mActions.emplace_back(members_changed{});
    }
    return std::exchange(mActions, {});
  }

private:
  contact mOwn;
  std::vector<directory_action> mActions;
  bool mChanged = false;
};

}
