#include "LibControl/ReplicaLog.h"

#include "LibCore/Assert.h"
#include "LibTables/Codec.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::control {

replica_log::replica_log(log_index aBase, term_number aBaseTerm)
  : mBase(aBase)
  , mBaseTerm(aBaseTerm)
{
}

term_number
replica_log::LastTerm() const
{
  return mEntries.empty() ? mBaseTerm : mEntries.back().mTerm;
}

std::optional<term_number>
replica_log::TermAt(log_index aIndex) const
{
  if (aIndex == mBase) {
    return mBaseTerm;
  }
  if (aIndex < mBase || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return At(aIndex).mTerm;
}

log_entry const&
replica_log::At(log_index aIndex) const
{
  CF_ASSERT(aIndex > mBase && aIndex <= LastIndex(), "index not in the log");
  return mEntries[aIndex - mBase - 1];
}

void
replica_log::Append(log_entry aEntry)
{
  CF_ASSERT(aEntry.mIndex == LastIndex() + 1, "gap in the log");
  mEntries.push_back(std::move(aEntry));
}

void
replica_log::TruncateFrom(log_index aIndex)
{
  CF_ASSERT(aIndex > mBase, "truncation of compacted entries");
  mEntries.resize(std::min<std::size_t>(mEntries.size(), aIndex - mBase - 1));
}

void
replica_log::CompactTo(log_index aIndex)
{
  if (aIndex <= mBase) {
    return;
  }
  mBaseTerm = At(aIndex).mTerm;
  mEntries.erase(mEntries.begin(),
                 mEntries.begin() +
                   static_cast<std::ptrdiff_t>(aIndex - mBase));
  mBase = aIndex;
}

std::vector<log_entry>
replica_log::Slice(log_index aFirst,
                   std::size_t aMaximumCount,
                   std::size_t aMaximumBytes) const
{
  std::vector<log_entry> slice;
  std::size_t bytes = 0;
  for (auto index = aFirst; index <= LastIndex(); ++index) {
    if (slice.size() == aMaximumCount || bytes >= aMaximumBytes) {
      break;
    }
    slice.push_back(At(index));
    bytes += EntryBytes(slice.back());
  }
  return slice;
}

std::size_t
EntryBytes(log_entry const& aEntry)
{
  auto const* const accepted = std::get_if<edit_entry>(&aEntry.mPayload);
  return accepted == nullptr ? 0 : tables::EncodeEdit(accepted->mEdit).size();
}

}
