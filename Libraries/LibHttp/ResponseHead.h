#pragma once

#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

/// Reading of response heads.
namespace cranberryfold::http {

namespace detail {

/// A flat_buffer that looks for folded lines in the bytes that are consumed
/// from it. The parser consumes whole lines of a head.
class fold_detecting_buffer
{
public:
  using const_buffers_type = boost::beast::flat_buffer::const_buffers_type;
  using mutable_buffers_type = boost::beast::flat_buffer::mutable_buffers_type;

  explicit fold_detecting_buffer(boost::beast::flat_buffer& aBuffer)
    : mBuffer(aBuffer)
  {
  }

  std::size_t size() const { return mBuffer.size(); }
  std::size_t max_size() const { return mBuffer.max_size(); }
  std::size_t capacity() const { return mBuffer.capacity(); }
  const_buffers_type data() const { return mBuffer.cdata(); }
  mutable_buffers_type prepare(std::size_t aSize)
  {
    return mBuffer.prepare(aSize);
  }
  void commit(std::size_t aSize) { mBuffer.commit(aSize); }

  void consume(std::size_t aSize)
  {
    std::string_view const bytes(static_cast<char const*>(data().data()),
                                 aSize);
    mHasFoldedLine = mHasFoldedLine ||
                     bytes.find("\n ") != std::string_view::npos ||
                     bytes.find("\n\t") != std::string_view::npos;
    mBuffer.consume(aSize);
  }

  bool HasFoldedLine() const { return mHasFoldedLine; }

private:
  boost::beast::flat_buffer& mBuffer;
  bool mHasFoldedLine = false;
};

}

/// Reads the head of a response as Beast's async_read_header() does, but fails
/// with bad_field if one of its lines begins with a blank. Beast takes such a
/// line for a part of the previous field, which senders must not generate
/// (RFC 9112, 5.2): the upstream may have meant a field of its own.
template<class Stream, class Parser>
boost::asio::awaitable<boost::beast::error_code>
ReadResponseHead(Stream& aStream,
                 boost::beast::flat_buffer& aBuffer,
                 Parser& aParser)
{
  namespace asio = boost::asio;
  namespace beast_http = boost::beast::http;
  detail::fold_detecting_buffer buffer(aBuffer);
  auto const [code, size] = co_await beast_http::async_read_header(
    aStream, buffer, aParser, asio::as_tuple(asio::use_awaitable));
  if (!code && buffer.HasFoldedLine()) {
    co_return beast_http::make_error_code(beast_http::error::bad_field);
  }
  co_return code;
}

}
