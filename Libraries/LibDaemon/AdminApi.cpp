#include "LibDaemon/AdminApi.h"

#include "LibCore/Log.h"
#include "LibDaemon/AdminEdits.h"
#include "LibTables/TableRules.h"

#include <set>

#include <boost/json.hpp>

namespace cranberryfold::daemon {

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr core::duration kControlTimeout = 5s;
constexpr std::size_t kMaximumBodyBytes = 8UL * 1024UL * 1024UL;
constexpr std::string_view kMetricsPath = "/metrics";
constexpr char const* kUnknownResource = "no such resource\n";
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;

http::response
JsonResponse(unsigned aStatus, json::value const& aValue)
{
  return { { aStatus, { { "content-type", "application/json" } } },
           json::serialize(aValue) + "\n" };
}

http::response
TextResponse(unsigned aStatus, std::string aText)
{
  return { { aStatus, { { "content-type", "text/plain" } } },
           std::move(aText) };
}

json::value
MemberJson(membership::member const& aMember)
{
  auto const& announcement = aMember.mAnnouncement;
  return { { "instance", announcement.mInstance.mValue },
           { "zone", announcement.mZone.mValue },
           { "region", announcement.mRegion.mValue },
           { "service", announcement.mService.mValue },
           { "state", membership::LifecycleStateName(announcement.mLifecycle) },
           { "view", membership::MemberStateName(aMember.mState) },
           { "peer_address", core::FormatAddress(announcement.mPeerAddress) },
           { "admin_address", core::FormatAddress(announcement.mAdminAddress) },
           { "incarnation", announcement.mIncarnation.mValue },
           { "process", announcement.mProcessStart.mValue },
           { "slots", announcement.mSlots },
           { "control", announcement.mControlReplica } };
}

json::value
TablesJson(core::revision aRevision,
           std::uint64_t aHash,
           bool aIsStale,
           tables::table_set const& aTables)
{
  return { { "revision", aRevision.mValue },
           { "hash", FormatHash(aHash) },
           { "stale", aIsStale },
           { "tables", json::parse(tables::FormatTables(aTables)) } };
}

}

admin_api::admin_api(asio::io_context& aContext,
                     daemon_settings const& aSettings,
                     control_plane& aControl,
                     traffic_policy& aPolicy,
                     metrics& aMetrics,
                     state_function aState,
                     admin_handler aHandler)
  : mContext(aContext)
  , mSettings(aSettings)
  , mControl(aControl)
  , mPolicy(aPolicy)
  , mMetrics(aMetrics)
  , mState(std::move(aState))
  , mHandler(std::move(aHandler))
  , mServer(
      aContext.get_executor(),
      [this](http::server_exchange& aExchange) { return Handle(aExchange); })
  , mReadyServer(
      aContext.get_executor(),
      [this](http::server_exchange& aExchange) { return Handle(aExchange); })
  , mMetricsServer(aContext.get_executor(),
                   [this](http::server_exchange& aExchange) {
                     return HandleMetrics(aExchange);
                   })
{
}

core::result<void>
admin_api::Start()
{
  BOOST_LEAF_CHECK(mServer.Listen(mSettings.mAdminAddress));
  if (mSettings.mReadyAddress.mPort != 0) {
    BOOST_LEAF_CHECK(mReadyServer.Listen(mSettings.mReadyAddress));
  }
  if (mSettings.mMetricsAddress.mPort != 0) {
    BOOST_LEAF_CHECK(mMetricsServer.Listen(mSettings.mMetricsAddress));
  }
  return {};
}

void
admin_api::Stop()
{
  mServer.Stop();
  mReadyServer.Stop();
  mMetricsServer.Stop();
}

task<replacement_result>
admin_api::ReplaceTables(core::edit_id aId,
                         tables::table_replacement aReplacement)
{
  auto* const replica = mControl.Replica();
  if (replica == nullptr) {
    co_return replacement_result{ control::edit_status::kNotLeader,
                                  "this instance is no control replica",
                                  std::nullopt };
  }
  auto const edit = co_await AwaitReplacement(mContext,
                                              *replica,
                                              std::move(aId),
                                              std::move(aReplacement),
                                              kControlTimeout);
  replacement_result result{ edit.mStatus, edit.mReason, std::nullopt };
  if (edit.mStatus == control::edit_status::kNotLeader) {
    result.mLeader = mControl.LeaderAdminAddress();
  }
  co_return result;
}

task<confirmed_tables>
admin_api::ReadTables()
{
  auto* const replica = mControl.Replica();
  if (replica == nullptr) {
    co_return confirmed_tables{};
  }
  auto const result = co_await AwaitRead(mContext, *replica, kControlTimeout);
  if (!result || result->mStale) {
    co_return confirmed_tables{ std::nullopt, mControl.LeaderAdminAddress() };
  }
  co_return confirmed_tables{ result->mTables, std::nullopt };
}

