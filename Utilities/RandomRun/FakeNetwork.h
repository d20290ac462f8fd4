#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cranberryfold::random_run {

/// Probabilities, from 0 to 1, and delays of a fake network.
struct network_faults
{
  double mDrop = 0;
  double mDuplicate = 0;
  core::duration mMinimumDelay{ 500 };
  core::duration mMaximumDelay{ 2000 };

  bool operator==(network_faults const&) const = default;
};

struct network_counters
{
  std::uint64_t mSent = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mDuplicated = 0;
  std::uint64_t mCut = 0;

  bool operator==(network_counters const&) const = default;
};

/// Delivers messages between nodes on virtual time. Random delays reorder
/// them; cuts are one-way, so that half-open partitions can be made.
template<class Node, class Message>
class fake_network
{
public:
  struct delivery
  {
    Node mFrom;
    Node mTo;
    Message mMessage;
  };

  explicit fake_network(core::random_source& aRandom)
    : mRandom(aRandom)
  {
  }

  void SetFaults(network_faults const& aFaults) { mFaults = aFaults; }

  /// Drops all that aFrom sends to aTo from now on.
  void Cut(Node const& aFrom, Node const& aTo) { mCuts.emplace(aFrom, aTo); }
  void Heal(Node const& aFrom, Node const& aTo) { mCuts.erase({ aFrom, aTo }); }
  void HealAll() { mCuts.clear(); }
  bool IsCut(Node const& aFrom, Node const& aTo) const
  {
    return mCuts.contains({ aFrom, aTo });
  }

  void Send(core::time_point aNow,
            Node const& aFrom,
            Node const& aTo,
            Message aMessage,
            core::duration aExtraDelay = {})
  {
    ++mCounters.mSent;
    if (mRandom.Chance(mFaults.mDrop)) {
      ++mCounters.mDropped;
      return;
    }
    if (mRandom.Chance(mFaults.mDuplicate)) {
      ++mCounters.mDuplicated;
      Enqueue(aNow + aExtraDelay, { aFrom, aTo, aMessage });
    }
    Enqueue(aNow + aExtraDelay, { aFrom, aTo, std::move(aMessage) });
  }

  /// Returns what arrives up to aNow, in order of arrival. A cut also loses
  /// what is on its way.
  std::vector<delivery> Take(core::time_point aNow)
  {
    std::vector<delivery> arrived;
    while (!mQueue.empty() && mQueue.begin()->first.first <= aNow) {
      auto entry = mQueue.extract(mQueue.begin());
      if (IsCut(entry.mapped().mFrom, entry.mapped().mTo)) {
        ++mCounters.mCut;
        continue;
      }
      arrived.push_back(std::move(entry.mapped()));
    }
    return arrived;
  }

  /// Returns when the next message arrives; aNever when there is none.
  core::time_point NextArrival(core::time_point aNever) const
  {
    return mQueue.empty() ? aNever : mQueue.begin()->first.first;
  }

  network_counters const& Counters() const { return mCounters; }

private:
  void Enqueue(core::time_point aSent, delivery aDelivery)
  {
    auto const spread = static_cast<std::uint64_t>(
      (mFaults.mMaximumDelay - mFaults.mMinimumDelay).count() + 1);
    auto const delay =
      mFaults.mMinimumDelay +
      core::duration(static_cast<std::int64_t>(mRandom.Below(spread)));
    mQueue.emplace(std::pair(aSent + delay, mLastSequence++),
                   std::move(aDelivery));
  }

  core::random_source& mRandom;
  network_faults mFaults;
  network_counters mCounters;
  std::set<std::pair<Node, Node>> mCuts;
  std::map<std::pair<core::time_point, std::uint64_t>, delivery> mQueue;
  std::uint64_t mLastSequence = 0;
};

}
