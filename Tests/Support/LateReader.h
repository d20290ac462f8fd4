#pragma once

#include "LibCore/Address.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <memory>
#include <string>

namespace cranberryfold::test_support {

/// Returns a whole upload with a length.
std::string
UploadWithLength(std::string const& aBody);

/// Returns a whole upload in chunks of at most aChunkBytes.
std::string
UploadInChunks(std::string const& aBody, std::size_t aChunkBytes);

struct late_response
{
  /// 0 if there is no response.
  unsigned mStatus = 0;
  /// Received bytes of the body.
  std::string mBody;
  /// The response was received to its end.
  bool mIsWhole = false;
  /// The server keeps the connection open for the next request.
  bool mIsKept = false;
};

/// A caller that reads a response only after it has written the whole request,
/// into a small receive buffer, on one connection.
class late_reader
{
public:
  explicit late_reader(core::address const& aPeer);
  ~late_reader();
  late_reader(late_reader const&) = delete;
  late_reader& operator=(late_reader const&) = delete;

  /// Writes aRequest in pieces of at most aPieceBytes with a pause after each.
  /// Stops writing at the first error. Then reads the response.
  late_response Send(std::string const& aRequest,
                     std::size_t aPieceBytes = 16UL * 1024UL,
                     core::duration aPause = std::chrono::milliseconds(2));

private:
  struct state;
  std::unique_ptr<state> mState;
};

}