std::string
admin_api::NotInMeshReason() const
{
  if (!mControl.HasJoined()) {
    return "not joined: no seed has answered";
  }
  return mPolicy.IsDraining() ? "draining" : "";
}

std::string
admin_api::NotReadyReason() const
{
  auto const reason = NotInMeshReason();
  bool const lacksTables = reason.empty() && !mPolicy.View()->HasRoutes();
  return lacksTables ? "no tables yet" : reason;
}

task<void>
admin_api::Handle(http::server_exchange& aExchange)
{
  std::string body;
  bool isTooLarge = false;
  auto const read = co_await aExchange.ReadBody([&](std::string_view aBytes) {
    isTooLarge = isTooLarge || body.size() + aBytes.size() > kMaximumBodyBytes;
    if (!isTooLarge) {
      body += aBytes;
    }
  });
  if (!read) {
    co_return;
  }
  http::response response;
  if (isTooLarge) {
    response = TextResponse(kTooLarge, "the body is too large\n");
  } else {
    // Named, since GCC 12 destroys a temporary aggregate in a co_await
    // expression twice.
    http::request request{ aExchange.Head(), std::move(body) };
    response = co_await Respond(std::move(request));
  }
  co_await aExchange.Respond(response);
}

task<void>
admin_api::HandleMetrics(http::server_exchange& aExchange)
{
  auto const& head = aExchange.Head();
  bool const isKnown =
    head.mMethod == "GET" && http::PathOf(head.mTarget) == kMetricsPath;
  auto const response = isKnown ? TextResponse(kOk, mMetrics.Text())
                                : TextResponse(kNotFound, kUnknownResource);
  co_await aExchange.Respond(response);
}

task<http::response>
admin_api::Respond(http::request aRequest)
{
  if (mHandler) {
    auto response = co_await mHandler(aRequest);
    if (response) {
      co_return std::move(*response);
    }
  }
  std::string_view const target = aRequest.mHead.mTarget;
  auto const path = http::PathOf(target);
  if (aRequest.mHead.mMethod == "POST" && path == "/v1/edits") {
    co_return co_await SubmitEdit(std::move(aRequest.mBody));
  }
  if (aRequest.mHead.mMethod != "GET") {
    co_return TextResponse(kNotFound, kUnknownResource);
  }
  if (path == kMetricsPath) {
    co_return TextResponse(kOk, mMetrics.Text());
  }
  if (path == "/healthz") {
    co_return TextResponse(kOk, "ok\n");
  }
  if (path == "/readyz") {
    co_return Ready();
  }
  if (path == "/v1/tables") {
    co_return co_await Tables(target);
  }
  if (path == "/v1/history") {
    co_return History();
  }
  if (path == "/v1/status") {
    co_return Status();
  }
  if (path == "/v1/members") {
    co_return Members();
  }
  if (path == "/v1/explain") {
    co_return Explain(target);
  }
  co_return TextResponse(kNotFound, kUnknownResource);
}

http::response
admin_api::Ready() const
{
  auto const reason = NotInMeshReason();
  if (!reason.empty()) {
    return TextResponse(kUnavailable, reason + "\n");
  }
  if (!mPolicy.IsUpstreamReady()) {
    return TextResponse(kUnavailable, "the upstream is not ready\n");
  }
  return TextResponse(kOk, "ready\n");
}

task<http::response>
admin_api::Tables(std::string_view aTarget)
{
  if (http::FindQuery(aTarget, "current") == "true") {
    co_return co_await ConfirmedTables();
  }
  auto const& configuration = mControl.Configuration();
  auto const tables = configuration.Tables();
  co_return JsonResponse(kOk,
                         TablesJson(configuration.Revision(),
                                    configuration.Hash(),
                                    true,
                                    tables ? *tables : tables::table_set{}));
}

task<http::response>
admin_api::ConfirmedTables()
{
  if (mControl.Replica() == nullptr) {
    co_return NotLeader();
  }
  auto const result =
    co_await AwaitRead(mContext, *mControl.Replica(), kControlTimeout);
  if (!result || result->mStale) {
    bool const knowsLeader =
      result && result->mLeader && *result->mLeader != mSettings.mInstance;
    if (knowsLeader) {
      co_return NotLeader();
    }
    co_return JsonResponse(
      kUnavailable,
      { { "result", "no_majority" },
        { "error", "no majority of control replicas confirmed the read" } });
  }
  co_return JsonResponse(
    kOk, TablesJson(result->mRevision, result->mHash, false, result->mTables));
}

http::response
admin_api::NotLeader() const
{
  json::array candidates;
  auto const* const replica = mControl.Replica();
  auto const leader =
    replica ? replica->Status().mLeader : std::optional<core::instance_id>{};
  for (auto const& member : mControl.Members()) {
    auto const& announcement = member.mAnnouncement;
    if (!announcement.mControlReplica ||
        announcement.mInstance == mSettings.mInstance) {
      continue;
    }
    auto const address =
      json::string(core::FormatAddress(announcement.mAdminAddress));
    if (leader && announcement.mInstance == *leader) {
      candidates.insert(candidates.begin(), address);
    } else {
      candidates.push_back(address);
    }
  }
  return JsonResponse(
    kMisdirected, { { "result", "not_leader" }, { "candidates", candidates } });
}

