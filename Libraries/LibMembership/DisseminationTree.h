#pragma once

#include "LibMembership/Messages.h"

#include <vector>

/// The tree over the members of a zone along which large news travel. Each
/// message names the range of instance ids that its receiver is responsible
/// for, so that daemons with slightly different views still cover every id.
namespace cranberryfold::membership {

inline constexpr std::size_t kTreeFanOut = 8;

struct tree_branch
{
  /// Receives the message.
  contact mHead;
  /// What the head passes it on to; nothing for a leaf.
  std::optional<tree_range> mRange;

  bool operator==(tree_branch const&) const = default;
};

/// Splits the peers within aRange into at most kTreeFanOut branches. aPeers is
/// sorted by instance and does not contain the own daemon.
std::vector<tree_branch>
SplitRange(std::vector<contact> const& aPeers, tree_range const& aRange);

/// Returns the range of all of aPeers, or nothing when there are none.
std::optional<tree_range>
WholeRange(std::vector<contact> const& aPeers, bool aReversed);

}
