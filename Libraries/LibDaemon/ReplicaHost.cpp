#include "LibDaemon/ReplicaHost.h"

#include "LibCore/Hash.h"
#include "LibCore/Log.h"

#include <algorithm>
#include <chrono>
#include <filesystem>

namespace cranberryfold::daemon {

namespace {

/// Returns the current time in milliseconds since 1970. A later incarnation is
/// higher, since wall clocks advance over the time it takes to replace a disk.
core::incarnation
NewIncarnation()
{
  auto const now = std::chrono::system_clock::now().time_since_epoch();
  return { static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) };
}

control::replica_group
InitialGroup(control_settings const& aSettings)
{
  control::replica_group group;
  for (auto const& member : aSettings.mInitialGroup) {
    group[member.mInstance] = { member.mPeerAddress, {}, true };
  }
  return group;
}

}

replica_host::replica_host(asio::io_context& aControl,
                           daemon_settings const& aSettings,
                           hooks aHooks,
                           control::file_hooks aFileHooks)
  : mControl(aControl)
  , mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mRecoveryTimer(aControl)
  , mJournal(aSettings.mControl->mDataFolder, std::move(aFileHooks))
{
}

replica_host::~replica_host()
{
  mDiskThread.join();
}

core::result<control::recovered_state>
replica_host::Recover(bool aBootstrap, core::incarnation aLowest)
{
  BOOST_LEAF_AUTO(outcome, mJournal.Load());
  if (outcome.mState) {
    return *outcome.mState;
  }
  std::error_code ignored;
  bool const isNewGroup =
    aBootstrap &&
    std::filesystem::is_empty(mSettings.mControl->mDataFolder, ignored);
  auto state = isNewGroup
                 ? control::InitialState(mSettings.mInstance,
                                         InitialGroup(*mSettings.mControl))
                 : control::EmptyState(mSettings.mInstance,
                                       std::max(NewIncarnation(), aLowest));
  core::LogWarning(isNewGroup ? "control_group_started" : "control_disk_lost")
    .Field("folder", mSettings.mControl->mDataFolder)
    .Field("reason", outcome.mLostReason);
  BOOST_LEAF_CHECK(mJournal.Reset(state));
  return state;
}

core::result<control::recovered_state>
replica_host::RecoverAfterFailure(core::incarnation aLowest)
{
  BOOST_LEAF_AUTO(state, Recover(false, aLowest));
  BOOST_LEAF_CHECK(mJournal.Rewrite(state));
  return state;
}

core::result<void>
replica_host::Start(bool aBootstrap)
{
  BOOST_LEAF_AUTO(state, Recover(aBootstrap, {}));
  BOOST_LEAF_CHECK(CreateReplica(std::move(state)));
  Tick();
  return {};
}

core::result<void>
replica_host::CreateReplica(control::recovered_state aState)
{
  control::replica_options options;
  for (auto const& member : mSettings.mControl->mInitialGroup) {
    options.mContacts.push_back(member.mInstance);
  }
  for (auto const& [instance, address] : mContacts) {
    options.mContacts.push_back(instance);
  }
  auto const seed =
    core::Hash64(mSettings.mInstance.mValue, NewIncarnation().mValue);
  BOOST_LEAF_AUTO(created,
                  control::replica::Create(options, std::move(aState), seed));
  mReplica = std::move(created);
  return {};
}

void
replica_host::Tick()
{
  Handle(control::tick{});
}

void
replica_host::OnMessage(control::message aMessage)
{
  Handle(control::message_received{ std::move(aMessage) });
}

void
replica_host::SubmitEdit(tables::edit aEdit, edit_callback aCallback)
{
  Submit(std::move(aEdit), std::nullopt, std::move(aCallback));
}

void
replica_host::SubmitReplacement(core::edit_id aId,
                                tables::table_replacement aReplacement,
                                edit_callback aCallback)
{
  tables::edit edit;
  edit.mId = std::move(aId);
  Submit(std::move(edit), std::move(aReplacement), std::move(aCallback));
}

void
replica_host::Submit(tables::edit aEdit,
                     std::optional<tables::table_replacement> aReplacement,
                     edit_callback aCallback)
{
  control::submission_id const id{ ++mLastRequest };
  mPendingEdits.emplace(id, std::move(aCallback));
  Handle(
    control::edit_submitted{ id, std::move(aEdit), std::move(aReplacement) });
}

void
replica_host::SetContacts(std::map<core::instance_id, core::address> aContacts)
{
  if (aContacts == mContacts) {
    return;
  }
  mContacts = std::move(aContacts);
  control::contacts_found found;
  for (auto const& [instance, address] : mContacts) {
    found.mContacts.push_back(instance);
  }
  Handle(found);
}

void
replica_host::Read(bool aCurrent, read_callback aCallback)
{
  control::read_id const id{ ++mLastRequest };
  mPendingReads.emplace(id, std::move(aCallback));
  Handle(control::read_requested{ id, aCurrent });
}

