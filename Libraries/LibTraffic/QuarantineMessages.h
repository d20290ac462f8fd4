#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibTraffic/ClaimMap.h"

#include <compare>
#include <cstdint>
#include <set>
#include <utility>
#include <variant>
#include <vector>

/// Messages between the daemons of one service about requests that were in
/// flight when an upstream crashed.
namespace cranberryfold::traffic {

/// Identifies a request by the hash of its idempotency key or, without a key,
/// of its method, target and body.
using suspect_id = core::number_id<struct suspect_tag>;

/// Identifies one crash of an upstream, to distinguish two crashes from one
/// that is reported twice.
struct crash_id
{
  /// The daemon of the upstream that crashed.
  holder_id mDaemon;
  /// The highest bit tells a crash during a trial, when no other request ran.
  /// Daemons of earlier versions do not look at it.
  std::uint64_t mSequence = 0;

  static constexpr std::uint64_t kTrialBit = std::uint64_t{ 1 } << 63U;

  static crash_id OfTrial(holder_id aDaemon, std::uint64_t aSequence)
  {
    return { std::move(aDaemon), aSequence | kTrialBit };
  }
  bool IsOfTrial() const { return (mSequence & kTrialBit) != 0; }

  // NOLINTNEXTLINE(modernize-use-nullptr): see LibCore/Ids.h
  auto operator<=>(crash_id const&) const = default;
};

struct suspicion
{
  suspect_id mSuspect;
  std::set<crash_id> mCrashes;
  core::duration mRemaining{};

  bool operator==(suspicion const&) const = default;
};

/// Resent until every live daemon of the service has acknowledged it.
struct suspicion_notice
{
  std::uint64_t mSequence = 0;
  std::vector<suspicion> mSuspicions;
  /// Suspects that have completed, with the crashes of which they are cleared.
  std::vector<suspicion> mCleared;

  bool operator==(suspicion_notice const&) const = default;
};

struct suspicion_ack
{
  std::uint64_t mSequence = 0;

  bool operator==(suspicion_ack const&) const = default;
};

/// Requests from the owner, the daemon of the first known crash, the right to
/// run the suspect exclusively.
struct trial_request
{
  suspect_id mSuspect;
  /// The crash that the requester knows of. An owner that has restarted since
  /// does not know the state of the suspect.
  crash_id mCrash;
  holder_id mRunner;
  std::uint64_t mSequence = 0;

  bool operator==(trial_request const&) const = default;
};

enum class trial_verdict : std::uint8_t
{
  kGranted,
  /// Another trial may be running.
  kBusy,
  kQuarantined,
  /// The request is no longer suspect at the owner.
  kNotSuspect,
};

struct trial_reply
{
  suspect_id mSuspect;
  std::uint64_t mSequence = 0;
  trial_verdict mVerdict = trial_verdict::kBusy;
  /// For kQuarantined, the suspicion as the owner knows it.
  suspicion mSuspicion;

  bool operator==(trial_reply const&) const = default;
};

enum class trial_end : std::uint8_t
{
  /// The suspect was not sent to the upstream.
  kNotRun,
  kCompleted,
  /// The upstream crashed, or the suspect ended without an answer.
  kCrashed,
};

/// How a trial ended. Resent until acknowledged.
struct trial_result
{
  suspect_id mSuspect;
  holder_id mRunner;
  std::uint64_t mSequence = 0;
  trial_end mEnd = trial_end::kNotRun;
  crash_id mCrash;

  bool operator==(trial_result const&) const = default;
};

struct trial_result_ack
{
  suspect_id mSuspect;
  std::uint64_t mSequence = 0;

  bool operator==(trial_result_ack const&) const = default;
};

using quarantine_message = std::variant<suspicion_notice,
                                        suspicion_ack,
                                        trial_request,
                                        trial_reply,
                                        trial_result,
                                        trial_result_ack>;

struct send_quarantine_message
{
  core::instance_id mTo;
  quarantine_message mMessage;

  bool operator==(send_quarantine_message const&) const = default;
};

}
