#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages as plain values, for the test tools and the operators'
/// client.
namespace cranberryfold::http {

struct header
{
  std::string mName;
  std::string mValue;

  bool operator==(header const&) const = default;
};

using header_list = std::vector<header>;

/// Returns the value of the first header of this name in any case, or "".
std::string_view
FindHeader(header_list const& aHeaders, std::string_view aName);

/// Returns whether aName begins with aPrefix, in any case.
bool
HeaderNameStartsWith(std::string_view aName, std::string_view aPrefix);

struct request_head
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  header_list mHeaders;

  bool operator==(request_head const&) const = default;
};

struct response_head
{
  unsigned mStatus = 200;
  header_list mHeaders;

  bool operator==(response_head const&) const = default;
};

/// A request with a short body, held in memory.
struct request
{
  request_head mHead;
  std::string mBody;

  bool operator==(request const&) const = default;
};

/// A response with a short body, held in memory.
struct response
{
  response_head mHead;
  std::string mBody;

  bool operator==(response const&) const = default;
};

/// Writes up to aCapacity bytes to aBuffer and returns how many.
using body_source =
  std::function<std::size_t(char* aBuffer, std::size_t aCapacity)>;

/// Takes the next bytes of a body.
using body_sink = std::function<void(std::string_view aBytes)>;

/// A body that is produced while it is sent. When mRead returns 0 before mSize
/// bytes were produced, the connection is closed there.
struct outgoing_body
{
  std::uint64_t mSize = 0;
  body_source mRead;
};

/// Returns a body that sends aText; aText must outlive it.
outgoing_body
BodyOf(std::string_view aText);

/// Returns the value of aName in the query of aTarget, or "".
std::string_view
FindQuery(std::string_view aTarget, std::string_view aName);

/// Returns aTarget without its query.
std::string_view
PathOf(std::string_view aTarget);

}
