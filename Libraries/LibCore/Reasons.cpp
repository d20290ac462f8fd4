#include "LibCore/Reasons.h"

namespace cranberryfold::core {

namespace {

constexpr std::array<reason_text, kRefusalReasonCount> kRefusalTexts{ {
  { "no_tables", "The daemon has not received any tables yet." },
  { "no_route", "No row of the route table matches method and path." },
  { "bad_request", "The request is not valid HTTP or lacks what it needs." },
  { "missing_key", "A non-idempotent route was called without a key." },
  { "too_large", "A header or body is larger than the limit." },
  { "no_upstream", "The pool has no upstream that takes work." },
  { "connect_failed", "No connection to the chosen upstream's daemon." },
  { "peer_lost", "The connection to the upstream's daemon broke." },
  { "upstream_lost", "The upstream closed the connection or crashed." },
  { "draining", "The upstream is leaving and takes no new work." },
  { "not_ready", "The upstream has not reported ready yet." },
  { "cut_off", "Admission refuses this class and caller under overload." },
  { "sender_cut_off", "The sender knew that admission would refuse." },
  { "queue_full", "The admission queue is full." },
  { "queue_timeout", "The call waited too long in the admission queue." },
  { "deadline_exceeded", "The deadline of the request has passed." },
  { "upstream_refused", "The upstream refused without running the call." },
  { "no_retry_permit", "The root daemon gave no permit for a further try." },
  { "claim_unavailable", "No majority of the claim group answered." },
  { "claim_held", "The key was claimed before; it is not run again." },
  { "quarantined", "The request crashed upstreams before." },
  { "too_deep", "The call chain is deeper than the limit." },
  { "caller_left", "The caller closed its connection before the answer." },
  { "too_many_connections", "The listener is at its connection limit." },
  { "malformed", "A peer or the upstream sent bytes that are not valid." },
  { "wrong_service", "The pool of the call is not one of this service." },
  { "internal", "A fault inside the daemon." },
} };

constexpr std::array<reason_text, kRetryReasonCount> kRetryTexts{ {
  { "not_run", "The previous try was refused before it ran." },
  { "idempotent_lost", "The connection broke; the call is idempotent." },
  { "idempotent_timeout", "The try timed out; the call is idempotent." },
  { "refused_no_permit", "The root daemon gave no permit." },
  { "refused_ratio", "The daemon's retry ratio was used up." },
  { "refused_not_safe", "The call may have run and is not idempotent." },
  { "refused_deadline", "Too little time was left for another try." },
} };

}

reason_text const&
Describe(refusal_reason aReason)
{
  return kRefusalTexts.at(static_cast<std::size_t>(aReason));
}

reason_text const&
Describe(retry_reason aReason)
{
  return kRetryTexts.at(static_cast<std::size_t>(aReason));
}

}
