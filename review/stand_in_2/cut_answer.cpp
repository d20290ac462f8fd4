#include "harness.h"

/// A server answers a large upload before it has read it, without a length, and
/// crashes in the middle of the answer.
namespace {

using namespace review;

constexpr char const* kConfiguration =
  R"({"Version":"r1","Routes":{"upload":{"Hostname":"photos.example",)"
  R"("PathPrefix":"/photo/","RouteType":"upload","TimeoutMs":15000,)"
  R"("TargetLatencyMs":5000,"Priority":1,"Service":"galerija",)"
  R"("MaxAttempts":2}},"Services":{"galerija":{"HealthPath":"/health",)"
  R"("MaxConnections":472,"Protocol":"h1","Tls":false}},)"
  R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
  R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

constexpr int kUploads = 5;
constexpr std::size_t kBodyBytes = 40'000'000;
constexpr std::size_t kAnswerBytes = 100'000;
constexpr std::int64_t kPauseMs = 5000;

std::string
MakeId(int aNumber)
{
  return "9c41d07be2a3000" + std::to_string(aNumber);
}

}

int
main()
{
  bool const hasTrouble = HasTrouble();
  deployment mesh(
    { { "lj-a", "galerija" }, { "lj-a", "galerija" }, { "lj-b", "galerija" } });
  for (std::size_t index = 0; index < mesh.Servers(); ++index) {
    mesh.Server(index).mEarlyAnswerBytes = kAnswerBytes;
    mesh.Server(index).mCrashesInAnswer = hasTrouble;
  }
  mesh.Start(kConfiguration);
  auto const whole = LongAnswer(kAnswerBytes);
  std::string const body(kBodyBytes, 'p');
  int cut = 0;
  int served = 0;
  for (int number = 0; number < kUploads; ++number) {
    auto const head =
      Head("POST",
           "/photo/" + std::to_string(number),
           "photos.example",
           { { "Request-Id", MakeId(number) },
             { "Deadline-Ms", "15000" },
             { "Content-Length", std::to_string(kBodyBytes) } });
    auto const answer = Exchange(mesh.Ip(static_cast<std::size_t>(number) % 3),
                                 kOutboundPort,
                                 { { 0, head + body } },
                                 16'000);
    bool const looksComplete =
      answer.mIsComplete && answer.mResponse.Status() == 200;
    bool const isWhole = answer.mResponse.mBody == whole;
    served += looksComplete && isWhole ? 1 : 0;
    cut += looksComplete && !isWhole ? 1 : 0;
    Record("upload " + MakeId(number) + ": " + answer.Describe() + ", " +
           std::to_string(answer.mResponse.mBody.size()) + " bytes of " +
           std::to_string(kAnswerBytes) +
           (looksComplete && !isWhole ? ", looks complete" : ""));
    SleepMs(hasTrouble ? kPauseMs : 0);
  }
  Record("answers that are cut off and look complete: " + std::to_string(cut) +
         " of " + std::to_string(kUploads));
  if (!hasTrouble && served < kUploads) {
    Finish(2, "an upload was not answered without the disruption");
  }
  Finish(cut > 0 ? 1 : 0, cut > 0 ? "MIXED is broken" : "MIXED held");
}
