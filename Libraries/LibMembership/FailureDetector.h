#pragma once

#include "LibCore/Random.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Outbox.h"

#include <map>
#include <vector>

/// SWIM-style failure detection within the own zone.
namespace cranberryfold::membership::detail {

inline constexpr core::duration kProbeInterval = std::chrono::seconds(1);
/// Timeout of a direct ping; several round trips within a region.
inline constexpr core::duration kDirectTimeout = std::chrono::milliseconds(300);
/// Time from the start of a probe until the target is suspected, including
/// indirect probes.
inline constexpr core::duration kProbeTimeout = std::chrono::milliseconds(900);
inline constexpr std::size_t kIndirectProbeCount = 3;

/// Selects the members to probe and detects those that do not respond. Each
/// round probes one random member and one fixed neighbour on the ring, so that
/// a failure is detected within a bounded number of rounds, not only with high
/// probability.
class failure_detector
{
public:
  struct probe
  {
    std::uint64_t mSequence = 0;
    contact mTarget;
  };

  explicit failure_detector(bool aUseIndirectProbes)
    : mUseIndirectProbes(aUseIndirectProbes)
  {
  }

  /// Starts a probe round if one is due. Returns the probes for which a ping
  /// must be sent; empty if no round is due.
  std::vector<probe> StartRound(core::time_point aNow,
                                core::instance_id const& aOwn,
                                zone_roster const& aRoster,
                                core::random_source& aRandom);

  /// Sends ping requests for targets that did not respond directly. Returns the
  /// targets that responded neither directly nor indirectly.
  std::vector<contact> CheckTimeouts(core::time_point aNow,
                                     core::instance_id const& aOwn,
                                     zone_roster const& aRoster,
                                     core::random_source& aRandom,
                                     outbox& aOutbox);

  /// Starts a probe on behalf of aRequester.
  probe StartIndirect(core::time_point aNow,
                      contact const& aRequester,
                      ping_request const& aRequest);

  /// Completes a probe; forwards the ack when another member requested it.
  void HandleAck(std::uint64_t aSequence, outbox& aOutbox);

  /// Drops all pending probes. Used after a pause of the own process, when
  /// their timeouts are no evidence of a failure.
  void DropPending() { mProbes.clear(); }

private:
  struct pending_probe
  {
    contact mTarget;
    core::time_point mStarted;
    bool mPingRequestsSent = false;
    /// Set for a probe on behalf of another member.
    std::optional<contact> mRequester;
    std::uint64_t mRequesterSequence = 0;
  };

  probe Start(core::time_point aNow, contact const& aTarget);
  void SendPingRequests(std::uint64_t aSequence,
                        pending_probe const& aProbe,
                        core::instance_id const& aOwn,
                        zone_roster const& aRoster,
                        core::random_source& aRandom,
                        outbox& aOutbox) const;

  bool mUseIndirectProbes;
  std::map<std::uint64_t, pending_probe> mProbes;
  std::uint64_t mLastSequence = 0;
  std::uint64_t mRound = 0;
  std::optional<core::time_point> mNextRound;
};

}
