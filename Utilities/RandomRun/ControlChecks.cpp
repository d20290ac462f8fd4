#include "ControlChecks.h"

#include <cstdio>
#include <utility>

namespace cranberryfold::random_run {

void
event_trace::Add(core::time_point aNow, std::string aText)
{
  auto const milliseconds = core::Milliseconds(aNow.time_since_epoch());
  mLines.push_back(std::to_string(milliseconds) + " ms " + std::move(aText));
  if (mLines.size() > kMaximumLines) {
    mLines.pop_front();
  }
}

void
event_trace::Print() const
{
  for (auto const& line : mLines) {
    std::printf("  %s\n", line.c_str());
  }
  std::fflush(stdout);
}

void
control_checks::Check(bool aHolds, std::string const& aText) const
{
  if (!aHolds) {
    throw violation{ aText };
  }
}

void
control_checks::OnCommitted(core::instance_id const& aReplica,
                            control::tables_committed const& aAction)
{
  auto const revision = aAction.mRevision;
  auto const known = mHashes.emplace(revision, aAction.mHash).first;
  Check(known->second == aAction.mHash,
        "revision " + std::to_string(revision.mValue) +
          " has a second content on " + aReplica.mValue);
}

void
control_checks::OnHistory(std::deque<control::edit_record> const& aHistory)
{
  // Newest first; what was seen before needs no second look.
  for (auto record = aHistory.rbegin(); record != aHistory.rend(); ++record) {
    auto const maker = mMakers.emplace(record->mRevision, record->mId);
    Check(maker.first->second == record->mId,
          "revision " + std::to_string(record->mRevision.mValue) +
            " was made by " + maker.first->second.mValue + " and by " +
            record->mId.mValue);
    auto const made = mEdits.emplace(record->mId, record->mRevision);
    Check(made.first->second == record->mRevision,
          "edit " + record->mId.mValue + " was accepted twice");
    if (!maker.second) {
      return;
    }
  }
}

void
control_checks::OnAnswer(core::edit_id const& aSubmitted,
                         control::edit_answer const& aAnswer)
{
  if (aAnswer.mStatus == control::edit_status::kAccepted) {
    Check(aAnswer.mEdit == aSubmitted,
          "edit " + aSubmitted.mValue + " got the answer to " +
            aAnswer.mEdit.mValue);
    auto const maker = mMakers.find(aAnswer.mRevision);
    Check(maker != mMakers.end() && maker->second == aSubmitted,
          "edit " + aSubmitted.mValue + " is not what made its revision");
    mAcknowledged = std::max(mAcknowledged, aAnswer.mRevision);
  } else if (aAnswer.mStatus == control::edit_status::kConflict) {
    Check(!mEdits.contains(aSubmitted),
          "accepted edit " + aSubmitted.mValue + " got the answer conflict");
  }
}

void
control_checks::OnRead(core::revision aAcknowledged,
                       control::answer_read const& aAnswer)
{
  Check(aAnswer.mStale || aAnswer.mRevision >= aAcknowledged,
        "a read claimed revision " + std::to_string(aAnswer.mRevision.mValue) +
          " to be current after " + std::to_string(aAcknowledged.mValue) +
          " was acknowledged");
}

void
control_checks::OnLeader(
  core::instance_id const& aReplica,
  control::term_number aTerm,
  std::map<core::instance_id, core::incarnation> const& aVotes,
  control::replica_group const& aGroup)
{
  auto const leader = mLeaders.emplace(aTerm, aReplica).first;
  Check(leader->second == aReplica,
        "term " + std::to_string(aTerm) + " has two leaders");
  for (auto const& [voter, incarnation] : aVotes) {
    auto const member = aGroup.find(voter);
    bool const voted = member != aGroup.end() && member->second.mVoter;
    bool const counts = voted ? member->second.mIncarnation == incarnation
                              : mProposed[voter].contains(incarnation);
    Check(counts,
          "a vote of " + voter.mValue + " counted under incarnation " +
            std::to_string(incarnation.mValue) + ", which is not admitted");
  }
}

void
control_checks::OnAdmission(control::admit_entry const& aEntry)
{
  mProposed[aEntry.mInstance].insert(aEntry.mIncarnation);
}

void
control_checks::OnInstalled(core::revision aFrom, core::revision aTo) const
{
  Check(aTo > aFrom, "an observer would go back to an earlier revision");
}

std::uint64_t
control_checks::HashOf(core::revision aRevision) const
{
  auto const found = mHashes.find(aRevision);
  return found == mHashes.end() ? 0 : found->second;
}

}
