#pragma once

#include "LibCore/Random.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Outbox.h"

#include <map>
#include <vector>

/// SWIM-like probing of the members of the own zone.
namespace cranberryfold::membership::detail {

inline constexpr core::duration kProbeInterval = std::chrono::seconds(1);
/// Waiting time for a direct answer; several round trips within a region.
inline constexpr core::duration kDirectTimeout = std::chrono::milliseconds(300);
/// Waiting time from the start of a probe until the target is suspected.
inline constexpr core::duration kProbeTimeout = std::chrono::milliseconds(900);
inline constexpr std::size_t kIndirectProbes = 3;

/// Decides whom to probe and who has not answered. Each round probes one
/// random member and one fixed neighbour on the ring, so that a failure is
/// noticed within a bounded number of rounds, not only with high probability.
class failure_detector
{
public:
  struct probe
  {
    std::uint64_t mSequence = 0;
    contact mTarget;
  };

  explicit failure_detector(bool aIndirect)
    : mIndirect(aIndirect)
  {
  }

  /// Starts a round when one is due; returns the pings to send.
  std::vector<probe> StartRound(core::time_point aNow,
                                core::instance_id const& aOwn,
                                zone_roster const& aRoster,
                                core::random_source& aRandom);

  /// Returns targets that answered neither directly nor indirectly; sends
  /// indirect probes for those without a direct answer.
  std::vector<contact> CheckTimeouts(core::time_point aNow,
                                     core::instance_id const& aOwn,
                                     zone_roster const& aRoster,
                                     core::random_source& aRandom,
                                     outbox& aOutbox);

  /// Starts a probe for another member that asked for it.
  probe StartRelayed(core::time_point aNow,
                     contact const& aAsker,
                     ping_request const& aRequest);

  /// Notes an answer and passes it on to the asker of a relayed probe.
  void Answered(std::uint64_t aSequence, outbox& aOutbox);

  /// Forgets all pending probes, after a pause of the own process.
  void Forget() { mProbes.clear(); }

private:
  struct pending_probe
  {
    contact mTarget;
    core::time_point mStarted;
    bool mIndirectSent = false;
    /// Set for a probe on behalf of another member.
    std::optional<contact> mAsker;
    std::uint64_t mAskerSequence = 0;
  };

  probe Start(core::time_point aNow, contact const& aTarget);
  void SendIndirect(std::uint64_t aSequence,
                    pending_probe const& aProbe,
                    core::instance_id const& aOwn,
                    zone_roster const& aRoster,
                    core::random_source& aRandom,
                    outbox& aOutbox) const;

  bool mIndirect;
  std::map<std::uint64_t, pending_probe> mProbes;
  std::uint64_t mLastSequence = 0;
  std::uint64_t mRound = 0;
  std::optional<core::time_point> mNextRound;
};

}
