#include "Support/LateReader.h"

#include <algorithm>
#include <sstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cranberryfold::test_support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = beast::http;

namespace {

constexpr int kReceiveBufferBytes = 16 * 1024;

std::string const kUploadHead = "PUT /photos/1 HTTP/1.1\r\nhost: photos\r\n";

}

std::string
UploadWithLength(std::string const& aBody)
{
  return kUploadHead + "content-length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string
UploadInChunks(std::string const& aBody, std::size_t aChunkBytes)
{
  std::string request = kUploadHead + "transfer-encoding: chunked\r\n\r\n";
  for (std::size_t start = 0; start < aBody.size(); start += aChunkBytes) {
    auto const chunk = aBody.substr(start, aChunkBytes);
    std::ostringstream size;
    size << std::hex << chunk.size();
    request += size.str() + "\r\n" + chunk + "\r\n";
  }
  return request + "0\r\n\r\n";
}

struct late_reader::state
{
  asio::io_context mContext{ 1 };
  asio::ip::tcp::socket mSocket{ mContext };
  beast::flat_buffer mBuffer;
};

late_reader::late_reader(core::address const& aPeer)
  : mState(std::make_unique<state>())
{
  boost::system::error_code ignored;
  auto& socket = mState->mSocket;
  socket.open(asio::ip::tcp::v4(), ignored);
  // The kernel advertises a small window only if this precedes the connection.
  socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes),
                    ignored);
  socket.connect({ asio::ip::make_address(aPeer.mHost), aPeer.mPort }, ignored);
}

late_reader::~late_reader() = default;

late_response
late_reader::Send(std::string const& aRequest,
                  std::size_t aPieceBytes,
                  core::duration aPause)
{
  auto& socket = mState->mSocket;
  boost::system::error_code code;
  for (std::size_t sent = 0; !code && sent < aRequest.size();) {
    auto const size = std::min(aPieceBytes, aRequest.size() - sent);
    asio::write(socket, asio::buffer(aRequest.data() + sent, size), code);
    sent += size;
    std::this_thread::sleep_for(aPause);
  }
  beast_http::response_parser<beast_http::string_body> parser;
  parser.body_limit(boost::none);
  beast_http::read(socket, mState->mBuffer, parser, code);
  late_response response;
  if (parser.is_header_done()) {
    response.mStatus = parser.get().result_int();
    response.mIsKept = parser.get().keep_alive();
  }
  response.mBody = parser.get().body();
  response.mIsWhole = !code && parser.is_done();
  return response;
}

}