task<http::response>
admin_api::SubmitEdit(std::string aBody)
{
  if (mControl.Replica() == nullptr) {
    co_return NotLeader();
  }
  auto const current =
    co_await AwaitRead(mContext, *mControl.Replica(), kControlTimeout);
  auto const tables = current ? current->mTables : tables::table_set{};
  auto edit = core::Attempt([&] { return ParseEditRequest(aBody, tables); });
  if (edit && current && current->mRevision < edit->mBase) {
    // The changes were computed from tables older than the edit's base.
    co_return JsonResponse(kUnavailable,
                           { { "result", "not_caught_up" },
                             { "error",
                               "the base revision is newer than the "
                               "tables of this replica" } });
  }
  if (!edit) {
    co_return JsonResponse(
      kBadRequest,
      { { "result", "invalid" }, { "error", edit.mError.mDetail } });
  }
  auto const result =
    co_await AwaitEdit(mContext, *mControl.Replica(), *edit, kControlTimeout);
  if (result.mStatus == control::edit_status::kNotLeader) {
    co_return NotLeader();
  }
  auto const [status, value] = DescribeEditResult(result, *edit);
  co_return JsonResponse(status, value);
}

http::response
admin_api::History()
{
  if (mControl.Replica() == nullptr) {
    return NotLeader();
  }
  json::array edits;
  for (auto const& record : mControl.Replica()->History()) {
    edits.push_back(
      { { "revision", record.mRevision.mValue },
        { "edit_id", record.mId.mValue },
        { "changes",
          json::array{ std::to_string(record.mChangeCount) + " changes" } } });
  }
  return JsonResponse(kOk, { { "edits", edits } });
}

http::response
admin_api::Status()
{
  auto const& configuration = mControl.Configuration();
  json::value control;
  if (auto* const replica = mControl.Replica()) {
    auto const status = replica->Status();
    json::array group;
    for (auto const& [instance, member] : status.mGroup) {
      group.push_back(
        { { "instance", instance.mValue }, { "voter", member.mVoter } });
    }
    control = {
      { "role", control::ReplicaRoleName(status.mRole) },
      { "leader", status.mLeader ? status.mLeader->mValue : std::string() },
      { "term", status.mTerm },
      { "group", group },
      { "stale", !status.mLeaseValid },
    };
  }
  return JsonResponse(kOk,
                      { { "instance", mSettings.mInstance.mValue },
                        { "zone", mSettings.mZone.mValue },
                        { "region", mSettings.mRegion.mValue },
                        { "state", mState() },
                        { "revision", configuration.Revision().mValue },
                        { "hash", FormatHash(configuration.Hash()) },
                        { "control", control } });
}

http::response
admin_api::Members() const
{
  json::array members;
  for (auto const& member : mControl.Members()) {
    members.push_back(MemberJson(member));
  }
  return JsonResponse(kOk, { { "members", members } });
}

http::response
admin_api::Explain(std::string_view aTarget) const
{
  auto const name = std::string(http::FindQuery(aTarget, "route"));
  auto const view = mPolicy.View();
  auto const& tables = view->Tables();
  auto const route = tables.mRoutes.find(name);
  if (route == tables.mRoutes.end()) {
    return JsonResponse(kNotFound, { { "error", "no route " + name } });
  }
  // Formats the rows as /v1/tables does.
  tables::table_set rows;
  rows.mRoutes.insert(*route);
  std::set<core::service_id> services;
  for (auto const& poolName : tables::PoolsOf(route->second)) {
    auto const& pool = tables.mPools.at(poolName);
    rows.mPools.emplace(poolName, pool);
    services.insert(pool.mService);
  }
  auto const formatted = json::parse(tables::FormatTables(rows)).as_object();
  json::array upstreams;
  std::size_t serving = 0;
  for (auto const& member : mControl.Members()) {
    if (services.contains(member.mAnnouncement.mService)) {
      upstreams.push_back(MemberJson(member));
      bool const takesWork = member.mAnnouncement.mLifecycle ==
                             membership::lifecycle_state::kServing;
      serving += takesWork ? 1 : 0;
    }
  }
  json::array problems;
  if (serving == 0) {
    for (auto const& service : services) {
      auto const text =
        "no upstream of service " + service.mValue + " is serving";
      problems.push_back(json::string(text));
    }
  }
  return JsonResponse(kOk,
                      { { "route", formatted.at("routes").at(0) },
                        { "pool", formatted.at("pools").at(0) },
                        { "upstreams", upstreams },
                        { "problems", problems } });
}

}
