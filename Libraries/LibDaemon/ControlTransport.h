#pragma once

#include "LibDaemon/CallLink.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>

/// Messages between control threads, as UDP datagrams if they are small and
/// otherwise as frames on TCP connections.
namespace cranberryfold::daemon {

enum class control_topic : std::uint8_t
{
  kMembership,
  kReplica,
  kClaimActivation,
};

struct control_envelope
{
  control_topic mTopic = control_topic::kMembership;
  std::string mPayload;

  bool operator==(control_envelope const&) const = default;
};

std::string
EncodeEnvelope(control_envelope const& aEnvelope);

/// Fails with kMalformed.
core::result<control_envelope>
DecodeEnvelope(std::string_view aBytes);

/// Sends and receives envelopes on the control thread. Delivery is not
/// guaranteed; the decision objects tolerate losses.
class control_transport
{
public:
  using receive_function = std::function<void(control_envelope)>;

  control_transport(asio::any_io_executor const& aExecutor,
                    hello aHello,
                    metrics& aMetrics,
                    receive_function aOnReceive);

  /// Opens the UDP socket. Fails with kUnreachable if it cannot be bound.
  core::result<void> Open(core::address const& aAddress);
  void SendDatagram(core::address const& aTo,
                    control_envelope const& aEnvelope);
  void SendStream(core::address const& aTo, control_envelope const& aEnvelope);
  /// Makes SendStream() use a new connection to aTo; see link_pool::Renew().
  void RenewLink(core::address const& aTo);
  /// Handles an encoded envelope that was received over TCP.
  void OnStreamBytes(std::string_view aBytes);
  void Close();

private:
  task<void> ReceiveDatagrams();
  void Deliver(std::string_view aBytes);

  static constexpr std::size_t kReceiveBufferBytes = 64UL * 1024UL;

  asio::any_io_executor mExecutor;
  metrics& mMetrics;
  udp::socket mSocket;
  link_pool mLinks;
  receive_function mOnReceive;
  std::array<char, kReceiveBufferBytes> mReceiveBuffer{};
};

}
