#pragma once

#include "LibControl/Types.h"

#include <deque>
#include <optional>

namespace cranberryfold::control {

/// Returns the encoded size of the edit in aEntry, in bytes; 0 for other
/// entries.
std::size_t
EntryBytes(log_entry const& aEntry);

/// In-memory part of the log. Entries up to and including the base index are
/// compacted, so they are only in the snapshot.
class replica_log
{
public:
  replica_log(log_index aBase, term_number aBaseTerm);

  log_index Base() const { return mBase; }
  log_index LastIndex() const { return mBase + mEntries.size(); }
  term_number LastTerm() const;

  /// Returns the term of the entry at aIndex, also for the base index, or
  /// std::nullopt if the entry is compacted or does not exist.
  std::optional<term_number> TermAt(log_index aIndex) const;

  /// Returns the entry at aIndex, which must be above the base and at most
  /// LastIndex().
  log_entry const& At(log_index aIndex) const;

  /// aEntry must have the next index.
  void Append(log_entry aEntry);
  /// Removes the entry at aIndex and all later ones.
  void TruncateFrom(log_index aIndex);
  /// Removes all entries up to and including aIndex, which becomes the base.
  void CompactTo(log_index aIndex);
  /// Returns at most aMaximumCount entries from aFirst on. Stops once their
  /// edits reach aMaximumBytes, so the last entry may exceed that size.
  std::vector<log_entry> Slice(log_index aFirst,
                               std::size_t aMaximumCount,
                               std::size_t aMaximumBytes) const;

private:
  log_index mBase;
  term_number mBaseTerm;
  std::deque<log_entry> mEntries;
};

}
