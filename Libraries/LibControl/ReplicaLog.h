#pragma once

#include "LibControl/Types.h"

#include <deque>
#include <optional>

namespace cranberryfold::control {

/// Returns the size of the edit in an entry; 0 for other entries.
std::size_t
EntryBytes(log_entry const& aEntry);

/// The entries of the log in memory. Entries up to the base are compacted.
class replica_log
{
public:
  replica_log(log_index aBase, term_number aBaseTerm);

  log_index Base() const { return mBase; }
  log_index LastIndex() const { return mBase + mEntries.size(); }
  term_number LastTerm() const;

  /// Returns the term of an entry; nothing when it is compacted or missing. The
  /// base itself has a term.
  std::optional<term_number> TermAt(log_index aIndex) const;

  /// aIndex must be above the base and at most LastIndex().
  log_entry const& At(log_index aIndex) const;

  /// aEntry must have the next index.
  void Append(log_entry aEntry);
  /// Removes aIndex and all after it.
  void TruncateFrom(log_index aIndex);
  /// Moves the base up to aIndex.
  void CompactTo(log_index aIndex);
  /// Returns the entries from aFirst on, at most aMaximum, and none after
  /// aMaximumBytes are reached.
  std::vector<log_entry> Slice(log_index aFirst,
                               std::size_t aMaximum,
                               std::size_t aMaximumBytes) const;

private:
  log_index mBase;
  term_number mBaseTerm;
  std::deque<log_entry> mEntries;
};

}
