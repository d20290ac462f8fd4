#include "LibDaemon/QuarantineService.h"

#include "LibTraffic/ClaimCodec.h"

namespace cranberryfold::daemon {

using namespace traffic;

namespace {

quarantine_settings
SettingsFor(holder_id aSelf)
{
  quarantine_settings settings;
  settings.mSelf = std::move(aSelf);
  return settings;
}

}

quarantine_service::quarantine_service(holder_id aSelf,
                                       peer_messenger& aMessenger)
  : mMessenger(aMessenger)
  , mQuarantine(SettingsFor(std::move(aSelf)))
{
}

std::uint64_t
quarantine_service::OnCallAdmitted(core::time_point aNow,
                                   suspect_id aSuspect,
                                   run_callback aCallback)
{
  std::uint64_t call = 0;
  {
    std::scoped_lock const lock(mMutex);
    call = ++mLastCall;
    mPendingCalls.emplace(call, std::move(aCallback));
  }
  Handle(aNow, call_ready{ call, aSuspect });
  return call;
}

void
quarantine_service::Forget(std::uint64_t aCall)
{
  std::scoped_lock const lock(mMutex);
  mInFlight.erase(aCall);
  mReleased.erase(aCall);
  mPendingCalls.erase(aCall);
}

void
quarantine_service::OnCallCompleted(core::time_point aNow, std::uint64_t aCall)
{
  Forget(aCall);
  Handle(aNow, call_completed{ aCall });
}

void
quarantine_service::OnCallEnded(core::time_point aNow, std::uint64_t aCall)
{
  Forget(aCall);
  Handle(aNow, call_unanswered{ aCall });
}

void
quarantine_service::OnCallNotRun(core::time_point aNow, std::uint64_t aCall)
{
  Forget(aCall);
  Handle(aNow, call_not_run{ aCall });
}

void
quarantine_service::OnUpstreamGone(core::time_point aNow, std::uint64_t aCall)
{
  {
    std::scoped_lock const lock(mMutex);
    if (!mQuarantine.MayStillRun(aCall)) {
      return;
    }
  }
  Handle(aNow, upstream_crashed{});
}

void
quarantine_service::OnUpstreamCrashed(core::time_point aNow,
                                      std::uint64_t aCall,
                                      release_callback aCallback)
{
  bool isFirstReport = false;
  {
    std::scoped_lock const lock(mMutex);
    if (mReleased.erase(aCall) > 0) {
      // Another call reported the crash, and the delay of the report to the
      // sender has ended since.
      isFirstReport = false;
    } else {
      isFirstReport = mInFlight.contains(aCall);
      mPendingReports.emplace(aCall, std::move(aCallback));
      aCallback = nullptr;
    }
  }
  if (aCallback) {
    aCallback();
  }
  if (isFirstReport) {
    Handle(aNow, upstream_crashed{});
  }
}

void
quarantine_service::SetPeers(core::time_point aNow, std::set<holder_id> aPeers)
{
  Handle(aNow, service_peers_changed{ std::move(aPeers) });
}

void
quarantine_service::OnMessage(core::time_point aNow,
                              core::instance_id const& aFrom,
                              std::string_view aPayload)
{
  auto message =
    core::Attempt([&] { return DecodeQuarantineMessage(aPayload); });
  if (message) {
    Handle(aNow, quarantine_message_received{ aFrom, std::move(*message) });
  }
}

void
quarantine_service::Tick(core::time_point aNow)
{
  Handle(aNow, quarantine_tick{});
}

void
quarantine_service::Handle(core::time_point aNow,
                           quarantine_event const& aEvent)
{
  callbacks due;
  {
    std::scoped_lock const lock(mMutex);
    if (std::holds_alternative<upstream_crashed>(aEvent)) {
      mInFlight.clear();
    }
    for (auto const& action : mQuarantine.Handle(aNow, aEvent)) {
      CollectCallback(action, due);
    }
  }
  for (auto const& callback : due) {
    callback();
  }
}

void
quarantine_service::CollectCallback(quarantine_action const& aAction,
                                    callbacks& aCallbacks)
{
  if (auto const* const send = std::get_if<send_quarantine_message>(&aAction)) {
    aCallbacks.push_back([this, message = *send] {
      mMessenger.Send(
        message.mTo,
        traffic_message{ traffic_topic::kQuarantine,
                         EncodeQuarantineMessage(message.mMessage) });
    });
  } else if (auto const* const run = std::get_if<run_call>(&aAction)) {
    if (auto waiting = mPendingCalls.extract(run->mCall)) {
      mInFlight.insert(run->mCall);
      aCallbacks.push_back(
        [callback = std::move(waiting.mapped())] { callback(std::nullopt); });
    }
  } else if (auto const* const refused =
               std::get_if<refuse_suspect>(&aAction)) {
    if (auto waiting = mPendingCalls.extract(refused->mCall)) {
      aCallbacks.push_back([callback = std::move(waiting.mapped()),
                            refusal = *refused] { callback(refusal); });
    }
  } else {
    auto const call = std::get<report_lost_call>(aAction).mCall;
    if (auto held = mPendingReports.extract(call)) {
      aCallbacks.push_back(std::move(held.mapped()));
    } else {
      mReleased.insert(call);
    }
  }
}

}
