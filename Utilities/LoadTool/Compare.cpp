#include "Compare.h"

#include "LibHttp/ClientPool.h"
#include "LibHttp/Pattern.h"

#include <algorithm>
#include <optional>

namespace cranberryfold::load_tool {

namespace asio = boost::asio;

namespace {

/// Connections, caches and the daemons' latency estimates settle in these.
constexpr std::size_t kWarmUpRequests = 100;

double
Quantile(std::vector<double>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  auto const index =
    static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size() - 1));
  return aSorted[index];
}

/// Returns the latency in milliseconds, or nothing for a failed request.
std::optional<double>
LatencyOf(core::attempt<http::response_head> const& aHead,
          std::chrono::steady_clock::time_point aStart)
{
  if (!aHead || aHead->mStatus / 100 != 2) {
    return std::nullopt;
  }
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - aStart)
    .count();
}

/// Sends one request; returns as LatencyOf() does.
asio::awaitable<std::optional<double>>
SendOnce(http::client_pool& aClients,
         core::address const& aPeer,
         http::request_head const& aHead,
         load_settings const& aSettings)
{
  http::body_sink const discard = [](std::string_view) {};
  auto const body = http::PatternBody(aSettings.mClasses[0].mBodyBytes);
  auto const timeout =
    std::chrono::milliseconds(aSettings.mTimeoutMilliseconds);
  auto const start = std::chrono::steady_clock::now();
  auto const head =
    co_await aClients.Exchange(aPeer, aHead, body, discard, timeout);
  co_return LatencyOf(head, start);
}

}

asio::awaitable<latency_comparison>
CompareWithDirect(asio::any_io_executor aExecutor,
                  load_settings aSettings,
                  core::address aDirect,
                  std::size_t aRequests)
{
  auto const& row = aSettings.mClasses[0];
  http::request_head head{ row.mMethod, row.mPath, {} };
  http::client_pool clients(aExecutor);
  std::vector<double> mesh;
  std::vector<double> direct;
  latency_comparison comparison;
  for (std::size_t index = 0; index < aRequests + kWarmUpRequests; ++index) {
    if (!row.mIdempotent) {
      head.mHeaders = { { "idempotency-key",
                          aSettings.mKeyPrefix + "compare-" +
                            std::to_string(aSettings.mSeed) + "-" +
                            std::to_string(index) } };
    }
    auto const viaMesh =
      co_await SendOnce(clients, aSettings.mTargets[0], head, aSettings);
    auto const viaDirect = co_await SendOnce(clients, aDirect, head, aSettings);
    if (index < kWarmUpRequests) {
      continue;
    }
    if (!viaMesh || !viaDirect) {
      ++comparison.mFailed;
      continue;
    }
    mesh.push_back(*viaMesh);
    direct.push_back(*viaDirect);
  }
  std::sort(mesh.begin(), mesh.end());
  std::sort(direct.begin(), direct.end());
  comparison.mRequests = mesh.size();
  comparison.mMeshMedian = Quantile(mesh, 0.5);
  comparison.mMeshP99 = Quantile(mesh, 0.99);
  comparison.mDirectMedian = Quantile(direct, 0.5);
  comparison.mDirectP99 = Quantile(direct, 0.99);
  co_return comparison;
}

}
