#pragma once

#include "LibCore/Time.h"
#include "LibMembership/Messages.h"

#include <map>
#include <optional>
#include <vector>

/// Follows pushed tables until their receivers have proved to hold them.
namespace cranberryfold::membership::detail {

/// Time after which a receiver is asked for its revision; longer than a round
/// trip between regions, 40 ms at the users' sites, and the forwarding there.
inline constexpr core::duration kPushCheckInterval =
  std::chrono::milliseconds(300);
/// Checks after which a receiver is given up: failure detection has removed a
/// failed one by then, or a comparison finds that it is behind.
inline constexpr int kMaximumPushChecks = 8;
/// Checks without an answer after which others are sent what the receiver had
/// to forward.
inline constexpr int kUnansweredPushChecks = 1;

/// What a receiver of a push had to forward, and how it is done without it.
struct push_duty
{
  /// The revision that precedes the pushed changes.
  core::revision mBase;
  core::revision mRevision;
  /// Members that the receiver had to forward the push to.
  std::optional<tree_range> mRange;
  /// Members of another zone that can replace the receiver there.
  std::vector<contact> mReplacements;
  bool mIsOtherZone = false;

  bool operator==(push_duty const&) const = default;
};

class push_tracker
{
public:
  /// Tracks a push until its receiver confirms it. A newer push to the same
  /// receiver replaces an earlier one.
  void Track(core::time_point aNow, contact const& aTo, push_duty aDuty);

  /// Returns the duty of a receiver whose revision shows that it lacks the
  /// push, so that it cannot have forwarded it. Returns each duty once.
  std::optional<push_duty> HandleRevision(core::instance_id const& aFrom,
                                          core::revision aRevision);

  struct due_checks
  {
    std::vector<contact> mReceivers;
    /// Duties of receivers that have not answered.
    std::vector<push_duty> mDuties;
  };

  due_checks TakeDue(core::time_point aNow);

private:
  struct tracked_push
  {
    contact mTo;
    push_duty mDuty;
    core::time_point mNextCheck;
    int mChecks = 0;
    bool mIsDutyTaken = false;
  };

  std::map<core::instance_id, tracked_push> mPushes;
};

}
