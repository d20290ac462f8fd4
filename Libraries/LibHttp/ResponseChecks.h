#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>

/// Checks of responses that Beast's parser leaves to its callers.
namespace cranberryfold::http {

/// Returns whether a status is one of HTTP. The parser accepts any three
/// digits.
inline bool
IsHttpStatus(unsigned aStatus)
{
  constexpr unsigned kFirstStatus = 100;
  return aStatus >= kFirstStatus;
}

/// Returns whether the error of a write shows that the peer did not close its
/// side of the connection in order. A response that ends with its connection is
/// cut off then.
///
/// The kernel reports a reset to the first operation after it only; a read that
/// follows a failed write gets the end of the stream, as after an orderly end.
/// A write that follows an orderly end and a reset fails with a broken pipe.
inline bool
WasConnectionLost(boost::system::error_code const& aWriteCode)
{
  return aWriteCode && aWriteCode != boost::asio::error::broken_pipe;
}

}
