#include "Daemon/Mesh.h"

#include <algorithm>
#include <filesystem>
#include <stdexcept>

#include <boost/json.hpp>

namespace cranberryfold::test_support {

namespace {

constexpr std::size_t kPortsPerMember = 5;
/// Of each process, in the message of a failure.
constexpr std::size_t kMaximumOutputBytes = 4'096;

constexpr std::string_view kTables = R"({
  "pools": [
    { "name": "order", "service": "order", "cold_start_ms": 0 },
    { "name": "stock", "service": "stock", "cold_start_ms": 0 } ],
  "routes": [
    { "name": "stock", "methods": ["GET"], "path_prefix": "/stock",
      "pool": "stock", "class": "catalogue", "idempotent": true,
      "timeout_ms": 60000 },
    { "name": "order", "methods": ["POST"], "path_prefix": "/orders",
      "pool": "order", "class": "order", "idempotent": false,
      "timeout_ms": 60000 },
    { "name": "deposit", "methods": ["POST"], "path_prefix": "/deposits",
      "pool": "stock", "class": "deposit", "idempotent": false,
      "timeout_ms": 60000 },
    { "name": "photo", "methods": ["PUT"], "path_prefix": "/photos",
      "pool": "stock", "class": "upload", "idempotent": true,
      "timeout_ms": 120000 } ] })";

std::string
Quoted(std::string const& aText)
{
  return "\"" + aText + "\"";
}

}

mesh::mesh(std::vector<std::string> const& aStandInFlags)
  : mPorts(ReservePorts(3 * kPortsPerMember))
{
  mMembers["order"].mFirstPort = 0;
  mMembers["stock"].mFirstPort = kPortsPerMember;
  mMembers["spare"].mFirstPort = 2 * kPortsPerMember;
  StartMember("order",
              { "--egress=" + core::FormatAddress(Egress("order")),
                "--calls=/orders=GET /stock/item" });
  StartMember("stock", aStandInFlags);
  StartMember("spare", {});
  ApplyTables();
  if (!WaitForStock()) {
    throw std::runtime_error("the mesh does not get ready\n" + Outputs());
  }
}

std::string
mesh::Outputs() const
{
  std::string outputs;
  for (auto const& [instance, started] : mMembers) {
    for (auto const* const process :
         { &started.mUpstream.value(), &started.mDaemon.value() }) {
      auto const output = process->Output();
      auto const size = std::min(output.size(), kMaximumOutputBytes);
      outputs += instance + ":\n" + output.substr(output.size() - size) + "\n";
    }
  }
  return outputs;
}

core::address
mesh::AddressOf(std::string const& aInstance, std::size_t aOffset) const
{
  return { "127.0.0.1",
           mPorts.Ports().at(mMembers.at(aInstance).mFirstPort + aOffset) };
}

core::address
mesh::Caller(std::string const& aInstance) const
{
  return AddressOf(aInstance, 0);
}

core::address
mesh::Egress(std::string const& aInstance) const
{
  return AddressOf(aInstance, 1);
}

core::address
mesh::Admin(std::string const& aInstance) const
{
  return AddressOf(aInstance, 2);
}

core::address
mesh::Peer(std::string const& aInstance) const
{
  return AddressOf(aInstance, 3);
}

core::address
mesh::UpstreamAddress(std::string const& aInstance) const
{
  return AddressOf(aInstance, 4);
}

void
mesh::RestartDaemon(std::string const& aInstance)
{
  std::vector<std::string> const flags{ "--settings",
                                        mFolder.File(aInstance + ".json") };
  mMembers.at(aInstance).mDaemon.emplace(
    "cranberryfold_daemon", flags, mFolder.File(aInstance + ".log"));
}

child_process&
mesh::Daemon(std::string const& aInstance)
{
  return *mMembers.at(aInstance).mDaemon;
}

child_process&
mesh::Upstream(std::string const& aInstance)
{
  return *mMembers.at(aInstance).mUpstream;
}

std::string
mesh::Journal(std::string const& aInstance) const
{
  return ReadFile(mFolder.File(aInstance + ".journal"));
}

