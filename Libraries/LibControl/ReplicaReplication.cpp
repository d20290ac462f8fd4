#include "LibControl/Replica.h"

#include "LibCore/Assert.h"

#include <algorithm>
#include <utility>

namespace cranberryfold::control {

namespace {

/// Between two snapshots sent to the same replica. A snapshot can have several
/// megabytes, while heartbeats are sent five times a second.
constexpr core::duration kMinimumSnapshotInterval = std::chrono::seconds(1);

/// No more entries are added to a message once its edits reach this size. The
/// last entry may exceed it; the message still fits in a control frame.
constexpr std::size_t kMessageThresholdBytes = 2UL * 1024UL * 1024UL;

bool
IsContiguous(append_request const& aBody)
{
  auto expected = aBody.mPreviousIndex;
  for (auto const& entry : aBody.mEntries) {
    if (entry.mIndex != ++expected) {
      return false;
    }
  }
  return true;
}

std::int64_t
ToMicroseconds(core::time_point aTime)
{
  return aTime.time_since_epoch().count();
}

}

void
replica::FollowLeader(message const& aMessage)
{
  ObserveTerm(aMessage.mTerm);
  CF_ASSERT(!IsLeader(), "two leaders in one term");
  Fire("leader_seen");
  mLeader = aMessage.mFrom;
  mLastLeaderContact = mNow;
  ResetElectionTimer();
}

void
replica::OnBody(message const& aMessage, append_request const& aBody)
{
  if (!IsContiguous(aBody)) {
    return;
  }
  if (aMessage.mTerm < mHardState.mTerm) {
    // The response carries the newer term. If the sender is the leader of that
    // term by now, the send time of the old request may come from the clock of
    // an earlier process.
    SendAfterSync(aMessage.mFrom, append_response{ false, 0, kNoSendTime });
    return;
  }
  FollowLeader(aMessage);
  if (auto const retry = RetryIndex(aBody)) {
    SendAfterSync(aMessage.mFrom,
                  append_response{ false, *retry, aBody.mSentAtMicroseconds });
    return;
  }
  StoreEntries(aBody.mEntries);
  auto const matched = aBody.mPreviousIndex + aBody.mEntries.size();
  CommitUpTo(std::min(aBody.mCommitted, matched));
  SendAfterSync(aMessage.mFrom,
                append_response{ true, matched, aBody.mSentAtMicroseconds });
}

std::optional<log_index>
replica::RetryIndex(append_request const& aBody) const
{
  auto const previous = aBody.mPreviousIndex;
  if (previous > mLog.LastIndex()) {
    return mLog.LastIndex() + 1;
  }
  // Compacted entries are committed, so they match the leader's log.
  auto const term = mLog.TermAt(previous);
  if (!term || *term == aBody.mPreviousTerm) {
    return std::nullopt;
  }
  auto retry = previous;
  while (retry > mCommitted + 1 && mLog.TermAt(retry - 1) == term) {
    --retry;
  }
  return retry;
}

void
replica::StoreEntries(std::vector<log_entry> const& aEntries)
{
  std::vector<journal_record> records;
  for (auto const& entry : aEntries) {
    if (entry.mIndex <= mLog.Base() ||
        mLog.TermAt(entry.mIndex) == entry.mTerm) {
      continue;
    }
    if (entry.mIndex <= mLog.LastIndex()) {
      TruncateFrom(entry.mIndex);
    }
    mLog.Append(entry);
    records.emplace_back(entry);
  }
  if (records.empty()) {
    return;
  }
  Persist(std::move(records));
  RecomputeGroup();
}

void
replica::TruncateFrom(log_index aIndex)
{
  CF_ASSERT(aIndex > mCommitted, "a committed entry would be replaced");
  mLog.TruncateFrom(aIndex);
  mDurableIndex = std::min(mDurableIndex, aIndex - 1);
  for (auto& [sequence, index] : mUnsyncedIndexes) {
    index = std::min(index, aIndex - 1);
  }
}

void
replica::OnBody(message const& aMessage, snapshot_transfer const& aBody)
{
  if (aMessage.mTerm < mHardState.mTerm) {
    return;
  }
  FollowLeader(aMessage);
  if (aBody.mSnapshot.mIndex > mCommitted) {
    InstallSnapshot(aBody.mSnapshot);
  }
  SendAfterSync(aMessage.mFrom,
                append_response{ true, mCommitted, aBody.mSentAtMicroseconds });
}

void
replica::InstallSnapshot(snapshot const& aSnapshot)
{
  CF_ASSERT(aSnapshot.mRevision >= mApplied.State().mRevision,
            "a snapshot would revert the tables to an older revision");
  mApplied = applied_state(
    aSnapshot, { mOptions.mRetentionTime, mOptions.mRetentionCount });
  mLog = replica_log(aSnapshot.mIndex, aSnapshot.mTerm);
  mCommitted = aSnapshot.mIndex;
  mUnsyncedIndexes.clear();
  WriteSnapshot();
  RecomputeGroup();
  UpdateMembership();
  AnnounceTables();
}

void
replica::WriteSnapshot()
{
  mRecordsSinceSnapshot = 0;
  mBytesSinceSnapshot = 0;
  mPersistedCommit = mCommitted;
  mUnsyncedIndexes[++mLastSequence] = mLog.LastIndex();
  auto entries =
    mLog.Slice(mCommitted + 1, mLog.LastIndex() - mCommitted, SIZE_MAX);
  mActions.emplace_back(write_snapshot{
    mLastSequence, mHardState, mApplied.State(), std::move(entries) });
}

void
replica::Compact()
{
  bool const large = mBytesSinceSnapshot >= mOptions.mCompactionBytes;
  if (mRecordsSinceSnapshot < mOptions.mCompactionRecords && !large) {
    return;
  }
  WriteSnapshot();
  auto const trailing = large ? 0 : mOptions.mTrailingEntries;
  if (mCommitted > trailing) {
    mLog.CompactTo(mCommitted - trailing);
  }
}

void
replica::OnBody(message const& aMessage, append_response const& aBody)
{
  ObserveTerm(aMessage.mTerm);
  auto const peer = mProgress.find(aMessage.mFrom);
  if (!IsLeader() || aMessage.mTerm != mHardState.mTerm ||
      peer == mProgress.end()) {
    return;
  }
  auto& progress = peer->second;
  if (mOptions.mMechanisms.mIncarnationFence &&
      !UpdateIncarnation(progress, aMessage.mIncarnation)) {
    return;
  }
  auto const sentAt =
    core::time_point(core::duration(aBody.mSentAtMicroseconds));
  if (sentAt <= mNow) {
    progress.mAcknowledged = std::max(progress.mAcknowledged, sentAt);
  }
  UpdateProgress(aMessage.mFrom, progress, aBody);
  AdvanceCommit();
  AdmitCaughtUp();
  AnswerConfirmedReads();
  ProcessWaitingEdits();
}

bool
replica::UpdateIncarnation(peer_progress& aProgress,
                           core::incarnation aIncarnation)
{
  if (aIncarnation < aProgress.mIncarnation) {
    return false;
  }
  if (aIncarnation > aProgress.mIncarnation) {
    // The entries that the older incarnation acknowledged are lost with its
    // disk.
    aProgress = peer_progress{};
    aProgress.mIncarnation = aIncarnation;
    aProgress.mNext = mLog.LastIndex() + 1;
  }
  return true;
}

void
replica::UpdateProgress(core::instance_id const& aPeer,
                        peer_progress& aProgress,
                        append_response const& aBody)
{
  auto const before = aProgress.mNext;
  if (aBody.mSuccess) {
    aProgress.mMatch = std::max(aProgress.mMatch, aBody.mIndex);
    aProgress.mNext = std::max(aProgress.mNext, aProgress.mMatch + 1);
  } else {
    auto const lowest = mOptions.mMechanisms.mIncarnationFence
                          ? aProgress.mMatch + 1
                          : log_index{ 1 };
    aProgress.mNext =
      std::max(lowest, std::min(aBody.mIndex, mLog.LastIndex() + 1));
  }
  if (aProgress.mNext != before && aProgress.mNext <= mLog.LastIndex()) {
    SendEntries(aPeer, aProgress);
  }
}

void
replica::OnBody(message const& aMessage, join_request const&)
{
  auto const peer = mProgress.find(aMessage.mFrom);
  if (!IsLeader() || peer == mProgress.end() ||
      IsTrusted(aMessage.mFrom, aMessage.mIncarnation) ||
      !UpdateIncarnation(peer->second, aMessage.mIncarnation)) {
    return;
  }
  auto& progress = peer->second;
  if (!progress.mJoining) {
    progress.mJoining = true;
    progress.mJoinTargetIndex = mLog.LastIndex();
  }
  SendEntries(aMessage.mFrom, progress);
}

void
replica::AdmitCaughtUp()
{
  if (!IsLeader() || mCommitted < mTermStartIndex || GroupChangeInFlight()) {
    return;
  }
  for (auto& [instance, progress] : mProgress) {
    if (!progress.mJoining || progress.mMatch < progress.mJoinTargetIndex) {
      continue;
    }
    progress.mJoining = false;
    if (!IsTrusted(instance, progress.mIncarnation)) {
      AppendAsLeader(admit_entry{ instance, progress.mIncarnation });
      return;
    }
  }
}

void
replica::Broadcast()
{
  mNextHeartbeat = mNow + mOptions.mHeartbeatInterval;
  for (auto& [instance, progress] : mProgress) {
    SendEntries(instance, progress);
  }
}

void
replica::SendEntries(core::instance_id const& aTo, peer_progress& aProgress)
{
  if (aProgress.mNext <= mLog.Base() && mNow >= aProgress.mNextSnapshot) {
    aProgress.mNextSnapshot = mNow + kMinimumSnapshotInterval;
    Send(aTo, snapshot_transfer{ ToMicroseconds(mNow), mApplied.State() });
    return;
  }
  // A replica that needs a snapshot rejects this request, but it learns that
  // the leader is alive.
  auto const first = std::max(aProgress.mNext, mLog.Base() + 1);
  append_request request;
  request.mPreviousIndex = first - 1;
  request.mPreviousTerm = *mLog.TermAt(first - 1);
  request.mCommitted = mCommitted;
  request.mSentAtMicroseconds = ToMicroseconds(mNow);
  if (first == aProgress.mNext) {
    request.mEntries = mLog.Slice(
      first, mOptions.mMaximumEntriesPerMessage, kMessageThresholdBytes);
  }
  Send(aTo, std::move(request));
}

void
replica::AppendAsLeader(entry_payload aPayload)
{
  log_entry entry{ mLog.LastIndex() + 1,
                   mHardState.mTerm,
                   mLogTimeAtStart + (mNow - mLeadingSince),
                   std::move(aPayload) };
  mLog.Append(entry);
  Persist({ std::move(entry) });
  RecomputeGroup();
  Broadcast();
}

}