control::replica_status
replica_host::Status() const
{
  return mReplica->Status(Now());
}

std::deque<control::edit_record> const&
replica_host::History() const
{
  return mReplica->History();
}

std::optional<core::address>
replica_host::AddressOf(core::instance_id const& aInstance) const
{
  auto const group = Status().mGroup;
  auto const found = group.find(aInstance);
  if (found != group.end()) {
    return found->second.mPeerAddress;
  }
  auto const contact = mContacts.find(aInstance);
  if (contact != mContacts.end()) {
    return contact->second;
  }
  for (auto const& member : mSettings.mControl->mInitialGroup) {
    if (member.mInstance == aInstance) {
      return member.mPeerAddress;
    }
  }
  return std::nullopt;
}

void
replica_host::Handle(control::event const& aEvent)
{
  for (auto const& action : mReplica->Handle(Now(), aEvent)) {
    std::visit([this](auto const& aAction) { Perform(aAction); }, action);
  }
}

void
replica_host::Perform(control::send_message const& aAction)
{
  mHooks.mSend(aAction.mTo, aAction.mMessage);
}

void
replica_host::Perform(control::append_journal const& aAction)
{
  WriteToDisk(aAction.mSequence,
              [this, aAction] { return mJournal.Append(aAction); });
}

void
replica_host::Perform(control::write_snapshot const& aAction)
{
  WriteToDisk(aAction.mSequence,
              [this, aAction] { return mJournal.WriteSnapshot(aAction); });
}

void
replica_host::WriteToDisk(std::uint64_t aSequence,
                          std::function<core::result<void>()> aWrite)
{
  asio::post(mDiskThread, [this, aSequence, write = std::move(aWrite)] {
    auto const outcome = core::Attempt(write);
    asio::post(mControl, [this, aSequence, outcome] {
      if (!outcome) {
        OnJournalFailed(outcome.mError);
      } else {
        Handle(control::journal_synced{ aSequence });
      }
    });
  });
}

void
replica_host::OnJournalFailed(core::error const& aError)
{
  if (mFailedSince) {
    return;
  }
  mFailedSince = Now();
  ++mFailureCount;
  core::LogError("journal_failed").Field("error", core::FormatError(aError));
  Handle(control::journal_failed{ aError });
  RecoverLater(control::kFirstRecoveryPause);
}

void
replica_host::RecoverLater(core::duration aPause)
{
  mRecoveryTimer.expires_after(aPause);
  mRecoveryTimer.async_wait([this, aPause](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    // A disk that was lost under this incarnation needs a higher one, even
    // after the wall clock was set back.
    core::incarnation const lowest{ Status().mIdentity.mIncarnation.mValue +
                                    1 };
    asio::post(mDiskThread, [this, aPause, lowest] {
      auto outcome =
        core::Attempt([this, lowest] { return RecoverAfterFailure(lowest); });
      asio::post(mControl,
                 [this, aPause, recovered = std::move(outcome)]() mutable {
                   OnRecovered(std::move(recovered), aPause);
                 });
    });
  });
}

void
replica_host::OnRecovered(core::attempt<control::recovered_state> aOutcome,
                          core::duration aPause)
{
  auto const created = core::Attempt([&]() -> core::result<void> {
    if (!aOutcome) {
      return core::Fail(aOutcome.mError);
    }
    return CreateReplica(std::move(*aOutcome));
  });
  if (!created) {
    core::LogWarning("journal_recovery_failed")
      .Field("error", core::FormatError(created.mError));
    RecoverLater(control::NextRecoveryPause(aPause));
    return;
  }
  core::LogInfo("control_replica_recovered")
    .Field("out_ms", core::Milliseconds(Now() - *mFailedSince));
  mFailedSince.reset();
  Tick();
}

void
replica_host::Perform(control::answer_edit const& aAction)
{
  core::LogInfo("edit_answered")
    .Field("result", control::EditStatusName(aAction.mAnswer.mStatus))
    .Field("edit", aAction.mAnswer.mEdit.mValue)
    .Field("revision",
           static_cast<std::int64_t>(aAction.mAnswer.mRevision.mValue));
  if (auto waiting = mPendingEdits.extract(aAction.mSubmission)) {
    waiting.mapped()(aAction.mAnswer);
  }
}

void
replica_host::Perform(control::answer_read const& aAction)
{
  if (auto waiting = mPendingReads.extract(aAction.mRead)) {
    waiting.mapped()(aAction);
  }
}

void
replica_host::Perform(control::tables_committed const& aAction)
{
  bool const isLeader = Status().mRole == control::replica_role::kLeader;
  mHooks.mOnCommitted(aAction, isLeader);
}

void
replica_host::Perform(control::role_changed const& aAction)
{
  core::LogInfo("control_role_changed")
    .Field("role", control::ReplicaRoleName(aAction.mRole))
    .Field("term", static_cast<std::int64_t>(aAction.mTerm))
    .Field("leader", aAction.mLeader ? aAction.mLeader->mValue : "none");
}

}
