#include "LibDaemon/ControlTransport.h"

#include "LibWire/Codec.h"

namespace cranberryfold::daemon {

template<class Archive>
void
serialize(Archive& aArchive, control_envelope& aEnvelope)
{
  wire::SerializeEnumeration(
    aArchive, aEnvelope.mTopic, control_topic::kClaimActivation);
  aArchive(aEnvelope.mPayload);
}

std::string
EncodeEnvelope(control_envelope const& aEnvelope)
{
  return wire::Encode(aEnvelope);
}

core::result<control_envelope>
DecodeEnvelope(std::string_view aBytes)
{
  return wire::Decode<control_envelope>(aBytes, "decode_envelope");
}

control_transport::control_transport(asio::any_io_executor const& aExecutor,
                                     hello aHello,
                                     metrics& aMetrics,
                                     receive_function aOnReceive)
  : mExecutor(aExecutor)
  , mMetrics(aMetrics)
  , mSocket(aExecutor)
  , mLinks(aExecutor, std::move(aHello), aMetrics)
  , mOnReceive(std::move(aOnReceive))
{
}

core::result<void>
control_transport::Open(core::address const& aAddress)
{
  auto const endpoint = ToEndpoint<udp>(aAddress);
  boost::system::error_code code = asio::error::invalid_argument;
  if (endpoint) {
    mSocket.open(endpoint->protocol(), code);
  }
  if (!code) {
    mSocket.bind(*endpoint, code);
  }
  if (code) {
    return core::Fail({ core::error_code::kUnreachable,
                        "open_datagram_socket",
                        core::FormatAddress(aAddress),
                        code.message() });
  }
  asio::co_spawn(
    mExecutor, [this] { return ReceiveDatagrams(); }, asio::detached);
  return {};
}

task<void>
control_transport::ReceiveDatagrams()
{
  for (;;) {
    auto const [code, size] =
      co_await mSocket.async_receive(asio::buffer(mReceiveBuffer), kAsTuple);
    if (code == asio::error::operation_aborted ||
        code == asio::error::bad_descriptor) {
      co_return;
    }
    // Other errors report that an earlier datagram reached a closed port.
    if (!code) {
      Deliver(std::string_view(mReceiveBuffer.data(), size));
    }
  }
}

void
control_transport::Deliver(std::string_view aBytes)
{
  auto envelope = core::Attempt([&] { return DecodeEnvelope(aBytes); });
  if (!envelope) {
    mMetrics.CountRefusal(refusal_place::kListener,
                          core::refusal_reason::kMalformed);
    return;
  }
  mOnReceive(std::move(*envelope));
}

void
control_transport::OnStreamBytes(std::string_view aBytes)
{
  Deliver(aBytes);
}

void
control_transport::SendDatagram(core::address const& aTo,
                                control_envelope const& aEnvelope)
{
  auto const endpoint = ToEndpoint<udp>(aTo);
  if (!endpoint) {
    return;
  }
  boost::system::error_code code;
  mSocket.non_blocking(true, code);
  mSocket.send_to(asio::buffer(EncodeEnvelope(aEnvelope)), *endpoint, 0, code);
}

void
control_transport::SendStream(core::address const& aTo,
                              control_envelope const& aEnvelope)
{
  mLinks.LinkTo(aTo)->Send(control_frame{ EncodeEnvelope(aEnvelope) });
}

void
control_transport::RenewLink(core::address const& aTo)
{
  mLinks.Renew(aTo);
}

void
control_transport::Close()
{
  boost::system::error_code code;
  mSocket.close(code);
  mLinks.CloseAll();
}

}
