#pragma once

#include "LibControl/Replica.h"
#include "LibCore/Assert.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryfold::control::test {

/// A control group in one process, without message delay. Disks sync at once
/// unless a test sets mHoldSync.
class test_group
{
public:
  struct member
  {
    std::unique_ptr<replica> mReplica;
    recovered_state mDisk;
    /// Writes that are not synced yet.
    std::deque<action> mUnsynced;
    bool mHoldSync = false;
    std::vector<tables_committed> mCommitted;
  };

  explicit test_group(std::size_t aSize, replica_options aOptions = {})
    : mOptions(std::move(aOptions))
  {
    replica_group group;
    for (std::size_t index = 0; index < aSize; ++index) {
      group[InstanceName(index)] = {};
      mOptions.mContacts.push_back(InstanceName(index));
    }
    for (auto const& [instance, entry] : group) {
      mMembers[instance].mDisk = InitialState(instance, group);
      Start(instance);
    }
  }

  static core::instance_id InstanceName(std::size_t aIndex)
  {
    return { std::string(1, static_cast<char>('a' + aIndex)) };
  }

  member& operator[](core::instance_id const& aInstance)
  {
    return mMembers.at(aInstance);
  }

  /// Starts a replica from the state on its disk.
  void Start(core::instance_id const& aInstance)
  {
    auto& started = mMembers[aInstance];
    started.mUnsynced.clear();
    started.mReplica = std::move(*core::Attempt(
      [&] { return replica::Create(mOptions, started.mDisk, ++mLastNumber); }));
    Handle(aInstance, tick{});
  }

  void Kill(core::instance_id const& aInstance)
  {
    mMembers.at(aInstance).mReplica.reset();
  }

  /// Restarts a replica with an empty disk and a new incarnation, or starts a
  /// new instance.
  void StartEmpty(core::instance_id const& aInstance)
  {
    mMembers[aInstance].mDisk =
      EmptyState(aInstance, core::incarnation{ ++mLastIncarnation });
    Start(aInstance);
  }

  void Isolate(core::instance_id const& aInstance)
  {
    mIsolated.insert(aInstance);
  }
  void Rejoin(core::instance_id const& aInstance)
  {
    mIsolated.erase(aInstance);
  }

  void Advance(core::duration aTime)
  {
    auto const end = mNow + aTime;
    while (mNow < end) {
      mNow += kTickInterval;
      for (auto& [instance, entry] : mMembers) {
        Handle(instance, tick{});
      }
      DeliverAll();
    }
  }

  void Handle(core::instance_id const& aInstance, event const& aEvent)
  {
    auto& receiver = mMembers.at(aInstance);
    if (!receiver.mReplica) {
      return;
    }
    for (auto& entry : receiver.mReplica->Handle(mNow, aEvent)) {
      Perform(aInstance, receiver, entry);
    }
    if (!receiver.mHoldSync) {
      Sync(aInstance);
    }
  }

  /// Completes all unsynced writes of a replica.
  void Sync(core::instance_id const& aInstance)
  {
    auto& synced = mMembers.at(aInstance);
    while (!synced.mUnsynced.empty()) {
      auto const write = std::move(synced.mUnsynced.front());
      synced.mUnsynced.pop_front();
      Handle(aInstance, journal_synced{ Store(synced.mDisk, write) });
    }
  }

  void DeliverAll()
  {
    while (!mMessages.empty()) {
      auto const next = std::move(mMessages.front());
      mMessages.pop_front();
      if (!mIsolated.contains(next.mMessage.mFrom) &&
          !mIsolated.contains(next.mTo) && mMembers.contains(next.mTo)) {
        Handle(next.mTo, message_received{ next.mMessage });
      }
    }
  }

  /// Submits an edit and delivers all messages. Answer() returns the answer if
  /// there is one by then.
  submission_id Submit(core::instance_id const& aTo, tables::edit const& aEdit)
  {
    submission_id const submission{ ++mLastNumber };
    Handle(aTo, edit_submitted{ submission, aEdit, std::nullopt });
    DeliverAll();
    return submission;
  }

