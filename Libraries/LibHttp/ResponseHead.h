#pragma once

#include "LibHttp/Beast.h"

#include <string_view>

#include <boost/asio/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

/// Reading of response heads.
namespace cranberryfold::http {

namespace detail {

/// Returns whether one of these whole lines but the first begins with a blank.
inline bool
HasFoldedLine(std::string_view aLines)
{
  return aLines.find("\n ") != std::string_view::npos ||
         aLines.find("\n\t") != std::string_view::npos;
}

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
  using detail::beast_http::error;
  // Each call of put() ends with the head at the latest.
  aParser.eager(false);
  for (;;) {
    if (aBuffer.size() > 0) {
      auto const bytes = aBuffer.cdata();
      boost::beast::error_code code;
      auto const parsed = aParser.put(bytes, code);
      // The parser consumes a field together with its folded lines.
      bool const isFolded = detail::HasFoldedLine(
        { static_cast<char const*>(bytes.data()), parsed });
      aBuffer.consume(parsed);
      if (isFolded) {
        co_return make_error_code(error::bad_field);
      }
      if (code != error::need_more) {
        co_return code;
      }
    }
    auto const size = boost::beast::read_size(aBuffer, detail::kChunkBytes);
    if (size == 0) {
      co_return make_error_code(error::buffer_overflow);
    }
    auto const [code, read] =
      co_await aStream.async_read_some(aBuffer.prepare(size), detail::kNoThrow);
    aBuffer.commit(read);
    if (code == boost::asio::error::eof) {
      co_return make_error_code(aParser.got_some() ? error::partial_message
                                                   : error::end_of_stream);
    }
    if (code) {
      co_return code;
    }
  }
}

}