std::string
mesh::SettingsOf(std::string const& aInstance) const
{
  auto const text = [](core::address const& aAddress) {
    return Quoted(core::FormatAddress(aAddress));
  };
  bool const isReplica = aInstance == "order";
  std::string settings = "{ \"instance\": " + Quoted(aInstance);
  settings += ", \"zone\": \"z1\"";
  settings += ", \"region\": \"r1\", \"caller_address\": ";
  settings += text(Caller(aInstance));
  settings += ", \"egress_address\": " + text(Egress(aInstance));
  settings += ", \"admin_address\": " + text(Admin(aInstance));
  settings += ", \"peer_address\": " + text(Peer(aInstance));
  settings += ", \"seeds\": [" + text(Peer("order")) + "]";
  settings +=
    ", \"upstream\": { \"address\": " + text(UpstreamAddress(aInstance));
  settings += ", \"service\": " + Quoted(aInstance);
  settings += ", \"slots\": 10, \"connections\": 64 }";
  if (isReplica) {
    settings += ", \"control\": { \"data_folder\": ";
    settings += Quoted(mFolder.File("data"));
    settings += ", \"initial_group\": [ { \"instance\": \"order\", ";
    settings += "\"peer_address\": " + text(Peer("order")) + " } ] }";
  }
  return settings + ", \"drain_grace_ms\": 60000 }";
}

void
mesh::StartMember(std::string const& aInstance,
                  std::vector<std::string> aStandInFlags)
{
  auto& started = mMembers.at(aInstance);
  aStandInFlags.insert(
    aStandInFlags.begin(),
    { "--listen=" + core::FormatAddress(UpstreamAddress(aInstance)),
      "--instance=" + aInstance,
      "--service=" + aInstance,
      "--journal=" + mFolder.File(aInstance + ".journal") });
  started.mUpstream.emplace("stand_in_upstream",
                            aStandInFlags,
                            mFolder.File(aInstance + ".upstream.log"));
  auto const settings = mFolder.File(aInstance + ".json");
  WriteFile(settings, SettingsOf(aInstance));
  std::filesystem::create_directory(mFolder.File("data"));
  std::vector<std::string> flags{ "--settings", settings };
  if (aInstance == "order") {
    flags.emplace_back("--bootstrap_control");
  }
  started.mDaemon.emplace(
    "cranberryfold_daemon", flags, mFolder.File(aInstance + ".log"));
}

void
mesh::ApplyTables() const
{
  http::request const edit{
    { "POST", "/v1/edits", {} },
    R"({"edit_id":"tables","base_revision":0,"tables":)" +
      std::string(kTables) + "}"
  };
  WaitUntil([&] {
    auto const response = Send(Admin("order"), edit);
    return response && response->mHead.mStatus == 200;
  });
}

bool
mesh::HasPool(std::string const& aInstance, std::string const& aPool) const
{
  auto const tables =
    Send(Admin(aInstance), { { "GET", "/v1/tables", {} }, "" });
  auto const row = "{\"name\":" + Quoted(aPool) + ",\"service\":";
  return tables && tables->mBody.find(row) != std::string::npos;
}

bool
mesh::SetLimits(std::string const& aInstance,
                tables::caller_limits const& aLimits) const
{
  auto const limits = R"("caller_limits":{"header_bytes":)" +
                      std::to_string(aLimits.mHeaderBytes) +
                      R"(,"body_bytes":)" + std::to_string(aLimits.mBodyBytes) +
                      R"(,"header_timeout_ms":)" +
                      std::to_string(aLimits.mHeaderTimeoutMilliseconds) +
                      R"(,"idle_timeout_ms":)" +
                      std::to_string(aLimits.mIdleTimeoutMilliseconds) + "}";
  http::request const read{ { "GET", "/v1/tables", {} }, "" };
  bool const isAccepted = WaitUntil([&] {
    auto const tables = Send(Admin("order"), read);
    if (!tables) {
      return false;
    }
    auto const revision = boost::json::parse(tables->mBody).at("revision");
    auto const base = std::to_string(revision.to_number<std::uint64_t>());
    auto const response =
      Send(Admin("order"),
           { { "POST", "/v1/edits", {} },
             R"({"edit_id":"limits )" + base + R"(","base_revision":)" + base +
               R"(,"tables":{)" + limits + "," +
               std::string(kTables.substr(1)) + "}" });
    return response && response->mHead.mStatus == 200;
  });
  return isAccepted && WaitUntil([&] {
           auto const tables = Send(Admin(aInstance), read);
           return tables && tables->mBody.find(limits) != std::string::npos;
         });
}

bool
mesh::WaitForStock() const
{
  return WaitUntil([&] {
    auto const ready = Send(Admin("stock"), { { "GET", "/readyz", {} }, "" });
    auto const members =
      Send(Admin("order"), { { "GET", "/v1/members", {} }, "" });
    return ready && ready->mHead.mStatus == 200 && members &&
           members->mBody.find("\"service\":\"stock\",\"state\":\"serving\"") !=
             std::string::npos &&
           HasPool("stock", "stock");
  });
}

}
