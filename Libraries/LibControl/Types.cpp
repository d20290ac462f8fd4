#include "LibControl/Types.h"

#include "LibControl/Events.h"

namespace cranberryfold::control {

namespace {

bool
Replay(recovered_state& aState, hard_state const& aRecord)
{
  if (aRecord.mTerm < aState.mHardState.mTerm) {
    return false;
  }
  aState.mHardState = aRecord;
  return true;
}

bool
Replay(recovered_state& aState, log_entry const& aRecord)
{
  auto const base = aState.mSnapshot.mIndex;
  if (aRecord.mIndex <= base ||
      aRecord.mIndex > base + aState.mEntries.size() + 1) {
    return false;
  }
  aState.mEntries.resize(aRecord.mIndex - base - 1);
  aState.mEntries.push_back(aRecord);
  return true;
}

bool
Replay(recovered_state& aState, commit_mark const& aRecord)
{
  if (aRecord.mIndex > aState.mSnapshot.mIndex + aState.mEntries.size()) {
    return false;
  }
  aState.mCommitted = std::max(aState.mCommitted, aRecord.mIndex);
  return true;
}

}

recovered_state
InitialState(core::instance_id const& aInstance, replica_group const& aGroup)
{
  recovered_state state;
  state.mIdentity.mInstance = aInstance;
  // The initial group is not part of any entry, so an empty replica cannot
  // build its state from entries alone. Index 1 has no entry, which makes the
  // leader send a snapshot instead.
  state.mSnapshot.mIndex = 1;
  state.mCommitted = 1;
  state.mSnapshot.mGroup = aGroup;
  for (auto& [instance, member] : state.mSnapshot.mGroup) {
    member.mVoter = true;
    member.mIncarnation = core::incarnation{ 1 };
  }
  state.mIdentity.mIncarnation = core::incarnation{ 1 };
  return state;
}

recovered_state
EmptyState(core::instance_id const& aInstance, core::incarnation aIncarnation)
{
  recovered_state state;
  state.mIdentity = { aInstance, aIncarnation };
  return state;
}

bool
ReplayRecord(recovered_state& aState, journal_record const& aRecord)
{
  return std::visit(
    [&aState](auto const& aEntry) { return Replay(aState, aEntry); }, aRecord);
}

std::string_view
EditStatusName(edit_status aStatus)
{
  switch (aStatus) {
    case edit_status::kAccepted:
      return "accepted";
    case edit_status::kUnchanged:
      return "unchanged";
    case edit_status::kConflict:
      return "conflict";
    case edit_status::kInvalid:
      return "invalid";
    case edit_status::kNotLeader:
      return "not_leader";
    case edit_status::kNoMajority:
      return "no_majority";
    case edit_status::kUnknown:
      return "unknown";
    case edit_status::kStorageFailed:
      return "storage_failed";
  }
  return "unknown";
}

std::string_view
ReplicaRoleName(replica_role aRole)
{
  switch (aRole) {
    case replica_role::kJoining:
      return "joining";
    case replica_role::kFollower:
      return "follower";
    case replica_role::kPreCandidate:
      return "pre_candidate";
    case replica_role::kCandidate:
      return "candidate";
    case replica_role::kLeader:
      return "leader";
    case replica_role::kFailed:
      return "failed";
  }
  return "failed";
}

}
