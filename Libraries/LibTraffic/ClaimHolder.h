#pragma once

#include "LibCore/Time.h"
#include "LibTraffic/ClaimMap.h"
#include "LibTraffic/ClaimMessages.h"
#include "LibTraffic/ClaimStore.h"

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// The granting side of a claim: one object on each daemon.
///
/// A holder grants a key to at most one attempt, and removes a grant only after
/// the attempt has released the key or the retention time has passed. It grants
/// in a group only after it has copied the grants of every earlier group from
/// enough holders to intersect each majority of that group; those holders then
/// grant nothing in the older groups. After a restart it copies from the other
/// holders of its own group in the same way, and they report its new
/// incarnation with every later grant, which invalidates the grants of its
/// earlier incarnation.
namespace cranberryfold::traffic {

/// Time for which a key is kept after its claim. Longer than
/// kMaximumResendTime, the time for which callers resend a request.
inline constexpr core::duration kClaimRetention = std::chrono::minutes(10);
inline constexpr core::duration kMaximumResendTime = std::chrono::minutes(8);

/// Mechanisms that randomised runs can disable to show the effect of each.
struct claim_mechanisms
{
  bool mMajority = true;
  bool mEpochFence = true;
  bool mHolderRecovery = true;
  bool mIncarnationFence = true;

  bool operator==(claim_mechanisms const&) const = default;
};

struct claim_holder_settings
{
  holder_id mSelf;
  core::duration mRetention = kClaimRetention;
  std::size_t mMaximumRecords = 100000;
  /// Memory of keys, records and stored responses, in bytes.
  std::size_t mMaximumBytes = 64UL * 1024UL * 1024UL;
  claim_mechanisms mMechanisms;

  bool operator==(claim_holder_settings const&) const = default;
};

/// The daemon has received a claim map. A map that is not newer than the known
/// one is ignored.
struct claim_map_installed
{
  claim_map mMap;
};

struct claim_message_received
{
  core::instance_id mFrom;
  claim_message mMessage;
};

/// Expected every 100 ms.
struct claim_tick
{};

using claim_holder_event =
  std::variant<claim_map_installed, claim_message_received, claim_tick>;

/// The holder grants in this group from now on.
struct shard_activated
{
  shard_id mShard;
  claim_epoch mEpoch;

  bool operator==(shard_activated const&) const = default;
};

using claim_holder_action = std::variant<send_claim_message, shard_activated>;

class claim_holder
{
public:
  using actions = std::vector<claim_holder_action>;

  /// aStart is when the process started; keys that were claimed earlier may be
  /// lost.
  claim_holder(claim_holder_settings aSettings, core::time_point aStart);

  actions Handle(core::time_point aNow, claim_holder_event const& aEvent);

  /// Returns whether this holder grants keys of aShard.
  bool Votes(shard_id const& aShard) const;
  claim_store const& Store() const { return mStore; }

private:
  /// What another holder has reported about a shard since its group last
  /// changed.
  struct source
  {
    holder_id mHolder;
    claim_epoch mActiveEpoch;
    core::time_point mLossUntil;
    std::string mAfterKey;
    bool mComplete = false;
  };

  struct shard_status
  {
    claim_epoch mActiveEpoch;
    claim_epoch mFence;
    std::map<core::instance_id, source> mSources;
    core::time_point mNextRequest;
  };

  void On(core::time_point aNow, claim_map_installed const& aEvent);
  void On(core::time_point aNow, claim_message_received const& aEvent);
  void On(core::time_point aNow, claim_tick const& aEvent);

  void Receive(core::time_point aNow, claim_request const& aRequest);
  void Receive(core::time_point aNow, claim_update const& aUpdate);
  void Receive(core::time_point aNow, copy_request const& aRequest);
  void Receive(core::time_point aNow, copy_reply const& aReply);
  template<class Other>
  void Receive(core::time_point, Other const&)
  {
  }

  claim_verdict Check(claim_request const& aRequest) const;
  void Reply(claim_request const& aRequest,
             claim_verdict aVerdict,
             claim_record const* aRecord);
  void Grant(core::time_point aNow, claim_request const& aRequest);
  bool IsEarlierIncarnation(holder_id const& aHolder) const;
  void RecordIncarnation(holder_id const& aHolder);
  void AdoptGroups(core::time_point aNow, copy_request const& aRequest);
  void RequestCopies(core::time_point aNow,
                     shard_id const& aShard,
                     claim_shard const& aGroups);
  void RequestPage(shard_id const& aShard,
                   claim_shard const& aGroups,
                   core::instance_id const& aFrom,
                   std::string const& aAfterKey);
  void TryActivate(core::time_point aNow,
                   shard_id const& aShard,
                   claim_shard const& aGroups);
  bool CoversFrom(core::time_point aNow,
                  shard_status const& aStatus,
                  std::vector<claim_group const*> const& aChain,
                  std::size_t aFirst) const;
  source const* FindSource(shard_status const& aStatus,
                           source const& aSelf,
                           core::instance_id const& aInstance) const;
  bool IsHolderOf(claim_shard const& aShard) const;

  claim_holder_settings mSettings;
  core::time_point mStart;
  claim_map mMap;
  claim_store mStore;
  std::map<shard_id, shard_status> mShards;
  /// The newest known incarnation of other holders.
  std::map<core::instance_id, core::incarnation> mNewestIncarnations;
  actions mActions;
};

}
