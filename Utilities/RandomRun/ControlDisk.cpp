#include "ControlDisk.h"

#include <array>
#include <utility>

namespace cranberryfold::random_run {

void
control_disk::Reset(control::recovered_state const& aState)
{
  mPending.clear();
  mDurable.reset();
  mGeneration = 0;
  mImage.mIdentity =
    control::FrameBytes(control::EncodeIdentity(aState.mIdentity));
  mImage.mSnapshot = control::FrameBytes(control::EncodeSnapshot(
    { 0, aState.mHardState, aState.mSnapshot, aState.mEntries }));
  mImage.mJournal = control::FrameJournalHeader(0);
}

void
control_disk::Enqueue(control::append_journal const& aAction)
{
  pending_append write{ aAction.mSequence, {} };
  for (auto const& record : aAction.mRecords) {
    write.mBytes += control::FrameRecord(record);
  }
  mPending.emplace_back(std::move(write));
}

void
control_disk::Enqueue(control::write_snapshot const& aAction)
{
  ++mGeneration;
  mPending.emplace_back(pending_snapshot{
    aAction.mSequence,
    mGeneration,
    control::FrameBytes(control::EncodeSnapshot({ mGeneration,
                                                  aAction.mHardState,
                                                  aAction.mSnapshot,
                                                  aAction.mEntries })) });
}

void
control_disk::SyncUpTo(std::uint64_t aSequence)
{
  while (!mPending.empty()) {
    auto const sequence = std::visit(
      [](auto const& aWrite) { return aWrite.mSequence; }, mPending.front());
    if (sequence > aSequence) {
      return;
    }
    std::visit([this](auto const& aWrite) { Complete(aWrite); },
               mPending.front());
    mPending.pop_front();
  }
}

void
control_disk::Complete(pending_append const& aWrite)
{
  if (mDurable) {
    // The bytes of the failed write are a hole before the new ones.
    mDurable->mJournal->resize(mImage.mJournal->size());
    *mDurable->mJournal += aWrite.mBytes;
  }
  *mImage.mJournal += aWrite.mBytes;
}

void
control_disk::Complete(pending_snapshot const& aWrite)
{
  mImage.mSnapshot = aWrite.mBytes;
  mImage.mJournal = control::FrameJournalHeader(aWrite.mGeneration);
  mDurable.reset();
}

bool
control_disk::LeavePart(pending_append const& aWrite,
                        core::random_source& aRandom)
{
  auto const size = aRandom.Below(aWrite.mBytes.size() + 1);
  *mImage.mJournal += aWrite.mBytes.substr(0, size);
  return size != 0;
}

bool
control_disk::LeavePart(pending_snapshot const& aWrite,
                        core::random_source& aRandom)
{
  if (aRandom.Chance(0.5)) {
    return false;
  }
  mImage.mSnapshot = aWrite.mBytes;
  return true;
}

void
control_disk::FailWrites(core::random_source& aRandom)
{
  if (!mPending.empty()) {
    mDurable = mDurable.value_or(mImage);
    std::visit([&](auto const& aWrite) { LeavePart(aWrite, aRandom); },
               mPending.front());
  }
  mPending.clear();
}

void
control_disk::Rewrite(control::recovered_state const& aState)
{
  mImage.mJournal = control::FrameJournal(mGeneration, aState);
  mDurable.reset();
}

void
control_disk::FailRewrite(control::recovered_state const& aState)
{
  mDurable = mDurable.value_or(mImage);
  mImage.mJournal = control::FrameJournal(mGeneration, aState);
}

bool
control_disk::LosePower(core::random_source& aRandom)
{
  if (mDurable) {
    mImage = std::move(*mDurable);
    mDurable.reset();
  }
  bool torn = false;
  if (!mPending.empty()) {
    torn =
      std::visit([&](auto const& aWrite) { return LeavePart(aWrite, aRandom); },
                 mPending.front());
  }
  mPending.clear();
  return torn;
}

void
control_disk::Wipe()
{
  mImage = {};
  mDurable.reset();
  mPending.clear();
}

void
control_disk::Damage(core::random_source& aRandom)
{
  std::array<std::optional<std::string>*, 3> const files = { &mImage.mIdentity,
                                                             &mImage.mSnapshot,
                                                             &mImage.mJournal };
  auto& file = *files.at(aRandom.Below(files.size()));
  if (file) {
    auto& byte = file->at(aRandom.Below(file->size()));
    byte = static_cast<char>(byte ^ (1 << aRandom.Below(8)));
  }
}

control::load_outcome
control_disk::Load()
{
  auto outcome = control::RecoverState(mImage);
  if (!outcome.mState) {
    return outcome;
  }
  mGeneration = outcome.mGeneration;
  if (outcome.mJournalOutdated) {
    mImage.mJournal = control::FrameJournalHeader(mGeneration);
  } else {
    mImage.mJournal->resize(outcome.mJournalBytes);
  }
  return outcome;
}

}
