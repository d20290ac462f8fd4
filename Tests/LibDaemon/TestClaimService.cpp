#include "LibDaemon/ClaimService.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using daemon::claim_service;
using namespace std::chrono_literals;

namespace {

constexpr core::time_point kStart{ 1h };
traffic::holder_id const kSelf{ { "a" }, { 7 } };

/// A service that is alone in its zone, with a claim map installed.
struct single_holder
{
  single_holder()
  {
    mClaims.InstallMap(
      kStart, traffic::BuildClaimMap({}, { { core::zone_id{ "z" }, kSelf } }));
  }

  std::optional<claim_service::decision> Claim(std::string const& aKey)
  {
    std::optional<claim_service::decision> decision;
    mLast = mClaims.Claim(
      kStart, aKey, kStart + 5s, [&decision](auto const& aDecision) {
        decision = aDecision;
      });
    return decision;
  }

  daemon::peer_messenger mMessenger{ [](auto const&, auto) {} };
  claim_service mClaims{ kSelf, kStart, 1, mMessenger };
  std::uint64_t mLast = 0;
};

}

BOOST_AUTO_TEST_SUITE(ClaimService)

// Guards against a fresh group that waits for copies nobody can give.
BOOST_AUTO_TEST_CASE(FreshGroupGrantsAtOnce)
{
  single_holder service;
  auto const decision = service.Claim("order-1");
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST(std::holds_alternative<traffic::claim_granted>(*decision));
}

// Guards against a second run of a request that was resent after its end.
BOOST_AUTO_TEST_CASE(ResendGetsTheStoredResponse)
{
  single_holder service;
  BOOST_REQUIRE(service.Claim("order-1").has_value());
  service.mClaims.Finish(
    kStart, service.mLast, traffic::dispatch_outcome::kRan, "stored");
  auto const decision = service.Claim("order-1");
  BOOST_REQUIRE(decision.has_value());
  auto const* const answered = std::get_if<traffic::claim_answered>(&*decision);
  BOOST_REQUIRE(answered != nullptr);
  BOOST_TEST(answered->mResponse == "stored");
}

BOOST_AUTO_TEST_CASE(UnknownHomeZoneIsNoticed)
{
  single_holder service;
  BOOST_TEST(service.mClaims.KnowsHomeZone("order-1"));
  BOOST_TEST(service.mClaims.KnowsHomeZone("z/order-1"));
  BOOST_TEST(!service.mClaims.KnowsHomeZone("y/order-1"));
}

BOOST_AUTO_TEST_SUITE_END()
