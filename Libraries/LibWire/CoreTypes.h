#pragma once

#include "LibCore/Address.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>

/// How the types of LibCore are written to an archive.
namespace cranberryfold::core {

template<class Archive, class Tag>
void
serialize(Archive& aArchive, text_id<Tag>& aId)
{
  aArchive(aId.mValue);
}

template<class Archive, class Tag>
void
serialize(Archive& aArchive, number_id<Tag>& aId)
{
  aArchive(aId.mValue);
}

template<class Archive>
void
serialize(Archive& aArchive, address& aAddress)
{
  aArchive(aAddress.mHost, aAddress.mPort);
}

}

namespace std::chrono {

template<class Archive>
void
save(Archive& aArchive, cranberryfold::core::duration const& aDuration)
{
  aArchive(static_cast<std::int64_t>(aDuration.count()));
}

template<class Archive>
void
load(Archive& aArchive, cranberryfold::core::duration& aDuration)
{
  std::int64_t count = 0;
  aArchive(count);
  aDuration = cranberryfold::core::duration(count);
}

}
