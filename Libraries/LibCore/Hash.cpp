#include "LibCore/Hash.h"

#include <xxhash.h>

namespace cranberryfold::core {

std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

}
