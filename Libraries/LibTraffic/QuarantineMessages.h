#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibTraffic/ClaimMap.h"

#include <compare>
#include <cstdint>
#include <set>
#include <variant>
#include <vector>

/// Messages between the daemons of one service on requests that were in flight
/// when an upstream crashed.
namespace cranberryfold::traffic {

/// Hash of the idempotency key, or of method, target and body without one.
using suspect_id = core::number_id<struct suspect_tag>;

/// One crash of an upstream; tells two crashes from one that is reported twice.
struct crash_id
{
  /// The daemon of the upstream that crashed.
  holder_id mDaemon;
  std::uint64_t mSequence = 0;

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

/// Sent until every live daemon of the service has acknowledged.
struct suspicion_notice
{
  std::uint64_t mSequence = 0;
  std::vector<suspicion> mSuspicions;
  /// Suspects that have completed, with the crashes that they are cleared of.
  std::vector<suspicion> mCleared;

  bool operator==(suspicion_notice const&) const = default;
};

struct suspicion_ack
{
  std::uint64_t mSequence = 0;

  bool operator==(suspicion_ack const&) const = default;
};

/// Asks the owner, the daemon of the first known crash, for the right to run
/// the suspect alone.
struct trial_request
{
  suspect_id mSuspect;
  /// The crash of which the requester knows; an owner that has restarted since
  /// does not know what became of the suspect.
  crash_id mCrash;
  holder_id mRunner;
  std::uint64_t mSequence = 0;

  bool operator==(trial_request const&) const = default;
};

enum class trial_verdict : std::uint8_t
{
  kGranted,
  /// Another trial is going on.
  kBusy,
  kQuarantined,
  /// The owner knows of no suspicion any more.
  kNotSuspect,
};

struct trial_reply
{
  suspect_id mSuspect;
  std::uint64_t mSequence = 0;
  trial_verdict mVerdict = trial_verdict::kBusy;
  /// What the owner knows, for kQuarantined.
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

/// How a trial ended. Repeated until acknowledged.
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
