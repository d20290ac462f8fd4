#include "LibDaemon/ClaimService.h"

#include <boost/test/unit_test.hpp>

using namespace cranberryfold;
using daemon::claim_service;
using namespace std::chrono_literals;

namespace {

constexpr core::time_point kStart{ 1h };
traffic::holder_id const kSelf{ { "a" }, { 7 } };

/// The only holder in its zone, with a claim map installed.
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
    mLastRequest = mClaims.Claim(
      kStart, aKey, kStart + 5s, [&decision](auto const& aDecision) {
        decision = aDecision;
      });
    return decision;
  }

  daemon::peer_messenger mMessenger{ [](auto const&, auto) {} };
  claim_service mClaims{ kSelf, kStart, 1, mMessenger };
  std::uint64_t mLastRequest = 0;
};

}

BOOST_AUTO_TEST_SUITE(ClaimService)

// Guards against a new claim group that waits for state that no earlier group
// has.
BOOST_AUTO_TEST_CASE(FreshGroupGrantsAtOnce)
{
  single_holder service;
  auto const decision = service.Claim("order-1");
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST(std::holds_alternative<traffic::claim_granted>(*decision));
}

// Guards against a second run of a request that is resent after it has
// finished.
BOOST_AUTO_TEST_CASE(ResendGetsTheStoredResponse)
{
  single_holder service;
  BOOST_REQUIRE(service.Claim("order-1").has_value());
  service.mClaims.RecordOutcome(
    kStart, service.mLastRequest, traffic::dispatch_outcome::kRan, "stored");
  auto const decision = service.Claim("order-1");
  BOOST_REQUIRE(decision.has_value());
  auto const* const answered = std::get_if<traffic::claim_answered>(&*decision);
  BOOST_REQUIRE(answered != nullptr);
  BOOST_TEST(answered->mResponse == "stored");
}

// Guards against a claim for a key whose group would change once its zone is
// added to the claim map.
BOOST_AUTO_TEST_CASE(UnknownHomeZoneIsDetected)
{
  single_holder service;
  BOOST_TEST(service.mClaims.IsHomeZoneKnown("order-1"));
  BOOST_TEST(service.mClaims.IsHomeZoneKnown("z/order-1"));
  BOOST_TEST(!service.mClaims.IsHomeZoneKnown("y/order-1"));
}

BOOST_AUTO_TEST_SUITE_END()
