#include "harness.h"

#include <thread>

/// A page that was added later is read by many clients. All servers of its
/// service crash once, and are back after four seconds.
namespace {

using namespace review;

std::string
Configuration(std::string const& aVersion, bool aHasPage)
{
  auto const route = [](std::string const& aName, std::string const& aPrefix) {
    return "\"" + aName + R"(":{"Hostname":"stock.example","PathPrefix":")" +
           aPrefix +
           R"(","RouteType":"safe","TimeoutMs":2000,"TargetLatencyMs":1000,)"
           R"("Priority":2,"Service":"zaloga","MaxAttempts":2})";
  };
  return R"({"Version":")" + aVersion + R"(","Routes":{)" +
         route("items", "/items/") +
         (aHasPage ? "," + route("today", "/today/") : "") +
         R"(},"Services":{"zaloga":{"HealthPath":"/health",)"
         R"("MaxConnections":472,"Protocol":"h1","Tls":false}},)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
         R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

constexpr std::int64_t kWorkMs = 360;
constexpr std::int64_t kBetweenReadsMs = 17;
/// One read in so many is of an item.
constexpr int kItemsShare = 4;
constexpr std::int64_t kDownMs = 4000;
constexpr std::int64_t kUsualMs = 4000;
constexpr std::int64_t kCrashAfterMs = 1500;
/// The servers are back and have reported by then; the StableWindowMs of 3 s is
/// over, too.
constexpr std::int64_t kCalmMs = 12'000;
constexpr std::int64_t kJudgedMs = 10'000;
constexpr int kLeastReads = 20;

struct tally
{
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mServed{ 0 };
  std::atomic<int> mShown{ 0 };

  double Share() const
  {
    return mSent == 0 ? 0 : static_cast<double>(mServed) / mSent;
  }
};

std::string
MakeId(int aNumber)
{
  auto text = std::to_string(aNumber);
  return "9c41d07be2" + std::string(6 - text.size(), '0') + text;
}

void
Read(std::string const& aIp,
     std::string const& aPath,
     int aNumber,
     tally& aTally)
{
  constexpr int kMostShown = 5;
  auto const head =
    Head("GET",
         aPath,
         "stock.example",
         { { "Request-Id", MakeId(aNumber) }, { "Deadline-Ms", "4000" } });
  ++aTally.mSent;
  auto const answer = Exchange(aIp, kOutboundPort, { { 0, head } }, 5000);
  if (answer.mIsComplete && answer.mResponse.Status() == 200) {
    ++aTally.mServed;
  } else if (++aTally.mShown <= kMostShown) {
    Record("read " + MakeId(aNumber) + " of " + aPath + ": " +
           answer.Describe() +
           ", Retry-After: " + answer.mResponse.Header("retry-after"));
  }
}

/// Reads the page and items in turn, at all daemons in turn.
void
ReadBoth(deployment& aMesh,
         std::int64_t aForMs,
         std::atomic<int>& aNumber,
         tally& aItems,
         tally& aPage)
{
  std::vector<std::thread> clients;
  auto const until = NowMs() + aForMs;
  while (NowMs() < until) {
    int const number = aNumber++;
    auto const daemon =
      static_cast<std::size_t>(number) / kItemsShare % aMesh.Servers();
    clients.emplace_back([&aMesh, &aItems, &aPage, daemon, number] {
      bool const isPage = number % kItemsShare != 0;
      Read(aMesh.Ip(daemon),
           isPage ? "/today/stock" : "/items/" + std::to_string(number),
           number,
           isPage ? aPage : aItems);
    });
    SleepMs(kBetweenReadsMs);
  }
  for (auto& client : clients) {
    client.join();
  }
}

void
RecordTally(std::string const& aWhat, tally const& aTally)
{
  Record(aWhat + ": sent " + std::to_string(aTally.mSent) + ", served " +
         std::to_string(aTally.mServed));
}

}

int
main()
{
  bool const hasTrouble = HasTrouble();
  deployment mesh({ { "lj-a", "zaloga" },
                    { "lj-a", "zaloga" },
                    { "lj-b", "zaloga" },
                    { "lj-b", "zaloga" } });
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mWorkMs = kWorkMs;
    mesh.Server(index).mCrashMs = kDownMs;
  }
  mesh.Start(Configuration("r1", false));
  auto const added = mesh.Put("r1", Configuration("r2", true));
  Record("r2 adds the route of the page: " + added.Describe());
  if (!added.mIsComplete || added.mResponse.Status() != 200) {
    Finish(2, "the second configuration was not acknowledged");
  }
  SleepMs(3000);
  std::atomic<int> number{ 1 };
  tally items;
  tally page;
  ReadBoth(mesh, kUsualMs, number, items, page);
  RecordTally("usual traffic, items", items);
  RecordTally("usual traffic, the page", page);
  if (items.mServed * 2 < items.mSent || page.mServed * 2 < page.mSent) {
    Finish(2, "the usual traffic was not served");
  }
  std::thread crash([&] {
    SleepMs(kCrashAfterMs);
    for (std::size_t index = 0; hasTrouble && index < mesh.Servers(); ++index) {
      mesh.Server(index).CrashNow();
    }
  });
  tally itemsAtCrash;
  tally pageAtCrash;
  ReadBoth(mesh, kUsualMs, number, itemsAtCrash, pageAtCrash);
  crash.join();
  RecordTally("around the crash, items", itemsAtCrash);
  RecordTally("around the crash, the page", pageAtCrash);
  tally itemsOfCalm;
  tally pageOfCalm;
  ReadBoth(mesh, kCalmMs, number, itemsOfCalm, pageOfCalm);
  RecordTally("calm, not judged, items", itemsOfCalm);
  RecordTally("calm, not judged, the page", pageOfCalm);
  tally itemsJudged;
  tally pageJudged;
  ReadBoth(mesh, kJudgedMs, number, itemsJudged, pageJudged);
  RecordTally("steady state, items (route of the first configuration)",
              itemsJudged);
  RecordTally("steady state, the page (route that was added)", pageJudged);
  if (itemsJudged.mServed == 0 || pageJudged.mSent < kLeastReads) {
    Finish(2, "too little traffic in the steady state");
  }
  bool const isBroken = pageJudged.Share() < itemsJudged.Share() / 4;
  Finish(isBroken ? 1 : 0, isBroken ? "CONFIG is broken" : "CONFIG held");
}
