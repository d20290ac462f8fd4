#include "LibMembership/DisseminationTree.h"

#include <algorithm>

namespace cranberryfold::membership {

namespace {

using peer_iterator = std::vector<contact>::const_iterator;

/// Returns the branch for a part with at least one peer.
tree_branch
MakeBranch(peer_iterator aFirst, peer_iterator aEnd, bool aReversed)
{
  auto const last = aEnd - 1;
  auto const head = aReversed ? last : aFirst;
  if (aFirst == last) {
    return { *head, std::nullopt };
  }
  auto const restFirst = aReversed ? aFirst : aFirst + 1;
  auto const restLast = aReversed ? last - 1 : last;
  return { *head,
           tree_range{ restFirst->mInstance, restLast->mInstance, aReversed } };
}

}

std::vector<tree_branch>
SplitRange(std::vector<contact> const& aPeers, tree_range const& aRange)
{
  auto const before = [](contact const& aPeer, core::instance_id const& aId) {
    return aPeer.mInstance < aId;
  };
  auto const after = [](core::instance_id const& aId, contact const& aPeer) {
    return aId < aPeer.mInstance;
  };
  auto const first =
    std::lower_bound(aPeers.begin(), aPeers.end(), aRange.mFirst, before);
  auto const end =
    std::upper_bound(aPeers.begin(), aPeers.end(), aRange.mLast, after);
  if (first >= end) {
    return {};
  }
  auto const count = static_cast<std::size_t>(end - first);
  auto const parts = std::min(count, kTreeFanOut);
  std::vector<tree_branch> branches;
  for (std::size_t part = 0; part < parts; ++part) {
    auto const from = first + static_cast<std::ptrdiff_t>(count * part / parts);
    auto const to =
      first + static_cast<std::ptrdiff_t>(count * (part + 1) / parts);
    branches.push_back(MakeBranch(from, to, aRange.mReversed));
  }
  return branches;
}

std::optional<tree_range>
WholeRange(std::vector<contact> const& aPeers, bool aReversed)
{
  if (aPeers.empty()) {
    return std::nullopt;
  }
  return tree_range{ aPeers.front().mInstance,
                     aPeers.back().mInstance,
                     aReversed };
}

}
