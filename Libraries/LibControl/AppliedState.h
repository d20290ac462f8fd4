#pragma once

#include "LibControl/Types.h"

#include <optional>
#include <unordered_map>

namespace cranberryfold::control {

/// Limits on the accepted edits that are kept. An edit is dropped only once it
/// exceeds both limits.
struct retention_limits
{
  core::duration mTime{};
  std::size_t mCount = 0;

  bool operator==(retention_limits const&) const = default;
};

/// State machine of the log: the tables, group and history after the committed
/// entries. Applying the same entries gives the same state on every replica.
class applied_state
{
public:
  applied_state(snapshot aSnapshot, retention_limits aRetention);

  /// Applies aEntry, which must have the index after the current one.
  void Apply(log_entry const& aEntry);

  snapshot const& State() const { return mState; }
  std::uint64_t Hash() const { return mHash; }

  /// Returns the accepted edit with the id aId, or nullptr if there is none or
  /// it is no longer kept.
  edit_record const* FindEdit(core::edit_id const& aId) const;
  /// Returns the edit that created aRevision, or nullptr as FindEdit() does.
  edit_record const* FindRevision(core::revision aRevision) const;
  /// Returns the first edit by an operator after aBase, or nullptr if there is
  /// none or a revision before it is no longer kept.
  edit_record const* FindOperatorEditAfter(core::revision aBase) const;
  /// Returns whether aEdit can still be accepted on its base revision: no
  /// operator's edit came after it. An edit of the control leader needs the
  /// current revision as its base.
  bool IsBaseCurrent(tables::edit const& aEdit) const;

private:
  void ApplyEdit(log_entry const& aEntry, tables::edit const& aEdit);
  void DropOldRecords();

  snapshot mState;
  retention_limits mRetention;
  std::uint64_t mHash = 0;
  std::unordered_map<core::edit_id, core::revision> mRevisions;
};

/// Applies the group changes in aPayload; ignores all other changes.
void
ApplyToGroup(replica_group& aGroup, entry_payload const& aPayload);

/// Returns whether an entry or edit changes the group.
bool
ChangesGroup(entry_payload const& aPayload);
bool
ChangesGroup(tables::edit const& aEdit);

}
