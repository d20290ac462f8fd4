#pragma once

#include "LibMembership/Messages.h"

#include <vector>

/// Dissemination tree over the members of a zone, used for large updates. Each
/// message contains the range of instance ids that its receiver must forward it
/// to, so that daemons with slightly different views still cover every id.
namespace cranberryfold::membership {

inline constexpr std::size_t kTreeFanOut = 8;

struct tree_branch
{
  /// Receives the message and forwards it to mRange.
  contact mHead;
  /// The rest of the branch without mHead; empty when mHead is a leaf.
  std::optional<tree_range> mRange;

  bool operator==(tree_branch const&) const = default;
};

/// Splits the peers within aRange into at most kTreeFanOut branches. aPeers
/// must be sorted by instance and must not contain the own daemon. Returns no
/// branch when no peer is within aRange.
std::vector<tree_branch>
SplitRange(std::vector<contact> const& aPeers, tree_range const& aRange);

/// Returns the range that covers all of aPeers, or std::nullopt when aPeers is
/// empty.
std::optional<tree_range>
WholeRange(std::vector<contact> const& aPeers, bool aReversed);

}
