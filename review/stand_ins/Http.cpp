#include "Http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kBacklog = 128;
constexpr int kHexadecimal = 16;

sockaddr_in
ToSocketAddress(address const& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mHost.c_str(), &result.sin_addr);
  return result;
}

int
MillisecondsUntil(clock::time_point aEnd)
{
  auto const left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aEnd - clock::now());
  return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

std::string
LowerCase(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return aText;
}

std::string
Word(std::string const& aLine, int aNumber)
{
  std::size_t start = 0;
  for (; aNumber > 0; --aNumber) {
    start = aLine.find(' ', start);
    if (start == std::string::npos) {
      return {};
    }
    ++start;
  }
  return aLine.substr(start, aLine.find(' ', start) - start);
}

}

address
ParseAddress(std::string const& aText)
{
  auto const colon = aText.rfind(':');
  return { aText.substr(0, colon),
           static_cast<std::uint16_t>(std::atoi(&aText[colon + 1])) };
}

std::int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
message::Header(std::string const& aName) const
{
  auto const found = mHeaders.find(aName);
  return found == mHeaders.end() ? std::string() : found->second;
}

int
message::Status() const
{
  return std::atoi(Word(mStart, 1).c_str());
}

std::string
message::Method() const
{
  return Word(mStart, 0);
}

std::string
message::Target() const
{
  return Word(mStart, 1);
}

std::string
QueryValue(std::string_view aTarget, std::string const& aName)
{
  for (std::string const before : { "?", "&" }) {
    auto const start = aTarget.find(before + aName + "=");
    if (start != std::string_view::npos) {
      auto const value =
        aTarget.substr(start + before.size() + aName.size() + 1);
      return std::string(value.substr(0, value.find('&')));
    }
  }
  return {};
}

connection::~connection()
{
  ::close(mDescriptor);
}

bool
connection::Write(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    auto const size =
      ::send(mDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

bool
connection::ReadMore(clock::time_point aEnd)
{
  pollfd waiting{ mDescriptor, POLLIN, 0 };
  if (::poll(&waiting, 1, MillisecondsUntil(aEnd)) <= 0) {
    return false;
  }
  std::array<char, 65536> bytes{};
  auto const size = ::recv(mDescriptor, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    return false;
  }
  mBytes.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

std::optional<std::string>
connection::ReadLine(clock::time_point aEnd)
{
  auto end = mBytes.find("\r\n");
  while (end == std::string::npos) {
    if (!ReadMore(aEnd)) {
      return std::nullopt;
    }
    end = mBytes.find("\r\n");
  }
  auto line = mBytes.substr(0, end);
  mBytes.erase(0, end + 2);
  return line;
}

bool
connection::ReadChunks(message& aMessage, clock::time_point aEnd)
{
  for (;;) {
    auto const line = ReadLine(aEnd);
    if (!line) {
      return false;
    }
    auto const size = std::strtoul(line->c_str(), nullptr, kHexadecimal);
    while (mBytes.size() < size + 2) {
      if (!ReadMore(aEnd)) {
        return false;
      }
    }
    aMessage.mBody += mBytes.substr(0, size);
    mBytes.erase(0, size + 2);
    if (size == 0) {
      return true;
    }
  }
}

bool
connection::ReadBody(message& aMessage, clock::time_point aEnd)
{
  if (LowerCase(aMessage.Header("transfer-encoding")) == "chunked") {
    return ReadChunks(aMessage, aEnd);
  }
  auto const size =
    std::strtoul(aMessage.Header("content-length").c_str(), nullptr, 10);
  while (mBytes.size() < size) {
    if (!ReadMore(aEnd)) {
      return false;
    }
  }
  aMessage.mBody = mBytes.substr(0, size);
  mBytes.erase(0, size);
  return true;
}

std::optional<message>
connection::Read(clock::time_point aEnd)
{
  message result;
  auto const start = ReadLine(aEnd);
  if (!start) {
    return std::nullopt;
  }
  result.mStart = *start;
  for (;;) {
    auto const line = ReadLine(aEnd);
    if (!line) {
      return std::nullopt;
    }
    if (line->empty()) {
      break;
    }
    auto const colon = line->find(':');
    auto const value = line->find_first_not_of(' ', colon + 1);
    result.mHeaders[LowerCase(line->substr(0, colon))] =
      value == std::string::npos ? std::string() : line->substr(value);
  }
  return ReadBody(result, aEnd) ? std::optional(result) : std::nullopt;
}

bool
connection::HasPeerClosed() const
{
  char byte = 0;
  auto const size =
    ::recv(mDescriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT | MSG_NOSIGNAL);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

int
Connect(address const& aPeer, std::chrono::milliseconds aTimeout)
{
  int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  auto const peer = ToSocketAddress(aPeer);
  ::connect(descriptor, reinterpret_cast<sockaddr const*>(&peer), sizeof peer);
  pollfd waiting{ descriptor, POLLOUT, 0 };
  int problem = 0;
  socklen_t size = sizeof problem;
  bool const isReady =
    ::poll(&waiting, 1, static_cast<int>(aTimeout.count())) > 0;
  ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &problem, &size);
  if (!isReady || problem != 0) {
    ::close(descriptor);
    return -1;
  }
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  int const yes = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return descriptor;
}

int
Listen(address const& aAddress)
{
  int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const yes = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  auto const own = ToSocketAddress(aAddress);
  bool const isBound =
    ::bind(descriptor, reinterpret_cast<sockaddr const*>(&own), sizeof own) ==
    0;
  if (!isBound || ::listen(descriptor, kBacklog) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

}