  std::optional<edit_answer> Answer(submission_id aSubmission) const
  {
    auto const found = mAnswers.find(aSubmission);
    return found == mAnswers.end() ? std::nullopt
                                   : std::optional(found->second);
  }

  edit_answer SubmitAndWait(core::instance_id const& aTo,
                            tables::edit const& aEdit)
  {
    return Answer(Submit(aTo, aEdit)).value_or(edit_answer{});
  }

  std::optional<answer_read> Read(core::instance_id const& aFrom)
  {
    mLastRead.reset();
    Handle(aFrom, read_requested{ { ++mLastNumber }, true });
    DeliverAll();
    return mLastRead;
  }

  /// Returns the leader among the replicas that are not isolated; empty if
  /// there is none.
  core::instance_id Leader() const
  {
    for (auto const& [instance, entry] : mMembers) {
      if (entry.mReplica && !mIsolated.contains(instance) &&
          Status(instance).mRole == replica_role::kLeader) {
        return instance;
      }
    }
    return {};
  }

  /// Returns a member that is not the leader, after skipping aSkip of them.
  core::instance_id NotLeader(std::size_t aSkip = 0) const
  {
    for (auto const& [instance, entry] : mMembers) {
      if (instance != Leader() && aSkip-- == 0) {
        return instance;
      }
    }
    return {};
  }

  replica_status Status(core::instance_id const& aInstance) const
  {
    return mMembers.at(aInstance).mReplica->Status(mNow);
  }

  core::time_point Now() const { return mNow; }

private:
  static std::uint64_t Store(recovered_state& aDisk, action const& aWrite)
  {
    if (auto const* appended = std::get_if<append_journal>(&aWrite)) {
      for (auto const& record : appended->mRecords) {
        CF_ASSERT(ReplayRecord(aDisk, record),
                  "the record contradicts earlier ones");
      }
      return appended->mSequence;
    }
    auto const& written = std::get<write_snapshot>(aWrite);
    aDisk = { aDisk.mIdentity,
              written.mHardState,
              written.mSnapshot,
              written.mEntries,
              written.mSnapshot.mIndex };
    return written.mSequence;
  }

  void Perform(core::instance_id const&, member& aMember, action& aAction)
  {
    if (auto* sent = std::get_if<send_message>(&aAction)) {
      mMessages.push_back(std::move(*sent));
    } else if (auto const* answered = std::get_if<answer_edit>(&aAction)) {
      mAnswers[answered->mSubmission] = answered->mAnswer;
    } else if (auto const* read = std::get_if<answer_read>(&aAction)) {
      mLastRead = *read;
    } else if (auto const* tables = std::get_if<tables_committed>(&aAction)) {
      aMember.mCommitted.push_back(*tables);
    } else if (!std::holds_alternative<role_changed>(aAction)) {
      aMember.mUnsynced.push_back(std::move(aAction));
    }
  }

  replica_options mOptions;
  std::map<core::instance_id, member> mMembers;
  std::deque<send_message> mMessages;
  std::set<core::instance_id> mIsolated;
  std::map<submission_id, edit_answer> mAnswers;
  std::optional<answer_read> mLastRead;
  std::uint64_t mLastNumber = 0;
  std::uint64_t mLastIncarnation = 1;
  core::time_point mNow{};
};

/// Returns an edit that sets the queue limit of one pool.
inline tables::edit
PoolEdit(std::string const& aId, std::uint64_t aBase, std::uint32_t aLimit = 1)
{
  tables::pool pool;
  pool.mName = "stock";
  pool.mService = { "stock" };
  pool.mQueueLimit = aLimit;
  return { { aId }, { aBase }, { tables::put_pool{ pool } } };
}

/// Longer than an election takes with the default options.
inline constexpr core::duration kElectionTime = std::chrono::seconds(4);

}
