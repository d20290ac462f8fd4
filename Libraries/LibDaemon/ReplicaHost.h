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

/// Runs a control replica: carries out its actions, keeps its journal on a
/// thread of its own, and matches answers with requests. All calls come from
/// the control thread.
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
               hooks aHooks);
  ~replica_host();

  /// Loads the journal and starts the replica. aBootstrap starts a new control
  /// group when the data folder is empty; without it, an empty folder counts as
  /// a lost disk. Fails with kStorage or kInvalidInput.
  core::result<void> Start(bool aBootstrap);

  void Tick();
  void OnMessage(control::message aMessage);
  void SubmitEdit(tables::edit aEdit, edit_callback aCallback);
  /// Replaces all tables by those of aReplacement.
  void SubmitReplacement(core::edit_id aId,
                         tables::table_replacement aReplacement,
                         edit_callback aCallback);
  /// Tells the live instances that may be control replicas, with their peer
  /// addresses.
  void SetContacts(std::map<core::instance_id, core::address> aContacts);
  /// Reads the tables; aCurrent asks for a majority's confirmation.
  void Read(bool aCurrent, read_callback aCallback);

  control::replica_status Status() const;
  std::deque<control::edit_record> const& History() const;
  /// Returns where a member of the group listens, if it is known.
  std::optional<core::address> AddressOf(
    core::instance_id const& aInstance) const;

private:
  core::result<control::recovered_state> Recover(bool aBootstrap);
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
  /// Runs aWrite on the disk thread and reports its end to the replica.
  void WriteToDisk(std::uint64_t aSequence,
                   std::function<core::result<void>()> aWrite);

  asio::io_context& mControl;
  daemon_settings const& mSettings;
  hooks mHooks;
  asio::thread_pool mDisk{ 1 };
  control::file_journal mJournal;
  std::unique_ptr<control::replica> mReplica;
  std::map<core::instance_id, core::address> mContacts;
  std::uint64_t mLastRequest = 0;
  std::map<control::submission_id, edit_callback> mEdits;
  std::map<control::read_id, read_callback> mReads;
};

}
