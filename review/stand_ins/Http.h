#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Blocking HTTP/1.1 for the stand-ins of the review, without libraries.
namespace review {

using clock = std::chrono::steady_clock;

struct address
{
  std::string mHost;
  std::uint16_t mPort = 0;
};

address
ParseAddress(std::string const& aText);

/// Wall-clock time in milliseconds since 1970.
std::int64_t
UnixMilliseconds();

/// Names of headers are in lower case.
struct message
{
  /// Request line or status line.
  std::string mStart;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  std::string Header(std::string const& aName) const;
  /// Status of a response; 0 if there is none.
  int Status() const;
  std::string Method() const;
  std::string Target() const;
};

/// Returns a value of the query of aTarget, or an empty text.
std::string
QueryValue(std::string_view aTarget, std::string const& aName);

/// A TCP connection. All calls block.
class connection
{
public:
  explicit connection(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  ~connection();
  connection(connection const&) = delete;
  connection& operator=(connection const&) = delete;

  /// Returns whether all bytes were written.
  bool Write(std::string_view aBytes);
  /// Reads one message with its body. Returns nothing if the connection ends
  /// before it is complete, or at aEnd.
  std::optional<message> Read(clock::time_point aEnd);
  /// Returns whether the peer has closed the connection.
  bool HasPeerClosed() const;
  /// Returns whether some bytes of a message had arrived when Read() failed.
  bool HasPartialMessage() const { return !mBytes.empty(); }

private:
  bool ReadMore(clock::time_point aEnd);
  std::optional<std::string> ReadLine(clock::time_point aEnd);
  bool ReadBody(message& aMessage, clock::time_point aEnd);
  bool ReadChunks(message& aMessage, clock::time_point aEnd);

  int mDescriptor;
  std::string mBytes;
};

/// Returns a descriptor, or -1.
int
Connect(address const& aPeer, std::chrono::milliseconds aTimeout);

/// Returns a descriptor, or -1.
int
Listen(address const& aAddress);

}
