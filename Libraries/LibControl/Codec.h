#pragma once

#include "LibControl/Events.h"
#include "LibControl/Messages.h"
#include "LibCore/Error.h"

#include <string>
#include <string_view>

/// Binary encoding of messages, journal records and snapshots. Every decoder
/// fails with kMalformed if the bytes cannot be decoded.
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

/// Content of a snapshot file.
struct stored_snapshot
{
  /// Number of the snapshot in its data directory, starting at 0. The journal
  /// file that continues the snapshot has the same generation.
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
