#pragma once

#include "LibCore/Random.h"
#include "LibCore/Reasons.h"
#include "LibCore/Time.h"
#include "LibTraffic/ClaimHolder.h"
#include "LibTraffic/ClaimMap.h"
#include "LibTraffic/ClaimMessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// The dispatching side of a claim.
///
/// At-most-once execution: a request is dispatched only under an attempt that a
/// majority of one group has granted. A holder grants a key to one attempt
/// until that attempt is released, and only its coordinator releases it, after
/// deciding never to dispatch under it. Two majorities of a group share a
/// holder; holders that lost their memory and holders of a newer group first
/// copy what every majority may have granted (ClaimHolder.h). So two attempts
/// for one key are never both dispatched within the retention time. A grant is
/// valid for kDispatchWindow only, far less than the retention time, so that a
/// coordinator that was suspended for a long time does not use an expired one.
namespace cranberryfold::traffic {

/// A granted request that is not dispatched within this time is not dispatched
/// at all.
inline constexpr core::duration kDispatchWindow = std::chrono::seconds(10);

struct claim_coordinator_settings
{
  holder_id mSelf;
  /// Maximum duration of one round of requests to a group; then the attempt is
  /// released.
  core::duration mRoundTimeout = std::chrono::milliseconds(400);
  /// Interval at which unanswered requests are resent.
  core::duration mResendAfter = std::chrono::milliseconds(100);
  /// Time for which updates are resent to holders that do not acknowledge them.
  core::duration mUpdateTimeout = std::chrono::seconds(20);
  std::size_t mMaximumUpdates = 20000;
  claim_mechanisms mMechanisms;

  bool operator==(claim_coordinator_settings const&) const = default;
};

/// A non-idempotent request with a key needs a claim before its dispatch.
struct claim_wanted
{
  /// Number of the request at this daemon; unique while the request is open.
  std::uint64_t mRequest = 0;
  std::string mKey;
  /// Time at which the caller stops waiting.
  core::time_point mDeadline;
};

/// The caller disconnected before the claim was granted, or the daemon decided
/// not to dispatch.
struct claim_abandoned
{
  std::uint64_t mRequest = 0;
};

enum class dispatch_outcome : std::uint8_t
{
  kNotRun,
  kRan,
  kUnknown,
};

/// The final outcome of a granted request, after all its attempts.
struct dispatch_finished
{
  std::uint64_t mRequest = 0;
  dispatch_outcome mOutcome = dispatch_outcome::kUnknown;
  /// Encoded by the daemon; not stored if larger than
  /// kMaximumStoredResponseBytes.
  std::string mResponse;
};

using claim_coordinator_event = std::variant<claim_wanted,
                                             claim_abandoned,
                                             dispatch_finished,
                                             claim_map_installed,
                                             claim_message_received,
                                             claim_tick>;

/// The request is to be dispatched now. If mDispatchBefore has passed when the
/// daemon writes the request, it does not dispatch and reports kNotRun.
struct claim_granted
{
  std::uint64_t mRequest = 0;
  attempt_id mAttempt;
  core::time_point mDispatchBefore;

  bool operator==(claim_granted const&) const = default;
};

enum class claim_answer : std::uint8_t
{
  kStoredResponse,
  kRanAnswerGone,
  /// The request may have run; it will not be run again.
  kUnknown,
  /// The request has not been run and will not be.
  kNotRun,
};

/// The request is not dispatched, and the caller is to be answered.
struct claim_answered
{
  std::uint64_t mRequest = 0;
  claim_answer mAnswer = claim_answer::kNotRun;
  /// For kNotRun and kUnknown.
  core::refusal_reason mReason = core::refusal_reason::kClaimUnavailable;
  std::string mResponse;

  bool operator==(claim_answered const&) const = default;
};

using claim_coordinator_action =
  std::variant<send_claim_message, claim_granted, claim_answered>;

class claim_coordinator
{
public:
  using actions = std::vector<claim_coordinator_action>;

  claim_coordinator(claim_coordinator_settings aSettings,
                    core::random_source& aRandom);

  actions Handle(core::time_point aNow, claim_coordinator_event const& aEvent);

  std::size_t OpenRequests() const { return mClaims.size(); }
  std::size_t PendingUpdates() const { return mUpdates.size(); }

private:
  enum class phase : std::uint8_t
  {
    kAsking,
    kWaiting,
    kGranted,
  };

  struct claim
  {
    std::string mKey;
    core::time_point mDeadline;
    core::time_point mRequestedAt;
    phase mPhase = phase::kAsking;
    attempt_id mAttempt;
    shard_id mShard;
    claim_group mGroup;
    std::map<core::instance_id, claim_reply> mReplies;
    core::time_point mRoundStart;
    core::time_point mNextSend;
    std::uint32_t mRounds = 0;
    /// A holder has reported that another attempt has the key.
    bool mHasCompetingAttempt = false;
  };

  struct update
  {
    claim_update mMessage;
    std::set<core::instance_id> mUnacknowledged;
    std::set<core::instance_id> mAcknowledged;
    core::time_point mGiveUp;
    core::time_point mNextSend;
    core::duration mInterval;
  };

  void On(core::time_point aNow, claim_wanted const& aEvent);
  void On(core::time_point aNow, claim_abandoned const& aEvent);
  void On(core::time_point aNow, dispatch_finished const& aEvent);
  void On(core::time_point aNow, claim_map_installed const& aEvent);
  void On(core::time_point aNow, claim_message_received const& aEvent);
  void On(core::time_point aNow, claim_tick const& aEvent);

  void Receive(core::time_point aNow, claim_reply const& aReply);
  void Receive(core::time_point aNow, claim_update_ack const& aAck);
  template<class Other>
  void Receive(core::time_point, Other const&)
  {
  }

  using claim_iterator = std::map<std::uint64_t, claim>::iterator;

  void StartRound(core::time_point aNow, claim_iterator aEntry);
  void SendRequests(core::time_point aNow, claim& aClaim);
  void EndRound(core::time_point aNow, claim& aClaim);
  void Evaluate(core::time_point aNow, claim_iterator aEntry);
  bool AnswerFromRecord(core::time_point aNow,
                        claim_iterator aEntry,
                        bool aRoundOver);
  std::size_t ValidGrants(claim const& aClaim) const;
  void Answer(core::time_point aNow,
              claim_iterator aEntry,
              claim_answer aAnswer,
              std::string aResponse);
  bool AdoptGroup(shard_id const& aShard, claim_group const& aGroup);
  void Forget(claim_iterator aEntry);
  void GiveUp(core::time_point aNow, claim_iterator aEntry);
  void SendUpdate(core::time_point aNow,
                  claim const& aClaim,
                  claim_state aState,
                  std::string aResponse);
  void AddPresentHolders(update& aUpdate);
  void Send(core::time_point aNow, update& aUpdate);
  void TickClaim(core::time_point aNow, claim_iterator aEntry);
  void TickUpdates(core::time_point aNow);

  claim_coordinator_settings mSettings;
  core::random_source& mRandom;
  claim_map mMap;
  std::uint64_t mLastSequence = 0;
  std::map<std::uint64_t, claim> mClaims;
  std::map<attempt_id, std::uint64_t> mRequestOfAttempt;
  std::map<attempt_id, update> mUpdates;
  actions mActions;
};

}
