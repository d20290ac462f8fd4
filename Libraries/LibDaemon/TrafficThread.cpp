#include "LibDaemon/TrafficThread.h"

#include "LibCore/Log.h"

namespace cranberryfold::daemon {

namespace {

using namespace std::chrono_literals;

/// Delay after a failed accept, for example when file descriptors run out.
constexpr auto kAcceptRetryDelay = 50ms;

/// The parameters are passed by value, since the coroutine outlives the
/// expression that starts it.
task<void>
ServeAndCount(listener::serve_function aServe,
              traffic_thread& aThread,
              std::shared_ptr<tcp::socket> aSocket,
              std::shared_ptr<std::atomic<std::size_t>> aOpenConnections)
{
  co_await aServe(aThread, std::move(*aSocket));
  --*aOpenConnections;
}

hello
MakeCallsHello(daemon_settings const& aSettings)
{
  return { kProtocolVersion,
           connection_kind::kCalls,
           aSettings.mInstance,
           aSettings.mRegion,
           aSettings.mPeerAddress };
}

}

traffic_thread::traffic_thread(shared_services aShared)
  : mWork(asio::make_work_guard(mContext))
  , mLinks(mContext.get_executor(),
           MakeCallsHello(aShared.mSettings),
           aShared.mMetrics)
  , mUpstreams(mContext.get_executor(), aShared.mSettings.mUpstream.mAddress)
  , mIncoming{ mContext.get_executor(),
               aShared.mSettings,
               aShared.mPolicy,
               aShared.mMetrics,
               mUpstreams,
               aShared.mQuarantine,
               aShared.mDialect,
               aShared.mOnUpstreamLost,
               aShared.mOnUpstreamLeaving }
  , mOutgoing{ mContext.get_executor(),
               aShared.mSettings,
               aShared.mPolicy,
               aShared.mMetrics,
               mLinks,
               aShared.mPermits }
  , mIdle(mContext.get_executor(),
          [&policy = aShared.mPolicy] {
            return std::chrono::milliseconds(
              policy.View()->Tables().mLimits.mIdleTimeoutMilliseconds);
          })
  , mHttp{ mOutgoing,
           aShared.mRequests,
           aShared.mClaims,
           aShared.mDialect,
           mIdle }
{
}

traffic_thread::~traffic_thread()
{
  Stop();
}

void
traffic_thread::Start()
{
  mThread = std::thread([this] { mContext.run(); });
}

void
traffic_thread::Post(std::function<void()> aFunction)
{
  asio::post(mContext, std::move(aFunction));
}

void
traffic_thread::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  mContext.stop();
  mThread.join();
}

listener::listener(asio::io_context& aContext,
                   std::vector<std::unique_ptr<traffic_thread>>& aThreads,
                   metrics& aMetrics,
                   std::size_t aMaximumConnections,
                   serve_function aServe)
  : mContext(aContext)
  , mThreads(aThreads)
  , mMetrics(aMetrics)
  , mMaximumConnections(aMaximumConnections)
  , mServe(std::move(aServe))
  , mAcceptor(aContext)
  , mOpenConnections(std::make_shared<std::atomic<std::size_t>>(0))
{
}

core::result<void>
listener::Open(core::address const& aAddress)
{
  auto const endpoint = ToEndpoint<tcp>(aAddress);
  boost::system::error_code code = asio::error::invalid_argument;
  if (endpoint) {
    mAcceptor.open(endpoint->protocol(), code);
  }
  if (!code) {
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), code);
    mAcceptor.bind(*endpoint, code);
  }
  if (!code) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return core::Fail({ core::error_code::kUnreachable,
                        "open_listener",
                        core::FormatAddress(aAddress),
                        code.message() });
  }
  asio::co_spawn(
    mContext, [this] { return AcceptConnections(); }, asio::detached);
  return {};
}

void
listener::Close()
{
  boost::system::error_code code;
  mAcceptor.close(code);
}

task<void>
listener::AcceptConnections()
{
  for (;;) {
    auto& thread = *mThreads[mNextThread++ % mThreads.size()];
    auto [code, socket] =
      co_await mAcceptor.async_accept(thread.Context(), kAsTuple);
    if (code == asio::error::operation_aborted || !mAcceptor.is_open()) {
      co_return;
    }
    if (code) {
      asio::steady_timer pause(mContext, kAcceptRetryDelay);
      co_await pause.async_wait(kAsTuple);
      continue;
    }
    if (*mOpenConnections >= mMaximumConnections) {
      mMetrics.CountRefusal(refusal_place::kListener,
                            core::refusal_reason::kTooManyConnections);
      continue;
    }
    ++*mOpenConnections;
    auto const shared = std::make_shared<tcp::socket>(std::move(socket));
    thread.Post([&thread, shared, open = mOpenConnections, serve = mServe] {
      asio::co_spawn(thread.Context(),
                     ServeAndCount(serve, thread, shared, open),
                     asio::detached);
    });
  }
}

}
