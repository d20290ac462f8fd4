#include "LibControl/Replica.h"

#include "LibTables/Codec.h"
#include "LibTables/TableRules.h"

#include <utility>

namespace cranberryfold::control {

void
replica::On(edit_submitted const& aEvent)
{
  if (!IsOperational()) {
    AnswerEdit(aEvent.mSubmission,
               MakeAnswer(edit_status::kStorageFailed,
                          "this replica cannot write to its disk"));
    return;
  }
  if (!IsLeader()) {
    AnswerEdit(
      aEvent.mSubmission,
      MakeAnswer(edit_status::kNotLeader, "this replica is not the leader"));
    return;
  }
  bool const isolated =
    !LeaseValid(mNow) && mNow >= mLeadingSince + mOptions.mLease;
  if (isolated || mWaitingEdits.size() >= mOptions.mMaximumWaitingEdits) {
    AnswerEdit(aEvent.mSubmission,
               MakeAnswer(edit_status::kNoMajority,
                          isolated ? "no majority of replicas answers"
                                   : "too many edits are waiting"));
    return;
  }
  mWaitingEdits.push_back(aEvent);
  ProcessWaitingEdits();
}

void
replica::ProcessWaitingEdits()
{
  ConfirmGroup();
  while (CanEvaluateEdit()) {
    auto const next = std::move(mWaitingEdits.front());
    mWaitingEdits.pop_front();
    mConfirmingSince.reset();
    EvaluateEdit(next);
    ConfirmGroup();
  }
}

void
replica::ConfirmGroup()
{
  bool const isGroupChangeNext = IsReadyForEdit() &&
                                 ChangesGroup(mWaitingEdits.front().mEdit) &&
                                 !GroupChangeInFlight();
  if (!isGroupChangeNext) {
    mConfirmingSince.reset();
  } else if (!mConfirmingSince) {
    mConfirmingSince = mNow;
    Broadcast();
  }
}

bool
replica::IsReadyForEdit() const
{
  return IsLeader() && !mWaitingEdits.empty() && !mPendingEdit &&
         mCommitted >= mTermStartIndex && LeaseValid(mNow);
}

bool
replica::CanEvaluateEdit() const
{
  if (!IsReadyForEdit()) {
    return false;
  }
  auto const& next = mWaitingEdits.front().mEdit;
  return !ChangesGroup(next) ||
         (mConfirmingSince && (GroupChangeProblem(next) ||
                               VotersAfter(next, *mConfirmingSince).Suffice()));
}

void
replica::EvaluateEdit(edit_submitted const& aEvent)
{
  auto edit = aEvent.mEdit;
  auto answer = aEvent.mReplacement
                  ? ResolveReplacement(*aEvent.mReplacement, edit)
                  : std::nullopt;
  if (!answer) {
    answer = ValidateEdit(edit);
  }
  if (answer) {
    AnswerEdit(aEvent.mSubmission, std::move(*answer));
    return;
  }
  // Set before the append, which may commit the entry at once.
  mPendingEdit = pending_edit{ mLog.LastIndex() + 1, aEvent.mSubmission };
  AppendAsLeader(edit_entry{ std::move(edit) });
}

std::optional<edit_answer>
replica::ResolveReplacement(tables::table_replacement const& aReplacement,
                            tables::edit& aEdit) const
{
  if (auto known = AnswerToDuplicate(aEdit)) {
    return known;
  }
  auto const& current = mApplied.State().mTables;
  if (aReplacement.mBaseLabel != current.mLabel) {
    return MakeAnswer(edit_status::kConflict,
                      "version " + std::to_string(current.mLabel) +
                        " is in force");
  }
  auto newTables = aReplacement.mTables;
  if (newTables.mLabel <= current.mLabel) {
    return MakeAnswer(edit_status::kInvalid,
                      "label: expected more than " +
                        std::to_string(current.mLabel) + ", found " +
                        std::to_string(newTables.mLabel));
  }
  newTables.mClaimMap = current.mClaimMap;
  aEdit.mBase = mApplied.State().mRevision;
  aEdit.mChanges = tables::CompareTables(current, newTables);
  return std::nullopt;
}

std::optional<edit_answer>
replica::AnswerToDuplicate(tables::edit const& aEdit) const
{
  auto const* const known = mApplied.FindEdit(aEdit.mId);
  if (known == nullptr || !mOptions.mMechanisms.mEditIds) {
    return std::nullopt;
  }
  return edit_answer{
    edit_status::kAccepted, known->mRevision, known->mId, "", mLeader
  };
}

std::optional<edit_answer>
replica::ValidateEdit(tables::edit const& aEdit) const
{
  auto const current = mApplied.State().mRevision;
  if (auto known = AnswerToDuplicate(aEdit)) {
    return known;
  }
  if (aEdit.mId.IsEmpty() || aEdit.mId.mValue.size() > kMaximumEditIdBytes) {
    return MakeAnswer(edit_status::kInvalid,
                      "edit id: expected a text of at most " +
                        std::to_string(kMaximumEditIdBytes) + " bytes");
  }
  if (aEdit.mChanges.empty()) {
    return MakeAnswer(edit_status::kUnchanged, "the edit has no changes");
  }
  if (aEdit.mBase < current && !mApplied.IsBaseCurrent(aEdit)) {
    return MakeConflictAnswer(aEdit.mBase);
  }
  if (aEdit.mBase > current) {
    return MakeAnswer(edit_status::kInvalid,
                      "base revision: expected at most " +
                        std::to_string(current.mValue) + ", found " +
                        std::to_string(aEdit.mBase.mValue));
  }
  return ValidateChanges(aEdit);
}

std::optional<edit_answer>
replica::ValidateChanges(tables::edit const& aEdit) const
{
  if (auto problem = GroupChangeProblem(aEdit)) {
    return MakeAnswer(edit_status::kInvalid, std::move(*problem));
  }
  auto const& tables = mApplied.State().mTables;
  auto const changed =
    core::Attempt([&] { return tables::ApplyChanges(tables, aEdit.mChanges); });
  if (!changed) {
    return MakeAnswer(edit_status::kInvalid, changed.mError.mDetail);
  }
  if (tables::EncodeEdit(aEdit).size() > kMaximumEditBytes ||
      tables::EncodeTables(*changed).size() > kMaximumTableBytes) {
    return MakeAnswer(edit_status::kInvalid,
                      "tables: expected an edit of at most " +
                        std::to_string(kMaximumEditBytes) +
                        " bytes and tables of at most " +
                        std::to_string(kMaximumTableBytes) + " bytes");
  }
  if (*changed == tables && !ChangesGroup(aEdit)) {
    return MakeAnswer(edit_status::kUnchanged,
                      "the tables hold these changes already");
  }
  return std::nullopt;
}

std::optional<std::string>
replica::GroupChangeProblem(tables::edit const& aEdit) const
{
  if (!ChangesGroup(aEdit)) {
    return std::nullopt;
  }
  if (aEdit.mChanges.size() != 1) {
    return "control group: expected one change in an edit of its own";
  }
  auto const& change = aEdit.mChanges.front();
  auto const* const removed = std::get_if<tables::remove_replica>(&change);
  auto problem =
    removed != nullptr
      ? RemovalProblem(removed->mInstance)
      : AdditionProblem(std::get<tables::add_replica>(change).mInstance);
  return problem ? problem : MajorityProblem(aEdit);
}

std::optional<std::string>
replica::MajorityProblem(tables::edit const& aEdit) const
{
  auto const voters = VotersAfter(aEdit, mNow - mOptions.mLease);
  if (voters.Suffice()) {
    return std::nullopt;
  }
  return "control group: only " + std::to_string(voters.mResponsive) + " of " +
         std::to_string(voters.mAll) +
         " voters would be left that answer and are not under repair";
}

replica::voter_count
replica::VotersAfter(tables::edit const& aEdit, core::time_point aSince) const
{
  auto changed = Group();
  ApplyToGroup(changed, edit_entry{ aEdit });
  voter_count voters;
  for (auto const& [instance, member] : changed) {
    voters.mAll += member.mVoter ? 1 : 0;
    voters.mResponsive +=
      member.mVoter && IsResponsive(instance, aSince) ? 1 : 0;
  }
  return voters;
}

bool
replica::IsResponsive(core::instance_id const& aInstance,
                      core::time_point aSince) const
{
  auto const peer = mProgress.find(aInstance);
  if (peer == mProgress.end()) {
    return aInstance == mIdentity.mInstance;
  }
  auto const& progress = peer->second;
  return IsTrusted(aInstance, progress.mIncarnation) &&
         progress.mAcknowledged >= aSince;
}

std::optional<std::string>
replica::RemovalProblem(core::instance_id const& aInstance) const
{
  auto const member = Group().find(aInstance);
  if (member == Group().end()) {
    return "control replica " + aInstance.mValue +
           ": expected a member to remove";
  }
  std::size_t voters = 0;
  for (auto const& [instance, entry] : Group()) {
    voters += entry.mVoter ? 1 : 0;
  }
  if (member->second.mVoter && voters == 1) {
    return "control replica " + aInstance.mValue +
           ": the last voter cannot be removed";
  }
  return std::nullopt;
}

std::optional<std::string>
replica::AdditionProblem(core::instance_id const& aInstance) const
{
  if (aInstance.IsEmpty()) {
    return "control replica: expected an instance id";
  }
  if (Group().contains(aInstance)) {
    return "control replica " + aInstance.mValue + ": is a member already";
  }
  if (Group().size() >= kMaximumReplicas) {
    return "control group: expected at most " +
           std::to_string(kMaximumReplicas) + " replicas";
  }
  for (auto const& [instance, member] : Group()) {
    if (!member.mVoter) {
      return "control replica " + instance.mValue +
             ": is still catching up; add one at a time";
    }
  }
  return std::nullopt;
}

void
replica::AnswerCommittedEdit()
{
  if (!mPendingEdit || mPendingEdit->mIndex > mCommitted) {
    return;
  }
  auto const& record = mApplied.State().mHistory.back();
  AnswerEdit(
    mPendingEdit->mSubmission,
    { edit_status::kAccepted, record.mRevision, record.mId, "", mLeader });
  mPendingEdit.reset();
}

void
replica::AnswerWaitingEdits(edit_status aStatus)
{
  while (!mWaitingEdits.empty()) {
    AnswerEdit(mWaitingEdits.front().mSubmission,
               MakeAnswer(aStatus, "the leader lost its majority"));
    mWaitingEdits.pop_front();
  }
  mConfirmingSince.reset();
}

void
replica::AnswerEdit(submission_id aSubmission, edit_answer aAnswer)
{
  mActions.emplace_back(answer_edit{ aSubmission, std::move(aAnswer) });
}

edit_answer
replica::MakeAnswer(edit_status aStatus, std::string aReason) const
{
  auto const revision = mApplied.State().mRevision;
  auto const* const record = mApplied.FindRevision(revision);
  return { aStatus,
           revision,
           record == nullptr ? core::edit_id{} : record->mId,
           std::move(aReason),
           mLeader };
}

edit_answer
replica::MakeConflictAnswer(core::revision aBase) const
{
  auto answer = MakeAnswer(edit_status::kConflict,
                           "another edit was accepted on revision " +
                             std::to_string(aBase.mValue));
  // Names the first edit that was accepted after the base, so that a resent
  // edit gets the same answer.
  auto const* const accepted = mApplied.FindOperatorEditAfter(aBase);
  if (accepted != nullptr) {
    answer.mRevision = accepted->mRevision;
    answer.mEdit = accepted->mId;
  }
  return answer;
}

void
replica::On(read_requested const& aEvent)
{
  bool const leads = IsOperational() && IsLeader();
  if (leads && aEvent.mLinearizable && !mOptions.mMechanisms.mLeaseCheck) {
    AnswerRead(aEvent.mRead, false);
    return;
  }
  bool const confirmable =
    leads && (LeaseValid(mNow) || mNow < mLeadingSince + mOptions.mLease);
  if (!aEvent.mLinearizable || !confirmable) {
    AnswerRead(aEvent.mRead, true);
    return;
  }
  mWaitingReads.push_back({ aEvent.mRead, mNow });
  Broadcast();
  AnswerConfirmedReads();
}

void
replica::AnswerConfirmedReads()
{
  if (!IsLeader() || mCommitted < mTermStartIndex) {
    return;
  }
  auto const confirmed = MajorityAcknowledged();
  while (!mWaitingReads.empty() &&
         mWaitingReads.front().mRequested <= confirmed) {
    AnswerRead(mWaitingReads.front().mRead, false);
    mWaitingReads.pop_front();
  }
}

void
replica::AnswerAllReadsStale()
{
  while (!mWaitingReads.empty()) {
    AnswerRead(mWaitingReads.front().mRead, true);
    mWaitingReads.pop_front();
  }
}

void
replica::AnswerRead(read_id aRead, bool aStale)
{
  auto const& state = mApplied.State();
  mActions.emplace_back(answer_read{
    aRead, state.mRevision, mApplied.Hash(), state.mTables, aStale, mLeader });
}

void
replica::AnnounceTables()
{
  auto const& state = mApplied.State();
  if (mAnnouncedRevision == state.mRevision) {
    return;
  }
  mAnnouncedRevision = state.mRevision;
  auto const* const record = mApplied.FindRevision(state.mRevision);
  mActions.emplace_back(
    tables_committed{ state.mRevision,
                      mApplied.Hash(),
                      state.mTables,
                      record == nullptr ? core::edit_id{} : record->mId });
}

}
