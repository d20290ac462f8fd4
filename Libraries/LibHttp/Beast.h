#pragma once

#include "LibHttp/Message.h"

#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

/// What client and server share: conversion between Beast's messages and the
/// values of Message.h, and bodies in chunks.
namespace cranberryfold::http::detail {

namespace beast_http = boost::beast::http;

/// Completes with a tuple that begins with the error code.
inline constexpr auto kNoThrow =
  boost::asio::as_tuple(boost::asio::use_awaitable);

/// Bytes that are read or written at once. With 64 KiB a 20 MB upload takes a
/// few hundred system calls and is never held whole.
inline constexpr std::size_t kChunkBytes = 64U << 10U;

header_list
ToHeaders(beast_http::fields const& aFields);

/// Adds aHeaders to aFields.
void
AddHeaders(beast_http::fields& aFields, header_list const& aHeaders);

/// Sends the header of aMessage, then the body. A body that ends early gives
/// partial_message; the message must state its length or be chunked.
template<bool IsRequest, class Stream>
boost::asio::awaitable<boost::beast::error_code>
WriteMessage(
  Stream& aStream,
  beast_http::message<IsRequest, beast_http::empty_body> const& aMessage,
  outgoing_body const& aBody)
{
  beast_http::serializer<IsRequest, beast_http::empty_body> serializer(
    aMessage);
  auto [code, written] =
    co_await beast_http::async_write_header(aStream, serializer, kNoThrow);
  std::string chunk(std::min<std::uint64_t>(aBody.mSize, kChunkBytes), '\0');
  for (auto left = aBody.mSize; !code && left > 0;) {
    auto const size =
      aBody.mRead(chunk.data(), std::min<std::uint64_t>(chunk.size(), left));
    if (size == 0) {
      co_return beast_http::make_error_code(beast_http::error::partial_message);
    }
    left -= size;
    auto const buffer = boost::asio::buffer(chunk.data(), size);
    std::tie(code, written) =
      co_await boost::asio::async_write(aStream, buffer, kNoThrow);
  }
  co_return code;
}

/// Reads the rest of the message of aParser and hands the body to aSink.
template<bool IsRequest, class Stream>
boost::asio::awaitable<boost::beast::error_code>
ReadBody(Stream& aStream,
         boost::beast::flat_buffer& aBuffer,
         beast_http::parser<IsRequest, beast_http::buffer_body>& aParser,
         body_sink const& aSink)
{
  std::string chunk(kChunkBytes, '\0');
  while (!aParser.is_done()) {
    auto& body = aParser.get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    auto [code, count] =
      co_await beast_http::async_read(aStream, aBuffer, aParser, kNoThrow);
    if (auto const filled = chunk.size() - body.size; filled > 0) {
      aSink(std::string_view(chunk.data(), filled));
    }
    if (code && code != beast_http::error::need_buffer) {
      co_return code;
    }
  }
  co_return boost::beast::error_code();
}

}
