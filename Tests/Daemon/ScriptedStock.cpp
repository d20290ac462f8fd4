#include "Daemon/ScriptedStock.h"

#include <csignal>

#include <boost/test/unit_test.hpp>

namespace cranberryfold::test_support {

bool
IsSuccess(core::attempt<http::response> const& aResponse)
{
  return aResponse && aResponse->mHead.mStatus == 200;
}

void
scripted_stock::Start(scripted_server::answer_function aAnswer,
                      bool aAnswersEarly)
{
  if (!mMesh.Upstream("stock").ExitStatus()) {
    BOOST_TEST_REQUIRE(mMesh.WaitForStock());
    mMesh.Upstream("stock").Signal(SIGKILL);
    BOOST_TEST_REQUIRE(mMesh.Upstream("stock").WaitForExit().has_value());
  }
  mServer.reset();
  mServer.emplace(
    mMesh.UpstreamAddress("stock"), std::move(aAnswer), aAnswersEarly);
  BOOST_TEST_REQUIRE(mMesh.WaitForStock());
}

core::attempt<http::response>
scripted_stock::SendToStock(http::request const& aRequest) const
{
  return Send(mMesh.Caller("order"), aRequest);
}

core::attempt<http::response>
scripted_stock::SendUntilReceived(http::request const& aRequest)
{
  auto const before = mServer->Requests();
  core::attempt<http::response> response;
  BOOST_TEST(WaitUntil([&] {
    response = SendToStock(aRequest);
    return mServer->Requests() > before;
  }));
  return response;
}

void
scripted_stock::WaitForSuccess() const
{
  BOOST_TEST_REQUIRE(WaitUntil([&] { return IsSuccess(SendToStock(kRead)); }));
}

}
