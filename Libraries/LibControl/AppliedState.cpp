#include "LibControl/AppliedState.h"

#include "LibCore/Assert.h"
#include "LibCore/Error.h"
#include "LibTables/TableRules.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::control {

namespace {

/// Applies changes of the control group; ignores changes of the tables.
struct group_applier
{
  replica_group& mGroup;

  void operator()(tables::add_replica const& aChange) const
  {
    mGroup.emplace(aChange.mInstance,
                   group_member{ aChange.mPeerAddress, {}, false });
  }
  void operator()(tables::remove_replica const& aChange) const
  {
    mGroup.erase(aChange.mInstance);
  }
  template<class RowChange>
  void operator()(RowChange const&) const
  {
  }
};

bool
IsGroupChange(tables::change const& aChange)
{
  return std::holds_alternative<tables::add_replica>(aChange) ||
         std::holds_alternative<tables::remove_replica>(aChange);
}

}

void
ApplyToGroup(replica_group& aGroup, entry_payload const& aPayload)
{
  if (auto const* accepted = std::get_if<edit_entry>(&aPayload)) {
    for (auto const& change : accepted->mEdit.mChanges) {
      std::visit(group_applier{ aGroup }, change);
    }
  }
  if (auto const* admitted = std::get_if<admit_entry>(&aPayload)) {
    auto const member = aGroup.find(admitted->mInstance);
    if (member != aGroup.end()) {
      member->second.mIncarnation = admitted->mIncarnation;
      member->second.mVoter = true;
    }
  }
}

bool
ChangesGroup(entry_payload const& aPayload)
{
  if (auto const* accepted = std::get_if<edit_entry>(&aPayload)) {
    return ChangesGroup(accepted->mEdit);
  }
  return std::holds_alternative<admit_entry>(aPayload);
}

bool
ChangesGroup(tables::edit const& aEdit)
{
  return std::any_of(
    aEdit.mChanges.begin(), aEdit.mChanges.end(), IsGroupChange);
}

applied_state::applied_state(snapshot aSnapshot, retention_limits aRetention)
  : mState(std::move(aSnapshot))
  , mRetention(aRetention)
  , mHash(tables::ContentHash(mState.mTables))
{
  for (auto const& record : mState.mHistory) {
    mRevisions.emplace(record.mId, record.mRevision);
  }
}

void
applied_state::Apply(log_entry const& aEntry)
{
  CF_ASSERT(aEntry.mIndex == mState.mIndex + 1, "entries applied with a gap");
  mState.mIndex = aEntry.mIndex;
  mState.mTerm = aEntry.mTerm;
  mState.mLogTime = aEntry.mLogTime;
  ApplyToGroup(mState.mGroup, aEntry.mPayload);
  if (auto const* accepted = std::get_if<edit_entry>(&aEntry.mPayload)) {
    ApplyEdit(aEntry, accepted->mEdit);
  }
}

void
applied_state::ApplyEdit(log_entry const& aEntry, tables::edit const& aEdit)
{
  CF_ASSERT(IsBaseCurrent(aEdit),
            "committed edit has an outdated base revision");
  auto changed = core::Attempt(
    [&] { return tables::ApplyChanges(mState.mTables, aEdit.mChanges); });
  CF_ASSERT(changed, core::FormatError(changed.mError));
  mState.mTables = std::move(*changed);
  mState.mRevision = core::revision{ mState.mRevision.mValue + 1 };
  bool const isSystem = tables::IsSystemEdit(aEdit);
  if (!isSystem) {
    mState.mOperatorRevision = mState.mRevision;
  }
  mState.mHistory.push_back({ mState.mRevision,
                              aEdit.mId,
                              aEntry.mLogTime,
                              static_cast<std::uint32_t>(aEdit.mChanges.size()),
                              isSystem });
  mRevisions.emplace(aEdit.mId, mState.mRevision);
  mHash = tables::ContentHash(mState.mTables);
  DropOldRecords();
}

void
applied_state::DropOldRecords()
{
  auto& history = mState.mHistory;
  while (history.size() > mRetention.mCount &&
         mState.mLogTime - history.front().mLogTime > mRetention.mTime) {
    mRevisions.erase(history.front().mId);
    history.pop_front();
  }
}

edit_record const*
applied_state::FindEdit(core::edit_id const& aId) const
{
  auto const found = mRevisions.find(aId);
  return found == mRevisions.end() ? nullptr : FindRevision(found->second);
}

edit_record const*
applied_state::FindRevision(core::revision aRevision) const
{
  auto const& history = mState.mHistory;
  if (history.empty() || aRevision < history.front().mRevision ||
      aRevision > history.back().mRevision) {
    return nullptr;
  }
  // Every accepted edit creates one revision, so the history has no gaps.
  return &history[aRevision.mValue - history.front().mRevision.mValue];
}

edit_record const*
applied_state::FindOperatorEditAfter(core::revision aBase) const
{
  auto const* record = FindRevision({ aBase.mValue + 1 });
  while (record != nullptr && record->mIsSystem) {
    record = FindRevision({ record->mRevision.mValue + 1 });
  }
  return record;
}

bool
applied_state::IsBaseCurrent(tables::edit const& aEdit) const
{
  if (aEdit.mBase > mState.mRevision) {
    return false;
  }
  return tables::IsSystemEdit(aEdit) ? aEdit.mBase == mState.mRevision
                                     : aEdit.mBase >= mState.mOperatorRevision;
}

}
