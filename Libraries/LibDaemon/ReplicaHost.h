#pragma once

#include "LibControl/FileJournal.h"
#include "LibControl/Replica.h"
#include "LibDaemon/Asio.h"
#include "LibDaemon/Settings.h"

#include <functional>
#include <map>
#include <memory>

#include <boost/asio/thread_pool.hpp>

namespace cranberryfold::daemon {

/// Runs a control replica: performs its actions, writes its journal on a
/// separate thread, and matches results with requests. After a failed write,
/// recovers a new replica from the files as soon as the disk takes writes
/// again. Must be called on the control thread only.
class replica_host
{
public:
  struct hooks
  {
    std::function<void(core::instance_id const&, control::message const&)>
      mSend;
    std::function<void(control::tables_committed const&, bool aIsLeader)>
      mOnCommitted;
  };
  using edit_callback = std::function<void(control::edit_answer const&)>;
  using read_callback = std::function<void(control::answer_read const&)>;

  replica_host(asio::io_context& aControl,
               daemon_settings const& aSettings,
               hooks aHooks,
               control::file_hooks aFileHooks = {});
  ~replica_host();

  /// Loads the journal and starts the replica. aBootstrap starts a new control
  /// group if the data folder is empty. Without it, an empty folder is treated
  /// as a lost disk. Fails with kStorage or kInvalidInput.
  core::result<void> Start(bool aBootstrap);

  void Tick();
  void OnMessage(control::message aMessage);
  void SubmitEdit(tables::edit aEdit, edit_callback aCallback);
  /// Submits an edit that replaces all tables with those of aReplacement.
  void SubmitReplacement(core::edit_id aId,
                         tables::table_replacement aReplacement,
                         edit_callback aCallback);
  /// Sets the live instances that may be control replicas, with their peer
  /// addresses.
  void SetContacts(std::map<core::instance_id, core::address> aContacts);
  /// Reads the tables. aCurrent requires the confirmation of a majority.
  void Read(bool aCurrent, read_callback aCallback);

  control::replica_status Status() const;
  std::deque<control::edit_record> const& History() const;
  /// Returns how often the journal has failed since the start.
  std::uint64_t FailureCount() const { return mFailureCount; }
  /// Returns whether the replica is out because its journal failed.
  bool IsRecovering() const { return mFailedSince.has_value(); }
  /// Returns the peer address of a replica, or std::nullopt if it is unknown.
  std::optional<core::address> AddressOf(
    core::instance_id const& aInstance) const;

private:
  /// Loads the journal. A lost disk is replaced by an empty one under an
  /// incarnation of at least aLowest.
  core::result<control::recovered_state> Recover(bool aBootstrap,
                                                 core::incarnation aLowest);
  /// Recovers on the disk thread after a failure.
  core::result<control::recovered_state> RecoverAfterFailure(
    core::incarnation aLowest);
  core::result<void> CreateReplica(control::recovered_state aState);
  void OnJournalFailed(core::error const& aError);
  void RecoverLater(core::duration aPause);
  void OnRecovered(core::attempt<control::recovered_state> aOutcome,
                   core::duration aPause);
  void Submit(tables::edit aEdit,
              std::optional<tables::table_replacement> aReplacement,
              edit_callback aCallback);
  void Handle(control::event const& aEvent);
  void Perform(control::send_message const& aAction);
  void Perform(control::append_journal const& aAction);
  void Perform(control::write_snapshot const& aAction);
  void Perform(control::answer_edit const& aAction);
  void Perform(control::answer_read const& aAction);
  void Perform(control::tables_committed const& aAction);
  void Perform(control::role_changed const& aAction);
  /// Runs aWrite on the disk thread and reports its result to the replica.
  void WriteToDisk(std::uint64_t aSequence,
                   std::function<core::result<void>()> aWrite);

  asio::io_context& mControl;
  daemon_settings const& mSettings;
  hooks mHooks;
  /// Runs writes and recoveries in order, so all writes of a replica have been
  /// reported before it is replaced.
  asio::thread_pool mDiskThread{ 1 };
  asio::steady_timer mRecoveryTimer;
  control::file_journal mJournal;
  std::unique_ptr<control::replica> mReplica;
  std::map<core::instance_id, core::address> mContacts;
  /// When the journal failed, until the replica is replaced.
  std::optional<core::time_point> mFailedSince;
  std::uint64_t mFailureCount = 0;
  std::uint64_t mLastRequest = 0;
  std::map<control::submission_id, edit_callback> mPendingEdits;
  std::map<control::read_id, read_callback> mPendingReads;
};

}
