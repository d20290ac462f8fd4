#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberryfold::traffic {

/// Identifies one call at one daemon. Chosen by the owner of the queue, never
/// reused.
using call_id = core::number_id<struct call_tag>;

struct queued_call
{
  call_id mCall;
  /// Calls of a higher level leave first.
  std::uint32_t mLevel = 0;
  core::time_point mArrived;
  core::time_point mDeadline;

  bool operator==(queued_call const&) const = default;
};

/// Calls that wait for admission, ordered by level and then by arrival.
class admission_queue
{
public:
  void Push(queued_call aCall);

  /// Removes and returns the oldest call of the highest level; empty if no call
  /// waits.
  std::optional<queued_call> PopFirst();

  /// Removes and returns the newest call of the lowest level; empty if no call
  /// waits in a level below aLevel.
  std::optional<queued_call> PopNewestBelow(std::uint32_t aLevel);

  /// Removes and returns the calls that arrived before aOldest or whose
  /// deadline has passed at aNow.
  std::vector<queued_call> PopExpired(core::time_point aNow,
                                      core::time_point aOldest);

  /// Removes a call; returns false if it is not in the queue.
  bool Remove(call_id aCall);

  /// Returns the number of waiting calls of aLevel and higher levels.
  std::size_t CountFromLevel(std::uint32_t aLevel) const;

  std::size_t Size() const { return mCalls.size(); }
  bool IsEmpty() const { return mCalls.empty(); }

private:
  /// Inverted level, then sequence number: the first entry leaves first.
  using order = std::pair<std::uint32_t, std::uint64_t>;
  using entries = std::map<order, queued_call>;

  queued_call Take(entries::iterator aEntry);

  entries mCalls;
  std::unordered_map<call_id, order> mOrders;
  std::uint64_t mLastSequence = 0;
};

}
