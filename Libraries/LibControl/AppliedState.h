#pragma once

#include "LibControl/Types.h"

#include <optional>
#include <unordered_map>

namespace cranberryfold::control {

/// How long answers to edits are kept: as long as either limit holds.
struct retention
{
  core::duration mTime{};
  std::size_t mCount = 0;

  bool operator==(retention const&) const = default;
};

/// The outcome of the committed entries. Applying the same entries gives the
/// same state on every replica.
class applied_state
{
public:
  applied_state(snapshot aSnapshot, retention aRetention);

  /// Applies the entry after the current index.
  void Apply(log_entry const& aEntry);

  snapshot const& State() const { return mState; }
  std::uint64_t Hash() const { return mHash; }

  /// Returns the accepted edit of that id, or nullptr when there is none or it
  /// is no longer kept.
  edit_record const* FindEdit(core::edit_id const& aId) const;
  /// Returns the edit that made aRevision, or nullptr as FindEdit() does.
  edit_record const* FindRevision(core::revision aRevision) const;
  /// Returns the first operator's edit after aBase, or nullptr as FindEdit()
  /// does.
  edit_record const* FindOperatorEditAfter(core::revision aBase) const;
  /// Whether aEdit can still be accepted on its base revision.
  bool IsBaseFree(tables::edit const& aEdit) const;

private:
  void ApplyEdit(log_entry const& aEntry, tables::edit const& aEdit);
  void DropOldRecords();

  snapshot mState;
  retention mRetention;
  std::uint64_t mHash = 0;
  std::unordered_map<core::edit_id, core::revision> mRevisions;
};

/// Applies what aPayload changes in the group; other payloads change nothing.
void
ApplyToGroup(replica_group& aGroup, entry_payload const& aPayload);

/// Returns whether aPayload changes the group.
bool
ChangesGroup(entry_payload const& aPayload);
bool
ChangesGroup(tables::edit const& aEdit);

}
