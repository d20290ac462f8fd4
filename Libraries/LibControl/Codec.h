#pragma once

#include "LibControl/Events.h"
#include "LibControl/Messages.h"
#include "LibCore/Error.h"

#include <string>
#include <string_view>

/// Binary form of messages, journal records and snapshots. Every decoder fails
/// with kMalformed.
namespace cranberryfold::control {

std::string
EncodeMessage(message const& aMessage);
core::result<message>
DecodeMessage(std::string_view aBytes);

std::string
EncodeRecord(journal_record const& aRecord);
core::result<journal_record>
DecodeRecord(std::string_view aBytes);

std::string
EncodeIdentity(replica_identity const& aIdentity);
core::result<replica_identity>
DecodeIdentity(std::string_view aBytes);

/// The content of a snapshot file.
struct stored_snapshot
{
  /// Counts the snapshots of a data directory; the journal file that follows a
  /// snapshot carries the same number.
  std::uint64_t mGeneration = 0;
  hard_state mHardState;
  snapshot mSnapshot;
  std::vector<log_entry> mEntries;

  bool operator==(stored_snapshot const&) const = default;
};

std::string
EncodeSnapshot(stored_snapshot const& aSnapshot);
core::result<stored_snapshot>
DecodeSnapshot(std::string_view aBytes);

}
