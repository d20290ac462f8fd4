#include "Platform/PlatformMesh.h"

#include <csignal>
#include <filesystem>
#include <stdexcept>

#include <unistd.h>

namespace cranberryfold::test_support {

namespace {

constexpr std::uint16_t kOutboundPort = 8304;
constexpr std::uint16_t kControlPort = 8306;
constexpr unsigned kOk = 200;

/// The host name of the route is put in front of the rest.
constexpr char const* kTablesRest = R"(", "PathPrefix": "/browse/",
    "RouteType": "safe", "TimeoutMs": 4000, "TargetLatencyMs": 1500,
    "Priority": 2, "Service": "catalogue", "MaxAttempts": 1 },
    "place-order": { "Hostname": "orders.example", "PathPrefix": "/order/",
    "RouteType": "unsafe", "TimeoutMs": 4000, "TargetLatencyMs": 1500,
    "Priority": 0, "Service": "catalogue", "MaxAttempts": 2 } },
  "Services": { "catalogue": { "HealthPath": "/health", "MaxConnections": 160,
    "Protocol": "h1", "Tls": false } },
  "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 65536,
    "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 } })";

/// Tests that run at the same time have different process ids.
std::string
OwnSubnet()
{
  auto const number = static_cast<int>(getpid());
  return "127." + std::to_string(number / 250 % 200 + 20) + "." +
         std::to_string(number % 250 + 1) + ".";
}

}

platform_mesh::platform_mesh(bool aHasPeer)
  : mSubnet(OwnSubnet())
  , mUpstream(
      [this](http::request const& aRequest) { return Answer(aRequest); },
      [this](http::request const& aRequest) -> core::duration {
        return aRequest.mHead.mTarget.starts_with("/order/")
                 ? mWork.load()
                 : std::chrono::milliseconds(0);
      })
{
  std::filesystem::create_directory(mFolder.File("control.data"));
  WriteSettings("control", mSubnet + "1", true);
  WriteSettings("app", mSubnet + "2", false);
  mControl.emplace(StartDaemon("control"));
  mDaemon.emplace(StartDaemon("app"));
  if (aHasPeer) {
    WriteSettings("peer", mSubnet + "3", false);
    mPeer.emplace(StartDaemon("peer"));
  }
  ApplyTables();
}

http::response
platform_mesh::Answer(http::request const& aRequest)
{
  http::header_list headers{ { "server-load", "0,0,8" },
                             { "instance-id", kUpstreamId } };
  if (aRequest.mHead.mTarget == "/health") {
    return { { mIsHealthy ? kOk : 503U, std::move(headers) }, "" };
  }
  ++mRuns;
  std::string id(http::FindHeader(aRequest.mHead.mHeaders, "request-id"));
  {
    std::scoped_lock const lock(mMutex);
    mRunIds.insert(id);
  }
  headers.push_back({ "request-id", std::move(id) });
  headers.push_back({ "response-stamp", "1" });
  return { { kOk, std::move(headers) }, "" };
}

core::address
platform_mesh::At(std::string const& aIp, std::uint16_t aPort) const
{
  return { mSubnet + aIp, aPort };
}

void
platform_mesh::WriteSettings(std::string const& aName,
                             std::string const& aIp,
                             bool aIsControl) const
{
  auto const listen = [&aIp](char const* aListener, std::uint16_t aPort) {
    return "\"" + std::string(aListener) + "\": \"" + aIp + ":" +
           std::to_string(aPort) + "\"";
  };
  auto listeners = listen("Control", kControlPort);
  std::string role = R"("Serves": ["control"], "DataDir": ")" +
                     mFolder.File(aName + ".data") + "\"";
  if (!aIsControl) {
    listeners += ", " + listen("Outbound", kOutboundPort);
    role = R"("Serves": ["app_node"], "DataDir": null,
      "Service": "catalogue", "AppAddr": ")" +
           mUpstream.Address() + "\"";
  }
  WriteFile(mFolder.File(aName + ".json"),
            "{ \"Ip\": \"" + aIp +
              R"(", "Zone": "a", "Region": "r", "Listen": { )" + listeners +
              R"( }, "InternalPortRange": [7620, 7635], "Bootstrap": true,
              "Seeds": [")" +
              core::FormatAddress(At("1", kControlPort)) + "\"], " + role +
              R"(, "Limits": { "MaxFds": 1000 }, "Bounds": ["GraceS=6"] })");
}

child_process
platform_mesh::StartDaemon(std::string const& aName) const
{
  return { "cranberryfold_node",
           { "--settings=" + mFolder.File(aName + ".json") },
           mFolder.File(aName + ".log") };
}

void
platform_mesh::ApplyTables() const
{
  http::request const put{
    { "POST", "/v1/rpc?call=config.put", { { "base-version", "r0" } } },
    R"({ "Version": "r1", "Routes": { "browse": { "Hostname": ")" + mSubnet +
      "2" + kTablesRest
  };
  bool const isApplied = WaitUntil([&] {
    auto const response = Send(At("1", kControlPort), put);
    return response && response->mHead.mStatus == kOk;
  });
  if (!isApplied) {
    throw std::runtime_error("tables not applied: " + mControl->Output() +
                             mDaemon->Output());
  }
}

unsigned
platform_mesh::SendRequest()
{
  http::request const browse{
    { "GET",
      "/browse/page",
      { { "request-id", "r" + std::to_string(++mRequests) },
        { "deadline-ms", "4000" } } },
    ""
  };
  auto const response = Send(Callers(), browse);
  return response ? response->mHead.mStatus : 0;
}

std::string
platform_mesh::HeartbeatBody(std::uint64_t aStart,
                             std::string const& aState,
                             std::string const& aSequence) const
{
  return R"({"Address":")" + mUpstream.Address() + R"(","born":)" +
         std::to_string(aStart) +
         R"(,"Info":{"Service":"catalogue","Version":"v1","Zone":"a",
                "Slots":8},"Status":{"State":")" +
         aState + R"(","Sequence":)" + aSequence + R"(,"ColdRemainingMs":0}})";
}

unsigned
platform_mesh::Heartbeat(std::uint64_t aStart,
                         std::string const& aState,
                         std::string const& aSequence) const
{
  return Post("instances.heartbeat", HeartbeatBody(aStart, aState, aSequence));
}

unsigned
platform_mesh::PeerHeartbeat()
{
  return PostTo("3",
                "instances.heartbeat",
                HeartbeatBody(1, "ready", std::to_string(++mPeerReports)));
}

unsigned
platform_mesh::Post(std::string const& aCall, std::string const& aBody) const
{
  return PostTo("2", aCall, aBody);
}

unsigned
platform_mesh::PostTo(std::string const& aIp,
                      std::string const& aCall,
                      std::string const& aBody) const
{
  auto const response = Send(
    At(aIp, kControlPort),
    { { "POST", "/v1/rpc?call=" + aCall + "&of=" + kUpstreamId, {} }, aBody });
  return response ? response->mHead.mStatus : 0;
}

core::address
platform_mesh::Callers() const
{
  return At("2", kOutboundPort);
}

bool
platform_mesh::HasRun(std::string const& aId)
{
  std::scoped_lock const lock(mMutex);
  return mRunIds.contains(aId);
}

void
platform_mesh::StopDaemon()
{
  mDaemon->Signal(SIGTERM);
}

std::optional<int>
platform_mesh::WaitForDaemonExit()
{
  return mDaemon->WaitForExit();
}

void
platform_mesh::RestartDaemon()
{
  mDaemon->Signal(SIGKILL);
  mDaemon->WaitForExit();
  mDaemon.emplace(StartDaemon("app"));
}

}
