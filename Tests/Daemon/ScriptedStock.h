#pragma once

#include "Daemon/Mesh.h"
#include "Support/ScriptedServer.h"

#include <optional>
#include <string>

namespace cranberryfold::test_support {

inline constexpr auto kOk = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
inline http::request const kRead{ { "GET", "/stock/item", {} }, "" };
inline http::request const kDeposit{ { "POST", "/deposits/1", {} }, "" };

/// Returns whether the caller got a response that looks successful and whole.
bool
IsSuccess(core::attempt<http::response> const& aResponse);

/// The mesh with a stock upstream that writes what a test says.
struct scripted_stock
{
  /// Replaces the stock upstream, also one that a test has started before. For
  /// the arguments see scripted_server.
  void Start(scripted_server::answer_function aAnswer,
             bool aAnswersEarly = false);

  core::attempt<http::response> SendToStock(
    http::request const& aRequest) const;

  /// Sends requests until one has reached the upstream. Returns the response.
  core::attempt<http::response> SendUntilReceived(
    http::request const& aRequest);

  /// Sends reads until one succeeds. The daemon sends few calls to a new
  /// process until then.
  void WaitForSuccess() const;

  mesh mMesh;
  std::optional<scripted_server> mServer;
};

}
