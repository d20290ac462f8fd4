#include "LibMembership/MemberDirectory.h"

#include "LibMembership/DirectoryState.h"

namespace cranberryfold::membership {

member_directory::member_directory(directory_settings aSettings,
                                   core::random_source aRandom)
  : mState(
      std::make_unique<detail::directory_state>(std::move(aSettings), aRandom))
{
}

member_directory::~member_directory() = default;
member_directory::member_directory(member_directory&&) noexcept = default;
member_directory&
member_directory::operator=(member_directory&&) noexcept = default;

std::vector<directory_action>
member_directory::Handle(core::time_point aNow, directory_event const& aEvent)
{
  return mState->Handle(aNow, aEvent);
}

std::vector<member>
member_directory::Members() const
{
  return mState->Members();
}

peer_set
member_directory::Peers() const
{
  return mState->Peers();
}

announcement const&
member_directory::OwnAnnouncement() const
{
  return mState->OwnAnnouncement();
}

bool
member_directory::HasJoined() const
{
  return mState->HasJoined();
}

bool
member_directory::IsRelay() const
{
  return mState->IsRelay();
}

std::size_t
member_directory::MemoryBytes() const
{
  return mState->MemoryBytes();
}

}
